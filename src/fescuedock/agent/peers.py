"""Channels to other processes of ours, opened when first needed and kept."""

import trio

from fescuedock.address import Address
from fescuedock.net.channel import ChannelClient, PushHandler
from fescuedock.net.codec import Codec

__all__ = ["PeerChannels"]


class PeerChannels:
    """One channel for each address; they live as long as ``nursery``."""

    def __init__(
        self, codec: Codec, nursery: trio.Nursery, on_push: PushHandler | None = None
    ) -> None:
        self._codec = codec
        self._nursery = nursery
        self._on_push = on_push
        self._open: dict[Address, ChannelClient] = {}

    async def get(self, address: Address) -> ChannelClient:
        """Return the channel to ``address``; connecting goes on in the background."""
        channel = self._open.get(address)
        if channel is None:
            # Opening waits for nothing.  A task that is started by a cancelled one ends with it,
            # and the channel is for all callers.
            with trio.CancelScope(shield=True):
                channel = await self._nursery.start(self._hold, address)
        return channel

    async def _hold(self, address: Address, *, task_status: trio.TaskStatus[ChannelClient]) -> None:
        async with ChannelClient.open(address, self._codec, self._on_push) as channel:
            # Two callers may have got here at once; both channels work, the last one is kept.
            self._open[address] = channel
            task_status.started(channel)
            try:
                await trio.sleep_forever()
            finally:
                if self._open.get(address) is channel:
                    del self._open[address]
