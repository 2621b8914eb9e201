"""The burn report: windows, alarms, golden reports, and merging reports of processes."""

import os
import tempfile
import unittest
from pathlib import Path

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.burn import Alarm, Promise, SlotSeries, assess_burn, fast_rate
from fescuedock.report.burn_html import burn_html
from fescuedock.report.burn_report import build_report
from fescuedock.report.burn_text import burn_text
from fescuedock.schema.report import MetricsReport, ServiceObjectives
from tests.builders.metrics import BURNING, STEADY, three_days

GOLDEN = Path(__file__).with_name("golden")
NOW_S = 1_800_000_000
OBJECTIVES = ServiceObjectives(
    first_token_ms=1000, inter_token_ms=31, online_share=0.95, batch_share=0.99
)


class AssessBurnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.series = SlotSeries()

    def count(self, age_s: int, kept: int, missed: int) -> None:
        for number in range(kept + missed):
            self.series.count_online(NOW_S - age_s, in_time=number < kept, failed=False)

    def online(self, objectives: ServiceObjectives = OBJECTIVES):
        burns = assess_burn("s", objectives, self.series.slots(NOW_S), NOW_S)
        return next(burn for burn in burns if burn.promise is Promise.ONLINE)

    def rates(self) -> list[float | None]:
        return [
            None if item.rate is None else round(item.rate, 6) for item in self.online().windows
        ]

    def test_nothing_counted_is_no_rate_and_no_alarm(self) -> None:
        self.assertEqual(self.rates(), [None] * 4)
        self.assertIs(self.online().alarm, Alarm.NONE)

    def test_rate_of_one_uses_the_budget_up(self) -> None:
        self.count(0, kept=95, missed=5)
        self.assertEqual(self.rates(), [1.0] * 4)
        self.assertAlmostEqual(self.online().windows[0].budget_left, 0)

    def test_windows_see_only_their_own_time(self) -> None:
        self.count(2 * 86400, kept=0, missed=1)
        self.count(5 * 3600, kept=1, missed=0)
        self.count(1800, kept=3, missed=0)
        self.count(60, kept=4, missed=0)
        totals = [(item.total, item.kept) for item in self.online().windows]
        self.assertEqual(totals, [(4, 4), (7, 7), (8, 8), (9, 8)])

    def test_counts_older_than_three_days_are_dropped(self) -> None:
        self.count(4 * 86400, kept=0, missed=10)
        self.count(0, kept=1, missed=0)
        self.assertEqual(self.series.slots(NOW_S)[0].start_s, NOW_S - NOW_S % 60)

    def test_fast_burn_needs_the_short_and_the_long_window(self) -> None:
        self.count(1800, kept=0, missed=100)
        self.assertIsNot(self.online().alarm, Alarm.FAST, "fixed: no failures in the last minutes")
        self.count(0, kept=0, missed=100)
        self.assertIs(self.online().alarm, Alarm.FAST)

    def test_a_few_bad_minutes_are_no_fast_burn(self) -> None:
        self.count(1800, kept=1000, missed=0)
        self.count(0, kept=0, missed=10)
        self.assertIs(self.online().alarm, Alarm.NONE)

    def test_slow_burn_is_one_that_lasts(self) -> None:
        for hour in range(5):
            self.count(hour * 3600, kept=90, missed=10)
        self.assertIs(self.online().alarm, Alarm.SLOW)

    def test_every_objective_above_zero_can_burn_fast(self) -> None:
        for share in (0.5, 0.9, 0.95, 0.999):
            self.assertGreater(1 / (1 - share), fast_rate(share), share)
        self.count(0, kept=0, missed=10)
        nothing = msgspec.structs.replace(OBJECTIVES, online_share=0.0)
        self.assertIs(self.online(nothing).alarm, Alarm.NONE)
        everything = msgspec.structs.replace(OBJECTIVES, online_share=1.0)
        self.assertIs(self.online(everything).alarm, Alarm.FAST)

    @given(st.lists(st.tuples(st.integers(0, 3 * 86400 - 1000), st.booleans()), max_size=60))
    def test_no_count_is_lost_or_doubled_by_ageing(self, queries: list) -> None:
        series = SlotSeries()
        for age_s, in_time in sorted(queries, reverse=True):
            series.count_online(NOW_S - age_s, in_time=in_time, failed=not in_time)
        slots = series.slots(NOW_S)
        self.assertEqual(sum(slot.online for slot in slots), len(queries))
        self.assertEqual(sum(slot.online_failed for slot in slots), series.total.online_failed)


class ReportTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.reports = three_days()

    def check(self, name: str, text: str) -> None:
        path = GOLDEN / name
        if os.environ.get("UPDATE_GOLDEN") == "1":
            path.write_text(text, encoding="utf-8")
        self.maxDiff = None
        self.assertEqual(path.read_text(encoding="utf-8"), text)

    def test_golden_reports(self) -> None:
        report = build_report(self.reports, missing=("vm-9",))
        self.check("burn.txt", burn_text(report) + "\n")
        formatted = msgspec.json.format(msgspec.json.encode(report.services[0].burns), indent=1)
        self.check("burn.json", formatted.decode() + "\n")
        self.check("burn.html", burn_html(report))

    def test_alarm_is_that_of_the_burning_service(self) -> None:
        report = build_report(self.reports)
        alarms = {
            service.service: {burn.alarm for burn in service.burns} for service in report.services
        }
        self.assertEqual(alarms[STEADY] | alarms[BURNING], {Alarm.NONE, Alarm.FAST, Alarm.SLOW})
        self.assertIn(Alarm.FAST, alarms[BURNING])
        self.assertNotIn(Alarm.FAST, alarms[STEADY])
        self.assertIs(report.alarm, Alarm.FAST)

    def test_order_and_repeats_of_reports_do_not_matter(self) -> None:
        older = self.reports[0].snapshots[0]
        older = msgspec.structs.replace(older, taken_at_s=older.taken_at_s - 1, services=[])
        repeated = [MetricsReport([older]), *reversed(self.reports), self.reports[1]]
        self.assertEqual(build_report(repeated), build_report(self.reports))

    def test_no_metrics_at_all_is_a_report_too(self) -> None:
        report = build_report([])
        self.assertIn("nothing was counted yet", burn_text(report))
        self.assertIn("no alarm", burn_html(report))

    def test_saved_reports_read_back_the_same(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "saved.json"
            path.write_bytes(msgspec.json.encode(self.reports))
            saved = msgspec.json.decode(path.read_bytes(), type=list[MetricsReport])
        self.assertEqual(build_report(saved), build_report(self.reports))

    def test_page_is_self_contained_and_names_are_escaped(self) -> None:
        slots = self.reports[0].snapshots[0].services
        bad = msgspec.structs.replace(slots[0], service="<script>alert(1)</script>")
        snapshot = msgspec.structs.replace(self.reports[0].snapshots[0], services=[bad])
        page = burn_html(build_report([MetricsReport([snapshot])]))
        self.assertNotIn("<script", page)
        for word in ("http://", "https://", "@import", "url("):
            self.assertNotIn(word, page)


if __name__ == "__main__":
    unittest.main()
