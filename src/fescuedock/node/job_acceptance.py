"""Accepts a job directly in the store, through a neighbour, or as copies on spools.

Accepting is one transaction under the job's identity, so two nodes that try at the same time accept
it once.  While the store is unreachable, copies on spools (``Spools``) count as accepted too: each
spool that holds one writes the same transaction when the store is reachable again.
"""

import random
from collections.abc import Callable, Collection

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.stored_jobs.ownership import OwnerIdentity
from fescuedock.core.stored_jobs.pending_ends import UnresolvedAcceptances
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.node.job_store import JobStore, VersionedRecord
from fescuedock.node.replicas import CallNeighbour, Replicas
from fescuedock.node.spools import SpoolCopies, Spools
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import AcceptJob, AcceptJobReply, StoredItem, StoredJobRecord

__all__ = ["JobAcceptance", "OnAccepted"]

# The store answers in 4 ms and stores a job in at most 20 ms; a neighbour is called after six times
# that, which leaves most of the usual latency target of 400 ms.
_NEIGHBOUR_DELAY_S = 0.12
# Time limit of a neighbour's try, and the number of neighbours called.  A neighbour may have lost
# the path to the store as well, so the next one is called before it has answered.
_NEIGHBOUR_TIMEOUT_MS = 900.0
_NEXT_NEIGHBOUR_DELAY_S = 0.1
_MAX_NEIGHBOURS = 3
# Half of the usual latency target of 400 ms; copies on spools take 10 to 20 ms.  While an outage is
# not detected yet, neither path to the store fails within a second.
_SPOOLS_DELAY_S = 0.2

# Called with a job that this node owns from now on, and its items.
OnAccepted = Callable[[VersionedRecord, list[StoredItem]], None]


class JobAcceptance(msgspec.Struct):
    """Accepts jobs for clients and neighbours; ``neighbours`` returns the nodes that may be called.

    ``is_leaving`` says whether this node is about to stop and accepts no job for neighbours.
    """

    store: JobStore
    replicas: Replicas
    owner: OwnerIdentity
    call_neighbour: CallNeighbour
    neighbours: Callable[[], Collection[Address]]
    on_accepted: OnAccepted
    rng: random.Random
    spools: Spools
    is_leaving: Callable[[], bool]
    unsettled: UnresolvedAcceptances = msgspec.field(default_factory=UnresolvedAcceptances)

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers by message type, to be merged with those of other services."""
        return {AcceptJob: self._on_accept_job}

    async def accept(
        self, record: StoredJobRecord, items: list[StoredItem], wait_ms: float
    ) -> Result[None, Fault]:
        """Store a job by whichever path succeeds first.

        ``KV_UNAVAILABLE`` promises that it is not stored anywhere and never will be, ``KEY_REUSED``
        that its identity belongs to a job with other items; ``EXECUTION_UNKNOWN`` says that it may
        be stored.
        """
        attempt = _Attempt(self, record, items)
        self.unsettled.begin(record.job_id)
        try:
            with trio.move_on_after(max(wait_ms, 0.0) / 1000):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(attempt.store_directly, nursery.cancel_scope)
                    nursery.start_soon(attempt.store_via_neighbours, nursery.cancel_scope)
                    nursery.start_soon(attempt.copy_to_spools, nursery.cancel_scope)
            return attempt.result()
        finally:
            # Runs also when the client has disconnected and this task is cancelled.
            unsure = attempt.may_be_stored_later
            self.unsettled.finish(record.job_id, now_ms(), uncertain=unsure)

    async def _on_accept_job(self, message: AcceptJob, _peer: ServerPeer) -> AcceptJobReply:
        """Accept a job for a neighbour, and own it."""
        if self.is_leaving() or self.replicas.kv_availability.is_unavailable(now_ms()):
            return AcceptJobReply(ResultCode.KV_UNAVAILABLE)
        record = msgspec.structs.replace(
            message.record, owner_id=self.owner.node_id, owner_boot=self.owner.boot
        )
        settled = False
        self.unsettled.begin(record.job_id)
        try:
            with trio.move_on_after(_NEIGHBOUR_TIMEOUT_MS / 1000):
                # The client may have disconnected from the calling node and ended the job since.
                stored = await self.store.accept(record, message.items, after_end=False)
                settled = True
                if isinstance(stored, Err):
                    return AcceptJobReply(stored.err_value.code)
                if self.owner.owns(stored.ok_value.record) and not stored.ok_value.record.listed:
                    self.on_accepted(stored.ok_value, message.items)
                return AcceptJobReply(ResultCode.OK)
            return AcceptJobReply(ResultCode.KV_UNKNOWN)
        finally:
            self.unsettled.finish(record.job_id, now_ms(), uncertain=not settled)


class _Attempt(msgspec.Struct):
    """One acceptance in progress."""

    shared: JobAcceptance
    record: StoredJobRecord
    items: list[StoredItem]
    accepted: bool = False
    # Set once this node's own try has failed for good, so that the other paths start at once.
    direct_failed: trio.Event = msgspec.field(default_factory=trio.Event)
    # The fault of the direct path, or ``KEY_REUSED`` from a neighbour.
    direct_fault: Fault | None = None
    # Neighbours whose tries may have stored the job or may still store it.
    unsure_neighbours: int = 0
    # Set once the direct path and the neighbours have failed.
    all_failed: trio.Event = msgspec.field(default_factory=trio.Event)
    spool_copies: SpoolCopies = msgspec.field(default_factory=SpoolCopies)

    async def store_directly(self, scope: trio.CancelScope) -> None:
        if self.shared.replicas.kv_availability.is_unavailable(now_ms()):
            self.direct_fault = Fault(ResultCode.KV_UNAVAILABLE, "the store does not answer")
            self.direct_failed.set()
            return
        stored = await self.shared.store.accept(self.record, self.items)
        if isinstance(stored, Err):
            self.direct_fault = stored.err_value
            if stored.err_value.code is ResultCode.KEY_REUSED:
                scope.cancel()
            self.direct_failed.set()
            return
        self._succeed(scope)
        self.shared.on_accepted(stored.ok_value, self.items)

    async def store_via_neighbours(self, scope: trio.CancelScope) -> None:
        with trio.move_on_after(_NEIGHBOUR_DELAY_S):
            await self.direct_failed.wait()
        addresses = list(self.shared.neighbours())
        self.shared.rng.shuffle(addresses)
        async with trio.open_nursery() as nursery:
            for address in addresses[:_MAX_NEIGHBOURS]:
                answered = trio.Event()
                nursery.start_soon(self._store_via, address, scope, answered)
                with trio.move_on_after(_NEXT_NEIGHBOUR_DELAY_S):
                    await answered.wait()
        await self.direct_failed.wait()
        self.all_failed.set()

    async def _store_via(
        self, address: Address, scope: trio.CancelScope, answered: trio.Event
    ) -> None:
        code = await self._call_neighbour(address)
        if code is ResultCode.OK:
            self._succeed(scope)
        elif code is ResultCode.KEY_REUSED:
            self.direct_fault = Fault(code, "a job of this id has other items")
            scope.cancel()
        else:
            answered.set()

    async def copy_to_spools(self, scope: trio.CancelScope) -> None:
        with trio.move_on_after(_SPOOLS_DELAY_S):
            await self.all_failed.wait()
        if await self.shared.spools.store_copies(self.record, self.items, self.spool_copies):
            self._succeed(scope)

    async def _call_neighbour(self, address: Address) -> ResultCode:
        message = AcceptJob(self.record, self.items)
        self.unsure_neighbours += 1
        reply = await self.shared.call_neighbour(address, message, _NEIGHBOUR_TIMEOUT_MS)
        match reply:
            case Ok(AcceptJobReply(code=code)):
                pass
            case Err(Fault(code=code)):
                pass
            case _:
                code = ResultCode.PEER_UNKNOWN
        if code in (ResultCode.KV_UNAVAILABLE, ResultCode.PEER_UNREACHABLE):
            self.unsure_neighbours -= 1
        log_event(
            "job_passed_to_neighbour",
            job_id=self.record.job_id,
            neighbour=str(address),
            outcome=ResultCode(code).name,
        )
        return ResultCode(code)

    def _succeed(self, scope: trio.CancelScope) -> None:
        self.accepted = True
        scope.cancel()

    @property
    def may_be_stored_later(self) -> bool:
        """Whether the job may reach the store or a spool's disk after this attempt has ended."""
        if self.accepted:
            return False
        return (
            self.direct_fault is None
            or self.unsure_neighbours > 0
            or self.spool_copies.may_be_stored
        )

    def result(self) -> Result[None, Fault]:
        """Return the outcome once all paths have ended or the time is up."""
        if self.accepted:
            return Ok(None)
        is_reused = (
            self.direct_fault is not None and self.direct_fault.code is ResultCode.KEY_REUSED
        )
        if is_reused or not self.may_be_stored_later:
            return Err(self.direct_fault)
        return Err(
            Fault(
                ResultCode.EXECUTION_UNKNOWN, "it could not be determined whether the job is stored"
            )
        )
