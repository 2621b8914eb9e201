"""Calls the spools, which store jobs on disk while the metadata store is unreachable."""

from collections.abc import Awaitable, Callable

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.stored_jobs.spools import SilentSpools, choose_spools
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry
from fescuedock.log import log_event
from fescuedock.node.fleet import read_node_record
from fescuedock.schema.result_codes import OUTCOME, Outcome, ResultCode
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
    StoredItem,
    StoredJobRecord,
)

__all__ = ["SpoolCopies", "Spools"]

# A copy takes a round trip of 3 ms and two syncs of 2 ms; 15 times that leaves time for another
# spool within the usual latency target of 400 ms.
_COPY_TIMEOUT_MS = 100.0
_QUERY_TIMEOUT_MS = 250.0

_CallSpool = Callable[[Address, msgspec.Struct, float], Awaitable[Result[msgspec.Struct, Fault]]]


class SpoolCopies:
    """The state of one job's copies on spools; valid at any time, also after a cancellation."""

    __slots__ = ("confirmed", "unanswered")

    def __init__(self) -> None:
        self.confirmed = 0
        # Spools that were called and have not said for certain whether they hold a copy; a copy
        # that exists will reach the store.
        self.unanswered = 0

    @property
    def may_be_stored(self) -> bool:
        return self.confirmed > 0 or self.unanswered > 0


class Spools:
    """The spools that ``table`` lists below ``prefix``.

    A job counts as accepted with ``required_copies`` copies.
    """

    def __init__(
        self, table: ReplicaTable, prefix: str, required_copies: int, call: _CallSpool
    ) -> None:
        self._table = table
        self._prefix = prefix
        self._required_copies = required_copies
        self._call = call
        self._known_spools = SilentSpools()
        # By key, the revision of a record that cannot be read.
        self._unreadable: dict[str, int] = {}

    async def store_copies(
        self, record: StoredJobRecord, items: list[StoredItem], copies: SpoolCopies
    ) -> bool:
        """Store a job on enough spools; return whether that succeeded.

        ``copies`` is updated with each call and answer.  As many spools are called at once as
        copies are missing, then others in place of those that failed.
        """
        message = SpoolJob(record, items)
        candidates = choose_spools(record.job_id, self._listed())
        # Spools that answer are called before those that were silent the last time.
        candidates.sort(key=lambda spool: self._known_spools.is_silent(spool.vm_id))
        if len(candidates) < self._required_copies:
            return False
        while copies.confirmed < self._required_copies and candidates:
            missing = self._required_copies - copies.confirmed
            batch, candidates = candidates[:missing], candidates[missing:]
            async with trio.open_nursery() as nursery:
                for spool in batch:
                    nursery.start_soon(self._store_copy, spool, message, copies)
        return copies.confirmed >= self._required_copies

    async def may_hold(self, job_id: str) -> bool:
        """Whether a spool may hold a job that is not in the store yet."""
        return await self._query_all(FindSpooled(job_id))

    async def end(self, job_id: str) -> bool:
        """Have copies of a job written to the store as ended; return whether any may exist."""
        return await self._query_all(EndSpooled(job_id))

    async def _query_all(self, message: FindSpooled | EndSpooled) -> bool:
        """Send all spools a message about a job; False only if each denies that it holds a copy."""
        if not self._table.is_known:
            # The records of the spools were not read yet, so it is unknown which ones to query.
            return True
        spools = self._listed()
        denied: set[str] = set()

        async def query(spool: NodeRecord) -> None:
            reply = await self._send(spool, message, _QUERY_TIMEOUT_MS)
            if isinstance(reply, FindSpooledReply | EndSpooledReply) and not reply.held:
                denied.add(spool.vm_id)

        async with trio.open_nursery() as nursery:
            for spool in spools:
                nursery.start_soon(query, spool)
        if self._unreadable:
            # A spool of another version may hold it.
            return True
        return self._known_spools.may_hold([spool.vm_id for spool in spools], denied, now_ms())

    async def drain(self, vm_id: str) -> int | None:
        """Have a spool accept no more jobs, and return how many it still has to store.

        Return 0 for a VM that is no spool; None when it does not answer, when its record cannot be
        read, or when it is not known yet which VMs are spools.
        """
        if not self._table.is_known:
            return None
        entry = self.entry_of(vm_id)
        if entry is None:
            return 0
        record = read_node_record(entry)
        if isinstance(record, Err):
            return None
        reply = await self._send(
            record.ok_value, EmptySpool("the operator wants it"), _QUERY_TIMEOUT_MS
        )
        is_sure = isinstance(reply, EmptySpoolReply) and reply.code == ResultCode.OK
        return reply.pending if is_sure else None

    def entry_of(self, vm_id: str) -> KvEntry | None:
        """Return a spool's record as an entry of the store; None for a VM that is no spool."""
        return self._table.entries.get(self._prefix + vm_id)

    async def _store_copy(self, spool: NodeRecord, message: SpoolJob, copies: SpoolCopies) -> None:
        copies.unanswered += 1
        reply = await self._send(spool, message, _COPY_TIMEOUT_MS)
        answered = isinstance(reply, SpoolJobReply)
        done = answered and reply.code == ResultCode.OK
        copies.confirmed += done
        # A spool whose disk failed midway may have a copy all the same.
        copies.unanswered -= answered and _is_sure(reply.code)
        log_event(
            "job_copy",
            routine=done,
            job_id=message.record.job_id,
            spool=spool.vm_id,
            outcome=ResultCode(reply.code).name if answered else "no answer",
        )

    async def _send(
        self, spool: NodeRecord, message: msgspec.Struct, timeout_ms: float
    ) -> msgspec.Struct | None:
        reply = await self._call(Address(spool.host, spool.port), message, timeout_ms)
        if isinstance(reply, Ok):
            self._known_spools.record_answer(spool.vm_id)
            return reply.ok_value
        self._known_spools.record_silence(spool.vm_id, now_ms())
        return None

    def _listed(self) -> list[NodeRecord]:
        """Return the records of the spools; log once why one cannot be read."""
        listed: list[NodeRecord] = []
        unreadable: dict[str, int] = {}
        for key, entry in self._table.entries.items():
            if not key.startswith(self._prefix):
                continue
            match read_node_record(entry):
                case Ok(record):
                    listed.append(record)
                case Err(fault):
                    unreadable[key] = entry.mod_revision
                    if self._unreadable.get(key) != entry.mod_revision:
                        log_event("node_unreadable", key=key, reason=fault.message)
        self._unreadable = unreadable
        return listed


def _is_sure(code: int) -> bool:
    """Whether a spool's answer says for certain that it has a copy, or that it has none."""
    return OUTCOME[ResultCode(code)] is not Outcome.UNKNOWN
