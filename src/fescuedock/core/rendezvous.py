"""Rendezvous hashing: all VMs with the same set of names choose the same one for a key.

When a name is added or removed, only the keys assigned to it move.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from fescuedock.schema.view import UpstreamRecord, VmRecord

__all__ = ["OwnerIndex", "choose_name", "rank_names"]

_SCORE_BYTES = 8
# Every change of the VMs reassigns the owners of all upstreams, ten times per second while the
# entire fleet restarts; 50 upstreams and 33 VMs in a failure domain take 1,650 scores.  The full
# cache takes 3 MB at about 200 bytes per score.
_MAX_CACHED_SCORES = 16384


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` from the first choice for ``key`` to the last."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def choose_name(key: str, names: Iterable[str]) -> str | None:
    """Return the first choice for ``key``, or None when there are no ``names``."""
    return max(names, key=lambda name: _score(key, name), default=None)


class OwnerIndex:
    """Assigns each upstream an owner: a VM of its failure domain, else of its region, else any.

    ``vms`` are the VMs that can be owners.  Results are cached, since there are many upstreams.
    """

    __slots__ = ("_all", "_by_domain", "_by_region", "_locations", "_owners")

    def __init__(self, vms: Iterable[VmRecord] = ()) -> None:
        self._locations = _locations(vms)
        self._all = sorted(self._locations)
        self._by_domain: dict[str, list[str]] = {}
        self._by_region: dict[str, list[str]] = {}
        for vm_id in self._all:
            region, failure_domain = self._locations[vm_id]
            self._by_domain.setdefault(failure_domain, []).append(vm_id)
            self._by_region.setdefault(region, []).append(vm_id)
        self._owners: dict[tuple[str, str, str], str | None] = {}

    def matches(self, vms: Iterable[VmRecord]) -> bool:
        """Whether an index of ``vms`` would assign the same owners as this one."""
        return _locations(vms) == self._locations

    def owner_id(self, upstream: UpstreamRecord) -> str | None:
        """Return the VM id of the owner, or None when there are no VMs."""
        key = (upstream.upstream_id, upstream.failure_domain, upstream.region)
        if key not in self._owners:
            candidates = self._by_domain.get(upstream.failure_domain)
            candidates = candidates or self._by_region.get(upstream.region) or self._all
            self._owners[key] = choose_name(upstream.upstream_id, candidates)
        return self._owners[key]


def _locations(vms: Iterable[VmRecord]) -> dict[str, tuple[str, str]]:
    return {vm.vm_id: (vm.region, vm.failure_domain) for vm in vms}


@lru_cache(_MAX_CACHED_SCORES)
def _score(key: str, name: str) -> bytes:
    # The separator keeps ("ab", "c") apart from ("a", "bc").
    return blake2b(f"{key}\0{name}".encode(), digest_size=_SCORE_BYTES).digest() + name.encode()
