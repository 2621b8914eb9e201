"""Channels to other processes of the fleet, opened at first use and kept open."""

import trio

from fescuedock.address import Address
from fescuedock.net.channel import ChannelClient, PushHandler
from fescuedock.net.codec import Codec

__all__ = ["PeerChannels"]


class PeerChannels:
    """One channel per address; channels stay open as long as ``nursery`` runs."""

    def __init__(
        self, codec: Codec, nursery: trio.Nursery, on_push: PushHandler | None = None
    ) -> None:
        self._codec = codec
        self._nursery = nursery
        self._on_push = on_push
        self._channels: dict[Address, ChannelClient] = {}

    async def get(self, address: Address) -> ChannelClient:
        """Return the channel to ``address``; it connects in the background."""
        channel = self._channels.get(address)
        if channel is None:
            # Opening a channel does not block.  Without the shield, a cancelled caller would end
            # the channel's task as it starts, though the channel serves all callers.
            with trio.CancelScope(shield=True):
                channel = await self._nursery.start(self._keep_open, address)
        return channel

    async def _keep_open(
        self, address: Address, *, task_status: trio.TaskStatus[ChannelClient]
    ) -> None:
        async with ChannelClient.open(address, self._codec, self._on_push) as channel:
            # Two callers may open a channel concurrently; both work, the last one is stored.
            self._channels[address] = channel
            task_status.started(channel)
            try:
                await trio.sleep_forever()
            finally:
                if self._channels.get(address) is channel:
                    del self._channels[address]
