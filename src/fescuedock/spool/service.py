"""Accepts jobs from nodes that cannot reach the metadata store, and stores them once it returns."""

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.clock import now_ms
from fescuedock.core.stored_jobs.ownership import is_open
from fescuedock.errors import log_internal_error
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvStore
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.node.job_store import JobStore
from fescuedock.pauses import ExponentialBackoff
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import (
    EmptySpool,
    EmptySpoolReply,
    EndSpooled,
    EndSpooledReply,
    FindSpooled,
    FindSpooledReply,
    NodeRecord,
    SpoolJob,
    SpoolJobReply,
)
from fescuedock.spool.files import SpoolFiles

__all__ = ["SpoolService"]

# Between two attempts to reach the store: an outage of 5 s costs some 15 calls, and a job waits
# no longer than the maximum after the store's return.
_FIRST_PAUSE_MS = 100.0
_MAX_PAUSE_MS = 400.0
# A job's transaction takes up to 20 ms; this leaves time for two attempts of the store's client.
_STORE_JOB_TIMEOUT_S = 1.0
# Wait of jobs before the first line about it; each further line needs twice the wait.
_FIRST_REPORT_MS = 5000.0


class SpoolService:
    """The spool of one VM with a disk; ``key`` is the key of its record in the store."""

    def __init__(
        self, files: SpoolFiles, kv: KvStore, store: JobStore, key: str, record: NodeRecord
    ) -> None:
        self._files = files
        self._kv = kv
        self._store = store
        self._key = key
        self._record = record
        # Whether the disk records that the machine is being emptied, so that a restart knows it.
        self._emptying_durable = False
        self._job_written = trio.Event()
        # Since when jobs have waited for the store, and after which wait the next line is written.
        self._unstored_since_ms: float | None = None
        self._next_report_ms = _FIRST_REPORT_MS

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers by message type."""
        return {
            SpoolJob: self._spool_job,
            FindSpooled: self._find,
            EndSpooled: self._end,
            EmptySpool: self._empty,
        }

    async def run(self) -> None:
        """Register in the store, and store the jobs on the disk, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._register)
            nursery.start_soon(self._store_forever)

    async def _spool_job(self, message: SpoolJob, _peer: ServerPeer) -> SpoolJobReply:
        written = self._write_job(message)
        code = ResultCode.OK if isinstance(written, Ok) else written.err_value.code
        log_event(
            "job_spooled",
            job_id=message.record.job_id,
            outcome=code.name,
            reason="" if isinstance(written, Ok) else written.err_value.message,
            pending=len(self._files),
        )
        return SpoolJobReply(code)

    def _write_job(self, message: SpoolJob) -> Result[None, Fault]:
        # A refusal promises that there is no copy here, so a job that is here is not refused.
        if self._files.is_emptying and message.record.job_id not in self._files:
            return Err(Fault(ResultCode.STORES_UNAVAILABLE, "the machine is to be removed"))
        written = self._files.put(message)
        # Set also after a fault, as there may be a copy, which is stored like any other.
        self._job_written.set()
        return written

    async def _find(self, message: FindSpooled, _peer: ServerPeer) -> FindSpooledReply:
        return FindSpooledReply(self._files.may_hold(message.job_id))

    async def _end(self, message: EndSpooled, _peer: ServerPeer) -> EndSpooledReply:
        """Mark a copy that is here, so that it is stored as ended."""
        if message.job_id not in self._files:
            is_held = self._files.may_hold(message.job_id)
            return EndSpooledReply(is_held, ResultCode.KV_UNKNOWN if is_held else ResultCode.OK)
        was_ended = self._files.is_ended(message.job_id)
        written = self._files.end(message.job_id)
        code = ResultCode.OK if isinstance(written, Ok) else written.err_value.code
        log_event(
            "spooled_job_ended",
            # Nodes repeat the message until the job is stored.
            routine=was_ended and isinstance(written, Ok),
            job_id=message.job_id,
            outcome=code.name,
            reason="" if isinstance(written, Ok) else written.err_value.message,
        )
        return EndSpooledReply(True, code)

    async def _empty(self, message: EmptySpool, _peer: ServerPeer) -> EmptySpoolReply:
        """Accept no more jobs, not even after a restart.

        The machine is removed once a reply says that it is empty.
        """
        if not self._emptying_durable:
            written = self._files.record_emptying()
            self._emptying_durable = isinstance(written, Ok)
            log_event(
                "spool_emptying",
                reason=message.reason,
                pending=len(self._files),
                fault="" if isinstance(written, Ok) else written.err_value.message,
            )
        code = ResultCode.OK if self._emptying_durable else ResultCode.STORES_UNAVAILABLE
        return EmptySpoolReply(self._files.pending, code)

    async def _register(self) -> None:
        """Write this VM's record.

        The record has no lease, since jobs stay on the disk however long the VM is unreachable.
        """
        value = msgspec.msgpack.encode(self._record)
        pauses = ExponentialBackoff(_FIRST_PAUSE_MS, _MAX_PAUSE_MS)
        # The record of a machine that was emptied may be removed already; it must not come back.
        while self._files.pending or not self._files.is_emptying:
            found = await self._kv.get(self._key)
            if isinstance(found, Ok) and await self._write_record(found.ok_value, value):
                return
            await pauses.wait()

    async def _write_record(self, entry: KvEntry | None, value: bytes) -> bool:
        if entry is not None and entry.value == value:
            return True
        revision = 0 if entry is None else entry.mod_revision
        written = await self._kv.put_if(self._key, value, revision)
        log_event("spool_registered", outcome="done" if isinstance(written, Ok) else "again")
        return isinstance(written, Ok)

    async def _store_forever(self) -> None:
        while True:
            pauses = ExponentialBackoff(_FIRST_PAUSE_MS, _MAX_PAUSE_MS)
            while len(self._files):
                stored = [await self._store_contained(job) for job in self._files]
                if not all(stored):
                    await pauses.wait()
            self._unstored_since_ms, self._next_report_ms = None, _FIRST_REPORT_MS
            self._job_written = trio.Event()
            await self._job_written.wait()

    async def _store_contained(self, job: SpoolJob) -> bool:
        """Store a job; an unexpected exception leaves it on the disk and the others stored."""
        try:
            return await self._store_job(job)
        except Exception as error:
            log_internal_error(error, "job", job_id=job.record.job_id)
            return False

    async def _store_job(self, job: SpoolJob) -> bool:
        """Make sure that a job is in the store and remove it here; return whether that is done."""
        job_id = job.record.job_id
        with trio.move_on_after(_STORE_JOB_TIMEOUT_S):
            stored = await self._store.accept(job.record, job.items)
            if isinstance(stored, Err) and stored.err_value.code is ResultCode.KEY_REUSED:
                # It was accepted while the store was unavailable, so the conflict was unknown then.
                log_event("spooled_job_dropped", job_id=job_id, reason=stored.err_value.message)
                self._files.remove(job_id)
                return True
            if isinstance(stored, Err):
                self._log_unstored(job_id, stored.err_value.code.name)
                return False
            # The end may have been received while the job was being stored, or another spool
            # without knowledge of the end may have stored the job first.
            if self._files.is_ended(job_id) and is_open(stored.ok_value.record):
                await self._store.end(job_id)
            log_event(
                "spooled_job_stored",
                job_id=job_id,
                ended=self._files.is_ended(job_id),
                pending=len(self._files) - 1,
            )
            self._files.remove(job_id)
            return True
        self._log_unstored(job_id, "the store did not answer in time")
        return False

    def _log_unstored(self, job_id: str, reason: str) -> None:
        """Log now and then that jobs wait on this disk, with the last reason."""
        self._unstored_since_ms = self._unstored_since_ms or now_ms()
        waited_ms = now_ms() - self._unstored_since_ms
        if waited_ms >= self._next_report_ms:
            self._next_report_ms = 2 * waited_ms
            log_event(
                "spooled_jobs_held",
                job_id=job_id,
                pending=len(self._files),
                waited_ms=round(waited_ms),
                reason=reason,
            )
