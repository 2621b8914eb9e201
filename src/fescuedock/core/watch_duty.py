"""Which nodes ask the key-value service for changes, and which hear of them from those.

One node of each group asks for all of it: the region while that is small, else the failure domain.
Calls are paid for and limited in number, so they must not grow with the nodes: 66 nodes that ask
for themselves make over 200 calls a second.

Who watches is only a matter of effort: a node that hears nothing for its patience asks by itself.
"""

from collections.abc import Iterable

from fescuedock.core.rendezvous import choose_name
from fescuedock.schema.view import VmRecord, VmState

__all__ = ["WatchDuty"]

# Nodes that one may tell: at 5 news a second to each, 24 take about 1% of a core.
_MAX_GROUP_NODES = 24


class WatchDuty:
    """This node's part; ``vm_id``, ``region`` and ``failure_domain`` are its own."""

    __slots__ = ("_failure_domain", "_region", "_vm_id")

    def __init__(self, vm_id: str, region: str, failure_domain: str) -> None:
        self._vm_id = vm_id
        self._region = region
        self._failure_domain = failure_domain

    def watches(self, prefix: str, vms: Iterable[VmRecord]) -> bool:
        """Whether this node asks for the changes below ``prefix``.

        A node that knows no other in its group asks for itself.
        """
        names = {vm.vm_id for vm in self._group_members(vms) if vm.state is not VmState.LEAVING}
        chosen = choose_name(prefix, names)
        return chosen is None or chosen == self._vm_id

    def recipients(self, vms: Iterable[VmRecord]) -> list[VmRecord]:
        """Return the nodes that are to be told, leaving ones included."""
        return [vm for vm in self._group_members(vms) if vm.vm_id != self._vm_id and vm.agent_port]

    def _group_members(self, vms: Iterable[VmRecord]) -> list[VmRecord]:
        region = [vm for vm in vms if vm.region == self._region and vm.state is not VmState.GONE]
        if len(region) <= _MAX_GROUP_NODES:
            return region
        return [vm for vm in region if vm.failure_domain == self._failure_domain]
