"""Grants the calls of the customers that this node keeps the limit of.

Each call of a customer with a limit is granted by one node, which rendezvous hashing names for the
customer, so that the limit holds over the fleet.  State is soft: a new owner starts with a part of
the slack alone.  What any span holds is then at most one burst, the rate over it, and the start of
each owner that came in between, which the slack covers.

It answers a load in which one customer sends many times its usual while nodes restart: the excess
is refused before it takes a slot, and what is within the limit is served by whichever owner there
is.

Pure: the caller passes the time, by a clock that counts suspensions.
"""

from collections.abc import Collection

import msgspec

from fescuedock.core.customers import Customer
from fescuedock.core.quotas.bucket import Bucket, BucketTerms

__all__ = ["QuotaOwner", "QuotaPolicy"]


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
    """Buckets by customer, and by whether this node stands in for a silent owner."""

    policy: QuotaPolicy = msgspec.field(default_factory=QuotaPolicy)
    _buckets: dict[tuple[str, bool], Bucket] = msgspec.field(default_factory=dict)

    def ask(self, customer: Customer, now_ms: float, *, stands_in: bool = False) -> float | None:
        """Grant one call: None, or the time after which to come back.

        ``stands_in`` has a bucket of its own: whoever owns the customer may grant as well.
        """
        terms = self.policy.terms(customer)
        bucket = self._buckets.get((customer.name, stands_in))
        if bucket is None:
            bucket = Bucket(terms.start, now_ms)
            self._buckets[customer.name, stands_in] = bucket
        if bucket.take(terms, now_ms):
            return None
        return bucket.wait_ms(terms, now_ms, self.policy.longest_wait_ms)

    def may_grant(self, present_share: float) -> bool:
        """Whether a node that sees ``present_share`` of the fleet may speak for all of it."""
        return present_share >= self.policy.least_share

    def keep(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for key in [key for key in self._buckets if key[0] not in names]:
            del self._buckets[key]
