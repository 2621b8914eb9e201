"""In a model of the decisions, no stream continues at another origin than its own."""

import unittest
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace

from fescuedock.core.stream_origins import OriginPolicy, RegisteredStarts
from tests.builders.origin_record_model import (
    COURSES,
    ISOLATED,
    LONG,
    RETURNS,
    STRATEGIES,
    Fleet,
    Node,
    Outcome,
    Resumption,
    Settings,
    Strategy,
    isolated_for_long,
    moved_routes,
    play,
    records_of,
    retirements,
    returns,
    starts_in,
    version_key,
)

RECORDS = STRATEGIES["records"]


def play_all(
    strategy: Strategy,
    courses: Iterable[Callable[[Fleet], None]],
    seeds: int,
    settings: Settings | None = None,
) -> dict[str, Outcome]:
    """Return the outcome for each course and seed."""
    return {
        f"{course.__name__} {seed}": play(strategy, course, seed, settings)
        for course in courses
        for seed in range(seeds)
    }


def ways_of(outcomes: dict[str, Outcome]) -> Counter[str]:
    """Return by what streams continued at another origin, with their number."""
    return sum((item.ways for item in outcomes.values()), Counter())


def startable_at_any_service(_fleet: Fleet, node: Node, service: str, _path: str) -> frozenset[str]:
    record = node.record(version_key(service))
    return frozenset() if record is None else record.startable


def registered_by_any_copy(_fleet: Fleet, resumption: Resumption) -> RegisteredStarts | None:
    copy = records_of(resumption.node.copy or {})
    return starts_in(copy | resumption.found, resumption.route, resumption.stream.path)


class RecordModelTest(unittest.TestCase):
    def check_none_joined(self, outcomes: dict[str, Outcome]) -> None:
        misjudged = {name: item.ways for name, item in outcomes.items() if item.misjudged}
        self.assertEqual(misjudged, {})

    def test_no_stream_continues_at_another_origin_by_an_outdated_record(self) -> None:
        outcomes = play_all(RECORDS, COURSES, 300)
        self.check_none_joined(outcomes)
        continued = sum(item.continued for item in outcomes.values())
        refused = sum(item.refused for item in outcomes.values())
        self.assertGreater(sum(item.known_by["record"] for item in outcomes.values()), 1000)
        self.assertLess(refused, 0.05 * continued)

    def test_no_stream_continues_at_another_origin_after_names_left_a_record(self) -> None:
        self.check_none_joined(play_all(RECORDS, (retirements,), 30, LONG))
        self.check_none_joined(play_all(RECORDS, (returns,), 40, RETURNS))

    def test_a_node_isolated_for_minutes_starts_no_stream_that_is_joined(self) -> None:
        self.check_none_joined(play_all(RECORDS, (isolated_for_long,), 10, ISOLATED))

    def test_other_sound_ways_join_no_stream(self) -> None:
        for name in STRATEGIES.keys() - {"copy", "records", "majority of readers"}:
            with self.subTest(strategy=name):
                self.check_none_joined(play_all(STRATEGIES[name], COURSES, 20))


class SensitivityTest(unittest.TestCase):
    """The model finds streams that continue at another origin where the decisions allow it."""

    def test_copies_and_records_of_another_service_join_streams(self) -> None:
        ways = ways_of(play_all(STRATEGIES["copy"], COURSES, 150))
        expected = {"service by record", "service by copy", "version by record", "version by copy"}
        self.assertEqual(ways.keys(), expected)

    def test_a_copy_of_the_right_records_joins_streams(self) -> None:
        ways = ways_of(play_all(replace(RECORDS, registered=registered_by_any_copy), COURSES, 100))
        self.assertEqual(ways.keys(), {"service by copy", "version by copy"})

    def test_streams_that_start_at_a_service_that_is_not_recorded_are_joined(self) -> None:
        strategy = replace(RECORDS, startable=startable_at_any_service)
        ways = ways_of(play_all(strategy, (moved_routes,), 200))
        self.assertEqual(ways.keys(), {"service by record"})

    def test_names_that_leave_early_join_streams(self) -> None:
        settings = replace(LONG, policy=OriginPolicy(retire_after_ms=500.0))
        self.assertTrue(ways_of(play_all(RECORDS, (retirements,), 25, settings)))

    def test_streams_that_start_by_copies_of_any_age_are_joined(self) -> None:
        strategy = replace(RECORDS, bounds_copies=False)
        outcomes = play_all(strategy, (isolated_for_long,), 10, ISOLATED)
        self.assertIn("service by record", ways_of(outcomes))


if __name__ == "__main__":
    unittest.main()
