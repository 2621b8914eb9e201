"""Whom a node asks about a customer's call, and what it may serve when nobody answers.

A node that reaches no owner may be the only one that is cut off, while its clients still reach it.
It serves a part of what its share of the fleet makes of the limit: enough for most customers within
their limits, and bounded for one beyond it.

Pure: the caller passes the time.
"""

from collections.abc import Collection

import msgspec

from fescuedock.core.customers import Customer
from fescuedock.core.quotas.bucket import Bucket, BucketTerms
from fescuedock.core.rendezvous import rank_names

__all__ = ["LocalAllowance", "QuotaRoute", "SilentOwners"]

# Owners that are asked for one call: the first and one that stands in for it.
_ASKED = 2
_QUOTA_KEY = "quota/"
# Of a node's share of a limit; the owner goes on granting all of it to the others.
_ALLOWED_SHARE = 0.5


class QuotaRoute:
    """The owners of each customer among the nodes that are there."""

    __slots__ = ("_names", "_ranked")

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()
        self._ranked: dict[str, tuple[str, ...]] = {}

    def owners(self, customer: str, names: Collection[str]) -> tuple[str, ...]:
        """Return whom to ask, in order."""
        if names != self._names:
            self._names, self._ranked = frozenset(names), {}
        if customer not in self._ranked:
            self._ranked[customer] = tuple(rank_names(_QUOTA_KEY + customer, names)[:_ASKED])
        return self._ranked[customer]


class SilentOwners(msgspec.Struct):
    """Owners that did not answer of late, which are passed over for ``silent_ms``."""

    silent_ms: float = 1000.0
    _until_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def note_silent(self, name: str, now_ms: float) -> None:
        self._until_ms[name] = now_ms + self.silent_ms

    def is_silent(self, name: str, now_ms: float) -> bool:
        return now_ms < self._until_ms.get(name, float("-inf"))


class LocalAllowance(msgspec.Struct):
    """What this node serves of each customer while no owner answers."""

    _buckets: dict[str, Bucket] = msgspec.field(default_factory=dict)

    def take(self, customer: Customer, fleet_size: int, now_ms: float) -> bool:
        """Whether a call may run; ``fleet_size`` counts the nodes that share the limit."""
        part = _ALLOWED_SHARE / max(fleet_size, 1)
        size = 1.0 + customer.burst * part
        terms = BucketTerms(customer.rate_per_s * part, size, size)
        bucket = self._buckets.setdefault(customer.name, Bucket(size, now_ms))
        return bucket.take(terms, now_ms)

    def keep(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for name in self._buckets.keys() - set(names):
            del self._buckets[name]
