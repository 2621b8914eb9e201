"""Limits in shares over a whole fleet: the bound on any course, and the cost of restarts."""

import random
import unittest
from collections.abc import Callable

from hypothesis import given, settings

from bench.quota_ways import LOADS, run_way
from fescuedock.core.customers import Customer
from tests.builders.quota_courses import (
    NODES,
    RECORDED,
    WINDOW_MS,
    Course,
    courses,
    most_allowed,
    ran_ms,
    recorded_course,
    sends_ms,
)
from tests.builders.quota_fleet import BucketFleet, Change, World, fullest_ms
from tests.builders.quota_single_owner import SingleOwnerFleet

# Draws which nodes are lost; the first are those that matter most.
Losses = Callable[[list[int], random.Random], list[Change]]


def alone(nodes: list[int], _rng: random.Random) -> list[Change]:
    """16 nodes are each cut off from all others for 5 s."""
    groups = {node: number + 1 for number, node in enumerate(nodes[:16])}
    return [Change(5000.0, groups), Change(10_000.0)]


def together(nodes: list[int], _rng: random.Random) -> list[Change]:
    """16 nodes are cut off from the others, but reach each other."""
    return [Change(5000.0, dict.fromkeys(nodes[:16], 1)), Change(10_000.0)]


def halves(nodes: list[int], _rng: random.Random) -> list[Change]:
    return [Change(5000.0, dict.fromkeys(nodes[: NODES // 2], 1)), Change(10_000.0)]


def second_cut(nodes: list[int], rng: random.Random) -> list[Change]:
    """16 nodes are cut off, and others when those come back within the window."""
    first = {node: number + 1 for number, node in enumerate(nodes[:16])}
    second = {node: number + 1 for number, node in enumerate(nodes[16:32])}
    between_ms = rng.uniform(500.0, 4000.0)
    return [Change(5000.0, first), Change(5000.0 + between_ms, second), Change(11_000.0)]


def restarts_in_a_cut(nodes: list[int], _rng: random.Random) -> list[Change]:
    """The fleet is in halves while a third of its nodes restart, each once."""
    groups = dict.fromkeys(nodes[: NODES // 2], 1)
    lost = nodes[:: NODES // 18]
    changes = [Change(5000.0, groups)]
    for first in range(0, len(lost), 6):
        at_ms = 6000.0 + 200.0 * first
        changes.append(Change(at_ms, groups, frozenset(lost[first : first + 6])))
    return [*changes, Change(10_000.0)]


LOSSES: tuple[Losses, ...] = (alone, together, halves, second_cut, restarts_in_a_cut)


class RecordedCourseTest(unittest.TestCase):
    """Guards against the limit that was exceeded while 16 nodes were cut off."""

    def check_buckets(self, seeds: range, *, owner_is_cut_off: bool) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                world, calls_ms = recorded_course(seed, owner_is_cut_off=owner_is_cut_off)
                most, _ = fullest_ms(ran_ms(world, BucketFleet(world), calls_ms), WINDOW_MS)
                self.assertLessEqual(most, most_allowed(RECORDED))

    def test_buckets_keep_the_bound_while_the_owner_is_in_contact(self) -> None:
        """Guards against allowances of cut-off nodes that add up: 394 calls ran of 389."""
        self.check_buckets(range(8), owner_is_cut_off=False)

    def test_buckets_keep_the_bound_while_the_owner_is_cut_off(self) -> None:
        """A new owner does not know what the former one, now cut off, has granted and grants."""
        self.check_buckets(range(8), owner_is_cut_off=True)


class WiderCourseTest(unittest.TestCase):
    """Guards against granting in place of a keeper that is cut off and goes on granting."""

    def course(self, losses: Losses, seed: int, granting: list[int]) -> tuple[World, list[float]]:
        rng = random.Random(seed)
        others = [node for node in range(NODES) if node not in granting]
        rng.shuffle(others)
        world = World(NODES, losses([*granting, *others], rng), rng)
        calls_ms, now_ms = [], 0.0
        while now_ms < 16_000.0:
            times = 8.0 if now_ms >= 3000.0 else 1.0
            now_ms += rng.expovariate(RECORDED.rate_per_s / 1.6 * times) * 1000
            calls_ms.append(now_ms)
        return world, calls_ms

    def keepers(self) -> list[int]:
        return BucketFleet(World(NODES, (), random.Random(0))).keepers(RECORDED)

    def most(self, fleet: type, losses: Losses, seed: int, granting: list[int]) -> int:
        world, calls_ms = self.course(losses, seed, granting)
        return fullest_ms(ran_ms(world, fleet(world), calls_ms), WINDOW_MS)[0]

    def test_any_number_of_keepers_may_be_among_the_lost(self) -> None:
        keepers = self.keepers()
        for losses in LOSSES:
            for seed in range(4):
                for count in range(len(keepers) + 1):
                    with self.subTest(losses=losses.__name__, seed=seed, keepers=count):
                        most = self.most(BucketFleet, losses, seed, keepers[:count])
                        self.assertLessEqual(most, most_allowed(RECORDED))
                        # A fleet that lets nobody in keeps any bound.
                        self.assertGreaterEqual(most, 0.8 * RECORDED.rate_per_s * 6)

    def test_one_owner_exceeds_the_bound_on_these_courses(self) -> None:
        """The courses are hard enough: what a stand-in and a cut-off owner grant adds up."""
        world = World(NODES, (), random.Random(0))
        owner = SingleOwnerFleet(world).owner_of(RECORDED)
        for losses in (alone, together, halves, second_cut):
            with self.subTest(losses=losses.__name__):
                most = max(self.most(SingleOwnerFleet, losses, seed, [owner]) for seed in range(8))
                self.assertGreater(most, most_allowed(RECORDED))


class AnyCourseTest(unittest.TestCase):
    @settings(max_examples=120, deadline=None)
    @given(courses())
    def test_no_window_holds_more_than_the_bound(self, course: Course) -> None:
        """Any partitions, deaths, losses of all nodes at once, demand, and calls that wait."""
        customer = Customer("caldas", course.rate_per_s, course.rate_per_s * course.burst_s)
        most, _ = fullest_ms(sends_ms(course, customer, BucketFleet), WINDOW_MS)
        self.assertLessEqual(most, most_allowed(customer))


class RestartCostTest(unittest.TestCase):
    """Guards callers within their limit, who must not pay for stops and deaths of nodes."""

    SEEDS = range(8)

    def refused(self, way: str, load_name: str) -> tuple[float, float]:
        """Return how much of what is within the limits was refused, on the mean of all seeds.

        In percent of the calls that a window lets in which sees all, and as the number of calls
        before which less than the limit had run.
        """
        [load] = [load for load in LOADS if load.name == load_name]
        figures = [run_way(way, load, NODES, 74, 141.0, seed) for seed in self.SEEDS]
        within_pct = sum(item.refused_within_limit_pct for item in figures) / len(figures)
        return within_pct, sum(item.refused_below for item in figures) / len(figures)

    def test_a_third_of_the_nodes_that_restart_costs_no_more_than_with_one_owner(self) -> None:
        for load_name in ("calm, a third restarts", "hot, a third restarts"):
            with self.subTest(load=load_name):
                shares = self.refused("shares", load_name)
                for found, most in zip(shares, self.refused("one owner", load_name), strict=True):
                    self.assertLessEqual(found, most)

    def test_hardly_a_call_within_its_limit_is_refused_while_a_third_restarts(self) -> None:
        self.assertLessEqual(self.refused("shares", "calm, a third restarts")[0], 0.3)


if __name__ == "__main__":
    unittest.main()
