"""Metrics: snapshots merge without loss, labels are bounded, promises are counted per query."""

import re
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from fescuedock.core.burn import merge_slots
from fescuedock.report.histograms import merge_histograms, percentiles_ms
from fescuedock.report.metrics import Metrics, new_histogram
from fescuedock.report.prometheus import exposition
from fescuedock.schema.config import Objectives
from fescuedock.schema.report import FleetStatus, MetricsSnapshot
from fescuedock.schema.result_codes import ResultCode

NOW_S = 1_800_000_000

_QUERY = st.tuples(
    st.integers(0, 4 * 86400),
    st.sampled_from(["admision-llm", "trip-desk"]),
    st.sampled_from(["small", "large"]),
    st.floats(0, 5000),
    st.floats(0, 100),
    st.sampled_from([ResultCode.OK, ResultCode.NO_CAPACITY, ResultCode.BAD_REQUEST]),
)


class Recorder:
    """A ``Metrics`` with a clock that the test sets."""

    def __init__(self, process: str = "vm-1/entry/1") -> None:
        self.now_s = NOW_S
        self.metrics = Metrics(process, lambda: self.now_s)

    def record(self, query: tuple) -> None:
        at_s, *values = query
        self.now_s = NOW_S + at_s
        self.metrics.record_online(*values)
        self.metrics.record_job(values[0], in_time=values[1] == "small")

    def snapshot(self, now_s: int) -> MetricsSnapshot:
        self.now_s = now_s
        return self.metrics.snapshot()


def merged_slots(snapshots: list[MetricsSnapshot]) -> dict[str, list]:
    by_service: dict[str, list] = {}
    for snapshot in snapshots:
        for service in snapshot.services:
            by_service.setdefault(service.service, []).extend(service.slots)
    return {service: merge_slots(slots) for service, slots in by_service.items()}


def recorded_values(snapshots: list[MetricsSnapshot]) -> dict:
    """Return the exact recorded counts of each histogram."""
    return {
        key: [
            (item.value_iterated_to, item.count_added_in_this_iter_step)
            for item in histogram.get_recorded_iterator()
        ]
        for key, histogram in merge_histograms(snapshots).items()
    }


def codes(snapshots: list[MetricsSnapshot]) -> Counter:
    counts: Counter = Counter()
    for snapshot in snapshots:
        for item in snapshot.codes:
            counts[item.service, item.code] += item.count
    return counts


class MergeTest(unittest.TestCase):
    @settings(max_examples=30)
    @given(st.lists(st.tuples(st.integers(0, 2), _QUERY), max_size=30))
    def test_merged_equals_all_recorded_together(self, recorded: list) -> None:
        # Time must not run backwards within a process.
        recorded = sorted(recorded, key=lambda item: item[1][0])
        separate = [Recorder(f"vm-{number}/entry/1") for number in range(3)]
        combined = Recorder()
        for process, query in recorded:
            separate[process].record(query)
            combined.record(query)
        end_s = NOW_S + 4 * 86400
        snapshots = [recorder.snapshot(end_s) for recorder in separate]
        reference = [combined.snapshot(end_s)]
        self.assertEqual(merged_slots(snapshots), merged_slots(reference))
        kept = sum(
            slot.jobs_in_time for slots in merged_slots(reference).values() for slot in slots
        )
        recent = [query for _, query in recorded if query[0] >= 86400 + 900]
        self.assertGreaterEqual(kept, sum(query[2] == "small" for query in recent))
        self.assertEqual(recorded_values(snapshots), recorded_values(reference))
        self.assertEqual(codes(snapshots), codes(reference))


class MetricsTest(unittest.TestCase):
    def test_query_is_in_time_only_within_both_objectives(self) -> None:
        objectives = Objectives(first_token_ms=100, inter_token_ms=10)
        metrics = Metrics("vm-1/entry/1", lambda: NOW_S, lambda _service: objectives)
        for first_token_ms, inter_token_ms in ((100, 10), (101, 10), (100, 11)):
            metrics.record_online("s", "g", first_token_ms, inter_token_ms, ResultCode.OK)
        metrics.record_online("s", "g", 0, 0, ResultCode.NO_CAPACITY)
        total = metrics.snapshot().services[0].total
        self.assertEqual((total.online, total.online_in_time, total.online_failed), (4, 1, 1))

    def test_errors_of_the_caller_do_not_count_against_the_service(self) -> None:
        metrics = Metrics("vm-1/entry/1", lambda: NOW_S)
        for code in (ResultCode.BAD_REQUEST, ResultCode.UNAUTHORIZED, ResultCode.UPSTREAM_REJECTED):
            metrics.record_online("s", "g", 0, 0, code)
        snapshot = metrics.snapshot()
        self.assertEqual(snapshot.services[0].total.online, 0)
        self.assertEqual(sum(item.count for item in snapshot.codes), 3)

    def test_number_of_labels_is_bounded(self) -> None:
        metrics = Metrics("vm-1/entry/1", lambda: NOW_S)
        for number in range(2700):
            metrics.record_online(f"s{number}", f"g{number}", 5, 1, ResultCode.OK)
        snapshot = metrics.snapshot()
        services = {item.service for item in snapshot.services}
        groups = {item.member_group for item in snapshot.histograms}
        self.assertLessEqual(len(services), 65)
        self.assertLessEqual(len(groups), 8)
        self.assertEqual(sum(item.total.online for item in snapshot.services), 2700)

    def test_run_times_are_separated_by_whether_events_were_produced(self) -> None:
        metrics = Metrics("vm-1/node/1", lambda: NOW_S)
        for ran_ms, with_events in ((500.0, True), (40.0, False), (60.0, False)):
            metrics.record_run("s", ran_ms, with_events=with_events)
        found = {item.measure: (sum(item.counts), item.sum_ms) for item in metrics.totals().buckets}
        expected = {"run_with_events": (1, 500.0), "run_without_events": (2, 100.0)}
        self.assertEqual(found, expected)

    def test_value_out_of_range_is_clamped_to_the_range(self) -> None:
        metrics = Metrics("vm-1/entry/1", lambda: NOW_S)
        metrics.record_online("s", "g", 1e12, 0.0, ResultCode.OK)
        histogram = next(iter(merge_histograms([metrics.snapshot()]).values()))
        self.assertEqual(histogram.get_total_count(), 1)


class HistogramTest(unittest.TestCase):
    def test_percentiles(self) -> None:
        histogram = new_histogram()
        for value_ms in range(1, 101):
            histogram.record_value(value_ms * 1000)
        median_ms, tail_ms = percentiles_ms(histogram, (50, 99))
        self.assertAlmostEqual(median_ms, 50, delta=0.5)
        self.assertAlmostEqual(tail_ms, 99, delta=1)


class PrometheusTest(unittest.TestCase):
    def test_text_has_the_counts_and_no_process_incarnation(self) -> None:
        metrics = Metrics("vm-1/entry/a1b2", lambda: NOW_S)
        metrics.record_online("trip-desk", "small", 20, 3, ResultCode.OK)
        metrics.record_job("trip-desk", in_time=False)
        metrics.record_online("trip-desk", "large", 31, 0, ResultCode.OK)
        text = exposition([metrics.totals()], FleetStatus("vm-1", 7, 2500, 100, [], [])).decode()
        labels = 'program="entry",service="trip-desk"'
        self.assertIn(f"fescuedock_online_in_time_total{{{labels}}} 2.0\n", text)
        self.assertIn(f"fescuedock_jobs_total{{{labels}}} 1.0\n", text)
        self.assertIn(f"fescuedock_jobs_in_time_total{{{labels}}} 0.0\n", text)
        self.assertIn("fescuedock_config_version 7.0\n", text)
        self.assertIn("fescuedock_config_age_seconds 2.5\n", text)
        for bound, count in (("0.01", 0), ("0.02", 1), ("0.031", 2), ("+Inf", 2)):
            line = rf'latency_seconds_bucket\{{le="{re.escape(bound)}",measure="first_token"'
            self.assertRegex(text, rf"{line}.*\}} {count}\.0\n")
        self.assertRegex(text, r'latency_seconds_sum\{measure="first_token".*\} 0\.051\n')
        self.assertNotIn("a1b2", text)


if __name__ == "__main__":
    unittest.main()
