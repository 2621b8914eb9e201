"""Decides which stores get the copies of a segment or log, and when there are enough copies."""

from collections.abc import Collection, Iterable

import msgspec

from fescuedock.core.rendezvous import rank_names
from fescuedock.schema.result_codes import ResultCode

__all__ = ["CopyPlan", "StoreSite", "rank_stores"]


class StoreSite(msgspec.Struct, frozen=True, order=True):
    """A store as placement sees it."""

    vm_id: str
    failure_domain: str


def rank_stores(
    key: str, sites: Iterable[StoreSite], avoided: Collection[str] = ()
) -> list[StoreSite]:
    """Return ``sites`` in the order in which to try them for ``key``.

    The first round has the best site of each failure domain, the second round the second best of
    each, and so on; rendezvous hashing orders sites within a round and within a domain.  The VMs in
    ``avoided`` come last.
    """
    by_id = {site.vm_id: site for site in sites}
    ranked = [by_id[name] for name in rank_names(key, by_id)]
    preferred = [site for site in ranked if site.vm_id not in avoided]
    avoided_sites = [site for site in ranked if site.vm_id in avoided]
    return _domains_first(preferred) + _domains_first(avoided_sites)


def _domains_first(ranked: list[StoreSite]) -> list[StoreSite]:
    seen: dict[str, int] = {}
    rounds: list[tuple[int, StoreSite]] = []
    for site in ranked:
        round_number = seen.get(site.failure_domain, 0)
        seen[site.failure_domain] = round_number + 1
        rounds.append((round_number, site))
    # The sort is stable, so that the rank decides within a round.
    return [site for _, site in sorted(rounds, key=lambda item: item[0])]


class CopyPlan(msgspec.Struct):
    """Plans the writes of one object's copies: the next stores, and whether copies suffice.

    ``candidates`` are ordered by rank.  ``copies`` is the target; ``min_copies`` in distinct
    failure domains are required.  The VMs in ``avoided`` are used only when the others do not
    suffice.
    """

    candidates: list[StoreSite]
    copies: int
    min_copies: int
    avoided: Collection[str] = ()
    held: list[StoreSite] = msgspec.field(default_factory=list)
    refusals: dict[str, ResultCode] = msgspec.field(default_factory=dict)
    _requested: set[str] = msgspec.field(default_factory=set)
    _pending: set[StoreSite] = msgspec.field(default_factory=set)

    def next_sites(self) -> list[StoreSite]:
        """Return the stores to send the object to now; each is returned only once."""
        chosen = self._choose(self.copies - len(self.held) - len(self._pending))
        self._requested.update(site.vm_id for site in chosen)
        self._pending.update(chosen)
        return chosen

    def _choose(self, missing: int) -> list[StoreSite]:
        left = [site for site in self.candidates if site.vm_id not in self._requested]
        domains = {site.failure_domain for site in [*self.held, *self._pending]}
        chosen: list[StoreSite] = []
        while left and (len(chosen) < missing or len(domains) < self.min_copies):
            site = min(left, key=lambda site: self._preference(site, domains))
            left.remove(site)
            chosen.append(site)
            domains.add(site.failure_domain)
        return chosen

    def _preference(self, site: StoreSite, domains: Collection[str]) -> tuple[bool, bool]:
        """Return a sort key, best store first; ``domains`` already have or get a copy.

        Until there are enough domains a new domain matters most, then whether to avoid the store.
        """
        old = site.failure_domain in domains
        avoided = site.vm_id in self.avoided
        return (old, avoided) if len(domains) < self.min_copies else (avoided, old)

    def record_written(self, site: StoreSite) -> None:
        """Record that ``site`` has the object on disk."""
        self._pending.discard(site)
        self.held.append(site)

    def record_refusal(self, site: StoreSite, code: ResultCode) -> None:
        """Record that ``site`` did not write the object, or did not confirm it in time."""
        self._pending.discard(site)
        self.refusals[site.vm_id] = code

    @property
    def is_sufficient(self) -> bool:
        """Whether the object may be acknowledged."""
        return len({site.failure_domain for site in self.held}) >= self.min_copies

    @property
    def failure_code(self) -> ResultCode:
        """The reason for too few copies: ``DISK_FULL`` if any store reported that."""
        if ResultCode.DISK_FULL in self.refusals.values():
            return ResultCode.DISK_FULL
        return ResultCode.STORES_UNAVAILABLE
