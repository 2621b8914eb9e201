"""One batch job under lost answers, outages, takeovers, cancels and items that always fail."""

import unittest
from collections import Counter
from itertools import pairwise

import msgspec

from fescuedock.core.batch.actions import PutSegment, WriteRecord
from fescuedock.core.batch.items import AttemptEnd, EndKind, Isolation
from fescuedock.core.batch.job import JobPhase
from fescuedock.core.batch.record import (
    DuplicateItemError,
    OwnerChange,
    apply_change,
    encode_record,
    finished,
)
from fescuedock.schema.batch import CommittedGroup, JobState
from fescuedock.schema.result_codes import ResultCode
from tests.builders.batch import (
    DONE,
    HOUR_S,
    BatchJobHarness,
    Runner,
    batch_settings,
    job_record,
)

_ITEMS = 20
_HOUR_MS = 3600 * 1000.0
_MAX_ROUNDS = 400
_ONCE_EACH = Counter(range(_ITEMS))


def _run_clean(harness: BatchJobHarness, name: str = "vm-1/a") -> Runner:
    runner = Runner(harness, name)
    runner.work()
    return runner


class LostAnswerTest(unittest.TestCase):
    """Loses the answer of each single write of a runner, in each loss mode."""

    def _walk(self, non_idempotent: bool) -> int:
        writes = 0
        while True:
            for loss_mode in ("after", "late", "before"):
                harness = BatchJobHarness(_ITEMS, batch_settings(), non_idempotent)
                seen = self._run_losing(harness, writes, loss_mode)
                with self.subTest(write=writes, loss_mode=loss_mode):
                    self.assertEqual(harness.record.state, JobState.COMPLETED)
                    self.assertEqual(harness.record.epoch, 1)
                    self.assertEqual(harness.record.succeeded, _ITEMS)
                    self.assertEqual(harness.sent, _ONCE_EACH)
                    self.assertFalse(harness.open)
            if seen <= writes:
                return writes
            self.assertLess(writes, _MAX_ROUNDS)
            writes += 1

    def _run_losing(self, harness: BatchJobHarness, nth: int, loss_mode: str) -> int:
        """Run a job whose write number ``nth`` gets no answer; return the number of writes."""
        runner = Runner(harness, "vm-1/a")
        seen = 0
        for _ in range(_MAX_ROUNDS):
            if runner.run.over:
                break
            runner.poll()
            late = list(harness.late_writes)
            for action in list(runner.waiting):
                lost = loss_mode if isinstance(action, WriteRecord) and seen == nth else ""
                seen += isinstance(action, WriteRecord)
                runner.perform(action, lost)
            runner.fill()
            for item in list(runner.in_flight):
                runner.end(item)
            for write in late:
                write()
                harness.late_writes.remove(write)
            harness.now_ms += 250.0
        return seen

    def test_every_write(self):
        self.assertGreaterEqual(self._walk(non_idempotent=False), 8)

    def test_every_write_with_marks(self):
        self.assertGreaterEqual(self._walk(non_idempotent=True), 15)


class OutageTest(unittest.TestCase):
    def test_items_run_for_an_hour_without_the_key_value_service(self):
        harness = BatchJobHarness(_ITEMS, batch_settings())
        runner = Runner(harness, "vm-1/a")
        runner.work(until=lambda: len(harness.committed) >= 3)
        committed = dict(harness.committed)
        harness.kv_down = True
        calls_before = harness.kv_calls
        end_ms = harness.now_ms + _HOUR_MS
        runner.work(20000, until=lambda: harness.now_ms >= end_ms)
        self.assertEqual(harness.sent, _ONCE_EACH, "items wait for the service")
        self.assertEqual(harness.committed, committed)
        self.assertLess(harness.kv_calls - calls_before, 2 * 3600 / 2.5)
        harness.kv_down = False
        calls_before = harness.kv_calls
        runner.work()
        self.assertEqual(runner.run.phase, JobPhase.FINISHED)
        self.assertEqual(harness.committed, _ONCE_EACH)
        self.assertEqual(harness.sent, _ONCE_EACH)
        # All waiting groups are committed at once: a read, then groups, manifest and end.
        self.assertLessEqual(harness.kv_calls - calls_before, 5)

    def test_unavailable_stores_stop_new_items_before_memory_fills(self):
        settings = batch_settings(buffer_bytes=1024)
        harness = BatchJobHarness(_ITEMS, settings)
        runner = Runner(harness, "vm-1/a")
        for _ in range(100):
            runner.poll()
            for action in list(runner.waiting):
                runner.perform(action, "before" if isinstance(action, PutSegment) else "")
            while (item := runner.claim()) is not None:
                runner.end(item)
            harness.now_ms += 250.0
        line_bytes = 300
        self.assertLess(runner.run.buffered_bytes, 1024 + line_bytes)
        self.assertLess(sum(harness.sent.values()), _ITEMS)
        runner.work()
        self.assertEqual(harness.sent, _ONCE_EACH)

    def test_long_lines_in_flight_are_bounded_in_bytes(self):
        harness = BatchJobHarness(_ITEMS, batch_settings(buffer_bytes=1024, segment_items=_ITEMS))
        runner = Runner(harness, "vm-1/a")
        for _ in range(5):
            runner.step()
        runner.fill()
        held_bytes = sum(len(item.line) for item in runner.in_flight)
        self.assertGreaterEqual(held_bytes, 1024)
        self.assertLess(held_bytes - len(runner.in_flight[-1].line), 1024)
        self.assertLess(len(runner.in_flight), _ITEMS)
        runner.work()
        self.assertEqual(harness.sent, _ONCE_EACH)

    def test_a_log_larger_than_the_buffer_is_read_in_parts(self):
        harness = BatchJobHarness(_ITEMS, batch_settings(buffer_bytes=1024))
        first = Runner(harness, "vm-1/a")
        first.work(until=lambda: first.run.epoch == 1)
        harness.kv_down = True
        first.work(200)
        harness.kv_down = False
        second = Runner(harness, "vm-2/b")
        second.work()
        self.assertEqual(second.run.reused, _ITEMS)
        self.assertEqual(harness.sent, _ONCE_EACH)


class TakeoverTest(unittest.TestCase):
    def test_a_kill_at_each_tenth_repeats_only_items_in_flight(self):
        for tenth in range(1, 10):
            harness = BatchJobHarness(100, batch_settings())
            first = Runner(harness, "vm-1/a")
            first.work(until=lambda: sum(harness.sent.values()) >= tenth * 10)  # noqa: B023
            first.step()
            first.fill()
            in_flight = len(first.in_flight)
            second = Runner(harness, "vm-2/b")
            second.work()
            with self.subTest(tenth=tenth):
                self.assertEqual(second.run.phase, JobPhase.FINISHED)
                self.assertEqual(sum(harness.sent.values()) - 100, in_flight)
                self.assertLessEqual(in_flight, harness.settings.max_items_in_flight)

    def test_a_resumed_former_owner_changes_nothing_and_stops_its_streams(self):
        harness = BatchJobHarness(_ITEMS, batch_settings())
        paused = Runner(harness, "vm-1/a")
        paused.work(until=lambda: len(harness.committed) >= 6)
        paused.step()
        paused.fill()
        ended = [paused.in_flight[0], paused.in_flight[1], paused.in_flight[2]]
        Runner(harness, "vm-2/b").work()
        value = harness.value
        for item in ended:
            paused.end(item)
        self.assertTrue(paused.in_flight)
        paused.work(60)
        self.assertEqual(paused.run.phase, JobPhase.LOST)
        self.assertEqual(paused.in_flight, [])
        self.assertEqual(harness.value, value)

    def test_one_of_two_concurrent_claims_wins(self):
        harness = BatchJobHarness(_ITEMS, batch_settings())
        first, second = Runner(harness, "vm-1/a"), Runner(harness, "vm-2/b")
        first.step()
        second.step()
        first.step()
        second.work(20)
        self.assertEqual(second.run.phase, JobPhase.LOST)
        self.assertEqual(harness.record.owner, "vm-1/a")
        first.work()
        self.assertEqual(first.run.phase, JobPhase.FINISHED)
        self.assertEqual(harness.record.epoch, 1)

    def test_a_planned_stop_leaves_no_repeated_item_and_no_mark(self):
        harness = BatchJobHarness(_ITEMS, batch_settings(), non_idempotent=True)
        first = Runner(harness, "vm-1/a")
        first.work(until=lambda: sum(harness.sent.values()) >= 7)
        first.run.release()
        first.work(until=lambda: first.run.all_committed)
        Runner(harness, "vm-2/b").work()
        self.assertEqual(harness.sent, _ONCE_EACH)
        self.assertEqual(harness.record.succeeded, _ITEMS)

    def test_a_marked_item_without_a_result_ends_as_unknown(self):
        harness = BatchJobHarness(_ITEMS, batch_settings(), non_idempotent=True)
        first = Runner(harness, "vm-1/a")
        first.work(until=lambda: sum(harness.sent.values()) >= 6)
        first.step()
        first.step()
        first.fill()
        lost = {item.number for item in first.in_flight}
        self.assertTrue(lost)
        Runner(harness, "vm-2/b").work()
        self.assertLessEqual(max(harness.sent.values()), 1)
        failed = [line for line in harness.result_lines() if line["error"]]
        self.assertLessEqual(lost, {line["item_number"] for line in failed})
        self.assertEqual({line["error"]["number"] for line in failed}, {ResultCode.ITEM_UNKNOWN})
        self.assertLessEqual(len(failed), harness.settings.mark_items)


class CancelTest(unittest.TestCase):
    def _running(self) -> tuple[BatchJobHarness, Runner]:
        harness = BatchJobHarness(3 * _ITEMS, batch_settings())
        runner = Runner(harness, "vm-1/a")
        runner.work(until=lambda: len(harness.committed) >= 3)
        runner.step()
        runner.fill()
        return harness, runner

    def test_a_push_stops_streams_before_any_call_is_answered(self):
        harness, runner = self._running()
        harness.cancel()
        runner.run.on_pushed(cancelled=True)
        runner.poll()
        self.assertEqual(runner.in_flight, [])
        self.assertIsNone(runner.claim())
        sent = sum(harness.sent.values())
        runner.work()
        self.assertEqual(sum(harness.sent.values()), sent)
        self.assertEqual(harness.record.state, JobState.CANCELLED)
        self.assertFalse(harness.open)

    def test_a_cancel_without_a_push_is_seen_at_the_next_commit(self):
        harness, runner = self._running()
        harness.cancel()
        sent = sum(harness.sent.values())
        for item in list(runner.in_flight):
            runner.end(item)
        runner.work()
        self.assertEqual(harness.record.state, JobState.CANCELLED)
        self.assertLessEqual(sum(harness.sent.values()) - sent, 3 * harness.settings.segment_items)

    def test_a_cancel_while_the_owner_is_dead_takes_effect(self):
        harness, _dead = self._running()
        harness.cancel()
        sent = sum(harness.sent.values())
        _run_clean(harness, "vm-2/b")
        self.assertEqual(harness.record.state, JobState.CANCELLED)
        self.assertEqual(sum(harness.sent.values()), sent)

    def test_a_wrong_push_only_holds_the_job_until_the_record_is_read(self):
        harness, runner = self._running()
        harness.kv_down = True
        runner.run.on_pushed(cancelled=True)
        runner.work(20)
        self.assertEqual(runner.in_flight, [])
        self.assertIsNone(runner.claim())
        harness.kv_down = False
        runner.work()
        self.assertEqual(harness.record.state, JobState.COMPLETED)


class ImpossibleItemTest(unittest.TestCase):
    """One item fails at each attempt in the same way; the other items are not affected."""

    def _run_bad(self, end: AttemptEnd, deadline_s: int = HOUR_S) -> tuple[BatchJobHarness, dict]:
        harness = BatchJobHarness(_ITEMS, batch_settings(item_attempts=3))
        harness.value = encode_record(
            msgspec.structs.replace(harness.record, deadline_s=deadline_s)
        )
        runner = Runner(harness, "vm-1/a")
        for _ in range(_MAX_ROUNDS):
            if runner.run.over:
                break
            runner.step()
            while (item := runner.claim()) is not None:
                runner.end(item, end if item.number == 7 else DONE)
            harness.now_ms += 250.0
        self.assertEqual((harness.record.succeeded, harness.record.failed), (_ITEMS - 1, 1))
        line = next(line for line in harness.result_lines() if line["error"])
        self.assertEqual(line["item_number"], 7)
        return harness, line

    def test_a_permanent_error_ends_the_item_at_once(self):
        end = AttemptEnd(EndKind.REJECTED, 400, b'{"error":{"message":"no"}}')
        harness, line = self._run_bad(end)
        self.assertEqual(harness.sent[7], 1)
        self.assertEqual(line["response"]["status_code"], 400)
        self.assertEqual(line["response"]["body"], {"error": {"message": "no"}})

    def test_repeated_errors_end_the_item_after_its_attempts(self):
        harness, line = self._run_bad(AttemptEnd(EndKind.SERVER_ERROR, 500, b"{}"))
        self.assertEqual(harness.sent[7], 3)
        self.assertEqual(line["error"]["number"], ResultCode.ITEM_IMPOSSIBLE)

    # An item got an error line once three workers had died under it, though by chance.
    def test_an_item_completes_after_any_number_of_deaths(self):
        for deaths in (3, 5, 1100):
            with self.subTest(deaths=deaths):
                isolations, pauses_ms = self._run_dying(deaths)
                self.assertEqual(len(isolations), deaths + 1)
                self.assertEqual(set(isolations[2:]), {Isolation.FULL})
                self.assertTrue(all(125.0 <= pause_ms < 2000.0 for pause_ms in pauses_ms))
                self.assertTrue(all(pause_ms >= 500.0 for pause_ms in pauses_ms[4:]))

    def _run_dying(self, deaths: int) -> tuple[list[Isolation], list[float]]:
        """Run a job whose one item completes after some deaths of its workers.

        Return the isolation of each attempt, and the pauses between attempts.
        """
        settings = batch_settings(
            item_attempts=3, retry_backoff_ms=250, max_retry_backoff_ms=1000, record_age_ms=10**9
        )
        harness = BatchJobHarness(1, settings)
        runner = Runner(harness, "vm-1/a")
        isolations: list[Isolation] = []
        started_ms: list[float] = []
        while not runner.run.over:
            runner.step()
            item = runner.claim(f"u{len(isolations)}")
            if item is not None:
                isolations.append(item.isolation)
                started_ms.append(harness.now_ms)
                runner.end(item, AttemptEnd(EndKind.DIED) if len(isolations) <= deaths else DONE)
            harness.now_ms += 50.0
            self.assertLess(harness.now_ms, HOUR_S * 1000.0)
        self.assertEqual((harness.record.succeeded, harness.record.failed), (1, 0))
        return isolations, [later - before for before, later in pairwise(started_ms)]

    def test_deaths_end_the_item_only_after_the_deadline_of_its_job(self):
        harness, line = self._run_bad(AttemptEnd(EndKind.DIED), deadline_s=40)
        self.assertEqual(line["error"]["number"], ResultCode.ITEM_ISOLATED)
        self.assertGreaterEqual(harness.now_ms, 40_000.0)
        self.assertGreater(harness.sent[7], 3)

    def test_revocation_retains_the_output_and_costs_no_attempt(self):
        harness = BatchJobHarness(1, batch_settings())
        runner = Runner(harness, "vm-1/a")
        for tokens in range(1, 10):
            runner.step()
            runner.step()
            runner.step()
            item = runner.claim()
            self.assertEqual(item.tokens, tokens - 1)
            runner.end(item, AttemptEnd(EndKind.REVOKED, text="x" * tokens, tokens=tokens))
        runner.work()
        self.assertEqual(harness.record.succeeded, 1)


class RecordTest(unittest.TestCase):
    def test_an_item_is_not_committed_twice(self):
        group = CommittedGroup(ranges=[[2, 4]], succeeded=2)
        record = apply_change(job_record(9, []), OwnerChange(groups=[group]))
        with self.assertRaises(DuplicateItemError):
            apply_change(record, OwnerChange(groups=[CommittedGroup(ranges=[[3, 5]], succeeded=2)]))
        with self.assertRaises(DuplicateItemError):
            apply_change(job_record(9, []), OwnerChange(groups=[group, group]))

    def test_a_job_with_items_left_finishes_only_when_cancelled(self):
        record = job_record(2, [])
        with self.assertRaises(ValueError):
            finished(record, 5)
        cancelling = msgspec.structs.replace(record, state=JobState.CANCELLING)
        self.assertEqual(finished(cancelling, 5).state, JobState.CANCELLED)

    def test_the_forecast_is_reported_early_and_withdrawn(self):
        harness = BatchJobHarness(400, batch_settings(group_items=10))
        runner = Runner(harness, "vm-1/a")
        runner.work(until=lambda: runner.run.phase is JobPhase.RUNNING)
        for _ in range(300):
            runner.step()
            if (item := runner.claim()) is not None:
                runner.end(item)
            harness.now_ms += 20000.0
            if harness.record.forecast:
                break
        forecast = harness.record.forecast[0]
        self.assertLess(forecast.made_at_s, 3600 // 4, "not early")
        self.assertGreater(forecast.expected_end_s, 3600)
        self.assertLess(forecast.items_per_s, forecast.needed_items_per_s)
        runner.work(200)
        self.assertEqual(harness.record.forecast, [])


if __name__ == "__main__":
    unittest.main()
