"""Limits granted by one owner per customer, its substitute, and allowances of other nodes.

For comparison with shares: the bound is exceeded while an owner is cut off and continues to grant.
"""

from collections.abc import Collection

from fescuedock.core.customers import Customer
from fescuedock.core.quotas import quota_key
from fescuedock.core.rendezvous import rank_names
from fescuedock.core.token_bucket import Bucket, BucketTerms
from tests.builders.quota_fleet import AdmissionResult, FleetSimulation

__all__ = ["Allowances", "QuotaRoute", "SingleOwnerFleet"]

_SLACK_CALLS = 20.0
# Fraction of the slack that adds to a burst, and that a new owner starts with.
_SLACK_SHARE = 0.25
# Fraction of a node's share of the limit that it may use while it reaches no owner.
_ALLOWED_SHARE = 0.2


_MAX_QUERIED = 2


class QuotaRoute:
    """Which of the visible nodes to query for a call: an owner and its substitute."""

    __slots__ = ("_names", "_ranked")

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()
        self._ranked: dict[str, tuple[str, ...]] = {}

    def owners_of(self, customer: str, names: Collection[str]) -> tuple[str, ...]:
        """Return the nodes to query, in order."""
        if names != self._names:
            self._names, self._ranked = frozenset(names), {}
        if customer not in self._ranked:
            self._ranked[customer] = tuple(rank_names(quota_key(customer), names)[:_MAX_QUERIED])
        return self._ranked[customer]


class Allowances:
    """What one node grants to each customer while no owner answers."""

    def __init__(self) -> None:
        self._buckets: dict[str, Bucket] = {}

    def try_acquire(self, customer: Customer, fleet_size: int, now_ms: float) -> bool:
        part = _ALLOWED_SHARE / max(fleet_size, 1)
        size = 1.0 + customer.burst * part
        terms = BucketTerms(customer.rate_per_s * part, size, size)
        return self._buckets.setdefault(customer.name, Bucket(size, now_ms)).try_acquire(
            terms, now_ms
        )


class SingleOwnerFleet:
    """Nodes with a bucket for each customer that they own or substitute for."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self._simulation = simulation
        self._route = QuotaRoute()
        self._numbers = {name: number for number, name in enumerate(simulation.names)}
        self._buckets: list[dict[str, Bucket]] = [{} for _ in simulation.names]
        self._allowances = [Allowances() for _ in simulation.names]
        simulation.on_start = self._start

    def _start(self, node: int, _now_ms: float) -> None:
        self._buckets[node] = {}
        self._allowances[node] = Allowances()

    def owner_of(self, customer: Customer) -> int:
        """Return the node that is queried first while all nodes are visible."""
        return self._numbers[self._route.owners_of(customer.name, self._simulation.names)[0]]

    def admit(
        self, customer: Customer, node: int, now_ms: float, waited_ms: float = 0.0
    ) -> AdmissionResult:
        """Request a grant as ``node`` does; a call that waited needs no second grant."""
        if waited_ms:
            return AdmissionResult(True, 0)
        simulation, messages = self._simulation, 0
        size = len(simulation.names)
        for name in self._route.owners_of(customer.name, simulation.views[node]):
            other = self._numbers[name]
            messages += 2 * (other != node)
            if other != node and not simulation.reaches(node, other):
                continue
            if 2 * len(simulation.views[other]) >= size:
                return AdmissionResult(self._take(other, customer, now_ms), messages)
        return AdmissionResult(self._allowances[node].try_acquire(customer, size, now_ms), messages)

    def _take(self, owner: int, customer: Customer, now_ms: float) -> bool:
        size = max(customer.burst + _SLACK_SHARE * _SLACK_CALLS, 1.0)
        terms = BucketTerms(customer.rate_per_s, size, min(_SLACK_SHARE * _SLACK_CALLS, size))
        buckets = self._buckets[owner]
        return buckets.setdefault(customer.name, Bucket(terms.start_tokens, now_ms)).try_acquire(
            terms, now_ms
        )
