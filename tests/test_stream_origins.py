"""Tests which stream origins a node knows, and the decision from the reports of others."""

import unittest
from collections.abc import Sequence

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.stream_origins import (
    UNREADABLE,
    OriginMemory,
    OriginPolicy,
    RegisteredStarts,
    Retirement,
    StartRecord,
    decide_origin,
    rank_holders,
    stream_key,
    versions_by_service,
)
from fescuedock.schema.origins import KnownStream, ServedVersions, StreamOrigin
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from fescuedock.schema.wire import WireStruct
from tests.builders.origin_strategies import LOSSES, STRATEGIES, Outcome, play

OLD, NEW = StreamOrigin("desk", "v1"), StreamOrigin("desk", "v2")
POLICY = OriginPolicy(retention_ms=1000.0, max_origins=3)


def registered(*versions: str, services: Sequence[str] = ("desk",)) -> RegisteredStarts:
    return RegisteredStarts("desk", frozenset(services), frozenset(versions))


class StreamKeyTest(unittest.TestCase):
    def test_an_identity_with_different_work_gives_another_key(self) -> None:
        keys = {stream_key(name, work) for name in ("r-1", "r-2", "") for work in ("w-1", "w-2")}
        self.assertEqual(len(keys), 6)


class OriginMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = OriginMemory(POLICY)

    def test_an_origin_is_retained_for_retention_ms(self) -> None:
        self.memory.record("s", OLD, 0.0)
        self.assertEqual(self.memory.find("s", 999.0), OLD)
        self.assertIsNone(self.memory.find("s", 1000.0))
        self.assertEqual(len(self.memory), 0)

    def test_the_oldest_origins_are_dropped_above_the_limit(self) -> None:
        for number in range(5):
            self.memory.record(f"s-{number}", OLD, float(number))
        self.assertEqual(len(self.memory), 3)
        self.assertIsNone(self.memory.find("s-1", 5.0))
        self.assertEqual(self.memory.find("s-2", 5.0), OLD)

    def test_a_stream_recorded_at_two_versions_counts_as_unknown(self) -> None:
        for origin in (OLD, NEW, NEW):
            self.memory.record("s", origin, 0.0)
        self.assertIsNone(self.memory.find("s", 1.0))
        self.assertEqual(self.memory.recorded("s", 1.0), (OLD, NEW))
        # Both are handed over, so that the next holder knows of the conflict too.
        self.assertEqual(self.memory.all_known(1.0), [KnownStream("s", OLD), KnownStream("s", NEW)])

    def test_only_own_streams_that_were_not_reported_are_unreported(self) -> None:
        self.memory.record("own", OLD, 0.0, is_own=True)
        self.memory.record("reported", OLD, 0.0, is_own=True)
        self.memory.record("remote", NEW, 0.0)
        self.memory.mark_reported(["reported", "unknown"])
        own, reported = KnownStream("own", OLD), KnownStream("reported", OLD)
        self.assertEqual(self.memory.unreported(1.0), [own])
        self.assertEqual(self.memory.all_known(1.0), [own, reported, KnownStream("remote", NEW)])
        # A stream that continues here is not reported again, unless its origin differs.
        self.memory.record("reported", OLD, 2.0, is_own=True)
        self.assertEqual(self.memory.unreported(3.0), [own])
        self.memory.record("reported", NEW, 3.0, is_own=True)
        self.assertEqual(self.memory.unreported(4.0), [own, reported, KnownStream("reported", NEW)])


class RankHoldersTest(unittest.TestCase):
    def test_consecutive_holders_are_in_different_domains(self) -> None:
        domains = {f"n-{number}": f"d-{number % 3}" for number in range(9)}
        for key in map(str, range(50)):
            ranked = rank_holders(key, domains)
            self.assertEqual(sorted(ranked), sorted(domains))
            for first in (0, 3, 6):
                self.assertEqual(len({domains[name] for name in ranked[first : first + 3]}), 3)

    @given(st.sets(st.integers(0, 40), min_size=1), st.integers(0, 40), st.text())
    def test_removing_a_node_leaves_the_order_of_its_domain(self, names, gone, key) -> None:
        domains = {f"n-{number}": "d" for number in names}
        ranked = rank_holders(key, domains)
        without = {name: domain for name, domain in domains.items() if name != f"n-{gone}"}
        self.assertEqual(
            rank_holders(key, without), [name for name in ranked if name != f"n-{gone}"]
        )


class DecideOriginTest(unittest.TestCase):
    def test_a_reported_origin_takes_precedence_over_the_record(self) -> None:
        found = decide_origin([OLD], registered("v2"))
        self.assertEqual(found.ok_value, OLD)

    def test_the_single_version_of_a_current_record_decides_an_unreported_stream(self) -> None:
        self.assertEqual(decide_origin([], registered("v1")).ok_value, OLD)

    def test_nothing_is_concluded_from_silence(self) -> None:
        unknown = [
            registered("v1", "v2"),
            registered(),
            registered(UNREADABLE),
            registered("v1", services=()),
            registered("v1", services=("desk", "other")),
            registered("v1", services=("other",)),
            None,
        ]
        for record in unknown:
            with self.subTest(record=record):
                self.assertTrue(decide_origin([], record).is_err())

    def test_nodes_that_disagree_leave_it_unknown(self) -> None:
        self.assertTrue(decide_origin([OLD, NEW], registered("v1")).is_err())
        self.assertEqual(decide_origin([NEW, NEW], registered("v1")).ok_value, NEW)


class RetirementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.retirement = Retirement(OriginPolicy(retire_after_ms=100.0))

    def due(
        self, listed: str, now_ms: float, *, is_certain: bool = True, leaving: str = ""
    ) -> dict:
        record = StartRecord(frozenset(("v1", "v2")), frozenset(leaving.split()))
        return self.retirement.due(
            {"desk": record}, {"desk": listed.split()}, now_ms, is_certain=is_certain
        )

    def test_a_version_is_due_once_unlisted_for_retire_after_ms(self) -> None:
        self.assertEqual(self.due("v2", 0.0), {})
        self.assertEqual(self.due("v2", 99.0), {})
        self.assertEqual(self.due("v2", 100.0), {"desk": ["v1"]})

    def test_a_version_that_is_listed_again_starts_over(self) -> None:
        self.due("v2", 0.0)
        self.due("v1 v2", 50.0)
        self.assertEqual(self.due("v2", 120.0), {})
        self.assertEqual(self.due("v2", 220.0), {"desk": ["v1"]})

    def test_time_without_certain_entries_does_not_count(self) -> None:
        self.due("v2", 0.0)
        self.assertEqual(self.due("v2", 150.0, is_certain=False), {})
        self.assertEqual(self.due("v2", 200.0), {})
        self.assertEqual(self.due("v2", 300.0), {"desk": ["v1"]})

    def test_a_version_marked_as_leaving_is_due_after_as_long_again(self) -> None:
        self.due("v2", 0.0)
        self.assertEqual(self.due("v2", 100.0), {"desk": ["v1"]})
        self.assertEqual(self.due("v2", 110.0, leaving="v1"), {})
        self.assertEqual(self.due("v2", 209.0, leaving="v1"), {})
        self.assertEqual(self.due("v2", 210.0, leaving="v1"), {"desk": ["v1"]})

    def test_a_version_that_was_marked_anew_unseen_starts_over(self) -> None:
        record = StartRecord(frozenset(("v1", "v2")), frozenset(("v1",)))
        for now_ms, revision, due in (
            (0.0, 5, {}),
            (99.0, 7, {}),
            (198.0, 7, {}),
            (199.0, 7, ["v1"]),
        ):
            found = self.retirement.due(
                {"desk": record},
                {"desk": ["v2"]},
                now_ms,
                is_certain=True,
                revisions={"desk": revision},
            )
            self.assertEqual(found, {"desk": due} if due else {})


class StartRecordTest(unittest.TestCase):
    def record(self, versions: str, leaving: str = "") -> StartRecord:
        return StartRecord(frozenset(versions.split()), frozenset(leaving.split()))

    def test_a_version_leaves_in_two_steps(self) -> None:
        marked = self.record("v1 v2").updated_versions({"v2"}, ["v1"])
        self.assertEqual(marked, self.record("v1 v2", "v1"))
        self.assertEqual(marked.startable, {"v2"})
        self.assertEqual(marked.updated_versions({"v2"}, ["v1"]), self.record("v2"))

    def test_a_listed_version_is_startable(self) -> None:
        marked = self.record("v1 v2", "v1")
        self.assertEqual(marked.updated_versions({"v1", "v2"}, ["v1"]), self.record("v1 v2"))
        self.assertEqual(marked.updated_versions({"v3"}, []), self.record("v1 v2 v3", "v1"))

    @given(*[st.sets(st.sampled_from(("v1", "v2", "v3"))) for _ in range(4)])
    def test_an_update_adds_all_that_is_listed_and_removes_only_what_was_leaving(
        self, versions, leaving, listed, due
    ) -> None:
        before = StartRecord(frozenset(versions), frozenset(leaving & versions))
        after = before.updated_versions(listed, due)
        self.assertLessEqual(listed, after.startable)
        removed = before.names - after.names
        self.assertLessEqual(removed, before.leaving & due - listed)
        # Versions that were not there and a record of none may not come from a retirement.
        self.assertEqual(after.names | removed, versions | listed)
        if before.names:
            self.assertTrue(after.names)

    def test_builds_with_and_without_the_mark_read_each_others_records(self) -> None:
        class FormerVersions(WireStruct):
            software_versions: list[str]

        marked = self.record("v1 v2", "v1")
        served = ServedVersions(sorted(marked.names), sorted(marked.leaving))
        encoded = msgspec.msgpack.encode(served)
        read = msgspec.msgpack.decode(encoded, type=FormerVersions)
        self.assertEqual(read.software_versions, ["v1", "v2"])
        served = msgspec.msgpack.decode(msgspec.msgpack.encode(read), type=ServedVersions)
        self.assertEqual(
            StartRecord.of(served.software_versions, served.leaving), self.record("v1 v2")
        )


class StrategiesTest(unittest.TestCase):
    """The implemented strategy reaches its targets; no strategy resumes at a wrong version."""

    def outcomes(
        self, strategy: str, loss: str, seeds: int = 20, **options: object
    ) -> list[Outcome]:
        return [play(STRATEGIES[strategy], loss, seed, **options) for seed in range(seeds)]

    def share(self, strategy: str, loss: str, **options: object) -> float:
        outcomes = self.outcomes(strategy, loss, **options)
        self.assertEqual(sum(item.wrong_version for item in outcomes), 0)
        return sum(item.continued for item in outcomes) / sum(item.resumed for item in outcomes)

    def test_all_resume_without_losses_and_nearly_all_after_losing_a_third_of_the_nodes(
        self,
    ) -> None:
        for versions in (1, 2):
            self.assertEqual(self.share("holders", "calm", versions=versions), 1.0)
        for loss in ("a third is gone", "a third was killed", "a domain is gone"):
            with self.subTest(loss=loss):
                self.assertGreaterEqual(self.share("holders", loss), 0.95)

    def test_with_one_version_all_resume_after_any_loss_without_notifications(self) -> None:
        for loss in LOSSES:
            with self.subTest(loss=loss):
                outcomes = self.outcomes("holders", loss, versions=1)
                self.assertEqual(sum(item.notifications for item in outcomes), 0)
                self.assertEqual(sum(item.continued for item in outcomes), 20 * 400)

    def test_no_strategy_resumes_at_another_version(self) -> None:
        for name in STRATEGIES:
            for loss in LOSSES:
                for store_unavailable in (False, True):
                    self.share(name, loss, seeds=4, store_unavailable=store_unavailable)


class VersionsByServiceTest(unittest.TestCase):
    def test_leaving_upstreams_count_and_other_services_do_not(self) -> None:
        def upstream(name: str, service: str, version: str, *, leaving: bool = False):
            record = UpstreamRecord(name, "r", "d", "h", 1, UpstreamKind.ENGINE, service, leaving)
            record.software_version = version
            return record

        upstreams = [
            upstream("a", "desk", "v1", leaving=True),
            upstream("b", "desk", "v2"),
            upstream("c", "other", "v3"),
        ]
        found = versions_by_service(upstreams, {"desk", "absent"})
        self.assertEqual(found, {"desk": frozenset(("v1", "v2"))})


if __name__ == "__main__":
    unittest.main()
