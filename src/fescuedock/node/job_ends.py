"""Ends jobs for clients, and retries ends that could not be recorded at once.

A client that got no acknowledgement may never retry, and still expects that its job stops.  So the
end is held here and retried until it is recorded or the job is known not to exist.  Spools that
hold a copy of the job are notified as well, since their knowledge outlasts this process.
"""

from functools import partial

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.clock import now_ms
from fescuedock.core.stored_jobs.pending_ends import PendingEnds, UnresolvedAcceptances
from fescuedock.errors import run_contained
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.node.job_store import JobStore, VersionedRecord
from fescuedock.node.owner_reads import OwnerReads
from fescuedock.node.replicas import Replicas
from fescuedock.node.spools import Spools
from fescuedock.schema.result_codes import ResultCode

__all__ = ["JobEnds"]

# How long a client waits for the end to be recorded.
_CALL_TIMEOUT_S = 3.5
# Time limit of one retry; the store's own timeout bounds each call within it.
_TRY_TIMEOUT_S = 2.0
# Pauses between two tries, cut short when an update brings the job's record.  Store calls are
# billed, and a silent spool may be down for long.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 2.0
_MAX_CONCURRENT_TRIES = 8
# Interval at which the end of a store outage is polled.
_STORE_POLL_S = 0.1
# The store usually answers within 20 ms.  After this long it counts as slow, and the spools are
# notified in parallel.
_NOTIFY_SPOOLS_AFTER_S = 0.2
# An end is retried for as long as the job may live: the retention of its route, which is in the
# job's record and may not be readable here.  The margin covers differing node clocks and the time
# to commit results.
_MIN_RETRY_PERIOD_MS = 600_000.0
_RETRY_PERIOD_MARGIN_MS = 60_000.0


class JobEnds(msgspec.Struct):
    """Ends jobs at one node.

    ``wanted`` holds the requested ends, which keep items of these jobs from starting here;
    ``unsettled`` the acceptances of this node that may still store a job.
    """

    store: JobStore
    replicas: Replicas
    spools: Spools
    owner_reads: OwnerReads
    configuration: NodeConfiguration
    wanted: PendingEnds
    unsettled: UnresolvedAcceptances
    retry_after_ms: int
    _retrying: set[str] = msgspec.field(default_factory=set)
    _nursery: trio.Nursery | None = None
    _try_limiter: trio.CapacityLimiter = msgspec.field(
        default_factory=lambda: trio.CapacityLimiter(_MAX_CONCURRENT_TRIES)
    )

    async def run(self) -> None:
        """Retry ends that are not recorded yet, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                # Calls that are cancelled at shutdown start no more retries.
                self._nursery = None

    async def end(self, job_id: str) -> Result[VersionedRecord, Fault]:
        """End a job; ``Ok`` once that is recorded.  After ``KV_UNAVAILABLE`` this node retries."""
        received_ms = now_ms()
        if not self.wanted.add(job_id, received_ms + self._max_retry_ms()):
            log_event("job_end_not_kept", job_id=job_id, pending=len(self.wanted))
        ended = self._unavailable("the store did not answer in time")
        try:
            with trio.move_on_after(_CALL_TIMEOUT_S):
                ended = await self._end_and_notify_spools(job_id)
        finally:
            # Runs also when the client has disconnected and this task is cancelled.
            if _is_settled(ended):
                self.wanted.discard(job_id)
            else:
                self._start_retrying(job_id)
        await self._notify_and_log(job_id, ended, received_ms, retried=False)
        return ended

    async def _end_and_notify_spools(self, job_id: str) -> Result[VersionedRecord, Fault]:
        """End a job in the store, and notify the spools in parallel if that takes long."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._notify_spools_later, job_id)
            ended = await self._end(job_id)
            nursery.cancel_scope.cancel()
        return ended

    async def _notify_spools_later(self, job_id: str) -> None:
        await trio.sleep(_NOTIFY_SPOOLS_AFTER_S)
        await self.spools.end(job_id)

    async def _end(self, job_id: str) -> Result[VersionedRecord, Fault]:
        """End a job in the store; ``KV_UNAVAILABLE`` while the job may still be stored later."""
        for _ in range(2):
            ended = await self.store.end(job_id)
            if isinstance(ended, Err):
                return ended
            if ended.ok_value is not None:
                self.replicas.record_entry(
                    self.store.keys.live, ended.ok_value.entry(self.store.keys)
                )
                return ended
            if await self.spools.end(job_id) or self.unsettled.may_store(job_id, now_ms()):
                return self._unavailable("the job may still be stored later")
            # A node that is unknown here may be writing the job.
            if await self.store.mark_ended(job_id):
                return Err(Fault(ResultCode.NOT_FOUND, f"there is no job {job_id!r}"))
        return self._unavailable("it could not be determined whether the job is stored")

    # --- retries ---------------------------------------------------------------------------------

    def _start_retrying(self, job_id: str) -> None:
        if self._nursery is None or job_id not in self.wanted or job_id in self._retrying:
            return
        self._retrying.add(job_id)
        log_event("job_end_pursued", job_id=job_id, pending=len(self._retrying))
        self._nursery.start_soon(
            partial(run_contained, "job", self._retry_until_settled, job_id, job_id=job_id)
        )

    async def _retry_until_settled(self, job_id: str) -> None:
        """Retry until the end is recorded, the job is known not to exist, or its time is over."""
        began_ms = now_ms()
        pause_s = _FIRST_PAUSE_S
        try:
            while job_id in self.wanted:
                await self._pause(job_id, pause_s)
                await self._wait_store(job_id)
                pause_s = min(pause_s * 2, _MAX_PAUSE_S)
                async with self._try_limiter:
                    ended = await self._try(job_id)
                if _is_settled(ended):
                    self.wanted.discard(job_id)
                    await self._notify_and_log(job_id, ended, began_ms, retried=True)
                elif self.wanted.is_expired(job_id, now_ms()):
                    self.wanted.discard(job_id)
                    log_event("job_end_given_up", job_id=job_id, reason=ended.err_value.message)
        finally:
            self._retrying.discard(job_id)

    async def _pause(self, job_id: str, pause_s: float) -> None:
        """Wait for ``pause_s``, or until shortly after an update brings the job's record."""
        await trio.sleep(_FIRST_PAUSE_S)
        table = self.replicas.tables[self.store.keys.live]
        with trio.move_on_after(pause_s - _FIRST_PAUSE_S):
            while self.store.keys.record(job_id) not in table.entries:
                await self.replicas.wait_changed(self.replicas.version)

    async def _wait_store(self, job_id: str) -> None:
        """Wait until the store is reachable, as the node that watches it reports.

        Meanwhile the spools are notified again and again.
        """
        kv_availability = self.replicas.kv_availability
        while kv_availability.is_unavailable(now_ms()) and not self.wanted.is_expired(
            job_id, now_ms()
        ):
            async with self._try_limiter:
                await self.spools.end(job_id)
            with trio.move_on_after(_MAX_PAUSE_S):
                while kv_availability.is_unavailable(now_ms()):  # noqa: ASYNC110
                    await trio.sleep(_STORE_POLL_S)

    async def _try(self, job_id: str) -> Result[VersionedRecord, Fault]:
        with trio.move_on_after(_TRY_TIMEOUT_S):
            return await self._end(job_id)
        return self._unavailable("the store did not answer in time")

    def _max_retry_ms(self) -> float:
        """Return how long an end is retried: the longest time that any job lives."""
        retentions_ms = [route.retention_ms for route in self.configuration.routes.routes]
        return max([_MIN_RETRY_PERIOD_MS, *retentions_ms]) + _RETRY_PERIOD_MARGIN_MS

    # --- outcome ---------------------------------------------------------------------------------

    async def _notify_and_log(
        self,
        job_id: str,
        ended: Result[VersionedRecord, Fault],
        began_ms: float,
        *,
        retried: bool,
    ) -> None:
        notified = isinstance(ended, Ok) and await self._notify_owner(ended.ok_value)
        fields = {"job_id": job_id, "took_ms": round(now_ms() - began_ms, 1), "pursued": retried}
        if isinstance(ended, Err):
            log_event("job_not_ended", **fields, code=ended.err_value.code.name)
            return
        record = ended.ok_value.record
        # The owner that must learn of the end, and the revision that carries it.
        log_event(
            "job_ended",
            **fields,
            owner=record.owner_id,
            owner_told=notified,
            epoch=record.epoch,
            revision=ended.ok_value.revision,
            listed=record.listed,
            total=record.total,
        )

    async def _notify_owner(self, ended: VersionedRecord) -> bool:
        """Notify the owner of an ended job; return whether it knows.

        An outage of the store may begin before any watch has reported the end.
        """
        record = ended.record
        if self.owner_reads.owner.owns(record):
            return True
        address = self.owner_reads.address_of(record.owner_id)
        if address is None or not record.ended:
            return False
        keys = self.store.keys
        return await self.replicas.send_noted(address, keys.live, ended.entry(keys))

    def _unavailable(self, text: str) -> Result[VersionedRecord, Fault]:
        return Err(Fault(ResultCode.KV_UNAVAILABLE, text, self.retry_after_ms))


def _is_settled(ended: Result[VersionedRecord, Fault]) -> bool:
    """Whether the end is recorded or the job is known not to exist."""
    return isinstance(ended, Ok) or ended.err_value.code is ResultCode.NOT_FOUND
