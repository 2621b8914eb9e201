"""Decides which nodes watch the key-value service, and to which nodes these forward changes.

One node of each group watches for the group: the region if that is small, else the failure domain.
Calls are billed and limited in rate, so their number must not grow with the number of nodes: 66
nodes that each watch make over 200 calls per second.

The choice affects only load, not correctness: a node that receives no change for a limited time
queries the service itself.
"""

from collections.abc import Iterable

from fescuedock.core.rendezvous import choose_name
from fescuedock.schema.view import VmRecord, VmState

__all__ = ["WatchDuty"]

# At 5 changes per second, forwarding to 24 nodes takes about 1% of a core.
_MAX_GROUP_NODES = 24


class WatchDuty:
    """Decides for this node; ``vm_id``, ``region`` and ``failure_domain`` are its own."""

    __slots__ = ("_failure_domain", "_region", "_vm_id")

    def __init__(self, vm_id: str, region: str, failure_domain: str) -> None:
        self._vm_id = vm_id
        self._region = region
        self._failure_domain = failure_domain

    def watches(self, prefix: str, vms: Iterable[VmRecord]) -> bool:
        """Whether this node watches ``prefix`` for its group.

        A node that knows no other node of its group watches for itself.
        """
        names = {vm.vm_id for vm in self._group_members(vms) if vm.state is not VmState.LEAVING}
        chosen = choose_name(prefix, names)
        return chosen is None or chosen == self._vm_id

    def recipients(self, vms: Iterable[VmRecord]) -> list[VmRecord]:
        """Return the nodes to forward changes to, including leaving ones."""
        return [vm for vm in self._group_members(vms) if vm.vm_id != self._vm_id and vm.agent_port]

    def _group_members(self, vms: Iterable[VmRecord]) -> list[VmRecord]:
        region = [vm for vm in vms if vm.region == self._region and vm.state is not VmState.GONE]
        if len(region) <= _MAX_GROUP_NODES:
            return region
        return [vm for vm in region if vm.failure_domain == self._failure_domain]
