"""Sends updates of the key-value service to the other nodes of this node's group."""

import msgspec

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.core.watch_duty import WatchDuty
from fescuedock.net.channel_pool import ChannelPool

__all__ = ["GroupBroadcaster"]


class GroupBroadcaster:
    """Implements ``UpdateBroadcaster``; the fleet view decides which node of the group watches."""

    def __init__(self, view: FleetView, duty: WatchDuty, pool: ChannelPool) -> None:
        self._view = view
        self._duty = duty
        self._pool = pool

    @property
    def vm_id(self) -> str:
        return self._view.vm_id

    def address_of(self, vm_id: str) -> Address | None:
        vm = self._view.vms.get(vm_id)
        return None if vm is None or not vm.agent_port else Address(vm.host, vm.agent_port)

    def watches(self, prefix: str) -> bool:
        return self._duty.watches(prefix, self._view.vms.values())

    async def broadcast(self, message: msgspec.Struct) -> None:
        for vm in self._duty.recipients(self._view.vms.values()):
            client = await self._pool.client(Address(vm.host, vm.agent_port))
            client.push(message)
