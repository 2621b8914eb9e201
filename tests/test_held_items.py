"""What keeps items from running, and which of that is worth a log line."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.quarantine import FREE, Restriction, Verdict
from fescuedock.core.stored_jobs.holds import HeldItem, HeldItems, Hold, hold_of
from fescuedock.core.stored_jobs.job import ItemRun
from fescuedock.core.stored_jobs.work_gate import WorkRefusal
from tests.builders.forwarding import stored_item

_JOB = "j"


def held(name: str, hold: Hold = Hold.PERMIT, since_ms: float = 0.0) -> HeldItem:
    return HeldItem(_JOB, name, hold, since_ms)


class HoldOfTest(unittest.TestCase):
    def hold(self, run: ItemRun | None = None, **changes: object) -> HeldItem:
        facts = {"refusal": None, "verdict": FREE, "has_upstream": True} | changes
        return hold_of(_JOB, run or ItemRun(stored_item("a")), 100.0, 1000.0, **facts)

    def test_each_state_is_told(self) -> None:
        running, pausing = ItemRun(stored_item("a")), ItemRun(stored_item("a"))
        running.start(700.0)
        pausing.not_before_ms, pausing.ended_ms = 1500.0, 900.0
        refused = Verdict(Restriction.REFUSED, 3, 2000.0, "w")
        for found, hold, since_ms, ends_in_ms in (
            (self.hold(), Hold.PERMIT, 100.0, math.inf),
            (self.hold(running), Hold.RUN, 700.0, math.inf),
            (self.hold(pausing), Hold.PAUSE, 900.0, 500.0),
            (self.hold(refusal=WorkRefusal.UNCONFIRMED), Hold.JOB, 100.0, math.inf),
            (self.hold(has_upstream=False), Hold.UPSTREAM, 100.0, math.inf),
            (self.hold(verdict=refused), Hold.CRASHES, 100.0, 2000.0),
            (self.hold(verdict=Verdict(Restriction.ALONE, 2)), Hold.ISOLATION, 100.0, math.inf),
        ):
            with self.subTest(hold=hold):
                self.assertEqual((found.hold, found.since_ms), (hold, since_ms))
                self.assertEqual(found.ends_in_ms, ends_in_ms)


class HeldItemsTest(unittest.TestCase):
    def test_a_long_wait_is_reported_at_doubling_intervals(self) -> None:
        items = HeldItems()
        reported = [
            now_ms
            for now_ms in range(0, 100_000, 1000)
            if items.update([held("a"), held("b", since_ms=500.0)], now_ms)
        ]
        self.assertEqual(reported, [5000, 10_000, 20_000, 40_000, 80_000])

    def test_a_report_tells_the_longest_wait_and_how_long_the_present_one_holds(self) -> None:
        items = HeldItems()
        items.update([held("a"), held("b")], 1000.0)
        [group] = items.update([held("a", Hold.ISOLATION), held("b", since_ms=4000.0)], 6000.0)
        self.assertEqual((group.item.item_id, group.count), ("a", 1))
        self.assertEqual((group.waited_ms, group.held_ms), (6000.0, 0.0))
        self.assertEqual(items.counts, {Hold.ISOLATION: 1, Hold.PERMIT: 1})
        self.assertEqual(items.longest_ms, {Hold.ISOLATION: 6000.0, Hold.PERMIT: 2000.0})

    def test_an_item_that_has_run_is_reported_anew(self) -> None:
        items = HeldItems()
        self.assertTrue(items.update([held("a")], 9000.0))
        self.assertFalse(items.update([held("a", since_ms=9500.0)], 10_000.0))
        self.assertTrue(items.update([held("a", since_ms=9500.0)], 14_500.0))

    def test_a_long_run_is_no_wait(self) -> None:
        self.assertFalse(HeldItems().update([held("a", Hold.RUN)], 20_000.0))

    @given(st.integers(1, 200), st.lists(st.integers(0, 40_000), min_size=1, max_size=20))
    def test_lines_are_bounded_and_every_long_wait_gets_one(
        self, jobs: int, steps_ms: list[int]
    ) -> None:
        items, now_ms, reported = HeldItems(), 0, set()
        waiting = [HeldItem(str(job), "a", Hold.PERMIT, 0.0) for job in range(jobs)]
        for step_ms in [*steps_ms, 5000, *([0] * 13)]:
            now_ms += step_ms
            groups = items.update(waiting, now_ms)
            self.assertLessEqual(len(groups), 16)
            reported.update(group.item.job_id for group in groups)
        self.assertEqual(len(reported), jobs)


if __name__ == "__main__":
    unittest.main()
