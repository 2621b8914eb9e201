"""One job through lost answers, outages, takeovers, cancels and items that cannot be done."""

import unittest
from collections import Counter

import msgspec

from fescuedock.core.batch.actions import PutSegment, WriteRecord
from fescuedock.core.batch.items import AttemptEnd, EndKind
from fescuedock.core.batch.job import JobPhase
from fescuedock.core.batch.record import DuplicateItemError, OwnerChange, changed, finished
from fescuedock.schema.batch import CommittedGroup, JobState
from fescuedock.schema.result_codes import ResultCode
from tests.builders.batch import DONE, JobWorld, Runner, batch_settings, job_record

_ITEMS = 20
_HOUR_MS = 3600 * 1000.0
_MOST_ROUNDS = 400
_ONCE_EACH = Counter(range(_ITEMS))


def _run_clean(world: JobWorld, name: str = "vm-1/a") -> Runner:
    runner = Runner(world, name)
    runner.work()
    return runner


class LostAnswerTest(unittest.TestCase):
    """The answer of each write of a runner in turn is lost, in each way it can be."""

    def _walk(self, non_idempotent: bool) -> int:
        writes = 0
        while True:
            for way in ("after", "late", "before"):
                world = JobWorld(_ITEMS, batch_settings(), non_idempotent)
                seen = self._run_losing(world, writes, way)
                with self.subTest(write=writes, way=way):
                    self.assertEqual(world.record.state, JobState.COMPLETED)
                    self.assertEqual(world.record.epoch, 1)
                    self.assertEqual(world.record.succeeded, _ITEMS)
                    self.assertEqual(world.sent, _ONCE_EACH)
                    self.assertFalse(world.open)
            if seen <= writes:
                return writes
            self.assertLess(writes, _MOST_ROUNDS)
            writes += 1

    def _run_losing(self, world: JobWorld, nth: int, way: str) -> int:
        """Run a job whose write number ``nth`` gets no answer; returns the writes it made."""
        runner = Runner(world, "vm-1/a")
        seen = 0
        for _ in range(_MOST_ROUNDS):
            if runner.run.over:
                break
            runner.poll()
            late = list(world.late_writes)
            for action in list(runner.waiting):
                lost = way if isinstance(action, WriteRecord) and seen == nth else ""
                seen += isinstance(action, WriteRecord)
                runner.perform(action, lost)
            runner.fill()
            for item in list(runner.flying):
                runner.end(item)
            for write in late:
                write()
                world.late_writes.remove(write)
            world.now_ms += 250.0
        return seen

    def test_every_write(self):
        self.assertGreaterEqual(self._walk(non_idempotent=False), 8)

    def test_every_write_with_marks(self):
        self.assertGreaterEqual(self._walk(non_idempotent=True), 15)


class OutageTest(unittest.TestCase):
    def test_items_go_on_for_an_hour_without_the_key_value_service(self):
        world = JobWorld(_ITEMS, batch_settings())
        runner = Runner(world, "vm-1/a")
        runner.work(until=lambda: len(world.committed) >= 3)
        committed = dict(world.committed)
        world.kv_down = True
        calls_before = world.kv_calls
        end_ms = world.now_ms + _HOUR_MS
        runner.work(20000, until=lambda: world.now_ms >= end_ms)
        self.assertEqual(world.sent, _ONCE_EACH, "items wait for the service")
        self.assertEqual(world.committed, committed)
        self.assertLess(world.kv_calls - calls_before, 2 * 3600 / 2.5)
        world.kv_down = False
        calls_before = world.kv_calls
        runner.work()
        self.assertEqual(runner.run.phase, JobPhase.FINISHED)
        self.assertEqual(world.committed, _ONCE_EACH)
        self.assertEqual(world.sent, _ONCE_EACH)
        # All groups that waited went in at once: read, groups, manifest and end.
        self.assertLessEqual(world.kv_calls - calls_before, 5)

    def test_stores_away_stop_new_items_before_memory_fills(self):
        settings = batch_settings(buffer_bytes=1024)
        world = JobWorld(_ITEMS, settings)
        runner = Runner(world, "vm-1/a")
        for _ in range(100):
            runner.poll()
            for action in list(runner.waiting):
                runner.perform(action, "before" if isinstance(action, PutSegment) else "")
            while (item := runner.take()) is not None:
                runner.end(item)
            world.now_ms += 250.0
        line_bytes = 300
        self.assertLess(runner.run.buffered_bytes, 1024 + line_bytes)
        self.assertLess(sum(world.sent.values()), _ITEMS)
        runner.work()
        self.assertEqual(world.sent, _ONCE_EACH)

    def test_long_lines_in_flight_are_bounded_in_bytes(self):
        world = JobWorld(_ITEMS, batch_settings(buffer_bytes=1024, segment_items=_ITEMS))
        runner = Runner(world, "vm-1/a")
        for _ in range(5):
            runner.step()
        runner.fill()
        held_bytes = sum(len(item.line) for item in runner.flying)
        self.assertGreaterEqual(held_bytes, 1024)
        self.assertLess(held_bytes - len(runner.flying[-1].line), 1024)
        self.assertLess(len(runner.flying), _ITEMS)
        runner.work()
        self.assertEqual(world.sent, _ONCE_EACH)

    def test_a_log_larger_than_the_buffer_is_read_in_parts(self):
        world = JobWorld(_ITEMS, batch_settings(buffer_bytes=1024))
        first = Runner(world, "vm-1/a")
        first.work(until=lambda: first.run.epoch == 1)
        world.kv_down = True
        first.work(200)
        world.kv_down = False
        second = Runner(world, "vm-2/b")
        second.work()
        self.assertEqual(second.run.reused, _ITEMS)
        self.assertEqual(world.sent, _ONCE_EACH)


class TakeoverTest(unittest.TestCase):
    def test_a_kill_at_each_tenth_repeats_what_was_in_flight_at_most(self):
        for tenth in range(1, 10):
            world = JobWorld(100, batch_settings())
            first = Runner(world, "vm-1/a")
            first.work(until=lambda: sum(world.sent.values()) >= tenth * 10)  # noqa: B023
            first.step()
            first.fill()
            in_flight = len(first.flying)
            second = Runner(world, "vm-2/b")
            second.work()
            with self.subTest(tenth=tenth):
                self.assertEqual(second.run.phase, JobPhase.FINISHED)
                self.assertEqual(sum(world.sent.values()) - 100, in_flight)
                self.assertLessEqual(in_flight, world.settings.max_items_in_flight)

    def test_a_paused_owner_that_wakes_changes_nothing_and_stops_its_streams(self):
        world = JobWorld(_ITEMS, batch_settings())
        paused = Runner(world, "vm-1/a")
        paused.work(until=lambda: len(world.committed) >= 6)
        paused.step()
        paused.fill()
        ended = [paused.flying[0], paused.flying[1], paused.flying[2]]
        Runner(world, "vm-2/b").work()
        value = world.value
        for item in ended:
            paused.end(item)
        self.assertTrue(paused.flying)
        paused.work(60)
        self.assertEqual(paused.run.phase, JobPhase.LOST)
        self.assertEqual(paused.flying, [])
        self.assertEqual(world.value, value)

    def test_of_two_that_claim_at_once_one_owns_the_job(self):
        world = JobWorld(_ITEMS, batch_settings())
        first, second = Runner(world, "vm-1/a"), Runner(world, "vm-2/b")
        first.step()
        second.step()
        first.step()
        second.work(20)
        self.assertEqual(second.run.phase, JobPhase.LOST)
        self.assertEqual(world.record.owner, "vm-1/a")
        first.work()
        self.assertEqual(first.run.phase, JobPhase.FINISHED)
        self.assertEqual(world.record.epoch, 1)

    def test_a_planned_stop_leaves_nothing_to_repeat_and_no_mark(self):
        world = JobWorld(_ITEMS, batch_settings(), non_idempotent=True)
        first = Runner(world, "vm-1/a")
        first.work(until=lambda: sum(world.sent.values()) >= 7)
        first.run.release()
        first.work(until=lambda: first.run.saved)
        Runner(world, "vm-2/b").work()
        self.assertEqual(world.sent, _ONCE_EACH)
        self.assertEqual(world.record.succeeded, _ITEMS)

    def test_a_marked_item_without_a_result_ends_as_unknown(self):
        world = JobWorld(_ITEMS, batch_settings(), non_idempotent=True)
        first = Runner(world, "vm-1/a")
        first.work(until=lambda: sum(world.sent.values()) >= 6)
        first.step()
        first.step()
        first.fill()
        lost = {item.number for item in first.flying}
        self.assertTrue(lost)
        Runner(world, "vm-2/b").work()
        self.assertLessEqual(max(world.sent.values()), 1)
        failed = [line for line in world.result_lines() if line["error"]]
        self.assertLessEqual(lost, {line["item_number"] for line in failed})
        self.assertEqual({line["error"]["number"] for line in failed}, {ResultCode.ITEM_UNKNOWN})
        self.assertLessEqual(len(failed), world.settings.mark_items)


class CancelTest(unittest.TestCase):
    def _running(self) -> tuple[JobWorld, Runner]:
        world = JobWorld(3 * _ITEMS, batch_settings())
        runner = Runner(world, "vm-1/a")
        runner.work(until=lambda: len(world.committed) >= 3)
        runner.step()
        runner.fill()
        return world, runner

    def test_a_push_stops_streams_before_any_call_is_answered(self):
        world, runner = self._running()
        world.cancel()
        runner.run.on_pushed(cancelled=True)
        runner.poll()
        self.assertEqual(runner.flying, [])
        self.assertIsNone(runner.take())
        sent = sum(world.sent.values())
        runner.work()
        self.assertEqual(sum(world.sent.values()), sent)
        self.assertEqual(world.record.state, JobState.CANCELLED)
        self.assertFalse(world.open)

    def test_a_cancel_without_a_push_is_seen_at_the_next_commit(self):
        world, runner = self._running()
        world.cancel()
        sent = sum(world.sent.values())
        for item in list(runner.flying):
            runner.end(item)
        runner.work()
        self.assertEqual(world.record.state, JobState.CANCELLED)
        self.assertLessEqual(sum(world.sent.values()) - sent, 3 * world.settings.segment_items)

    def test_a_cancel_while_the_owner_is_dead_takes(self):
        world, _dead = self._running()
        world.cancel()
        sent = sum(world.sent.values())
        _run_clean(world, "vm-2/b")
        self.assertEqual(world.record.state, JobState.CANCELLED)
        self.assertEqual(sum(world.sent.values()), sent)

    def test_a_wrong_push_only_holds_the_job_until_the_record_is_read(self):
        world, runner = self._running()
        world.kv_down = True
        runner.run.on_pushed(cancelled=True)
        runner.work(20)
        self.assertEqual(runner.flying, [])
        self.assertIsNone(runner.take())
        world.kv_down = False
        runner.work()
        self.assertEqual(world.record.state, JobState.COMPLETED)


class ImpossibleItemTest(unittest.TestCase):
    """One item fails in one way each time; the others are not affected."""

    def _run_bad(self, end: AttemptEnd) -> tuple[JobWorld, dict]:
        world = JobWorld(_ITEMS, batch_settings(item_attempts=3))
        runner = Runner(world, "vm-1/a")
        for _ in range(_MOST_ROUNDS):
            if runner.run.over:
                break
            runner.step()
            while (item := runner.take()) is not None:
                runner.end(item, end if item.number == 7 else DONE)
            world.now_ms += 250.0
        self.assertEqual((world.record.succeeded, world.record.failed), (_ITEMS - 1, 1))
        line = next(line for line in world.result_lines() if line["error"])
        self.assertEqual(line["item_number"], 7)
        return world, line

    def test_a_permanent_error_ends_the_item_at_once(self):
        end = AttemptEnd(EndKind.REJECTED, 400, b'{"error":{"message":"no"}}')
        world, line = self._run_bad(end)
        self.assertEqual(world.sent[7], 1)
        self.assertEqual(line["response"]["status_code"], 400)
        self.assertEqual(line["response"]["body"], {"error": {"message": "no"}})

    def test_repeated_errors_end_the_item_after_its_attempts(self):
        world, line = self._run_bad(AttemptEnd(EndKind.SERVER_ERROR, 500, b"{}"))
        self.assertEqual(world.sent[7], 3)
        self.assertEqual(line["error"]["number"], ResultCode.ITEM_IMPOSSIBLE)

    def test_repeated_deaths_end_the_item(self):
        world, line = self._run_bad(AttemptEnd(EndKind.DIED))
        self.assertEqual(world.sent[7], 3)
        self.assertEqual(line["error"]["number"], ResultCode.ITEM_ISOLATED)

    def test_revocation_keeps_what_was_generated_and_costs_no_attempt(self):
        world = JobWorld(1, batch_settings())
        runner = Runner(world, "vm-1/a")
        for tokens in range(1, 10):
            runner.step()
            runner.step()
            runner.step()
            item = runner.take()
            self.assertEqual(item.tokens, tokens - 1)
            runner.end(item, AttemptEnd(EndKind.REVOKED, text="x" * tokens, tokens=tokens))
        runner.work()
        self.assertEqual(world.record.succeeded, 1)


class RecordTest(unittest.TestCase):
    def test_an_item_is_not_committed_twice(self):
        group = CommittedGroup(ranges=[[2, 4]], succeeded=2)
        record = changed(job_record(9, []), OwnerChange(groups=[group]))
        with self.assertRaises(DuplicateItemError):
            changed(record, OwnerChange(groups=[CommittedGroup(ranges=[[3, 5]], succeeded=2)]))
        with self.assertRaises(DuplicateItemError):
            changed(job_record(9, []), OwnerChange(groups=[group, group]))

    def test_a_job_with_items_left_finishes_only_when_cancelled(self):
        record = job_record(2, [])
        with self.assertRaises(ValueError):
            finished(record, 5)
        cancelling = msgspec.structs.replace(record, state=JobState.CANCELLING)
        self.assertEqual(finished(cancelling, 5).state, JobState.CANCELLED)

    def test_the_forecast_comes_early_and_is_taken_back(self):
        world = JobWorld(400, batch_settings(group_items=10))
        runner = Runner(world, "vm-1/a")
        runner.work(until=lambda: runner.run.phase is JobPhase.RUNNING)
        for _ in range(300):
            runner.step()
            if (item := runner.take()) is not None:
                runner.end(item)
            world.now_ms += 20000.0
            if world.record.forecast:
                break
        forecast = world.record.forecast[0]
        self.assertLess(forecast.made_at_s, 3600 // 4, "not early")
        self.assertGreater(forecast.expected_end_s, 3600)
        self.assertLess(forecast.items_per_s, forecast.needed_items_per_s)
        runner.work(200)
        self.assertEqual(world.record.forecast, [])


if __name__ == "__main__":
    unittest.main()
