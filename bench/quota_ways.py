"""Compare strategies that enforce one customer limit across all nodes, on the same calls.

Run ``python -m bench.quota_ways``.
The simulation has no processes: messages take no time, and a node that was down has lost its state.
The figures of each strategy are the calls refused although their customer was within its limit by a
sliding window, the fullest window relative to the bound, the messages per call, and the calls of
the key-value service.
"""

import random
import sys
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Iterator
from typing import Protocol

import fire
import msgspec

from fescuedock.core.customers import Customer
from fescuedock.core.token_bucket import Bucket, BucketTerms
from tests.builders.quota_fleet import (
    AdmissionResult,
    BucketFleet,
    Change,
    FleetSimulation,
    busiest_window,
)
from tests.builders.quota_single_owner import Allowances, QuotaRoute, SingleOwnerFleet

__all__ = ["LOADS", "Figures", "compare", "run_strategy"]

_WINDOW_MS = 5000.0
_TOLERANCE_SHARE = 0.1
_TOLERANCE_CALLS = 20.0
# Ratio of a customer's limit to its usual rate.
_LIMIT_FACTOR = 1.6
_DEMAND_REPORT_INTERVAL_MS = 500.0
_RUN_MS = 24_000.0
_HOT_PERIOD_MS = (8000.0, 13_000.0)
_DOWN_MS = 1200.0
# An owner reports to its second owner once it has this many unreported grants.
_MAX_UNREPORTED_GRANTS = 5
# The third largest customer has the load peak.
_HOT_CUSTOMER_INDEX = 2


class Load(msgspec.Struct, frozen=True):
    """Calls and node changes of one run; a hot customer sends ``load_factor`` times its usual rate.

    ``changes`` receives the count of nodes, the nodes that grant calls of the hot customer (its
    first owner, then its share owners) and the random generator.
    """

    name: str
    load_factor: float = 1.0
    changes: Callable[[int, list[int], random.Random], list[Change]] = lambda size, granting, rng: (
        []
    )


def _pick_nodes(size: int, count: int, granting: list[int], rng: random.Random) -> list[int]:
    """Return ``count`` nodes, starting with those in ``granting``."""
    others = [node for node in range(size) if node not in granting]
    return [*granting, *rng.sample(others, count - len(granting))]


def _restarts(size: int, granting: list[int], rng: random.Random) -> list[Change]:
    """A third of the nodes restart in groups of six, with the owner in the first group."""
    return _rolling_restart(_pick_nodes(size, size // 3, granting[:1], rng))


def _share_owners_restart(size: int, granting: list[int], rng: random.Random) -> list[Change]:
    """As ``_restarts``, with all share owners of the hot customer in the first groups."""
    return _rolling_restart(_pick_nodes(size, size // 3, granting, rng))


def _rolling_restart(nodes: list[int]) -> list[Change]:
    changes, at_ms = [], 9000.0
    for first in range(0, len(nodes), 6):
        changes.append(Change(at_ms, down=frozenset(nodes[first : first + 6])))
        at_ms += _DOWN_MS
    return [*changes, Change(at_ms)]


def _cut_off(size: int, granting: list[int], rng: random.Random) -> list[Change]:
    """16 of 54 nodes, including the owner, are each isolated from all others for 5 s."""
    return _isolate_each(_pick_nodes(size, size * 16 // 54, granting[:1], rng))


def _share_owners_cut_off(size: int, granting: list[int], rng: random.Random) -> list[Change]:
    return _isolate_each(_pick_nodes(size, size * 16 // 54, granting, rng))


def _isolate_each(nodes: list[int]) -> list[Change]:
    groups = {node: number + 1 for number, node in enumerate(nodes)}
    return [Change(10_000.0, groups), Change(15_000.0)]


def _cut_off_together(size: int, granting: list[int], rng: random.Random) -> list[Change]:
    """16 of 54 nodes are partitioned from the others, but reach each other."""
    nodes = _pick_nodes(size, size * 16 // 54, granting[:1], rng)
    return [Change(10_000.0, dict.fromkeys(nodes, 1)), Change(15_000.0)]


def _halves(size: int, granting: list[int], rng: random.Random) -> list[Change]:
    nodes = _pick_nodes(size, size // 2, granting[:1], rng)
    return [Change(10_000.0, dict.fromkeys(nodes, 1)), Change(15_000.0)]


def _second_cut(size: int, granting: list[int], rng: random.Random) -> list[Change]:
    """16 nodes are isolated, and 16 others 2.5 s later, when the first are connected again."""
    nodes = _pick_nodes(size, 2 * (size * 16 // 54), granting[:1], rng)
    half = len(nodes) // 2
    return [
        Change(9000.0, {node: number + 1 for number, node in enumerate(nodes[:half])}),
        Change(11_500.0, {node: number + 1 for number, node in enumerate(nodes[half:])}),
        Change(15_000.0),
    ]


def _power_loss(size: int, _granting: list[int], _rng: random.Random) -> list[Change]:
    return [Change(10_000.0, down=frozenset(range(size))), Change(10_000.0 + _DOWN_MS)]


class Strategy(Protocol):
    """Decides whether a node admits one call of a customer at a time."""

    def admit(self, customer: Customer, node: int, now_ms: float) -> AdmissionResult: ...


class _LoggingOwners:
    """Owners that count grants in a sliding window; subclasses exchange grants between owners."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self._simulation = simulation
        self._route = QuotaRoute()
        size = len(simulation.names)
        # By node: times of the grants of each customer that the node knows of.
        self.logs: list[dict[str, deque[float]]] = [{} for _ in range(size)]
        self._allowances = [Allowances() for _ in range(size)]
        simulation.on_start = self.start

    def start(self, node: int, _now_ms: float) -> None:
        self.logs[node] = {}
        self._allowances[node] = Allowances()

    def log(self, node: int, customer: str, now_ms: float) -> deque[float]:
        log_ms = self.logs[node].setdefault(customer, deque())
        while log_ms and log_ms[0] <= now_ms - _WINDOW_MS:
            log_ms.popleft()
        return log_ms

    def granted_count(self, node: int, customer: str, now_ms: float) -> int:
        return len(self.log(node, customer, now_ms))

    def receive_report(self, node: int, owner: int, customer: str, now_ms: float) -> None:
        """Apply what a request of ``node`` reports to ``owner``."""

    def record_grant(self, node: int, owner: int, customer: str, now_ms: float) -> int:
        """Record a grant to ``node``; return the number of further messages."""
        self.log(owner, customer, now_ms).append(now_ms)
        return 0

    def admit(self, customer: Customer, node: int, now_ms: float) -> AdmissionResult:
        simulation, messages, name = self._simulation, 0, customer.name
        limit = _limit(customer)
        for owner_name in self._route.owners_of(name, simulation.views[node]):
            owner = simulation.names.index(owner_name)
            messages += 2 * (owner != node)
            if owner != node and not simulation.reaches(node, owner):
                continue
            if 2 * len(simulation.views[owner]) < len(simulation.names):
                continue
            self.receive_report(node, owner, name, now_ms)
            if self.granted_count(owner, name, now_ms) + 1 > limit + _TOLERANCE_CALLS / 4:
                return AdmissionResult(False, messages)
            return AdmissionResult(True, messages + self.record_grant(node, owner, name, now_ms))
        admitted = self._allowances[node].try_acquire(customer, len(simulation.names), now_ms)
        return AdmissionResult(admitted, messages)


class RequestersReport(_LoggingOwners):
    """Requests report the requester's recent grants; an owner adds those of other owners."""

    def __init__(self, simulation: FleetSimulation) -> None:
        super().__init__(simulation)
        size = len(simulation.names)
        # By requester: times and owners of its grants; a request reports those of other owners.
        self._own_grants: list[dict[str, deque[tuple[float, int]]]] = [{} for _ in range(size)]
        self._reported: list[dict[tuple[str, int], list[float]]] = [{} for _ in range(size)]

    def start(self, node: int, now_ms: float) -> None:
        super().start(node, now_ms)
        self._own_grants[node], self._reported[node] = {}, {}

    def receive_report(self, node: int, owner: int, customer: str, now_ms: float) -> None:
        own = self._own_grants[node].get(customer, ())
        reported = [at_ms for at_ms, by in own if by != owner]
        self._reported[owner][customer, node] = reported

    def granted_count(self, node: int, customer: str, now_ms: float) -> int:
        since_ms = now_ms - _WINDOW_MS
        reported = (
            sum(at_ms > since_ms for at_ms in times)
            for (name, _), times in self._reported[node].items()
            if name == customer
        )
        return super().granted_count(node, customer, now_ms) + sum(reported)

    def record_grant(self, node: int, owner: int, customer: str, now_ms: float) -> int:
        own = self._own_grants[node].setdefault(customer, deque(maxlen=200))
        own.append((now_ms, owner))
        return super().record_grant(node, owner, customer, now_ms)


class OwnerReports(_LoggingOwners):
    """An owner reports its grants to the second owner, each ``_MAX_UNREPORTED_GRANTS`` grants."""

    def __init__(self, simulation: FleetSimulation) -> None:
        super().__init__(simulation)
        self._unreported: dict[tuple[int, str], list[float]] = {}

    def start(self, node: int, now_ms: float) -> None:
        super().start(node, now_ms)
        for key in [key for key in self._unreported if key[0] == node]:
            del self._unreported[key]

    def record_grant(self, node: int, owner: int, customer: str, now_ms: float) -> int:
        super().record_grant(node, owner, customer, now_ms)
        unreported = self._unreported.setdefault((owner, customer), [])
        unreported.append(now_ms)
        if len(unreported) < _MAX_UNREPORTED_GRANTS:
            return 0
        pair = self._route.owners_of(customer, self._simulation.views[owner])
        for name in pair:
            other = self._simulation.names.index(name)
            if other != owner and self._simulation.reaches(owner, other):
                log_ms = self.log(other, customer, now_ms)
                merged = sorted([*log_ms, *unreported])
                log_ms.clear()
                log_ms.extend(merged)
        unreported.clear()
        return 2


class ShareByDemand:
    """Each node enforces a share of the limit by the demand that nodes report to all others."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self._simulation = simulation
        self._call_counts: dict[tuple[str, str, int], int] = {}
        self._buckets: dict[tuple[str, int, float], Bucket] = {}

    def admit(self, customer: Customer, node: int, now_ms: float) -> AdmissionResult:
        simulation, call_counts, period = (
            self._simulation,
            self._call_counts,
            int(now_ms / _DEMAND_REPORT_INTERVAL_MS),
        )
        own = (customer.name, simulation.names[node], period)
        first = own not in call_counts
        call_counts[own] = call_counts.get(own, 0) + 1
        names = simulation.views[node]
        total = sum(call_counts.get((customer.name, name, period - 1), 0) for name in names)
        demand = call_counts.get((customer.name, simulation.names[node], period - 1), 0)
        even_share = 1.0 / len(names)
        share = even_share if not total else max(demand / total, even_share / 2)
        size = 1.0 + (customer.burst + _TOLERANCE_CALLS / 2) * share
        terms = BucketTerms(customer.rate_per_s * share, size, size)
        key = (customer.name, node, simulation.started_ms[node])
        bucket = self._buckets.setdefault(key, Bucket(size, now_ms))
        return AdmissionResult(bucket.try_acquire(terms, now_ms), (len(names) - 1) * first)


class EvenParts:
    """Each node enforces an equal share of the limit and sends no messages."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self._simulation = simulation
        self._allowances: dict[tuple[int, float], Allowances] = {}

    def admit(self, customer: Customer, node: int, now_ms: float) -> AdmissionResult:
        key = (node, self._simulation.started_ms[node])
        allowance = self._allowances.setdefault(key, Allowances())
        return AdmissionResult(
            allowance.try_acquire(customer, len(self._simulation.names), now_ms), 0
        )


STRATEGIES: dict[str, Callable[[FleetSimulation], Strategy]] = {
    "shares": BucketFleet,
    "one owner": SingleOwnerFleet,
    "askers report": RequestersReport,
    "owner reports": OwnerReports,
    "demand": ShareByDemand,
    "even": EvenParts,
}
LOADS = (
    Load("calm"),
    Load("hot", 5.6),
    Load("calm, a third restarts", 1.0, _restarts),
    Load("calm, all keepers restart", 1.0, _share_owners_restart),
    Load("hot, a third restarts", 5.6, _restarts),
    Load("hot, all keepers restart", 5.6, _share_owners_restart),
    Load("hot, 16 of 54 cut off", 5.6, _cut_off),
    Load("hot, all keepers cut off", 5.6, _share_owners_cut_off),
    Load("hot, 16 cut off together", 5.6, _cut_off_together),
    Load("hot, halves", 5.6, _halves),
    Load("hot, second cut", 5.6, _second_cut),
    Load("hot, all lose power", 5.6, _power_loss),
)


class Figures(msgspec.Struct):
    """Figures of one strategy (``way``) under one load.

    A call is within the limit if a sliding window over all calls admits it.  ``refused_hot`` counts
    the hot customer's calls that were refused within its limit.  ``refused_below`` counts the
    refused calls of all customers that would not have brought the calls run in the window above the
    limit.  ``fullest_window`` is the maximum over all customers, relative to the allowed count.
    """

    way: str
    load: str
    seed: int
    refused_within_limit_pct: float
    refused_hot: int
    refused_below: int
    fullest_window: float
    messages_per_call: float
    store_calls: int


def compare(
    nodes: int = 54, customers: int = 74, calls_per_s: float = 141.0, seeds: int = 3
) -> None:
    """Print the figures of each strategy as one JSON line."""
    for seed in range(seeds):
        for load in LOADS:
            for strategy in STRATEGIES:
                figures = run_strategy(strategy, load, nodes, customers, calls_per_s, seed)
                print(msgspec.json.encode(figures).decode())


def _customers(count: int, calls_per_s: float) -> list[tuple[Customer, float]]:
    """Return customers with their usual rates in calls per second, a few of them large."""
    weights = [1.0 / (rank + 1) ** 0.8 for rank in range(count)]
    usual = [calls_per_s * weight / sum(weights) for weight in weights]
    return [
        (Customer(f"customer-{rank}", _LIMIT_FACTOR * rate, _LIMIT_FACTOR * rate), rate)
        for rank, rate in enumerate(usual)
    ]


def _calls(
    customers: list[tuple[Customer, float]], load: Load, rng: random.Random
) -> Iterator[tuple[float, int]]:
    """Yield the time of each call and the index of its customer, in order of time."""
    calls: list[tuple[float, int]] = []
    for number, (_, rate_per_s) in enumerate(customers):
        now_ms = 0.0
        while now_ms < _RUN_MS:
            hot = number == _HOT_CUSTOMER_INDEX and _HOT_PERIOD_MS[0] <= now_ms < _HOT_PERIOD_MS[1]
            now_ms += rng.expovariate(rate_per_s * (load.load_factor if hot else 1.0)) * 1000
            calls.append((now_ms, number))
    yield from sorted(calls)


def run_strategy(
    strategy: str, load: Load, nodes: int, customers: int, calls_per_s: float, seed: int
) -> Figures:
    """Simulate one load with the strategy named ``strategy`` and return its figures."""
    rng = random.Random(seed)
    customer_rates = _customers(customers, calls_per_s)
    names = [f"node-{number}" for number in range(nodes)]
    hot = customer_rates[_HOT_CUSTOMER_INDEX][0]
    owner = names.index(QuotaRoute().owners_of(hot.name, names)[0])
    share_owners = BucketFleet(FleetSimulation(nodes, (), rng)).share_owners(hot)
    granting = list(dict.fromkeys([owner, *share_owners]))
    simulation = FleetSimulation(nodes, load.changes(nodes, granting, rng), rng)
    fleet = STRATEGIES[strategy](simulation)
    within_limit_ms: list[deque[float]] = [deque() for _ in customer_rates]
    run_times_ms: list[list[float]] = [[] for _ in customer_rates]
    refused = [0] * len(customer_rates)
    messages = within = count = refused_below = 0
    for now_ms, number in _calls(customer_rates, load, rng):
        customer = customer_rates[number][0]
        simulation.advance(now_ms)
        up = [node for node in range(nodes) if simulation.is_up(node)]
        if not up:
            continue
        is_within_limit = _is_within_limit(within_limit_ms[number], customer, now_ms)
        admission = fleet.admit(customer, rng.choice(up), now_ms)
        count, messages, within = count + 1, messages + admission.messages, within + is_within_limit
        if admission.admitted:
            run_times_ms[number].append(now_ms)
        else:
            refused[number] += is_within_limit
            in_window = len(run_times_ms[number]) - bisect_right(
                run_times_ms[number], now_ms - _WINDOW_MS
            )
            refused_below += in_window + 1 <= _limit(customer)
    fullest = max(
        _window_utilization(times, customer_rates[number][0])
        for number, times in enumerate(run_times_ms)
    )
    return Figures(
        strategy,
        load.name,
        seed,
        round(100 * sum(refused) / within, 3),
        refused[_HOT_CUSTOMER_INDEX],
        refused_below,
        round(fullest, 3),
        round(messages / count, 2),
        getattr(fleet, "store_calls", 0),
    )


def _is_within_limit(counted_ms: deque[float], customer: Customer, now_ms: float) -> bool:
    """Return whether a call is within its limit by a sliding window; record it if so."""
    while counted_ms and counted_ms[0] <= now_ms - _WINDOW_MS:
        counted_ms.popleft()
    if len(counted_ms) + 1 > _limit(customer):
        return False
    counted_ms.append(now_ms)
    return True


def _limit(customer: Customer) -> float:
    return customer.rate_per_s * _WINDOW_MS / 1000 + customer.burst


def _window_utilization(call_times_ms: list[float], customer: Customer) -> float:
    """Return the fullest window relative to the allowed count; above 1 violates the limit."""
    allowed = _limit(customer) * (1 + _TOLERANCE_SHARE) + _TOLERANCE_CALLS
    return busiest_window(call_times_ms, _WINDOW_MS)[0] / allowed


if __name__ == "__main__":
    sys.exit(fire.Fire(compare))
