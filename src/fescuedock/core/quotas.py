"""One limit of a customer over all nodes, without a write to a store for each call.

Each call of a customer with a limit is granted by one node, which rendezvous hashing names for the
customer.  State is soft: a new owner starts with a part of the slack alone.  What any span holds is
then at most one burst, the rate over it, and the start of each owner that came in between, which
the slack covers.

It answers a load in which one customer sends many times its usual while nodes restart: the excess
is refused before it takes a slot, and what is within the limit is served by whichever owner there
is.  A node that reaches no owner may be the only one that is cut off, while its clients still reach
it.  It serves a part of what its share of the fleet makes of the limit: enough for most customers
within their limits, and bounded for one beyond it.

Pure: the caller passes the time, by a clock that counts suspensions.
"""

from collections.abc import Collection

import msgspec

from fescuedock.core.customers import Customer
from fescuedock.core.rendezvous import rank_names
from fescuedock.core.token_bucket import Bucket, BucketTerms

__all__ = ["LocalAllowance", "QuotaOwner", "QuotaPolicy", "QuotaRoute", "quota_key"]

# Owners that are asked for one call: the first and one that stands in for it.
_ASKED = 2
_QUOTA_KEY = "quota/"
# Of a node's share of a limit; the owner goes on granting all of it to the others.
# With 16 of 54 nodes cut off the fullest window held up to 394 calls with half of it and 375 with
# a fifth, where 389 may run.
_ALLOWED_SHARE = 0.2


def quota_key(customer: str) -> str:
    """Return the key by which nodes rank for a customer."""
    return _QUOTA_KEY + customer


class QuotaPolicy(msgspec.Struct, frozen=True):
    """``slack_calls`` may run beyond a limit in one window.

    A part each is for a start and on top of a burst, the rest for nodes that are out of contact.

    An owner that sees less than ``least_share`` of the fleet grants nothing: most are served
    elsewhere, or it has just started and knows nobody yet.
    """

    slack_calls: float = 20.0
    start_share: float = 0.25
    burst_share: float = 0.25
    least_share: float = 0.5
    longest_wait_ms: float = 2000.0

    def terms(self, customer: Customer) -> BucketTerms:
        """Return what an owner grants of a customer's limit."""
        size = max(customer.burst + self.burst_share * self.slack_calls, 1.0)
        start = min(max(self.start_share * self.slack_calls, 1.0), size)
        return BucketTerms(customer.rate_per_s, size, start)


class QuotaOwner(msgspec.Struct):
    """Buckets by customer.

    A node that has stood in for a silent owner goes on with the same bucket when it becomes the
    owner: with one for each, a change of owners let two starts into the window.
    """

    policy: QuotaPolicy = msgspec.field(default_factory=QuotaPolicy)
    _buckets: dict[str, Bucket] = msgspec.field(default_factory=dict)

    def ask(self, customer: Customer, now_ms: float) -> float | None:
        """Grant one call: None, or the time after which to come back."""
        terms = self.policy.terms(customer)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = self._buckets[customer.name] = Bucket(terms.start, now_ms)
        if bucket.take(terms, now_ms):
            return None
        return bucket.wait_ms(terms, now_ms, self.policy.longest_wait_ms)

    def may_grant(self, present_share: float) -> bool:
        """Whether a node that sees ``present_share`` of the fleet may speak for all of it."""
        return present_share >= self.policy.least_share

    def keep(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for name in self._buckets.keys() - set(names):
            del self._buckets[name]


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
            self._ranked[customer] = tuple(rank_names(quota_key(customer), names)[:_ASKED])
        return self._ranked[customer]


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
