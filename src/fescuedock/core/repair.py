"""Decides which copies are missing, which store makes them, and how fast.

Every store looks after the segments that it holds itself; nothing else names them.  When two
stores disagree about who should copy, the segment is written twice, which changes nothing.
"""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from fescuedock.core.rendezvous import choose_name
from fescuedock.core.store_placement import StoreSite, rank_stores

__all__ = ["ByteRateLimiter", "Shortage", "StableSites", "find_shortages", "is_responsible"]


class Shortage(msgspec.Struct, frozen=True):
    """A segment with too few copies: ``missing`` more are wanted, of ``targets`` in this order."""

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
    """Return whether, of ``names``, the choice for ``key`` is ``own_vm_id``."""
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
    """Spreads bytes over time so that on average no more than ``bytes_per_s`` pass."""

    bytes_per_s: int
    _free_at_ms: float = 0.0

    def delay_ms(self, size_bytes: int, now_ms: float) -> float:
        """Return how long to wait before the next ``size_bytes``, which count from here on."""
        start_ms = max(now_ms, self._free_at_ms)
        self._free_at_ms = start_ms + 1000.0 * size_bytes / self.bytes_per_s
        return start_ms - now_ms


class StableSites(msgspec.Struct):
    """Says when a change of the stores has lasted long enough to copy segments for it.

    A VM that restarts is back before that, and its segments with it.
    """

    after_ms: float
    _accepted: frozenset[StoreSite] = frozenset()
    _seen: frozenset[StoreSite] = msgspec.field(default_factory=frozenset)
    _since_ms: float = 0.0

    def observe(self, sites: Iterable[StoreSite], now_ms: float) -> float | None:
        """Take the stores as they are now.

        Returns the time left in ms until a change has lasted, 0 once it has; None without one.
        """
        now = frozenset(sites)
        if now != self._seen:
            self._seen, self._since_ms = now, now_ms
        if now == self._accepted:
            return None
        return max(0.0, self._since_ms + self.after_ms - now_ms)

    def accept_change(self) -> None:
        """Note that segments are being copied for the stores as last seen."""
        self._accepted = self._seen
