"""Rendezvous hashing: every VM that knows the same names picks the same one for a key.

When a name comes or goes, only the keys that it wins or won change hands.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from fescuedock.schema.view import UpstreamRecord, VmRecord

__all__ = ["OwnerIndex", "choose_name", "rank_names"]

_SCORE_BYTES = 8
# The owners of all upstreams are chosen anew whenever a VM comes or goes, which in a restart of the
# whole fleet is ten times a second: 50 upstreams before 33 VMs of a failure domain are 1,650
# scores.
# At about 200 bytes each these take 3 MB.
_MAX_CACHED_SCORES = 16384


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` from the first choice for ``key`` to the last."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def choose_name(key: str, names: Iterable[str]) -> str | None:
    """Return the first choice for ``key``, or None when there are no ``names``."""
    return max(names, key=lambda name: _score(key, name), default=None)


class OwnerIndex:
    """Which VM owns each upstream: one of its failure domain, else of its region, else any.

    ``vms`` are those that can own at all.  Answers are kept, since there are many upstreams.
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
        """Whether an index of ``vms`` would give the same answers as this one."""
        return _locations(vms) == self._locations

    def owner_id(self, upstream: UpstreamRecord) -> str | None:
        """Return the owner's identity, or None when there are no VMs."""
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
