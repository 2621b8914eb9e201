"""Decisions about stored jobs: items, permit requests, commits, ownership and the read cache."""

import random
import unittest

import msgspec

from fescuedock.core.forwarding.event_stream import EventSplitter, SplitEvent
from fescuedock.core.stored_jobs.cache import JobCache, page_size_bytes
from fescuedock.core.stored_jobs.commit import CommitState, check_commit
from fescuedock.core.stored_jobs.job import ItemEnd, ItemRun, StoredJob, stored_size_bytes
from fescuedock.core.stored_jobs.ownership import Duty, MissingOwners, OwnerIdentity, duty_of
from fescuedock.core.stored_jobs.permit_requests import (
    PermitRequestCandidate,
    PermitRequestPolicy,
    choose_upstreams,
)
from fescuedock.core.stored_jobs.run_estimates import RunEstimate, RunShare
from fescuedock.core.stored_jobs.urgency import rank_items
from fescuedock.platform.job_calls import encode_results
from fescuedock.schema.stored_jobs import ItemProgress, ResultGroup, StoredResult
from tests.builders.forwarding import event, job_record, stored_item, stored_job


def events(*numbers: int) -> list:
    return EventSplitter().feed(b"".join(event(number) for number in numbers))


def start_next(job: StoredJob, upstream_id: str = "i-1", now_ms: float = 0.0) -> ItemRun | None:
    """Start and return the job's most urgent item, or return None when none may start."""
    choices = rank_items([job], upstream_id, RunEstimate(), RunShare(), now_ms)
    if not choices:
        return None
    choices[0].run.start(now_ms)
    return choices[0].run


class ItemRunTest(unittest.TestCase):
    def test_each_event_counts_once_over_several_runs(self) -> None:
        run = ItemRun(stored_item("a"))
        self.assertTrue(run.begin_output("").add_events(events(0, 1, 2)))
        self.assertTrue(run.begin_output("").add_events(events(1, 2, 3)))
        self.assertEqual(run.texts, ["word 0", "word 1", "word 2", "word 3"])

    def test_events_after_a_gap_are_rejected(self) -> None:
        run = ItemRun(stored_item("a"))
        output = run.begin_output("")
        output.add_events(events(0, 1))
        self.assertFalse(output.add_events(events(3)))
        self.assertEqual(run.last_event, 1)

    def test_a_run_does_not_continue_progress_that_it_was_not_asked_to_follow(self) -> None:
        """Guards against a text of two runs, the second asked for what follows another event."""
        for known in (0, 2):
            run = ItemRun(stored_item("a"))
            run.begin_output("v1").add_events(events(*range(known)))
            output = run.begin_output("v1")
            stored = [f"stored {number}" for number in range(5)]
            run.load_progress(ItemProgress("a", 4, stored, 0, "v1"))
            self.assertFalse(output.add_events(events(*range(known, 6))), known)
            self.assertEqual((run.last_event, run.texts), (4, stored))
            self.assertFalse(output.is_complete)

    def test_a_run_does_not_continue_an_output_that_was_discarded(self) -> None:
        """Guards against a text without its first events."""
        run = ItemRun(stored_item("a"))
        run.begin_output("v1").add_events(events(0, 1))
        output = run.begin_output("v1")
        run.restart()
        self.assertFalse(output.add_events(events(2, 3)))
        self.assertEqual((run.last_event, run.texts), (-1, []))
        self.assertFalse(output.is_complete)

    def test_events_of_a_former_run_are_not_mixed_into_the_current_one(self) -> None:
        run = ItemRun(stored_item("a"))
        former = run.begin_output("v1")
        former.add_events(events(0))
        current = run.begin_output("v1.1")
        current.add_events(events(0))
        self.assertFalse(former.add_events(events(1, 2)))
        self.assertTrue(current.add_events(events(1)))
        self.assertEqual((run.last_event, run.software_version), (1, "v1.1"))

    def test_a_run_that_begins_anew_instead_of_resuming_is_not_continued(self) -> None:
        """Guards against a text of two runs, by an upstream that ignores the event to resume at."""
        run = ItemRun(stored_item("a"))
        run.begin_output("").add_events(events(1, 2))
        for first in (0, 1, 2):
            other = [
                SplitEvent(number, b"data: other %d\n\n" % number) for number in range(first, 4)
            ]
            self.assertFalse(run.begin_output("").add_events(other), first)
            self.assertEqual((run.last_event, run.texts), (2, ["word 1", "word 2"]))

    # The output of a run without end must not grow beyond what a result may hold.
    def test_an_output_beyond_the_limit_is_overlong_until_it_is_discarded(self) -> None:
        run = ItemRun(stored_item("a"), max_output_bytes=20)
        run.begin_output("").add_events(events(0, 1))
        self.assertFalse(run.is_overlong)
        run.begin_output("").add_events(events(2))
        self.assertTrue(run.is_overlong)
        resumed = ItemRun(stored_item("a"), max_output_bytes=20)
        resumed.load_progress(ItemProgress("a", run.last_event, run.texts, 0))
        self.assertTrue(resumed.is_overlong)
        run.restart()
        self.assertFalse(run.is_overlong)
        self.assertEqual((run.last_event, run.texts), (-1, []))


class StoredJobTest(unittest.TestCase):
    def test_an_item_runs_once_at_a_time_and_is_listed_once(self) -> None:
        job = stored_job("a", "b")
        first = start_next(job)
        second = start_next(job)
        self.assertEqual({first.item.item_id, second.item.item_id}, {"a", "b"})
        self.assertIsNone(start_next(job))
        first.begin_output("").add_events(events(0, 1))
        job.finish(first, ItemEnd.COMPLETED, "i-1", 3, 10.0)
        [result] = job.next_group(1000)
        self.assertEqual((result.completed, result.text), (True, "word 0\nword 1"))
        job.record_commit()
        self.assertEqual((job.listed_count, job.has_results, job.is_finished), (1, False, False))

    def test_an_item_is_given_up_after_max_failures_and_not_sooner(self) -> None:
        job = stored_job("a")
        for failures in range(3):
            self.assertFalse(job.has_results)
            run = start_next(job, "i-1", 10_000.0 * failures)
            job.finish(run, ItemEnd.FAILED, "i-1", 3, 10_000.0 * failures)
        [result] = job.next_group(1000)
        self.assertEqual((result.completed, result.text), (False, ""))

    def test_an_impossible_item_is_given_up_at_once(self) -> None:
        job = stored_job("a")
        job.finish(start_next(job, "i-1", 0.0), ItemEnd.IMPOSSIBLE, "i-1", 3, 0.0)
        self.assertFalse(job.next_group(1000)[0].completed)

    def test_an_interrupted_item_waits_a_little_and_is_never_given_up_for_it(self) -> None:
        job = stored_job("a")
        for attempt in range(50):
            run = start_next(job, "i-1", 1000.0 * attempt)
            job.finish(run, ItemEnd.INTERRUPTED, "i-1", 3, 1000.0 * attempt)
            self.assertEqual(job.ready_items(1000.0 * attempt), [])
        self.assertFalse(job.has_results)

    def test_pauses_double_after_interruptions_without_output(self) -> None:
        job = stored_job("a")
        pauses = []
        for _ in range(6):
            run = start_next(job, now_ms=10_000.0)
            job.finish(run, ItemEnd.INTERRUPTED, "i-1", 3, 0.0)
            pauses.append(run.not_before_ms)
        self.assertEqual(pauses, [25.0, 50.0, 100.0, 200.0, 200.0, 200.0])
        run = start_next(job, now_ms=10_000.0)
        run.begin_output("").add_events(events(0, 1))
        job.finish(run, ItemEnd.INTERRUPTED, "i-1", 3, 0.0)
        self.assertEqual(run.not_before_ms, 25.0)

    def test_the_next_time_at_which_an_item_may_start_is_known(self) -> None:
        job = stored_job("a")
        self.assertEqual(job.next_ready_ms(0.0), float("inf"))
        run = start_next(job)
        job.finish(run, ItemEnd.INTERRUPTED, "i-1", 3, 100.0)
        self.assertEqual(job.next_ready_ms(100.0), run.not_before_ms)
        self.assertEqual(job.ready_items(run.not_before_ms), [run])
        self.assertEqual(job.next_ready_ms(run.not_before_ms), float("inf"))

    def test_items_that_failed_at_an_upstream_run_there_last(self) -> None:
        job = stored_job("a", "b")
        bad = start_next(job, "i-1", 0.0)
        job.finish(bad, ItemEnd.FAILED, "i-1", 5, 0.0)
        self.assertIsNot(start_next(job, "i-1", 5000.0), bad)

    def test_items_are_given_up_only_after_give_up_ms(self) -> None:
        job = stored_job("a", give_up_ms=60_000.0)
        self.assertEqual(job.give_up(59_999.0), 0)
        self.assertEqual(job.give_up(60_000.0), 1)
        self.assertFalse(job.next_group(1000)[0].completed)

    def test_a_group_holds_at_least_one_result_and_as_many_as_fit(self) -> None:
        job = stored_job("a", "b", "c")
        for _ in range(3):
            run = start_next(job, "i-1", 0.0)
            run.texts = ["x" * 60]
            job.finish(run, ItemEnd.COMPLETED, "i-1", 3, 0.0)
        size_bytes = stored_size_bytes(StoredResult("a", True, "x" * 60))
        self.assertEqual(len(job.next_group(size_bytes - 1)), 1)
        self.assertEqual(len(job.next_group(2 * size_bytes - 1)), 1)
        job.record_commit()
        self.assertEqual(len(job.next_group(2 * size_bytes)), 2)
        job.record_commit()
        self.assertTrue(job.is_finished)

    # The store's limit of a value is in bytes, not in characters.
    def test_a_group_of_wide_characters_is_bounded_in_bytes(self) -> None:
        job = stored_job("a", "b", "c", "d")
        for run in job.ready_items(0.0):
            run.texts = ["\u4fe1" * 100]
            job.finish(run, ItemEnd.COMPLETED, "u", 3, 0.0)
        group = ResultGroup(0, job.next_group(1000))
        self.assertGreater(len(group.results), 1)
        self.assertLessEqual(len(msgspec.msgpack.encode(group)), 1024)

    def test_results_added_during_a_commit_are_not_part_of_it(self) -> None:
        job = stored_job("a", "b")
        first, second = start_next(job, "i-1", 0.0), start_next(job, "i-1", 0.0)
        job.finish(first, ItemEnd.COMPLETED, "i-1", 3, 0.0)
        job.next_group(1000)
        job.finish(second, ItemEnd.COMPLETED, "i-1", 3, 0.0)
        job.record_commit()
        self.assertEqual((job.listed_count, job.has_results), (1, True))

    def test_another_node_resumes_from_stored_progress(self) -> None:
        job = stored_job("a", "b")
        run = start_next(job, "i-1", 0.0)
        run.begin_output("").add_events(events(0, 1))
        other = stored_job("a", "b")
        other.resume(job.progress())
        found = {start_next(other, "i-2", 0.0), start_next(other, "i-2", 0.0)}
        got = {item.item.item_id: item.last_event for item in found}
        self.assertEqual(got, {run.item.item_id: 1, ({"a", "b"} - {run.item.item_id}).pop(): -1})


class PermitRequestTest(unittest.TestCase):
    """The number of permit requests for waiting items, and the upstreams they go to."""

    def choose(
        self, waiting: int, open_requests: int, *candidates: PermitRequestCandidate
    ) -> list[str]:
        return choose_upstreams(
            waiting, open_requests, candidates, PermitRequestPolicy(3), random.Random(1)
        )

    def test_a_few_requests_are_open_for_each_item(self) -> None:
        fleet = [PermitRequestCandidate(f"i-{number}") for number in range(30)]
        self.assertEqual(len(self.choose(1, 0, *fleet)), 3)
        self.assertEqual(len(self.choose(1, 2, *fleet)), 1)
        self.assertEqual(self.choose(1, 3, *fleet), [])
        self.assertEqual(self.choose(0, 0, *fleet), [])
        self.assertEqual(len(set(self.choose(20, 0, *fleet))), 30)

    def test_requests_go_to_full_upstreams_last(self) -> None:
        full = [PermitRequestCandidate(f"full-{number}", 0) for number in range(9)]
        chosen = self.choose(
            1, 0, *full, PermitRequestCandidate("free", 4), PermitRequestCandidate("unknown")
        )
        self.assertEqual(set(chosen[:2]), {"free", "unknown"})
        self.assertIn(chosen[2], {item.upstream_id for item in full})

    def test_nodes_with_the_same_information_choose_different_upstreams(self) -> None:
        fleet = [PermitRequestCandidate(f"i-{number}", 4) for number in range(30)]
        first = {
            choose_upstreams(1, 0, fleet, PermitRequestPolicy(1), random.Random(n))[0]
            for n in range(40)
        }
        self.assertGreater(len(first), 15)

    def near_share(self, near_slots: int) -> float:
        """Return the share of requests for an item that go to upstreams in the node's domain."""
        near = [
            PermitRequestCandidate(f"near-{number}", near_slots, is_near=True)
            for number in range(15)
        ]
        fleet = [*near, *(PermitRequestCandidate(f"far-{number}", 4) for number in range(30))]
        chosen = [
            name
            for seed in range(200)
            for name in choose_upstreams(1, 0, fleet, PermitRequestPolicy(3), random.Random(seed))
        ]
        return sum(name.startswith("near") for name in chosen) / len(chosen)

    def test_most_items_stay_in_their_nodes_domain_while_it_has_room(self) -> None:
        """Guards against sending the bodies of two thirds of the items to other domains."""
        self.assertGreater(self.near_share(near_slots=4), 0.7)
        self.assertLess(self.near_share(near_slots=4), 0.95)

    def test_items_go_to_other_domains_when_their_own_is_full(self) -> None:
        self.assertEqual(self.near_share(near_slots=0), 0.0)


class CommitTest(unittest.TestCase):
    def test_a_record_that_shows_the_commit_means_done(self) -> None:
        wanted = job_record(listed=2, owner_id="n", owner_boot=1, epoch=1)
        self.assertIs(check_commit(wanted, wanted, 1), CommitState.DONE)

    def test_a_record_before_the_commit_means_retry(self) -> None:
        wanted = job_record(listed=2, owner_id="n", owner_boot=1, epoch=1)
        found = msgspec.structs.replace(wanted, listed=1)
        self.assertIs(check_commit(wanted, found, 1), CommitState.RETRY)

    # Writing the group again would replace results that readers have.
    def test_other_results_at_its_position_mean_lost(self) -> None:
        wanted = job_record(listed=4, owner_id="n", owner_boot=1, epoch=1)
        found = msgspec.structs.replace(wanted, listed=3)
        self.assertIs(check_commit(wanted, found, 0), CommitState.LOST)

    def test_another_owner_epoch_or_end_means_lost(self) -> None:
        wanted = job_record(listed=2, owner_id="n", owner_boot=1, epoch=1)
        for change in ({"owner_id": "m"}, {"owner_boot": 2}, {"epoch": 2}, {"ended": True}):
            with self.subTest(change=change):
                found = msgspec.structs.replace(wanted, **change)
                self.assertIs(check_commit(wanted, found, 1), CommitState.LOST)
        self.assertIs(check_commit(wanted, None, 1), CommitState.LOST)


class OwnershipTest(unittest.TestCase):
    own = OwnerIdentity("n-1", 5)

    def duty(self, owner_gone: bool = False, leaving: bool = False, **fields: object) -> Duty:
        accepting_nodes = {"n-1"} if not leaving else set()
        record = job_record(**fields)
        return duty_of(record, self.own, accepting_nodes, owner_gone=owner_gone, leaving=leaving)

    def test_an_owner_runs_its_jobs(self) -> None:
        self.assertIs(self.duty(owner_id="n-1", owner_boot=5), Duty.RUN)

    def test_a_restarted_node_claims_the_jobs_it_owned(self) -> None:
        self.assertIs(self.duty(owner_id="n-1", owner_boot=4), Duty.CLAIM)

    def test_jobs_of_another_node_are_left_to_it_until_it_is_gone(self) -> None:
        self.assertIs(self.duty(owner_id="n-2"), Duty.NONE)
        self.assertIs(self.duty(owner_id="n-2", owner_gone=True), Duty.CLAIM)

    def test_a_released_job_is_claimed_at_once_but_not_by_a_leaving_node(self) -> None:
        self.assertIs(self.duty(owner_id=""), Duty.CLAIM)
        self.assertIs(self.duty(owner_id="", leaving=True), Duty.NONE)
        self.assertIs(self.duty(owner_id="n-1", owner_boot=5, leaving=True), Duty.NONE)

    def test_no_node_has_a_duty_for_closed_jobs(self) -> None:
        self.assertIs(self.duty(owner_id="", ended=True), Duty.NONE)
        self.assertIs(self.duty(owner_id="", total=3, listed=3), Duty.NONE)

    def test_an_owner_is_gone_only_after_it_was_missing_for_grace_ms(self) -> None:
        missing = MissingOwners(grace_ms=1500.0)
        self.assertFalse(missing.is_gone("n-2", {"n-1"}, 0.0))
        self.assertFalse(missing.is_gone("n-2", {"n-1"}, 1400.0))
        self.assertTrue(missing.is_gone("n-2", {"n-1"}, 1500.0))
        missing.record_present({"n-1", "n-2"}, 1600.0)
        self.assertFalse(missing.is_gone("n-2", {"n-1"}, 1700.0))


class JobCacheTest(unittest.TestCase):
    def test_an_ended_job_is_complete_with_the_listed_results_and_not_before(self) -> None:
        cache = JobCache(1000)
        job = cache.open(job_record(total=3))
        self.assertFalse(job.is_complete)
        job.add(ResultGroup(0, [StoredResult("a", True, "x")]))
        # Another node ends the job after one more result was listed.
        cache.open(job_record(total=3, listed=2, ended=True))
        self.assertFalse(job.is_complete)
        job.add(ResultGroup(1, [StoredResult("b", True, "y")]))
        self.assertTrue(job.is_complete)

    def test_groups_are_added_once_and_without_a_gap(self) -> None:
        job = JobCache(1000).open(job_record())
        first = ResultGroup(0, [StoredResult("a", True, "x")])
        self.assertTrue(job.add(first))
        self.assertTrue(job.add(first))
        self.assertFalse(job.add(ResultGroup(2, [StoredResult("c", True, "z")])))
        self.assertEqual([item.item_id for item in job.results], ["a"])

    def test_a_page_starts_at_the_requested_position_and_is_bounded(self) -> None:
        job = JobCache(1000).open(job_record())
        job.add(ResultGroup(0, [StoredResult(name, True, "x" * 40) for name in "abc"]))
        size_bytes = page_size_bytes(job.results[0])
        self.assertEqual([item.item_id for item in job.page(1, size_bytes - 1)], ["b"])
        self.assertEqual([item.item_id for item in job.page(0, 2 * size_bytes)], ["a", "b"])
        self.assertEqual([item.item_id for item in job.page(0, 2 * size_bytes - 1)], ["a"])
        self.assertEqual(job.page(3, size_bytes), [])

    # A page limited in characters may be several times as large once it is encoded.
    def test_a_page_is_bounded_by_its_encoded_size(self) -> None:
        for text in ("\u4fe1" * 4000, "\n" * 6000, "\x01" * 2000):
            job = JobCache(1 << 20).open(job_record())
            job.add(ResultGroup(0, [StoredResult(f"item-{n}", True, text) for n in range(20)]))
            page = job.page(0, 50_000)
            self.assertGreater(len(page), 1)
            self.assertLess(len(encode_results(20, 0, page)), 51_000)

    # A cache limited in characters may take several times as much memory.
    def test_cached_results_count_with_their_memory(self) -> None:
        job = JobCache(1 << 20).open(job_record())
        job.add(ResultGroup(0, [StoredResult("a", True, "\U0001f600" * 1000)]))
        self.assertGreaterEqual(job.size_bytes, 4000)

    def test_the_least_recently_used_jobs_are_evicted_first(self) -> None:
        cache = JobCache(100)
        for name in ("j-1", "j-2", "j-3"):
            cache.open(job_record(name)).add(ResultGroup(0, [StoredResult("a", True, "x" * 60)]))
            cache.get("j-1")
            cache.trim()
        self.assertIsNone(cache.get("j-2"))


if __name__ == "__main__":
    unittest.main()
