"""Limits in shares over a whole fleet: the bound under any faults, and the cost of restarts."""

import random
import unittest
from collections.abc import Callable

from hypothesis import given, settings

from bench.quota_ways import LOADS, run_strategy
from fescuedock.core.customers import Customer
from tests.builders.quota_fleet import BucketFleet, Change, FleetSimulation, busiest_window
from tests.builders.quota_single_owner import SingleOwnerFleet
from tests.builders.quota_traces import (
    NODES,
    RECORDED_CUSTOMER,
    WINDOW_MS,
    Trace,
    max_allowed,
    recorded_trace,
    run_times_ms,
    send_times_ms,
    traces,
)

# Draws faults of nodes; the first nodes given are those that matter most.
Faults = Callable[[list[int], random.Random], list[Change]]


def each_cut_off(nodes: list[int], _rng: random.Random) -> list[Change]:
    """16 nodes are each cut off from all others for 5 s."""
    groups = {node: number + 1 for number, node in enumerate(nodes[:16])}
    return [Change(5000.0, groups), Change(10_000.0)]


def cut_off_together(nodes: list[int], _rng: random.Random) -> list[Change]:
    """16 nodes are cut off from the others, but reach each other."""
    return [Change(5000.0, dict.fromkeys(nodes[:16], 1)), Change(10_000.0)]


def halves(nodes: list[int], _rng: random.Random) -> list[Change]:
    return [Change(5000.0, dict.fromkeys(nodes[: NODES // 2], 1)), Change(10_000.0)]


def second_cut(nodes: list[int], rng: random.Random) -> list[Change]:
    """16 nodes are cut off, and others when those return within the window."""
    first = {node: number + 1 for number, node in enumerate(nodes[:16])}
    second = {node: number + 1 for number, node in enumerate(nodes[16:32])}
    between_ms = rng.uniform(500.0, 4000.0)
    return [Change(5000.0, first), Change(5000.0 + between_ms, second), Change(11_000.0)]


def restarts_in_a_cut(nodes: list[int], _rng: random.Random) -> list[Change]:
    """The fleet is split into halves while a third of its nodes restart, each once."""
    groups = dict.fromkeys(nodes[: NODES // 2], 1)
    lost = nodes[:: NODES // 18]
    changes = [Change(5000.0, groups)]
    for first in range(0, len(lost), 6):
        at_ms = 6000.0 + 200.0 * first
        changes.append(Change(at_ms, groups, frozenset(lost[first : first + 6])))
    return [*changes, Change(10_000.0)]


FAULTS: tuple[Faults, ...] = (each_cut_off, cut_off_together, halves, second_cut, restarts_in_a_cut)


class RecordedTraceTest(unittest.TestCase):
    """Guards against exceeding a limit while 16 nodes are cut off."""

    def check_buckets(self, seeds: range, *, owner_is_cut_off: bool) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                simulation, calls_ms = recorded_trace(seed, owner_is_cut_off=owner_is_cut_off)
                max_in_window, _ = busiest_window(
                    run_times_ms(simulation, BucketFleet(simulation), calls_ms), WINDOW_MS
                )
                self.assertLessEqual(max_in_window, max_allowed(RECORDED_CUSTOMER))

    def test_buckets_stay_within_the_bound_while_the_owner_is_connected(self) -> None:
        """Guards against allowances of cut-off nodes that add up: 394 calls ran, 389 permitted."""
        self.check_buckets(range(8), owner_is_cut_off=False)

    def test_buckets_stay_within_the_bound_while_the_owner_is_cut_off(self) -> None:
        """Guards against a new owner that cannot know what the cut-off former one grants."""
        self.check_buckets(range(8), owner_is_cut_off=True)


class GeneratedTraceTest(unittest.TestCase):
    """Guards against granting in place of a share owner that is cut off and continues to grant."""

    def trace(
        self, faults: Faults, seed: int, granting: list[int]
    ) -> tuple[FleetSimulation, list[float]]:
        rng = random.Random(seed)
        others = [node for node in range(NODES) if node not in granting]
        rng.shuffle(others)
        simulation = FleetSimulation(NODES, faults([*granting, *others], rng), rng)
        calls_ms, now_ms = [], 0.0
        while now_ms < 16_000.0:
            times = 8.0 if now_ms >= 3000.0 else 1.0
            now_ms += rng.expovariate(RECORDED_CUSTOMER.rate_per_s / 1.6 * times) * 1000
            calls_ms.append(now_ms)
        return simulation, calls_ms

    def share_owners(self) -> list[int]:
        return BucketFleet(FleetSimulation(NODES, (), random.Random(0))).share_owners(
            RECORDED_CUSTOMER
        )

    def max_in_window(self, fleet: type, faults: Faults, seed: int, granting: list[int]) -> int:
        simulation, calls_ms = self.trace(faults, seed, granting)
        return busiest_window(run_times_ms(simulation, fleet(simulation), calls_ms), WINDOW_MS)[0]

    def test_any_number_of_share_owners_may_be_lost(self) -> None:
        owners = self.share_owners()
        for faults in FAULTS:
            for seed in range(4):
                for count in range(len(owners) + 1):
                    with self.subTest(faults=faults.__name__, seed=seed, owners=count):
                        max_in_window = self.max_in_window(
                            BucketFleet, faults, seed, owners[:count]
                        )
                        self.assertLessEqual(max_in_window, max_allowed(RECORDED_CUSTOMER))
                        # Without this, a fleet that admits no call would pass.
                        self.assertGreaterEqual(
                            max_in_window, 0.8 * RECORDED_CUSTOMER.rate_per_s * 6
                        )

    def test_a_single_owner_exceeds_the_bound_on_these_traces(self) -> None:
        """The traces are hard enough: grants of a cut-off owner and its substitute add up."""
        simulation = FleetSimulation(NODES, (), random.Random(0))
        owner = SingleOwnerFleet(simulation).owner_of(RECORDED_CUSTOMER)
        for faults in (each_cut_off, cut_off_together, halves, second_cut):
            with self.subTest(faults=faults.__name__):
                max_in_window = max(
                    self.max_in_window(SingleOwnerFleet, faults, seed, [owner]) for seed in range(8)
                )
                self.assertGreater(max_in_window, max_allowed(RECORDED_CUSTOMER))


class ArbitraryTraceTest(unittest.TestCase):
    @settings(max_examples=120, deadline=None)
    @given(traces())
    def test_no_window_holds_more_than_the_bound(self, trace: Trace) -> None:
        """Covers partitions, deaths, loss of all nodes at once, any demand, and waiting calls."""
        customer = Customer("caldas", trace.rate_per_s, trace.rate_per_s * trace.burst_s)
        max_in_window, _ = busiest_window(send_times_ms(trace, customer, BucketFleet), WINDOW_MS)
        self.assertLessEqual(max_in_window, max_allowed(customer))


class RestartCostTest(unittest.TestCase):
    """Guards against refusing callers within their limit while nodes stop or die."""

    SEEDS = range(8)

    def refused(self, policy: str, load_name: str) -> tuple[float, float]:
        """Return the mean number of refused calls within the limits over all seeds.

        The first value is in percent of the calls that an ideal limiter would admit, the second the
        number of calls refused before the limit had been used.
        """
        [load] = [load for load in LOADS if load.name == load_name]
        figures = [run_strategy(policy, load, NODES, 74, 141.0, seed) for seed in self.SEEDS]
        within_pct = sum(item.refused_within_limit_pct for item in figures) / len(figures)
        return within_pct, sum(item.refused_below for item in figures) / len(figures)

    def test_restarts_of_a_third_of_the_nodes_cost_no_more_than_with_one_owner(self) -> None:
        for load_name in ("calm, a third restarts", "hot, a third restarts"):
            with self.subTest(load=load_name):
                shares = self.refused("shares", load_name)
                for found, max_in_window in zip(
                    shares, self.refused("one owner", load_name), strict=True
                ):
                    self.assertLessEqual(found, max_in_window)

    def test_few_calls_within_a_limit_are_refused_while_a_third_restarts(self) -> None:
        self.assertLessEqual(self.refused("shares", "calm, a third restarts")[0], 0.3)


if __name__ == "__main__":
    unittest.main()
