"""Writes and reads copies on the stores of the fleet.

Segments are found by their hash alone: a read queries the stores that the ``SegmentRef`` names
first, then every other store, so that a copy made by repair is found without changing any record.
"""

from collections.abc import AsyncIterator, Callable, Collection, Iterable, Sequence
from contextlib import asynccontextmanager
from hashlib import sha256

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import now_ms
from fescuedock.core.store_placement import CopyPlan, StoreSite, rank_stores
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.channel_pool import ChannelPool, open_channel_pool
from fescuedock.net.codec import Codec
from fescuedock.schema.batch import SegmentRef
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings
from fescuedock.schema.store import (
    AppendLog,
    DropLog,
    GetSegment,
    HaveSegments,
    HaveSegmentsReply,
    LogReply,
    PutSegment,
    ReadLog,
    SegmentReply,
    StoreReply,
)
from fescuedock.schema.view import Program, VmRecord

__all__ = ["HandleRecords", "StoreClient", "open_store_client"]

# Handles one page of log records.
HandleRecords = Callable[[Sequence[bytes]], None]

_LOG_COPIES = 2
_CALL_TIMEOUT_MS = 3000
# How long a put that has the minimum of copies waits for the remaining ones.
_EXTRA_COPIES_WAIT_MS = 300
# A store that failed is tried last for this long.
_AVOID_MS = 5000
_RETRY_AFTER_MS = 2000
_PAGE_BYTES = 1048576
# Hashing this much takes about half a millisecond.
_HASH_STEP_BYTES = 131072


class StoreClient:
    """Calls the stores in the fleet view.  Created by ``open_store_client``."""

    __slots__ = ("_avoided_until_ms", "_put_lock", "_settings", "_view", "channels")

    def __init__(self, channels: ChannelPool, view: FleetView, settings: BatchSettings) -> None:
        self.channels = channels
        self._view = view
        self._settings = settings
        self._avoided_until_ms: dict[str, float] = {}
        self._put_lock = trio.Lock()

    async def put_segment(
        self, body: bytes, items: int = 0, exclude: Collection[str] = ()
    ) -> Result[SegmentRef, Fault]:
        """Write copies of ``body`` to stores in distinct failure domains.

        ``items`` is the number of lines for the reference; the VMs in ``exclude`` get no copy.
        Return ``Ok`` only when at least ``min_copies`` failure domains have the body on disk, else
        ``STORES_UNAVAILABLE`` or ``DISK_FULL``.
        """
        segment_hash = await _hash_of(body)
        plan = self._plan(segment_hash, self._settings.copies, self._settings.min_copies, exclude)
        await self._write(plan, PutSegment(segment_hash=segment_hash, body=body))
        if not plan.is_sufficient:
            return Err(_too_few_copies(plan, f"segment {segment_hash[:12]}"))
        copies = [site.vm_id for site in plan.held]
        return Ok(
            SegmentRef(segment_hash=segment_hash, items=items, size_bytes=len(body), copies=copies)
        )

    async def get_segment(self, ref: SegmentRef) -> Result[bytes, Fault]:
        """Return the content of ``ref`` from any store that has it, verified by its hash.

        Return ``STORES_UNAVAILABLE`` when no store that answers has an intact copy.
        """
        for vm in self._read_order(ref):
            reply = await self.call(vm, GetSegment(segment_hash=ref.segment_hash))
            if not isinstance(reply, SegmentReply) or reply.code != ResultCode.OK:
                continue
            if await _hash_of(reply.body) == ref.segment_hash:
                return Ok(reply.body)
            log_event("segment_damaged", vm_id=vm.vm_id, segment_hash=ref.segment_hash)
        message = f"no store that answers has segment {ref.segment_hash[:12]}"
        return Err(Fault(ResultCode.STORES_UNAVAILABLE, message, _RETRY_AFTER_MS))

    async def have_segments(
        self, refs: Iterable[SegmentRef], *, renew: bool = False
    ) -> dict[str, list[VmRecord]]:
        """Return the VMs that hold each segment, by its hash; VMs that don't answer are left out.

        With ``renew`` the segments' retention time starts again on those VMs.
        """
        hashes = sorted({ref.segment_hash for ref in refs})
        holders: dict[str, list[VmRecord]] = {segment_hash: [] for segment_hash in hashes}

        async def query(vm: VmRecord) -> None:
            reply = await self.call(vm, HaveSegments(segment_hashes=hashes, renew=renew))
            if isinstance(reply, HaveSegmentsReply):
                for segment_hash in set(hashes).difference(reply.missing):
                    holders[segment_hash].append(vm)

        async with trio.open_nursery() as nursery:
            for vm in self._live_stores() if hashes else ():
                nursery.start_soon(query, vm)
        return holders

    async def append_log(self, job_id: str, records: Sequence[bytes]) -> Result[int, Fault]:
        """Append to the job's log on two stores, in distinct failure domains if possible.

        Return the number of stores that have ``records`` on disk, at least one, or a fault.
        """
        plan = self._plan(job_id, _LOG_COPIES, 1, ())
        await self._write(plan, AppendLog(job_id=job_id, records=list(records)))
        return (
            Ok(len(plan.held)) if plan.held else Err(_too_few_copies(plan, f"the log of {job_id}"))
        )

    async def read_log(self, job_id: str, handle: HandleRecords) -> Result[int, Fault]:
        """Pass the records of all reachable stores to ``handle``, page by page.

        Most records are passed twice, and records of different stores are in no order.  Return the
        number of stores read to the end, or ``STORES_UNAVAILABLE`` when there is none.
        """
        stores_read = 0
        for vm in self._readable_stores():
            stores_read += await self._read_log_from(vm, job_id, handle)
        if not stores_read:
            message = f"no store answers with the log of {job_id}"
            return Err(Fault(ResultCode.STORES_UNAVAILABLE, message, _RETRY_AFTER_MS))
        return Ok(stores_read)

    async def drop_log(self, job_id: str) -> None:
        """Delete the job's log on every reachable store; remaining copies expire by retention."""
        async with trio.open_nursery() as nursery:
            for vm in self._live_stores():
                nursery.start_soon(self.call, vm, DropLog(job_id=job_id))

    async def _read_log_from(self, vm: VmRecord, job_id: str, handle: HandleRecords) -> bool:
        offset_bytes = 0
        while True:
            page = ReadLog(job_id=job_id, offset_bytes=offset_bytes, limit_bytes=_PAGE_BYTES)
            reply = await self.call(vm, page)
            if not isinstance(reply, LogReply) or reply.code != ResultCode.OK:
                return False
            if not reply.records:
                return True
            handle(reply.records)
            offset_bytes = reply.next_offset_bytes

    def _live_stores(self) -> list[VmRecord]:
        return self._view.live_vms(Program.STORE)

    def _readable_stores(self) -> list[VmRecord]:
        """Return every store that may answer; those that accept no new work are last."""
        live = self._live_stores()
        names = {vm.vm_id for vm in live}
        return live + [
            vm for vm in self._view.vms.values() if vm.store_port and vm.vm_id not in names
        ]

    def _avoided(self) -> set[str]:
        now = now_ms()
        return {vm_id for vm_id, until_ms in self._avoided_until_ms.items() if until_ms > now}

    def _plan(self, key: str, copies: int, min_copies: int, exclude: Collection[str]) -> CopyPlan:
        sites = [
            StoreSite(vm.vm_id, vm.failure_domain)
            for vm in self._live_stores()
            if vm.vm_id not in exclude
        ]
        return CopyPlan(rank_stores(key, sites), copies, min_copies, self._avoided())

    def _read_order(self, ref: SegmentRef) -> list[VmRecord]:
        stores = {vm.vm_id: vm for vm in self._readable_stores()}
        sites = [StoreSite(vm.vm_id, vm.failure_domain) for vm in stores.values()]
        live = {vm.vm_id for vm in self._live_stores()}
        avoided = self._avoided().union(stores.keys() - live)
        ranked = rank_stores(ref.segment_hash, sites, avoided)
        ranked.sort(key=lambda site: (site.vm_id in avoided, site.vm_id not in ref.copies))
        return [stores[site.vm_id] for site in ranked]

    async def _write(self, plan: CopyPlan, message: msgspec.Struct) -> None:
        """Send ``message`` to the stores of ``plan`` until it is complete or has no stores left.

        Once the plan is sufficient, wait ``_EXTRA_COPIES_WAIT_MS`` for the remaining copies.
        """
        vms = {vm.vm_id: vm for vm in self._live_stores()}
        async with trio.open_nursery() as nursery:

            async def write_copy(site: StoreSite) -> None:
                try:
                    reply = await self.call(vms[site.vm_id], message)
                except trio.Cancelled:
                    if plan.is_sufficient:
                        self._mark_silent(vms[site.vm_id])
                    raise
                code = reply.code if isinstance(reply, StoreReply) else ResultCode.PEER_UNKNOWN
                if code == ResultCode.OK:
                    plan.record_written(site)
                else:
                    self._avoid(site.vm_id)
                    plan.record_refusal(site, ResultCode(code))
                start_next_writes()

            def start_next_writes() -> None:
                for site in plan.next_sites():
                    nursery.start_soon(write_copy, site)
                if plan.is_sufficient:
                    extra_s = _EXTRA_COPIES_WAIT_MS / 1000
                    deadline = trio.current_time() + extra_s
                    scope = nursery.cancel_scope
                    scope.deadline = min(scope.deadline, deadline)

            start_next_writes()

    async def call(self, vm: VmRecord, message: msgspec.Struct) -> msgspec.Struct | None:
        """Return the store's reply; None when it does not arrive in time."""
        if isinstance(message, PutSegment):
            # Signing and queueing a copy takes milliseconds, so each pass of the event loop
            # handles only one copy.
            async with self._put_lock:
                await trio.lowlevel.checkpoint()
        client = await self.channels.client(_address(vm))
        result = await client.call(message, _CALL_TIMEOUT_MS)
        if isinstance(result, Ok):
            return result.ok_value
        self._mark_silent(vm)
        return None

    def _mark_silent(self, vm: VmRecord) -> None:
        """Try the silent store last for a while, and discard the messages queued for it."""
        self._avoid(vm.vm_id)
        self.channels.discard(_address(vm))

    def _avoid(self, vm_id: str) -> None:
        self._avoided_until_ms[vm_id] = now_ms() + _AVOID_MS


@asynccontextmanager
async def open_store_client(
    codec: Codec, view: FleetView, settings: BatchSettings
) -> AsyncIterator[StoreClient]:
    """Yield a client whose channels are closed when the block is left."""
    async with open_channel_pool(codec) as channels:
        yield StoreClient(channels, view, settings)


async def _hash_of(body: bytes) -> str:
    """Return SHA-256 in hex, yielding to other tasks, such as online requests, between steps."""
    digest = sha256()
    view = memoryview(body)
    for start in range(0, len(body), _HASH_STEP_BYTES):
        digest.update(view[start : start + _HASH_STEP_BYTES])
        await trio.lowlevel.checkpoint()
    return digest.hexdigest()


def _address(vm: VmRecord) -> Address:
    return Address(vm.host, vm.store_port)


def _too_few_copies(plan: CopyPlan, subject: str) -> Fault:
    held = len(plan.held)
    message = f"{subject}: {held} of {plan.min_copies} needed copies written"
    return Fault(plan.failure_code, message, _RETRY_AFTER_MS)
