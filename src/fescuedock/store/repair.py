"""Maintains the number of copies of this store's segments, at a bounded rate.

A sweep queries the other stores which of this store's segments they hold and makes the missing
copies.  A sweep runs after a lasting change of the set of stores, and a full sweep, which also
verifies the content of every segment, at the configured interval.  A damaged segment is fetched
from another store at once.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import asdict, dataclass, field
from hashlib import sha256
from itertools import islice

import trio
from result import Err

from fescuedock.agent.link import FleetView
from fescuedock.clock import UnixClock, now_ms
from fescuedock.core.repair import (
    ByteRateLimiter,
    Shortage,
    StableSites,
    find_shortages,
    is_responsible,
)
from fescuedock.core.store_placement import StoreSite
from fescuedock.log import log_event
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings, StoreSettings
from fescuedock.schema.store import (
    AskSweep,
    GetSegment,
    HaveSegments,
    HaveSegmentsReply,
    PutSegment,
    SegmentReply,
    StoreReply,
)
from fescuedock.schema.view import Program, VmRecord
from fescuedock.store.client import StoreClient
from fescuedock.store.logs import LogFolder
from fescuedock.store.retention import RecordRetention
from fescuedock.store.segments import SegmentFolder

__all__ = ["Repair", "RepairCounts"]

_MAX_SEGMENTS_PER_QUERY = 500
_POLL_S = 1.0
# The first full sweep is early, so that a store that is replaced often makes one as well.
_MAX_FIRST_FULL_SWEEP_S = 600
# The store that rendezvous hashing chooses for this key deletes old records.
_RETENTION_KEY = "retention"


@dataclass(slots=True)
class RepairCounts:
    """Sweeps, repaired segments and expired files or records of a store since it started."""

    sweeps: int = 0
    copied: int = 0
    copied_bytes: int = 0
    fetched: int = 0
    expired: int = 0


@dataclass(slots=True)
class Repair:
    """The repair and retention of one store; effective only while ``run`` is running."""

    segments: SegmentFolder
    logs: LogFolder
    records: RecordRetention
    client: StoreClient
    view: FleetView
    settings: StoreSettings
    batch: BatchSettings
    unix_clock: UnixClock
    counts: RepairCounts = field(default_factory=RepairCounts)
    _damaged: set[str] = field(default_factory=set)
    _wake: trio.Event = field(default_factory=trio.Event)
    _sweep_requested: bool = False
    _others_notified: bool = False
    _rate_limiter: ByteRateLimiter = field(init=False)
    _sites: StableSites = field(init=False)

    def __post_init__(self) -> None:
        self._rate_limiter = ByteRateLimiter(self.settings.repair_bytes_per_s)
        self._sites = StableSites(self.settings.repair_after_ms)

    def on_damage(self, segment_hash: str) -> None:
        """Schedule the fetch of a segment that was found damaged and removed from this store."""
        log_event("segment_damaged", segment_hash=segment_hash)
        self._damaged.add(segment_hash)
        self._wake.set()

    def on_sweep_requested(self) -> None:
        """Sweep soon, since another store has started, perhaps with an empty disk."""
        self._sweep_requested = True

    async def run(self) -> None:
        """Repair until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._fetch_forever)
            nursery.start_soon(self._sweep_forever)

    async def _sweep_forever(self) -> None:
        first_s = min(_MAX_FIRST_FULL_SWEEP_S, self.settings.sweep_interval_s)
        next_full_s = trio.current_time() + first_s
        while True:
            await self._wait_due(next_full_s)
            full = trio.current_time() >= next_full_s
            if full:
                next_full_s = trio.current_time() + self.settings.sweep_interval_s
                await self.expire()
            self._sites.accept_change()
            self._sweep_requested = False
            await self._request_sweeps()
            await self.sweep(check_content=full)

    async def _wait_due(self, next_full_s: float) -> None:
        """Wait for the next full sweep or for a change of the stores that has lasted."""
        while trio.current_time() < next_full_s:
            remaining_ms = self._sites.observe(self._other_sites(), now_ms())
            if remaining_ms == 0 or self._sweep_requested:
                return
            wait_s = _POLL_S if remaining_ms is None else min(_POLL_S, remaining_ms / 1000)
            await trio.sleep(min(wait_s, max(0.0, next_full_s - trio.current_time())))

    async def _request_sweeps(self) -> None:
        """Request a sweep from every other store, once after the start.

        The membership does not show the others that a store returned without its segments.
        """
        if self._others_notified:
            return
        self._others_notified = True
        for vm in self._other_stores():
            await self.client.call(vm, AskSweep(vm_id=self.view.vm_id))

    async def sweep(self, *, check_content: bool = False) -> None:
        """Compare the segments here with those of the other stores once; make missing copies."""
        names = [file.name for file in self.segments.files()]
        for chunk in _chunks(names, _MAX_SEGMENTS_PER_QUERY):
            if check_content:
                await self._check_content(chunk)
            await self._sweep_chunk([name for name in chunk if self.segments.status(name)])
        self.counts.sweeps += 1
        log_event("sweep_done", segments=len(names), **asdict(self.counts))

    async def _check_content(self, names: Iterable[str]) -> None:
        for name in names:
            file = self.segments.status(name)
            if file is not None:
                await self._limit_rate(file.size_bytes)
                # Reading a damaged segment calls ``on_damage``.
                self.segments.get(name)

    async def _sweep_chunk(self, names: Sequence[str]) -> None:
        own_vm_id = self.view.vm_id
        holders: dict[str, set[str]] = {name: {own_vm_id} for name in names}
        answered: set[str] = {own_vm_id}

        async def query(vm: VmRecord) -> None:
            reply = await self.client.call(vm, HaveSegments(segment_hashes=list(names)))
            if isinstance(reply, HaveSegmentsReply):
                answered.add(vm.vm_id)
                for name in set(names).difference(reply.missing):
                    holders[name].add(vm.vm_id)

        async with trio.open_nursery() as nursery:
            for vm in self._other_stores():
                nursery.start_soon(query, vm)
        sites = [site for site in self._all_sites() if site.vm_id in answered]
        for shortage in find_shortages(own_vm_id, holders, sites, self.batch.copies):
            await self._copy(shortage)

    async def _copy(self, shortage: Shortage) -> None:
        file = self.segments.status(shortage.segment_hash)
        body = self.segments.get(shortage.segment_hash)
        if file is None or isinstance(body, Err):
            return
        message = PutSegment(
            segment_hash=shortage.segment_hash,
            body=body.ok_value,
            kept_since_s=file.modified_s,
        )
        vms = {vm.vm_id: vm for vm in self._other_stores()}
        copied = 0
        for site in shortage.targets:
            if copied == shortage.missing or site.vm_id not in vms:
                continue
            await self._limit_rate(file.size_bytes)
            reply = await self.client.call(vms[site.vm_id], message)
            if isinstance(reply, StoreReply) and reply.code == ResultCode.OK:
                copied += 1
                self.counts.copied += 1
                self.counts.copied_bytes += file.size_bytes
        if copied < shortage.missing:
            log_event("copies_missing", segment_hash=file.name, missing=shortage.missing - copied)

    async def _fetch_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._damaged:
                await self._fetch(self._damaged.pop())

    async def _fetch(self, segment_hash: str) -> None:
        for vm in self._other_stores():
            reply = await self.client.call(vm, GetSegment(segment_hash=segment_hash))
            if not isinstance(reply, SegmentReply) or reply.code != ResultCode.OK:
                continue
            if sha256(reply.body).hexdigest() != segment_hash:
                continue
            message = PutSegment(
                segment_hash=segment_hash, body=reply.body, kept_since_s=reply.kept_since_s
            )
            self.segments.put(message, self.unix_clock)
            self.counts.fetched += 1
            return
        log_event("segment_not_fetched", segment_hash=segment_hash)

    async def expire(self) -> None:
        """Delete expired segments and logs, and expired records if this store is responsible."""
        before_s = self.unix_clock() - self.settings.segment_retention_s
        self.counts.expired += self.segments.drop_older(before_s)
        self.counts.expired += self.logs.drop_older(before_s)
        names = {self.view.vm_id, *(vm.vm_id for vm in self._other_stores())}
        if is_responsible(self.view.vm_id, _RETENTION_KEY, names):
            self.counts.expired += await self.records.expire(self.unix_clock())

    async def _limit_rate(self, size_bytes: int) -> None:
        await trio.sleep(self._rate_limiter.delay_ms(size_bytes, now_ms()) / 1000)

    def _other_stores(self) -> list[VmRecord]:
        stores = self.view.live_vms(Program.STORE)
        return [vm for vm in stores if vm.vm_id != self.view.vm_id]

    def _other_sites(self) -> list[StoreSite]:
        return [_site(vm) for vm in self._other_stores()]

    def _all_sites(self) -> list[StoreSite]:
        own_record = self.view.vms.get(self.view.vm_id)
        return [*self._other_sites(), *([_site(own_record)] if own_record else [])]


def _site(vm: VmRecord) -> StoreSite:
    return StoreSite(vm.vm_id, vm.failure_domain)


def _chunks(names: Sequence[str], size: int) -> Iterator[list[str]]:
    iterator = iter(names)
    while chunk := list(islice(iterator, size)):
        yield chunk
