"""Evidence of broken runs until it is known whether their upstream has crashed."""

import unittest

from fescuedock.core.broken_runs import BrokenRuns
from fescuedock.schema.crashes import BrokenRun


def broken(work_id: str, *, looks_whole: bool = False, alone: bool = False) -> BrokenRun:
    return BrokenRun("u", work_id, alone=alone, looks_whole=looks_whole)


def names(runs: list[BrokenRun]) -> list[str]:
    return [run.work_id for run in runs]


class BrokenRunsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runs = BrokenRuns()

    def test_each_broken_run_has_its_upstream_probed_once(self) -> None:
        self.runs.add(broken("a"), 0.0)
        self.assertTrue(self.runs.needs_probe(0.0))
        self.runs.record_up(10.0)
        self.assertFalse(self.runs.needs_probe(1000.0))
        self.runs.add(broken("b"), 1000.0)
        self.assertTrue(self.runs.needs_probe(1000.0))

    def test_an_upstream_that_refuses_after_it_was_up_crashed_under_later_runs_only(self) -> None:
        self.runs.add(broken("before"), 0.0)
        self.runs.record_up(10.0)
        self.runs.add(broken("after"), 1000.0)
        self.assertEqual(names(self.runs.drain_ended(refused=True)), ["after"])
        self.assertEqual(len(self.runs), 0)

    def test_an_upstream_removed_from_the_list_crashed_under_all_runs(self) -> None:
        self.runs.add(broken("before"), 0.0)
        self.runs.record_up(10.0)
        self.runs.add(broken("after"), 1000.0)
        self.assertEqual(names(self.runs.drain_ended(refused=False)), ["before", "after"])

    def test_a_run_that_looks_complete_is_complete_once_its_upstream_is_up_a_second_later(
        self,
    ) -> None:
        self.runs.add(broken("a", looks_whole=True), 0.0)
        self.runs.record_up(900.0)
        self.assertEqual(self.runs.drain_complete(990.0), [])
        self.assertTrue(self.runs.needs_probe(1150.0))
        self.runs.record_up(1150.0)
        self.assertEqual(names(self.runs.drain_complete(1200.0)), ["a"])

    def test_a_run_that_looks_complete_clears_nothing_while_its_upstream_is_unreachable(
        self,
    ) -> None:
        """Guards against an upstream that fell silent and so cleared the cause of its crash."""
        self.runs.add(broken("a", looks_whole=True), 0.0)
        self.assertEqual(self.runs.drain_complete(4000.0), [])
        self.assertEqual(len(self.runs), 1)
        self.assertEqual(self.runs.drain_complete(5000.0), [])
        self.assertEqual(len(self.runs), 0)

    def test_a_run_that_looks_complete_counts_as_broken_if_the_upstream_refuses_soon_after(
        self,
    ) -> None:
        self.runs.add(broken("a", looks_whole=True, alone=True), 0.0)
        self.runs.record_up(10.0)
        self.assertTrue(self.runs.has_isolated)
        [run] = self.runs.drain_ended(refused=True)
        self.assertEqual((run.work_id, run.alone, run.given_up), ("a", True, False))

    def test_a_run_that_looks_complete_is_given_up_if_another_process_was_there_all_along(
        self,
    ) -> None:
        for up_ms, given_up in ((None, True), (10.0, False)):
            with self.subTest(up_ms=up_ms):
                runs = BrokenRuns()
                runs.add(broken("a", looks_whole=True, alone=True), 0.0)
                runs.add(broken("b", alone=True), 1.0 if up_ms is None else 11.0)
                if up_ms is not None:
                    runs.record_up(up_ms)
                found = runs.drain_ended(refused=True, other_peer=True)
                self.assertEqual([run.given_up for run in found], [given_up, False])

    def test_a_probe_is_due_when_a_response_counts_as_complete(self) -> None:
        self.runs.add(broken("a", looks_whole=True), 0.0)
        self.runs.record_up(900.0)
        self.assertEqual(self.runs.pause_ms(900.0), 100.0)
        self.assertFalse(self.runs.needs_probe(999.0))
        self.assertTrue(self.runs.needs_probe(1000.0))

    def test_an_isolated_run_whose_permit_was_returned_counts_as_given_up(self) -> None:
        self.runs.add(broken("first", looks_whole=True, alone=True), 0.0)
        self.runs.record_returned("first")
        self.runs.add(broken("second", looks_whole=True, alone=True), 1010.0)
        first, second = self.runs.drain_ended(refused=True)
        self.assertEqual((first.alone, first.given_up), (False, True))
        self.assertEqual((second.alone, second.given_up), (True, False))

    def test_a_settled_run_stays_undecided_for_ten_seconds_unless_its_process_is_identified(
        self,
    ) -> None:
        for looks_whole, identified_ms in ((False, 0.0), (True, 1000.0)):
            with self.subTest(looks_whole=looks_whole):
                runs = BrokenRuns()
                runs.add(broken("a", looks_whole=looks_whole, alone=True), 0.0)
                runs.record_up(1000.0)
                runs.drain_complete(5000.0)
                self.assertTrue(runs.has_undecided)
                runs.record_up(identified_ms - 1.0, identified=True)
                runs.drain_complete(9999.0)
                self.assertTrue(runs.has_undecided)
                runs.drain_complete(10_000.0)
                self.assertFalse(runs.has_undecided)
                runs.add(broken("b", looks_whole=looks_whole), 0.0)
                runs.record_up(identified_ms, identified=True)
                runs.drain_complete(5000.0)
                self.assertEqual((len(runs), runs.has_undecided), (0, False))

    def test_a_broken_run_is_dropped_after_five_seconds(self) -> None:
        self.runs.add(broken("a"), 0.0)
        self.assertEqual(self.runs.drain_complete(4999.0), [])
        self.assertEqual(len(self.runs), 1)
        self.runs.drain_complete(5000.0)
        self.assertEqual(len(self.runs), 0)


if __name__ == "__main__":
    unittest.main()
