"""Slots for loading weights: a few keys in the key-value service, each claimed under a lease.

They bound the concurrent loads of the fleet to the rate of the weight store.  Only speed depends on
them: a claim that lapses early causes nothing but slower loads.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
import trio
from result import Err, Ok

from fescuedock.core.orders.placement import choose_slot
from fescuedock.kv import KvEntry, KvStore
from fescuedock.schema.orders import LoadSlot
from fescuedock.schema.settings import OrderSettings

__all__ = ["LoadSlots"]

_RENEWALS_PER_LEASE = 3
_PAUSE_GROWTH = 1.5


class LoadSlots:
    """Claims slots below ``prefix`` for one agent."""

    def __init__(self, kv: KvStore, prefix: str, settings: OrderSettings) -> None:
        self._kv = kv
        self._prefix = prefix
        self._settings = settings

    @asynccontextmanager
    async def claim(self, slot: LoadSlot, is_urgent: Callable[[], bool]) -> AsyncIterator[None]:
        """Wait for a free slot and hold it while the block runs.

        ``is_urgent`` returns whether online traffic is waiting for the load now.
        """
        pause_ms: float = self._settings.retry_ms
        lease_id = await self._try_claim(slot, is_urgent())
        while lease_id is None:
            await trio.sleep(pause_ms / 1000)
            pause_ms = min(pause_ms * _PAUSE_GROWTH, self._settings.settled_poll_ms)
            lease_id = await self._try_claim(slot, is_urgent())
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._renew_lease, lease_id)
                yield
                nursery.cancel_scope.cancel()
        finally:
            with trio.move_on_after(self._settings.retry_ms / 1000, shield=True):
                # Without an answer the lease expires by itself.
                await self._kv.revoke_lease(lease_id)

    async def _try_claim(self, slot: LoadSlot, urgent: bool) -> int | None:
        """Return the lease of a claimed slot; None when none is free."""
        page = await self._kv.get_range(self._prefix)
        if isinstance(page, Err):
            return None
        index = choose_slot(
            {self._index(entry): _slot(entry) for entry in page.ok_value.entries},
            self._settings.load_slots,
            self._settings.loads_per_model,
            slot.model,
            urgent,
        )
        return None if index is None else await self._put(index, slot)

    async def _put(self, index: int, slot: LoadSlot) -> int | None:
        lease = await self._kv.grant_lease(self._settings.slot_lease_s)
        if isinstance(lease, Err):
            return None
        lease_id = lease.ok_value
        key = f"{self._prefix}{index}"
        match await self._kv.put_if(key, msgspec.msgpack.encode(slot), 0, lease_id=lease_id):
            case Ok(_):
                return lease_id
        # If the write is applied late, revoking its lease removes it.
        await self._kv.revoke_lease(lease_id)
        return None

    async def _renew_lease(self, lease_id: int) -> None:
        while True:
            await trio.sleep(self._settings.slot_lease_s / _RENEWALS_PER_LEASE)
            await self._kv.keep_lease(lease_id)

    def _index(self, entry: KvEntry) -> int:
        return int(entry.key.removeprefix(self._prefix))


def _slot(entry: KvEntry) -> LoadSlot:
    return msgspec.msgpack.decode(entry.value, type=LoadSlot)
