"""A node's replicas of the store: tables never move backwards, outages, and lapsed upstreams."""

import unittest

import msgspec

from fescuedock.core.kv_availability import KvAvailability, KvAvailabilityPolicy
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.upstream_listing import UpstreamListing
from fescuedock.kv import KvEntry, KvEvent
from fescuedock.schema.view import UpstreamKind, UpstreamRecord


def entry(key: str, revision: int, value: bytes = b"") -> KvEntry:
    return KvEntry(key, value, revision)


def upstream(name: str, port: int = 8000) -> UpstreamRecord:
    return UpstreamRecord(
        name, "caldas", "sala-1", "10.0.0.1", port, UpstreamKind.ENGINE, "desk-llm"
    )


class ReplicaTableTest(unittest.TestCase):
    def test_an_older_state_of_a_key_is_ignored_wherever_it_comes_from(self) -> None:
        table = ReplicaTable("a/")
        table.replace([entry("a/1", 7, b"new")], 9, 0.0)
        table.apply([KvEvent("a/1", 5, entry("a/1", 5, b"old"))], 9, 1.0)
        table.replace([entry("a/1", 3, b"older")], 9, 2.0)
        self.assertEqual(table.entries["a/1"].value, b"new")

    def test_a_heartbeat_is_applied_but_not_reported(self) -> None:
        def is_heartbeat(before: bytes, after: bytes) -> bool:
            return before[:1] == after[:1]

        table = ReplicaTable("a/", is_heartbeat)
        table.replace([entry("a/1", 7, b"r1")], 9, 0.0)
        version = table.version
        beat, change = entry("a/1", 10, b"r2"), entry("a/1", 11, b"d3")
        self.assertEqual(table.apply([KvEvent("a/1", 10, beat)], 10, 1.0), [])
        self.assertEqual((table.version, table.entries["a/1"]), (version, beat))
        event = KvEvent("a/1", 11, change)
        self.assertEqual(table.apply([event], 11, 2.0), [event])
        self.assertGreater(table.version, version)

    def test_an_entry_that_a_node_recorded_itself_is_reported_to_others(self) -> None:
        table = ReplicaTable("a/")
        table.replace([], 9, 0.0)
        own = entry("a/1", 10, b"x")
        table.record_entry(own)
        event = KvEvent("a/1", 10, own)
        self.assertEqual(table.apply([event], 10, 1.0), [event])

    def test_an_older_snapshot_changes_nothing(self) -> None:
        table = ReplicaTable("a/")
        table.replace([entry("a/1", 7)], 9, 0.0)
        table.replace([], 8, 1.0)
        self.assertIn("a/1", table.entries)
        self.assertEqual(table.revision, 9)

    def test_keys_missing_from_a_snapshot_are_removed(self) -> None:
        table = ReplicaTable("a/")
        table.replace([entry("a/1", 7), entry("a/2", 8)], 9, 0.0)
        table.replace([entry("a/2", 8)], 10, 1.0)
        self.assertEqual(list(table.entries), ["a/2"])

    def test_a_key_written_after_the_snapshot_stays(self) -> None:
        table = ReplicaTable("a/")
        table.replace([], 9, 0.0)
        table.record_entry(entry("a/1", 12))
        table.replace([], 10, 1.0)
        self.assertIn("a/1", table.entries)

    def test_an_older_entry_does_not_restore_a_removed_key(self) -> None:
        table = ReplicaTable("a/")
        table.replace([entry("a/1", 7)], 7, 0.0)
        table.apply([KvEvent("a/1", 8, None)], 8, 1.0)
        table.record_entry(entry("a/1", 7))
        self.assertNotIn("a/1", table.entries)
        table.record_entry(entry("a/1", 9))
        self.assertIn("a/1", table.entries)

    def test_only_changes_raise_the_version(self) -> None:
        table = ReplicaTable("a/")
        table.replace([entry("a/1", 7)], 7, 0.0)
        before = table.version
        table.apply([], 8, 50.0)
        self.assertEqual((table.version, table.revision, table.age_ms(60.0)), (before, 8, 10.0))


class KvAvailabilityTest(unittest.TestCase):
    def test_only_failures_over_a_long_time_are_an_outage(self) -> None:
        kv_availability = KvAvailability(KvAvailabilityPolicy(outage_ms=800.0))
        kv_availability.record_answer(1000.0)
        self.assertFalse(kv_availability.record_failure(1100.0))
        self.assertFalse(kv_availability.is_unavailable(1100.0))
        self.assertTrue(kv_availability.record_failure(1900.0))
        self.assertTrue(kv_availability.is_unavailable(1900.0))

    def test_missing_keys_may_come_back_until_the_grace_after_an_outage_is_over(self) -> None:
        kv_availability = KvAvailability(KvAvailabilityPolicy(outage_ms=800.0, grace_ms=2500.0))
        kv_availability.record_answer(1000.0)
        self.assertFalse(kv_availability.in_grace(1000.0))
        kv_availability.record_failure(1100.0)
        kv_availability.record_failure(3000.0)
        self.assertTrue(kv_availability.in_grace(3000.0))
        self.assertTrue(kv_availability.record_answer(4000.0))
        self.assertTrue(kv_availability.in_grace(6400.0))
        self.assertFalse(kv_availability.in_grace(6500.0))

    def test_an_answer_to_a_neighbour_ends_an_outage_and_starts_its_grace_period(self) -> None:
        kv_availability = KvAvailability(KvAvailabilityPolicy(outage_ms=800.0, grace_ms=2500.0))
        kv_availability.record_answer(1000.0)
        kv_availability.record_failure(3000.0)
        self.assertTrue(kv_availability.is_unavailable(3000.0))
        kv_availability.record_neighbour_answer(4000.0)
        self.assertFalse(kv_availability.is_unavailable(4000.0))
        self.assertTrue(kv_availability.in_grace(6400.0))

    def test_a_time_without_calls_is_no_outage(self) -> None:
        kv_availability = KvAvailability()
        kv_availability.record_answer(1000.0)
        self.assertFalse(kv_availability.is_unavailable(60_000.0))

    def test_pauses_between_failed_calls_grow_to_a_bound(self) -> None:
        kv_availability = KvAvailability(
            KvAvailabilityPolicy(first_pause_ms=100.0, max_pause_ms=800.0)
        )
        pauses = []
        for at_ms in range(6):
            kv_availability.record_failure(float(at_ms))
            pauses.append(kv_availability.pause_ms())
        self.assertEqual(pauses, [100.0, 200.0, 400.0, 800.0, 800.0, 800.0])


class UpstreamListingTest(unittest.TestCase):
    def test_an_entry_that_vanishes_outside_an_outage_is_removed_at_once(self) -> None:
        listing = UpstreamListing()
        listing.update({"i-1": upstream("i-1")}, in_grace=False)
        listing.update({}, in_grace=False)
        self.assertEqual(list(listing.upstreams()), [])

    def test_an_entry_that_vanishes_in_an_outage_is_retained_until_its_grace_period_ends(
        self,
    ) -> None:
        listing = UpstreamListing()
        listing.update({"i-1": upstream("i-1")}, in_grace=False)
        listing.update({}, in_grace=True)
        self.assertEqual([item.upstream_id for item in listing.upstreams()], ["i-1"])
        self.assertEqual(list(listing.lapsed), ["i-1"])
        listing.update({}, in_grace=False)
        self.assertEqual(list(listing.upstreams()), [])

    def test_an_entry_that_returns_counts_once(self) -> None:
        listing = UpstreamListing()
        listing.update({"i-1": upstream("i-1")}, in_grace=False)
        listing.update({}, in_grace=True)
        leaving = msgspec.structs.replace(upstream("i-1"), leaving=True)
        listing.update({"i-1": leaving}, in_grace=True)
        self.assertEqual(list(listing.upstreams()), [leaving])

    def test_another_upstream_at_the_address_ends_the_grace(self) -> None:
        listing = UpstreamListing()
        listing.update({"i-1": upstream("i-1")}, in_grace=False)
        listing.update({"i-2": upstream("i-2")}, in_grace=True)
        self.assertEqual([item.upstream_id for item in listing.upstreams()], ["i-2"])


if __name__ == "__main__":
    unittest.main()
