"""Answers the clients' calls that submit, read and end batch jobs; any node can answer them."""

from collections.abc import Callable

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.clock import UnixClock, now_ms
from fescuedock.core.customers import Caller, scoped_job_id
from fescuedock.core.forwarding.route_table import Route
from fescuedock.core.slow_peers import HeldBytes
from fescuedock.core.stored_jobs.cache import CachedJob, JobCache
from fescuedock.core.stored_jobs.ownership import OwnerIdentity
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.http_server import Request, Responder, fault_body
from fescuedock.node.job_acceptance import JobAcceptance
from fescuedock.node.job_ends import JobEnds
from fescuedock.node.job_store import JobStore, decode_record
from fescuedock.node.owner_reads import OwnerReads
from fescuedock.node.replicas import Replicas
from fescuedock.node.spools import Spools
from fescuedock.platform import calls, job_calls
from fescuedock.platform.store import MAX_KEY_BYTES
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["JobCalls"]

# Encoded size of the results in one answer; answers are limited to 1 MB.
_PAGE_BYTES = 700_000
# Used when the client names no deadline.
_DEFAULT_PATIENCE_MS = 4000.0
# An answer must be sent this long before the client's deadline: a few round trips.
_ANSWER_MARGIN_MS = 150.0
_READ_TIMEOUT_MS = 1200.0
# Logged for a submission whose client disconnected before the answer.
_CLIENT_GONE = Err(
    Fault(ResultCode.EXECUTION_UNKNOWN, "its client left, and the job may be stored")
)


class JobCalls(msgspec.Struct):
    """Accepts, reads and ends jobs.  ``owner`` is this node, which runs the jobs it accepts."""

    store: JobStore
    cache: JobCache
    replicas: Replicas
    owner: OwnerIdentity
    unix_clock: UnixClock
    retry_after_ms: int
    acceptance: JobAcceptance
    owner_reads: OwnerReads
    spools: Spools
    ends: JobEnds
    # Whether this node is about to stop, so that another node should run the jobs it accepts.
    is_leaving: Callable[[], bool]
    # Memory held for the connections of slow clients.
    held: HeldBytes

    # --- submitting ------------------------------------------------------------------------------

    async def submit(
        self, request: Request, responder: Responder, route: Route, body: bytes, caller: Caller
    ) -> None:
        """Accept a job once, however often it is submitted."""
        received_ms = now_ms()
        head = calls.call_head(request.header_fields)
        job_id = scoped_job_id(caller, head.request_id) if head.request_id else ""
        result: Result[None, Fault] = _CLIENT_GONE
        try:
            record = self._new_record(request, job_id, route, caller)
            result = await self._accept(record, body, head.patience_ms)
        finally:
            log_event(
                "job_submitted",
                job_id=job_id,
                route=route.name,
                outcome="accepted" if isinstance(result, Ok) else result.err_value.code.name,
                reason="" if isinstance(result, Ok) else result.err_value.message,
                took_ms=round(now_ms() - received_ms, 1),
            )
        if isinstance(result, Err):
            await _refuse(responder, result.err_value)
        else:
            await responder.send(202, b"{}")

    async def _accept(
        self, record: StoredJobRecord, body: bytes, patience_ms: float | None
    ) -> Result[None, Fault]:
        items = job_calls.read_submission(body)
        if isinstance(items, Err):
            return Err(Fault(ResultCode.BAD_REQUEST, items.err_value))
        # Imported at the first submission, to keep it off the start-up path.
        from fescuedock.core.stored_jobs.submission import digest_of

        if not record.job_id:
            return Err(Fault(ResultCode.BAD_REQUEST, "the job has no id"))
        if self.store.keys.longest_bytes(record.job_id) > MAX_KEY_BYTES:
            return Err(Fault(ResultCode.BAD_REQUEST, "the job's id is too long for the store"))
        record = msgspec.structs.replace(
            record, total=len(items.ok_value), items_digest=digest_of(items.ok_value)
        )
        wait_ms = (_DEFAULT_PATIENCE_MS if patience_ms is None else patience_ms) - _ANSWER_MARGIN_MS
        accepted = await self.acceptance.accept(record, items.ok_value, wait_ms)
        return accepted.map_err(lambda fault: _with_retry(fault, self.retry_after_ms))

    def _new_record(
        self, request: Request, job_id: str, route: Route, caller: Caller
    ) -> StoredJobRecord:
        leaving = self.is_leaving()
        return StoredJobRecord(
            job_id=job_id,
            host=request.headers.get("host", ""),
            path=request.path,
            submitted_at_ms=self.unix_clock() * 1000,
            due_in_ms=int(route.due_ms),
            retention_ms=int(route.retention_ms),
            total=0,
            customer=caller.name,
            owner_id="" if leaving else self.owner.node_id,
            owner_boot=0 if leaving else self.owner.boot,
        )

    # --- reading ---------------------------------------------------------------------------------

    async def read(self, responder: Responder, call: job_calls.JobCall) -> None:
        """Answer with the results after a position, waiting for one if the call asks for it."""
        due_ms = now_ms() + call.wait_ms
        while True:
            seen = self.replicas.version
            found = await self._fresh_results(call.job_id, call.after)
            if isinstance(found, Err):
                await _refuse(responder, found.err_value)
                return
            job = found.ok_value
            if job is None:
                await _refuse(responder, _no_such_job(call.job_id))
                return
            left_ms = due_ms - now_ms()
            if len(job.results) > call.after or job.is_complete or left_ms <= 0:
                break
            with trio.move_on_after(left_ms / 1000):
                await self._wait_listed(call.job_id, len(job.results), seen)
                continue
            # As far as this node knows, nothing was listed while it waited.
            break
        results = job.page(call.after, self.held.page_bytes(_PAGE_BYTES))
        body = job_calls.encode_results(job.total, call.after, results)
        await responder.send(200, body)

    async def _fresh_results(self, job_id: str, after: int) -> Result[CachedJob | None, Fault]:
        """Return the listed results of a job; never fewer than any node has returned before."""
        job = self.cache.get(job_id)
        if job is not None and (len(job.results) > after or job.is_complete):
            return Ok(job)
        with trio.move_on_after(_READ_TIMEOUT_MS / 1000):
            return await self._fetch_results(job_id, job, after)
        return Err(_unavailable("the store did not answer in time", self.retry_after_ms))

    async def _fetch_results(
        self, job_id: str, job: CachedJob | None, after: int
    ) -> Result[CachedJob | None, Fault]:
        """Read listed results from the owner, and from the store where the owner is not certain."""
        record = self._known_record(job_id)
        if record is None:
            found = await self._find_record(job_id)
            if isinstance(found, Err):
                return found
            if found.ok_value is None:
                return Ok(None)
            record = found.ok_value
        known = 0 if job is None else len(job.results)
        reply = await self.owner_reads.read(record, known)
        if reply is not None and (reply.group.results or reply.current):
            job = self.cache.open(record)
            is_added = job.add(reply.group)
            self.cache.trim()
            if is_added and (reply.current or len(job.results) > after):
                return Ok(job)
            known = len(job.results)
        return await self._read_groups(record, known)

    async def _read_groups(self, record: StoredJobRecord, known: int) -> Result[CachedJob, Fault]:
        """Add the stored results from position ``known`` on to the cache.

        If results that ``record`` lists are missing then, all are read: the cache lost some
        meanwhile, or its last group is the beginning of a stored one.
        """
        for first in (known, 0):
            groups = await self.store.read_groups(record.job_id, first)
            if isinstance(groups, Err):
                return Err(_unavailable(groups.err_value.message, self.retry_after_ms))
            # Opened again: other calls may have changed the cache while the store was read.
            job = self.cache.open(record)
            for group in groups.ok_value:
                job.add(group)
            self.cache.trim()
            if len(job.results) >= record.listed:
                return Ok(job)
            log_event("results_missing", job_id=record.job_id, first_position=first)
        return Err(_unavailable("some results are missing", self.retry_after_ms))

    async def _find_record(self, job_id: str) -> Result[StoredJobRecord | None, Fault]:
        """Read a job's record; None only when the job is neither stored nor pending on a spool."""
        found = await self.store.read_record(job_id)
        if isinstance(found, Ok) and found.ok_value is None:
            if await self.spools.may_hold(job_id):
                return Err(_unavailable("the job may be pending on a spool", self.retry_after_ms))
            # A spool may have stored the job and removed its copy since the store was read.
            found = await self.store.read_record(job_id)
        if isinstance(found, Err):
            return Err(_unavailable(found.err_value.message, self.retry_after_ms))
        return Ok(None if found.ok_value is None else found.ok_value.record)

    def _known_record(self, job_id: str) -> StoredJobRecord | None:
        """Return the known record of a job; None without a readable one."""
        table = self.replicas.tables[self.store.keys.live]
        entry = table.entries.get(self.store.keys.record(job_id))
        decoded = None if entry is None else decode_record(entry)
        return decoded.ok_value.record if isinstance(decoded, Ok) else None

    async def _wait_listed(self, job_id: str, known: int, seen_version: int) -> None:
        """Wait until more than ``known`` results are listed, or the job has ended."""
        while True:
            record = self._known_record(job_id)
            if record is not None and (record.listed > known or record.ended):
                return
            seen_version = await self.replicas.wait_changed(seen_version)

    # --- the others ------------------------------------------------------------------------------

    async def body(self, responder: Responder, call: job_calls.JobCall) -> None:
        """Answer with the request body of an item."""
        job = self.cache.get(call.job_id)
        if job is None or job.items is None:
            loaded = await self._load_items(call.job_id)
            if isinstance(loaded, Err):
                await _refuse(responder, loaded.err_value)
                return
            job = loaded.ok_value
        item = job.items.get(call.item_id) if job is not None else None
        if item is None:
            text = f"job {call.job_id!r} has no item {call.item_id!r}"
            await _refuse(responder, Fault(ResultCode.NOT_FOUND, text))
            return
        await responder.send(200, item.body, [("content-type", "application/octet-stream")])

    async def _load_items(self, job_id: str) -> Result[CachedJob | None, Fault]:
        with trio.move_on_after(_READ_TIMEOUT_MS / 1000):
            found = await self._find_record(job_id)
            if isinstance(found, Err):
                return found
            if found.ok_value is None:
                return Ok(None)
            items = await self.store.read_items(found.ok_value)
            if isinstance(items, Err):
                return Err(_unavailable(items.err_value.message, self.retry_after_ms))
            job = self.cache.open(found.ok_value)
            job.set_items(items.ok_value)
            return Ok(job)
        return Err(_unavailable("the store did not answer in time", self.retry_after_ms))

    async def end(self, responder: Responder, call: job_calls.JobCall) -> None:
        """End a job; answers once the end is recorded, so that no node continues the job."""
        ended = await self.ends.end(call.job_id)
        if isinstance(ended, Err):
            await _refuse(responder, ended.err_value)
        else:
            await responder.send(200, b"{}")


async def _refuse(responder: Responder, fault: Fault) -> None:
    headers = calls.refusal_headers(fault)
    await responder.send(fault.http_status, fault_body(fault), headers)


def _with_retry(fault: Fault, retry_after_ms: int) -> Fault:
    """Add the time after which to retry; resubmitting also settles an unknown outcome."""
    return Fault(fault.code, fault.message, retry_after_ms)


def _unavailable(text: str, retry_after_ms: int) -> Fault:
    return Fault(ResultCode.KV_UNAVAILABLE, text, retry_after_ms)


def _no_such_job(job_id: str) -> Fault:
    return Fault(ResultCode.NOT_FOUND, f"there is no job {job_id!r}")
