"""Learned upstream speed, and the placement of calls by it."""

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from fescuedock.core.permits.speed import UpstreamSpeed
from fescuedock.core.placement import TypicalSpeed, choose_by_prediction, predict, should_move
from fescuedock.core.routing import Candidate, Choice, Demand, PlacementPolicy, RoutingPolicy
from fescuedock.schema.permits import LoadSnapshot

POLICY = RoutingPolicy(rank=choose_by_prediction)
PLACEMENT = PlacementPolicy()
TYPICAL = TypicalSpeed(80.0, 28.0, 500.0)
DEMAND = Demand(450, 0, "", target_ms=230.0, left_ms=5000.0, pause_ms=400.0)
HALF_LIFE_MS = 30_000.0
REPORTS = st.lists(
    st.tuples(st.floats(0.1, 5000.0), st.integers(1, 8), st.floats(0.0, 500.0)), max_size=60
)


def report(name: str = "a", factor: float = 1.0, **changes: object) -> LoadSnapshot:
    load = LoadSnapshot(name, 2, 0, 0, 8, 0.0, True)
    return replace(
        load,
        **{
            "start_ms": 80.0 * factor,
            "event_ms": 28.0 * factor,
            "run_ms": 500.0 * factor,
            "speed_age_ms": 0.0,
            **changes,
        },
    )


def candidate(load: LoadSnapshot, age_ms: float = 0.0, same_domain: bool = True) -> Candidate:
    fresh = load if age_ms <= POLICY.stale_ms else None
    return Candidate(
        load.upstream_id, 0.5, fresh, speed=load, speed_age_ms=age_ms, same_domain=same_domain
    )


def first_of(candidates: list[Candidate], seeds: int = 200) -> Counter[str]:
    """Return how often each candidate is chosen first by nodes with the same knowledge."""
    chosen = (
        choose_by_prediction(candidates, DEMAND, 0.0, POLICY, random.Random(seed))
        for seed in range(seeds)
    )
    return Counter(choices[0].upstream_id for choices in chosen)


class LearnedSpeedTest(unittest.TestCase):
    """The speed estimates of an owner."""

    def learned(self, event_ms: float = 28.0, in_flight: int = 4) -> UpstreamSpeed:
        speed = UpstreamSpeed(HALF_LIFE_MS)
        for number in range(100):
            speed.observe_events(event_ms, in_flight, 80.0 * number)
        return speed

    def test_a_slow_period_shows_after_two_reports(self) -> None:
        speed = self.learned()
        for at_ms in (8000.0, 8080.0):
            speed.observe_events(70.0, 4, at_ms)
        self.assertGreater(speed.slowness(8080.0), 1.7)

    def test_a_slow_period_hardly_changes_the_long_term_speed(self) -> None:
        speed = self.learned()
        for number in range(8):
            speed.observe_events(70.0, 4, 8000.0 + 80.0 * number)
        self.assertLess(speed.speed(4, 8600.0).event_ms, 1.1 * 28.0)

    def test_a_lasting_change_is_learned(self) -> None:
        speed = self.learned()
        for number in range(1500):
            speed.observe_events(70.0, 4, 8000.0 + 80.0 * number)
        self.assertAlmostEqual(speed.speed(4, 128_000.0).event_ms, 70.0, delta=7.0)

    def test_a_full_upstream_is_not_taken_for_a_slow_one(self) -> None:
        """Events of 24 ms for a single attempt and 31 ms at full concurrency are the same speed."""
        speed = UpstreamSpeed(HALF_LIFE_MS)
        for number in range(200):
            in_flight = 1 + number % 8
            speed.observe_events(23.0 + in_flight, in_flight, 80.0 * number)
        speed.observe_events(31.0, 8, 16_000.0)
        self.assertAlmostEqual(speed.slowness(16_000.0), 1.0, delta=0.05)
        self.assertAlmostEqual(speed.speed(1, 16_000.0).event_ms, 24.0, delta=1.0)

    def test_without_evidence_the_speed_is_unknown(self) -> None:
        self.assertLess(UpstreamSpeed(HALF_LIFE_MS).speed(1, 5.0).age_ms, 0.0)

    @given(REPORTS)
    def test_a_slow_period_is_forgotten_within_a_second(
        self, reports: list[tuple[float, int, float]]
    ) -> None:
        speed = UpstreamSpeed(HALF_LIFE_MS)
        at_ms = 0.0
        for event_ms, in_flight, gap_ms in reports:
            at_ms += gap_ms
            speed.observe_events(event_ms, in_flight, at_ms)
            self.assertGreaterEqual(speed.slowness(at_ms), 1.0)
        before = speed.slowness(at_ms)
        self.assertLessEqual(speed.slowness(at_ms + 1000.0), 1.0 + (before - 1.0) / 15)


class PredictionTest(unittest.TestCase):
    """Predictions of a node from reports of any age."""

    @given(st.floats(0.05, 20.0), st.floats(1.0, 10.0), st.floats(0.0, 200_000.0))
    def test_no_estimate_outlives_its_half_life(
        self, factor: float, slowness: float, age_ms: float
    ) -> None:
        """The distance from the typical values is at least halved with each half-life."""
        load = report(factor=factor, slowness=slowness)
        _, event_ms, _ = predict(candidate(load, age_ms), TYPICAL, 0, PLACEMENT)
        remaining = 0.5 ** (age_ms / PLACEMENT.speed_half_life_ms)
        lasting_ms = 28.0 + remaining * (load.event_ms - 28.0)
        slowed = 1.0 + (slowness - 1.0) * 0.5 ** (age_ms / 250.0)
        self.assertAlmostEqual(event_ms, lasting_ms * slowed, places=6)

    def test_a_slow_period_counts_for_its_remaining_time_only(self) -> None:
        _, _, run_ms = predict(candidate(report(slowness=2.5)), TYPICAL, 0, PLACEMENT)
        self.assertLess(run_ms, 1.6 * 500.0)
        self.assertGreater(run_ms, 1.2 * 500.0)


class PlacementTest(unittest.TestCase):
    """Which upstream a call is sent to."""

    def test_an_upstream_where_the_call_would_be_late_comes_last(self) -> None:
        slow = candidate(report("slow", factor=1.7, slowness=2.5))
        others = [candidate(report(name)) for name in ("b", "c")]
        self.assertNotIn("slow", first_of([slow, *others]))

    def test_nodes_with_the_same_knowledge_make_different_choices(self) -> None:
        """Of 15 upstreams, 5 of them fast, none gets a third of the calls."""
        candidates = [
            candidate(report(f"i-{number}", factor=(1.67, 1.0, 0.63)[number % 3]))
            for number in range(15)
        ]
        self.assertLess(max(first_of(candidates).values()), 200 / 3)

    @given(st.floats(1.0, 20.0), st.floats(1.0, 10.0))
    def test_an_upstream_considered_slow_is_tried_again(
        self, factor: float, slowness: float
    ) -> None:
        """After 160 s without evidence it counts as a typical one."""
        forgotten = candidate(report("slow", factor=factor, slowness=slowness), 160_000.0)
        known = [candidate(report(name)) for name in ("b", "c")]
        self.assertGreater(first_of([forgotten, *known], 60)["slow"], 0)

    def test_equal_upstreams_in_the_callers_domain_go_first(self) -> None:
        other_domain = [
            candidate(report(f"other_domain-{number}"), same_domain=False) for number in range(4)
        ]
        same_domain = [candidate(report(f"same_domain-{number}")) for number in range(2)]
        chosen = first_of([*other_domain, *same_domain])
        self.assertGreater(chosen["same_domain-0"] + chosen["same_domain-1"], 150)

    def test_without_speed_reports_the_choice_follows_the_load(self) -> None:
        bare = [
            Candidate("a", 0.5, LoadSnapshot("a", 2, 0, 0, 8, 200.0, True)),
            Candidate("b", 0.5, LoadSnapshot("b", 2, 0, 0, 8, 50.0, True)),
        ]
        self.assertEqual(first_of(bare), Counter({"b": 200}))

    def test_a_permit_of_an_upstream_that_became_slow_is_worth_moving(self) -> None:
        other = Choice("b", 90.0, has_room=True, start_ms=80.0)
        self.assertTrue(should_move(report(slowness=2.4), other, 0, PLACEMENT))
        self.assertFalse(should_move(report(), other, 0, PLACEMENT))
        full = replace(other, has_room=False)
        self.assertFalse(should_move(report(slowness=2.4), full, 0, PLACEMENT))


if __name__ == "__main__":
    unittest.main()
