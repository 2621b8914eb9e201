"""A pool with one channel client for each address, opened at first use."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from fescuedock.address import Address
from fescuedock.net.channel import ChannelClient
from fescuedock.net.codec import Codec

__all__ = ["ChannelPool", "open_channel_pool"]


class ChannelPool:
    """Open clients by address.  Create it with ``open_channel_pool``."""

    __slots__ = ("_codec", "_lock", "_nursery", "_open")

    def __init__(self, codec: Codec, nursery: trio.Nursery) -> None:
        self._codec = codec
        self._nursery = nursery
        self._lock = trio.Lock()
        self._open: dict[Address, tuple[ChannelClient, trio.CancelScope]] = {}

    async def client(self, address: Address) -> ChannelClient:
        """Return the client of ``address``; use it before the next checkpoint."""
        if address not in self._open:
            async with self._lock:
                if address not in self._open:
                    self._open[address] = await self._nursery.start(self._run_client, address)
        return self._open[address][0]

    def discard(self, address: Address) -> None:
        """Close the client of ``address`` and drop the messages queued in its socket.

        Large messages to a peer that does not receive them would otherwise fill the memory.
        """
        if address in self._open:
            _, scope = self._open.pop(address)
            scope.cancel()

    async def _run_client(
        self,
        address: Address,
        *,
        task_status: trio.TaskStatus[tuple[ChannelClient, trio.CancelScope]],
    ) -> None:
        with trio.CancelScope() as scope:
            async with ChannelClient.open(address, self._codec) as client:
                task_status.started((client, scope))
                await trio.sleep_forever()


@asynccontextmanager
async def open_channel_pool(codec: Codec) -> AsyncIterator[ChannelPool]:
    """Yield a pool whose clients are closed when the block exits."""
    async with trio.open_nursery() as nursery:
        yield ChannelPool(codec, nursery)
        nursery.cancel_scope.cancel()
