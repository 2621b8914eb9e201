"""Decides which segments lack copies, which store makes these, and at which rate.

Every store checks the segments that it holds itself; there is no other index of them.  When two
stores disagree about which one copies, the segment is written twice, which is harmless.
"""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from fescuedock.core.rendezvous import choose_name
from fescuedock.core.store_placement import StoreSite, rank_stores

__all__ = ["ByteRateLimiter", "Shortage", "StableSites", "find_shortages", "is_responsible"]


class Shortage(msgspec.Struct, frozen=True):
    """A segment with too few copies: ``missing`` more are needed, at ``targets`` in this order."""

    segment_hash: str
    missing: int
    targets: list[StoreSite]


def find_shortages(
    own_vm_id: str,
    holders: Mapping[str, Collection[str]],
    sites: Collection[StoreSite],
    copies: int,
) -> list[Shortage]:
    """Return the segments that ``own_vm_id`` has to copy.

    ``holders`` gives the VMs that are known to hold each segment, ``own_vm_id`` among them.
    ``sites`` are the stores that can take copies.
    """
    shortages = []
    for segment_hash, names in holders.items():
        shortage = _shortage(segment_hash, names, sites, copies)
        if shortage is not None and is_responsible(own_vm_id, segment_hash, names):
            shortages.append(shortage)
    return shortages


def is_responsible(own_vm_id: str, key: str, names: Iterable[str]) -> bool:
    """Whether rendezvous hashing chooses ``own_vm_id`` of ``names`` for ``key``."""
    return choose_name(key, names) == own_vm_id


def _shortage(
    segment_hash: str, names: Collection[str], sites: Collection[StoreSite], copies: int
) -> Shortage | None:
    domains = {site.failure_domain for site in sites}
    held_domains = {site.failure_domain for site in sites if site.vm_id in names}
    wanted_domains = min(copies, len(domains))
    wanted_copies = min(copies, len(sites))
    missing = max(wanted_copies - len(names), wanted_domains - len(held_domains))
    if missing <= 0:
        return None
    ranked = rank_stores(segment_hash, [site for site in sites if site.vm_id not in names])
    ranked.sort(key=lambda site: site.failure_domain in held_domains)
    return Shortage(segment_hash, missing, ranked)


class ByteRateLimiter(msgspec.Struct):
    """Delays transfers so that their average rate is at most ``bytes_per_s``."""

    bytes_per_s: int
    _free_at_ms: float = 0.0

    def delay_ms(self, size_bytes: int, now_ms: float) -> float:
        """Reserve ``size_bytes`` and return how long to wait before transferring them."""
        start_ms = max(now_ms, self._free_at_ms)
        self._free_at_ms = start_ms + 1000.0 * size_bytes / self.bytes_per_s
        return start_ms - now_ms


class StableSites(msgspec.Struct):
    """Delays repair until a change of the set of stores has lasted for ``after_ms``.

    A VM that only restarts returns within that time together with its segments.
    """

    after_ms: float
    _accepted: frozenset[StoreSite] = frozenset()
    _seen: frozenset[StoreSite] = msgspec.field(default_factory=frozenset)
    _since_ms: float = 0.0

    def observe(self, sites: Iterable[StoreSite], now_ms: float) -> float | None:
        """Record the current stores.

        Return the ms until their change has lasted long enough, 0 once it has, None without one.
        """
        now = frozenset(sites)
        if now != self._seen:
            self._seen, self._since_ms = now, now_ms
        if now == self._accepted:
            return None
        return max(0.0, self._since_ms + self.after_ms - now_ms)

    def accept_change(self) -> None:
        """Accept the stores as last observed: segments are now copied for them."""
        self._accepted = self._seen
