"""Pending job ends of a node, and acceptances that may still store a job."""

import unittest

from fescuedock.core.stored_jobs.pending_ends import PendingEnds, UnresolvedAcceptances


class WantedEndsTest(unittest.TestCase):
    def test_an_end_is_pending_until_it_is_discarded(self) -> None:
        ends = PendingEnds()
        self.assertNotIn("j", ends)
        self.assertTrue(ends.add("j", 100.0))
        self.assertIn("j", ends)
        ends.discard("j")
        self.assertNotIn("j", ends)

    def test_a_repeated_end_is_retried_until_the_latest_time(self) -> None:
        ends = PendingEnds()
        ends.add("j", 100.0)
        ends.add("j", 150.0)
        ends.add("j", 120.0)
        self.assertFalse(ends.is_expired("j", 149.0))
        self.assertTrue(ends.is_expired("j", 150.0))

    def test_pending_ends_are_bounded_but_known_ones_may_be_repeated(self) -> None:
        ends = PendingEnds(max_ends=2)
        self.assertEqual([ends.add(name, 100.0) for name in "abab"], [True, True, True, True])
        self.assertFalse(ends.add("c", 100.0))
        self.assertNotIn("c", ends)
        ends.discard("a")
        self.assertTrue(ends.add("c", 100.0))


class UnsettledAcceptancesTest(unittest.TestCase):
    def test_a_job_may_be_stored_while_any_attempt_is_in_progress(self) -> None:
        acceptances = UnresolvedAcceptances()
        acceptances.begin("j")
        acceptances.begin("j")
        acceptances.finish("j", 10.0, uncertain=False)
        self.assertTrue(acceptances.may_store("j", 10.0))
        self.assertFalse(acceptances.may_store("other", 10.0))
        acceptances.finish("j", 20.0, uncertain=False)
        self.assertFalse(acceptances.may_store("j", 20.0))

    def test_an_uncertain_attempt_may_take_effect_for_a_while(self) -> None:
        acceptances = UnresolvedAcceptances(unresolved_ms=1000.0)
        acceptances.begin("j")
        acceptances.finish("j", 10.0, uncertain=True)
        self.assertTrue(acceptances.may_store("j", 1009.0))
        self.assertFalse(acceptances.may_store("j", 1010.0))
        # A later attempt that surely failed does not resolve the earlier one.
        acceptances.begin("j")
        acceptances.finish("j", 20.0, uncertain=False)
        self.assertTrue(acceptances.may_store("j", 1009.0))

    def test_finished_attempts_are_forgotten(self) -> None:
        acceptances = UnresolvedAcceptances(unresolved_ms=1000.0)
        for number in range(100):
            acceptances.begin(f"j{number}")
            acceptances.finish(f"j{number}", number * 100.0, uncertain=True)
        self.assertLessEqual(len(acceptances._until_ms), 11)
        self.assertEqual(len(acceptances._running), 0)


if __name__ == "__main__":
    unittest.main()
