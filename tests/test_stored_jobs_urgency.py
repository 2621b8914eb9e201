"""The order in which batch items run, at their node and in the queues of owners."""

import unittest

from msgspec.structs import replace

from fescuedock.core.permits.queued import batch_rank
from fescuedock.core.quarantine import Restriction
from fescuedock.core.stored_jobs.job import ItemEnd, ItemRun, StoredJob
from fescuedock.core.stored_jobs.pool import ItemPool, UpstreamVersions
from fescuedock.core.stored_jobs.run_estimates import RunEstimate, RunShare
from fescuedock.core.stored_jobs.urgency import rank_items, stage_of
from fescuedock.schema.permits import BatchStage
from tests.builders.forwarding import job_record, stored_item


def job_due(name: str, due_ms: float, events_done: int = 0) -> StoredJob:
    """Return a job with one item that has produced ``events_done`` events."""
    job = StoredJob(job_record(name), [stored_item(name)], [], due_ms, 60_000.0)
    [run] = job.ready_items(0.0)
    run.last_event = events_done - 1
    return job


def half_run_share() -> RunShare:
    """Return the run share of items that wait as long as they run."""
    run_share = RunShare(gain=1.0)
    run_share.observe(1000.0, 1000.0)
    return run_share


class OrderTest(unittest.TestCase):
    """Items with 1 s of run time that are interrupted half of the time."""

    def first(self, *jobs: StoredJob, run_share: RunShare | None = None) -> str:
        estimate = RunEstimate(events=100.0, deviation=10.0, event_ms=10.0)
        choices = rank_items(jobs, "i-1", estimate, run_share or half_run_share(), 0.0)
        return choices[0].run.item.item_id

    def test_of_new_items_the_one_that_is_due_first_runs_first(self) -> None:
        self.assertEqual(self.first(job_due("a", 9000.0), job_due("b", 5000.0)), "b")

    def test_items_that_will_be_late_run_after_those_that_can_be_on_time(self) -> None:
        self.assertEqual(self.first(job_due("a", 900.0), job_due("b", 5000.0)), "b")

    def test_begun_items_are_finished_before_new_items_begin(self) -> None:
        self.assertEqual(self.first(job_due("a", 5000.0), job_due("b", 9000.0, 10)), "b")

    def test_the_one_with_least_left_is_finished_first(self) -> None:
        self.assertEqual(self.first(job_due("a", 5000.0, 20), job_due("b", 9000.0, 60)), "b")

    def test_an_item_that_another_wait_would_make_late_runs_first(self) -> None:
        self.assertEqual(self.first(job_due("a", 1000.0, 40), job_due("b", 9000.0, 60)), "a")

    def test_an_item_that_only_an_uninterrupted_run_could_complete_does_not_begin(self) -> None:
        doubtful, safe = job_due("a", 1500.0), job_due("b", 9000.0)
        self.assertEqual(self.first(doubtful, safe), "b")
        self.assertEqual(self.first(doubtful, safe, run_share=RunShare()), "a")

    def test_of_doubtful_items_the_one_with_the_best_chance_runs_first(self) -> None:
        self.assertEqual(self.first(job_due("a", 1200.0), job_due("b", 1800.0)), "b")

    def test_an_item_with_more_events_has_less_time_left(self) -> None:
        job = job_due("a", 900.0, 50)
        estimate = RunEstimate(events=100.0, deviation=10.0, event_ms=10.0)
        [choice] = rank_items([job], "i-1", estimate, half_run_share(), 0.0)
        self.assertEqual((choice.left_ms, choice.slack_ms), (500.0, 400.0))

    def test_stages_rank_in_the_order_in_which_they_are_listed(self) -> None:
        ranks = [batch_rank(stage, 1000.0, 1000.0)[0] for stage in BatchStage]
        self.assertEqual(ranks, sorted(ranks))
        self.assertIs(stage_of(999.0, 1000.0, 1.0, begun=True), BatchStage.LATE)


class LearningTest(unittest.TestCase):
    def test_estimates_follow_the_items_that_were_done(self) -> None:
        estimate = RunEstimate()
        estimate.observe(50, 4.0)
        self.assertEqual((estimate.events, estimate.event_ms), (50.0, 4.0))
        estimate.observe(150, 4.0)
        self.assertEqual(estimate.events, 60.0)

    def test_an_item_beyond_the_mean_has_one_deviation_left(self) -> None:
        estimate = RunEstimate(events=100.0, deviation=10.0, event_ms=10.0)
        self.assertEqual((estimate.left_ms(70), estimate.left_ms(120)), (300.0, 100.0))

    def test_the_run_share_counts_the_waits_between_runs(self) -> None:
        run_share = RunShare()
        self.assertEqual(run_share.share, 1.0)
        for _ in range(200):
            run_share.observe(1000.0, 3000.0)
        self.assertAlmostEqual(run_share.share, 0.25, places=2)

    def test_a_pool_learns_from_the_wait_before_an_item_runs_again(self) -> None:
        jobs = [job_due("a", 90_000.0)]
        pool = ItemPool(lambda: jobs, lambda _record, _service: True)
        for begin_ms in range(0, 40_000, 1000):
            [run] = jobs[0].ready_items(begin_ms)
            pool.start(run, begin_ms)
            run.last_event += 1
            pool.finish(jobs[0], run, ItemEnd.INTERRUPTED, "i-1", 3, begin_ms + 100.0)
        # 5 s of work due in 20 s is safe, but not at a run share of one tenth.
        jobs[:] = [job_due("b", 60_000.0)]
        self.assertIs(pool.choose("i-1", "s", 40_000.0).stage, BatchStage.DOUBTFUL)
        fresh = ItemPool(lambda: jobs, lambda _record, _service: True)
        self.assertIs(fresh.choose("i-1", "s", 40_000.0).stage, BatchStage.FRESH)


class CustomersTest(unittest.TestCase):
    """Two customers at one node; "big" has 200 jobs that are due before those of "small"."""

    def setUp(self) -> None:
        self.jobs = [self.job("big", f"b{number}", 5000.0) for number in range(200)]
        self.jobs += [self.job("small", f"s{number}", 9000.0) for number in range(3)]
        self.urgent = ""
        self.pool = ItemPool(
            lambda: self.jobs,
            lambda _record, _service: True,
            priority=lambda record: int(record.customer != self.urgent) if self.urgent else 0,
        )

    def job(self, customer: str, name: str, due_ms: float) -> StoredJob:
        record = replace(job_record(name), customer=customer)
        return StoredJob(record, [stored_item(name)], [], due_ms, 60_000.0)

    def start(self, count: int, customer: str = "") -> list[str]:
        """Start ``count`` items and return their customers."""
        names = []
        for _ in range(count):
            choice = self.pool.choose("i-1", "s", 0.0, customer=customer)
            self.pool.start(choice.run, 0.0)
            names.append(choice.job.record.customer)
        return names

    def test_many_jobs_of_one_customer_do_not_delay_another_customer(self) -> None:
        """Guards against ordering by urgency alone: the small customer came after all 200 jobs."""
        self.assertEqual(self.start(6).count("small"), 3)

    def test_a_late_item_does_not_go_before_one_that_can_still_be_done(self) -> None:
        """Guards against a round-robin that delays items in favour of one that is already late."""
        self.jobs = [self.job("small", "late", -1.0)]
        self.jobs += [self.job("big", f"b{number}", 60_000.0) for number in range(3)]
        self.assertEqual(self.start(4), ["big"] * 3 + ["small"])

    def test_items_that_never_end_count_as_running(self) -> None:
        self.start(20, customer="big")
        self.assertEqual(self.start(3), ["small"] * 3)

    def test_a_permit_of_a_customers_share_runs_its_items(self) -> None:
        self.assertEqual(self.start(4, customer="small"), ["small"] * 3 + ["big"])

    def test_an_item_goes_back_to_an_upstream_that_failed_it_only_when_no_other_may_start(
        self,
    ) -> None:
        for job in self.jobs[-3:]:
            [run] = job.ready_items(0.0)
            run.avoided.add("i-1")
        self.assertEqual(self.start(3, customer="small"), ["big"] * 3)

    def test_a_customers_items_keep_their_order(self) -> None:
        self.jobs = [self.job("big", "later", 9000.0), self.job("big", "sooner", 5000.0)]
        self.jobs.append(self.job("small", "s", 1000.0))
        chosen = [self.pool.choose("i-1", "s", 0.0, customer="big") for _ in range(1)]
        self.assertEqual(chosen[0].run.item.item_id, "sooner")

    def test_a_change_of_priority_applies_to_jobs_that_wait(self) -> None:
        self.assertIn("big", self.start(2))
        self.urgent = "small"
        self.assertEqual(self.start(2), ["small"] * 2)


class IsolatedTest(unittest.TestCase):
    """Items that may only run in isolation, one at a time."""

    def setUp(self) -> None:
        self.jobs = [job_due(f"fresh-{number}", 60_000.0) for number in range(20)]
        self.pool = ItemPool(
            lambda: self.jobs, lambda _record, _service: True, lambda _run: Restriction.ALONE
        )

    def run_next(self, now_ms: float) -> str:
        choice = self.pool.claim_isolated("s", now_ms)
        self.pool.start(choice.run, now_ms)
        self.pool.finish(choice.job, choice.run, ItemEnd.COMPLETED, "i-1", 3, now_ms + 500.0)
        return choice.run.item.item_id

    def test_an_item_gets_its_turn_while_more_urgent_ones_keep_coming(self) -> None:
        """Guards against starvation of late items, and of those with several crashes."""
        late, crashed = job_due("late", -9000.0), job_due("crashed", 60_000.0)
        [run] = crashed.ready_items(0.0)
        run.runs_without_output = 5
        self.jobs += [late, crashed]
        ran = []
        for number in range(100):
            self.jobs.append(job_due(f"new-{number}", 60_000.0 + 1000.0 * number))
            ran.append(self.run_next(1000.0 * number))
        self.assertIn("late", ran)
        self.assertIn("crashed", ran)

    def test_three_in_four_runs_go_to_the_items_with_the_fewest_runs_without_output(self) -> None:
        crashed = job_due("crashed", 0.0)
        [run] = crashed.ready_items(0.0)
        run.runs_without_output = 5
        self.jobs.append(crashed)
        self.assertEqual(
            [self.run_next(0.0) == "crashed" for _ in range(6)],
            [False, False, False, True, False, False],
        )

    def test_a_choice_is_no_turn_until_it_is_claimed(self) -> None:
        chosen = {self.pool.choose_isolated("s", 0.0).run.item.item_id for _ in range(9)}
        self.assertEqual(len(chosen), 1)


class OverdueTest(unittest.TestCase):
    """Guards against starvation of items that rank last in every order at their node."""

    def setUp(self) -> None:
        self.jobs = [job_due(f"fresh-{number}", 60_000.0) for number in range(20)]
        self.urgent = ""
        self.pool = ItemPool(
            lambda: self.jobs,
            lambda _record, _service: True,
            priority=lambda record: int(record.job_id != self.urgent),
        )

    def add(self, name: str, due_ms: float) -> ItemRun:
        job = job_due(name, due_ms)
        self.jobs.append(job)
        [run] = job.ready_items(0.0)
        return run

    def overdue(self, now_ms: float, versions: UpstreamVersions | None = None) -> str | None:
        choice = self.pool.choose_overdue("i-1", "s", now_ms, versions)
        # The check of the jobs alone must not miss an overdue item.
        self.assertTrue(choice is None or self.pool.any_overdue(now_ms))
        return None if choice is None else choice.run.item.item_id

    def test_an_item_is_overdue_some_time_after_its_last_chance(self) -> None:
        self.add("late", 4000.0)
        # The initial estimate of the run time is 5 s.
        self.assertIsNone(self.overdue(900.0))
        self.assertFalse(self.pool.any_overdue(900.0))
        self.assertEqual(self.overdue(1100.0), "late")

    def test_the_longest_overdue_goes_first_whatever_its_priority(self) -> None:
        self.add("late", -9000.0)
        self.add("later", -8000.0)
        self.urgent = "later"
        self.assertEqual(self.overdue(0.0), "late")

    def test_a_job_with_many_overdue_items_does_not_hold_up_one_that_is_due_later(self) -> None:
        """Guards against an item that waits behind all items of a larger job."""
        items = [stored_item(f"big-{number}") for number in range(30)]
        self.jobs.append(StoredJob(job_record("big"), items, [], -9000.0, 60_000.0))
        self.add("small", -8000.0)
        claimed = []
        for _ in range(4):
            choice = self.pool.claim_overdue("i-1", "s", 0.0)
            self.pool.start(choice.run, 0.0)
            claimed.append(choice.job.job_id)
        self.assertEqual(claimed, ["big", "small", "big", "big"])

    def test_jobs_that_become_overdue_later_do_not_delay_earlier_ones(self) -> None:
        items = [stored_item(f"big-{number}") for number in range(30)]
        self.jobs.append(StoredJob(job_record("big"), items, [], -9000.0, 60_000.0))
        claimed = []
        for number in range(10):
            self.add(f"new-{number}", -8000.0)
            choice = self.pool.claim_overdue("i-1", "s", 0.0)
            self.pool.start(choice.run, 0.0)
            claimed.append(choice.job.job_id)
        self.assertGreaterEqual(claimed.count("big"), 2)

    def test_an_item_that_the_upstream_failed_is_retried_there_last(self) -> None:
        self.add("failed", -9000.0).avoided.add("i-1")
        self.add("other", -5000.0)
        self.assertEqual(self.overdue(0.0), "other")
        self.jobs.pop()
        self.assertEqual(self.overdue(0.0), "failed")

    def test_an_item_of_another_version_restarts_after_waiting(self) -> None:
        run = self.add("late", -30_000.0)
        run.last_event, run.software_version, run.ended_ms = 99, "v1", 100.0
        served = frozenset({"v1", "v2"})
        self.assertIsNone(self.overdue(1000.0, UpstreamVersions("v2", served)))
        self.assertEqual(self.overdue(1000.0, UpstreamVersions("v1", served)), "late")
        self.assertEqual(self.overdue(9000.0, UpstreamVersions("v2", served)), "late")


if __name__ == "__main__":
    unittest.main()
