"""One limit of a customer over all nodes, divided into shares that add up to it.

Each share is a token bucket at one node, its owner.  Rendezvous hashing chooses the owner among all
registered nodes, whether or not they are reachable or considered alive.  No other node grants in
place of an owner: an owner that is cut off continues to grant, and no other node can know how much.
The calls in any window are therefore at most the sum of the shares, regardless of which nodes reach
each other and how often that changes, and a lost owner takes only its own share with it.

A call acquires a token of any share that its node can reach.

All state is soft.  An owner that restarts has an empty bucket, except for a few calls if its
previous start is long enough ago; a node that takes over a share starts with an empty bucket.  The
allowance beyond a limit's rate and burst covers these calls, calls that are sent a moment after
their grant, and the time in which a share has two owners because the former one does not know yet
that a node was added.

Pure: the caller passes the time, by a clock that includes suspensions.
"""

from collections.abc import Collection, Sequence
from random import Random

import msgspec

from fescuedock.core.customers import Customer
from fescuedock.core.rendezvous import choose_name, rank_names
from fescuedock.core.token_bucket import Bucket, BucketTerms, SendBucket

__all__ = [
    "OwnedShare",
    "QuotaOwner",
    "QuotaPolicy",
    "Roster",
    "ShareDirectory",
    "query_order",
    "quota_key",
]

_QUOTA_KEY = "quota/"


def quota_key(customer: str) -> str:
    """Return the rendezvous key of a customer."""
    return _QUOTA_KEY + customer


class QuotaPolicy(msgspec.Struct, frozen=True):
    """How far a limit may be exceeded, and how it is divided.

    In each ``window_ms``, ``slack_calls`` and the fraction ``over_share`` of a limit may run beyond
    it.  After a start of its owner a share begins with ``start_calls`` and the tokens of
    ``start_period_s``, as clients that were refused meanwhile retry together.  A call is sent
    within ``max_unsent_ms`` of its grant, or requests another one.  ``max_membership_lag_ms`` is
    how long a node may not know that another node was added.
    """

    slack_calls: float = 20.0
    over_share: float = 0.1
    window_ms: float = 5000.0
    max_shares: int = 4
    start_calls: float = 1.0
    start_period_s: float = 0.15
    max_unsent_ms: float = 50.0
    max_membership_lag_ms: float = 600.0
    max_wait_ms: float = 2000.0

    def share_count(self, customer: Customer) -> int:
        """Return the number of shares of a limit; each has room for at least one call."""
        count = self.max_shares
        while count > 1 and self._size(customer, count) < count:
            count -= 1
        return count

    def share_terms(self, customer: Customer) -> BucketTerms:
        """Return the bucket terms of each share."""
        count = self.share_count(customer)
        size = max(self._size(customer, count) / count, 1.0)
        start = min(self._start_tokens(customer, count), size)
        return BucketTerms(customer.rate_per_s / count, size, start)

    def _start_tokens(self, customer: Customer, count: int) -> float:
        return self.start_calls + self.start_period_s * customer.rate_per_s / count

    def _size(self, customer: Customer, count: int) -> float:
        """Return the total size of all buckets of a customer."""
        in_window = customer.rate_per_s * self.window_ms / 1000 + customer.burst
        spare = self.slack_calls + self.over_share * in_window
        late_s = (self.max_unsent_ms + self.max_membership_lag_ms / self.max_shares) / 1000
        spare -= count * self._start_tokens(customer, count) + customer.rate_per_s * late_s
        return customer.burst + max(spare, 0.0)

    def has_start_credit(self, since_previous_ms: float | None) -> bool:
        """Whether an owner may begin with tokens in its buckets.

        ``since_previous_ms`` is the time between its start and the one before; None while unknown.
        """
        return since_previous_ms is not None and since_previous_ms >= self.window_ms


class Roster(msgspec.Struct):
    """All recently registered nodes, and this node's rank among them.

    A node that is cut off loses its registration in the key-value service while it continues to
    serve within its partition, so its name still counts for ``retention_ms``.  ``changed_ms`` is
    when the names last changed, and ``joined_ms`` when this node's own name was first among them.
    """

    vm_id: str
    retention_ms: float = 60_000.0
    changed_ms: float = float("-inf")
    joined_ms: float | None = None
    _last_seen_ms: dict[str, float] = msgspec.field(default_factory=dict)
    _ranks: dict[str, int] = msgspec.field(default_factory=dict)

    def update(self, names: Collection[str], now_ms: float) -> bool:
        """Apply the nodes that are registered or seen now; return whether the names changed."""
        before = len(self._last_seen_ms)
        self._last_seen_ms.update(dict.fromkeys(names, now_ms))
        gone = [name for name, ms in self._last_seen_ms.items() if ms < now_ms - self.retention_ms]
        for name in gone:
            del self._last_seen_ms[name]
        is_changed = bool(gone) or len(self._last_seen_ms) != before
        if is_changed:
            self._ranks.clear()
            self.changed_ms = now_ms
        if self.joined_ms is None and self.vm_id in self._last_seen_ms:
            self.joined_ms = now_ms
        return is_changed

    @property
    def size(self) -> int:
        return len(self._last_seen_ms)

    @property
    def names(self) -> Collection[str]:
        return self._last_seen_ms.keys()

    def rank(self, customer: str) -> int | None:
        """Return this node's rank for a customer, from 0 on; None while it is not registered."""
        if self.vm_id not in self._last_seen_ms:
            return None
        if customer not in self._ranks:
            ranked = rank_names(quota_key(customer), self._last_seen_ms)
            self._ranks[customer] = ranked.index(self.vm_id)
        return self._ranks[customer]


class OwnedShare(msgspec.Struct, frozen=True):
    """One share that this node owns, since ``since_ms``.

    ``since_start`` says that no other node has owned it since this node's process started.
    """

    customer: str
    number: int
    since_ms: float
    since_start: bool


class ShareDirectory(msgspec.Struct):
    """The owners of all shares, according to the recently registered nodes.

    ``started_ms`` is when this node's process started.
    """

    roster: Roster
    started_ms: float
    # By customer: the owner of each share.
    _owners: dict[str, list[str | None]] = msgspec.field(default_factory=dict)
    _owned: dict[tuple[str, int], OwnedShare] = msgspec.field(default_factory=dict)

    def update(self, names: Collection[str], now_ms: float) -> None:
        """Apply the nodes that are registered now; must be called on each change."""
        if self.roster.update(names, now_ms):
            self._owners.clear()
            # A share that was lost and regained starts again with an empty bucket.
            own = self.roster.vm_id
            self._owned = {
                key: share for key, share in self._owned.items() if self.owner_of(*key) == own
            }

    def owner_of(self, customer: str, number: int) -> str | None:
        """Return the node that owns a share; None while no node is known.

        No node owns two shares of a customer while there are other nodes, so that the loss of a
        node takes only one share with it.
        """
        owners = self._owners.setdefault(customer, [])
        while len(owners) <= number:
            share_key = f"{quota_key(customer)}/{len(owners)}"
            names = self.roster.names - set(owners) or self.roster.names
            owners.append(choose_name(share_key, names))
        return owners[number]

    def owned(self, customer: str, number: int) -> OwnedShare | None:
        """Return a share if this node owns it, else None."""
        if self.owner_of(customer, number) != self.roster.vm_id:
            return None
        key = (customer, number)
        if key not in self._owned:
            changed_ms = self.roster.changed_ms
            since_start = changed_ms == self.roster.joined_ms
            # Grants of former owners were made before this process started as well.
            since_ms = self.started_ms if since_start else changed_ms
            self._owned[key] = OwnedShare(customer, number, since_ms, since_start)
        return self._owned[key]

    def retain(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for name in self._owners.keys() - set(names):
            del self._owners[name]
        self._owned = {key: share for key, share in self._owned.items() if key[0] in names}


def query_order(
    owners: Sequence[str | None], own: str, rng: Random, last: int | None = None
) -> list[int]:
    """Return the numbers of shares in the order in which to query their owners for a call.

    The share of its ``last`` grant comes first, then those of this node, which need no message,
    then the others at random, so that all shares are used equally.
    """
    order = list(range(len(owners)))
    rng.shuffle(order)
    order.sort(key=lambda number: (number != last, owners[number] != own))
    return order


class _Share(msgspec.Struct):
    """The bucket of an owned share; a share owned since another time gets a new one."""

    since_ms: float
    bucket: SendBucket
    # Whether the bucket has received its start credit.
    start_credit_used: bool = False


class QuotaOwner(msgspec.Struct):
    """The buckets of the shares that this node owns."""

    policy: QuotaPolicy = msgspec.field(default_factory=QuotaPolicy)
    _shares: dict[tuple[str, int], _Share] = msgspec.field(default_factory=dict)

    def request(
        self,
        customer: Customer,
        owned: OwnedShare,
        now_ms: float,
        *,
        start_credit: bool = False,
        waited_ms: float = 0.0,
    ) -> float | None:
        """Grant one call and return None, or return the time after which to retry.

        ``waited_ms`` says that the call had a grant of this share that long ago and is sent only
        now.
        """
        terms = self.policy.share_terms(customer)
        share = self._share(owned)
        if start_credit and owned.since_start and not share.start_credit_used:
            # Whether there is a credit becomes known only some time after the process started.
            share.start_credit_used = True
            share.bucket.add(terms, terms.start_tokens, now_ms)
        if waited_ms:
            granted = share.bucket.try_reacquire(terms, now_ms - waited_ms, now_ms)
        else:
            granted = share.bucket.try_acquire(terms, now_ms)
        if granted:
            return None
        return share.bucket.wait_ms(terms, now_ms, self.policy.max_wait_ms)

    def _share(self, owned: OwnedShare) -> _Share:
        key = (owned.customer, owned.number)
        share = self._shares.get(key)
        if share is None or share.since_ms != owned.since_ms:
            bucket = SendBucket(Bucket(0.0, owned.since_ms))
            share = self._shares[key] = _Share(owned.since_ms, bucket)
        return share

    def retain(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for key in [key for key in self._shares if key[0] not in names]:
            del self._shares[key]
