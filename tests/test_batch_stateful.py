"""Several runners of one batch job under all kinds of faults, checked by an oracle.

``BatchJobHarness`` checks at each write that takes effect that no item is committed twice or lost,
no count decreases and every line is readable.  At each start of an item it checks that its runner
has not received a cancel, and that no cancel or claim by another runner is older than the age up to
which a record may be used.  After each example the faults end and a last runner starts; the job
must then complete, or end as cancelled if a cancel was recorded.
"""

import random
import unittest

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from fescuedock.core.batch.actions import ReadRecord
from fescuedock.core.batch.items import AttemptEnd, EndKind
from fescuedock.core.batch.record import is_final
from fescuedock.schema.batch import JobState
from tests.builders.batch import DONE, BatchJobHarness, Runner, batch_settings

_ITEMS = 17
_RUNNERS = 3
_LOST = strategies.sampled_from(["", "", "", "", "before", "after", "late"])
_ENDS = strategies.sampled_from(
    [DONE, DONE, DONE, DONE]
    + [AttemptEnd(kind, 500, b"{}") for kind in EndKind if kind is not EndKind.DONE]
)
_WHICH = strategies.integers(0, 9)
_ROUNDS = strategies.sampled_from([5, 10, 20, 2])
_SLOT = strategies.integers(0, _RUNNERS - 1)


class BatchMachine(RuleBasedStateMachine):
    """Rules act on one of a few slots, each holding the current incarnation of a runner."""

    @initialize(non_idempotent=strategies.booleans())
    def accept(self, non_idempotent):
        self.harness = BatchJobHarness(_ITEMS, batch_settings(), non_idempotent)
        self.non_idempotent = non_idempotent
        self.incarnations = 0
        self.runners = [self._new_runner() for _ in range(_RUNNERS)]
        self.cancelled = False
        self.runners[0].work(6)

    def _new_runner(self):
        self.incarnations += 1
        return Runner(self.harness, f"vm-{self.incarnations}/x", self.incarnations)

    @rule(slot=_SLOT, rounds=_ROUNDS)
    def work(self, slot, rounds):
        """Run without network faults; the key-value service may still be down."""
        self.runners[slot].work(rounds)

    @rule(slot=_SLOT, rounds=_ROUNDS, seed=strategies.integers(0, 999))
    def work_with_faults(self, slot, rounds, seed):
        """Run with occasional failures of calls, answers and attempts."""
        self.runners[slot].work_with_faults(rounds, random.Random(seed))

    @rule(slot=_SLOT, rounds=_ROUNDS, seed=strategies.integers(0, 999))
    def lose_and_take_over(self, slot, rounds, seed):
        """Replace a runner in the middle of its work by another incarnation."""
        self.runners[slot].work_with_faults(rounds, random.Random(seed))
        self.runners[slot] = self._new_runner()
        self.runners[slot].work_with_faults(rounds, random.Random(seed + 1))

    @rule(slot=_SLOT)
    def poll(self, slot):
        self.runners[slot].poll()

    @rule(slot=_SLOT, which=_WHICH, lost=_LOST)
    def perform(self, slot, which, lost):
        runner = self.runners[slot]
        if runner.waiting:
            runner.perform(runner.waiting[which % len(runner.waiting)], lost)

    @rule(slot=_SLOT)
    def answer_slowly(self, slot):
        """Perform the waiting reads, but hold their answers."""
        runner = self.runners[slot]
        for action in list(runner.waiting):
            if isinstance(action, ReadRecord) and not self.harness.kv_down:
                runner.hold_answer(action)

    @rule(slot=_SLOT)
    def hear_answers(self, slot):
        self.runners[slot].deliver_answers()

    @rule(slot=_SLOT, count=strategies.integers(1, 4))
    def start_items(self, slot, count):
        for _ in range(count):
            self.runners[slot].claim()

    @rule(slot=_SLOT, which=_WHICH, end=_ENDS)
    def end_item(self, slot, which, end):
        runner = self.runners[slot]
        if runner.in_flight:
            runner.end(runner.in_flight[which % len(runner.in_flight)], end)

    @rule(slot=_SLOT)
    def kill(self, slot):
        """Replace a runner, with the loss of its state, by another incarnation."""
        self.runners[slot] = self._new_runner()

    @rule(slot=_SLOT)
    def stop(self, slot):
        """Stop a runner as planned: stop its attempts and remove its unused marks."""
        runner = self.runners[slot]
        runner.stop_attempts()
        runner.run.release()
        runner.work(5)
        self.runners[slot] = self._new_runner()

    @rule(slot=_SLOT)
    def name_again(self, slot):
        """Push the job to a runner for which it was over, as a scanner does."""
        if self.runners[slot].run.over:
            self.runners[slot] = self._new_runner()

    @precondition(lambda self: not self.cancelled)
    @rule(
        lucky=strategies.integers(0, 4),
        pushed=strategies.booleans(),
        reading=strategies.booleans(),
        pause_ms=strategies.sampled_from([0.0, 30000.0]),
        slot=_SLOT,
    )
    def cancel(self, lucky, pushed, reading, pause_ms, slot):
        """Cancel the job, possibly during a read or pause of a runner with items ready."""
        if lucky or self.harness.kv_down or is_final(self.harness.record):
            return
        runner = self.runners[slot]
        # Loads input lines if this runner owns the job.
        runner.step()
        if is_final(self.harness.record):
            return
        if reading:
            runner.run.on_pushed(True)
            runner.poll()
            self.answer_slowly(slot)
        self.harness.cancel()
        self.cancelled = True
        if pushed:
            runner.run.on_pushed(True)
            runner.cancel_pushed = True
        self.harness.now_ms += pause_ms
        runner.deliver_answers()
        runner.fill()

    @rule(slot=_SLOT, cancelled=strategies.booleans())
    def push(self, slot, cancelled):
        """Push the job to a runner; a wrong push must have no effect."""
        self.runners[slot].run.on_pushed(cancelled)

    @rule(weight=strategies.integers(0, 3))
    def switch_kv(self, weight):
        """Switch the key-value service; it is up in three cases out of four."""
        self.harness.kv_down = weight == 0

    @rule()
    def land_late_writes(self):
        late, self.harness.late_writes = self.harness.late_writes, []
        for write in late:
            write()

    @rule(pause_ms=strategies.sampled_from([10.0, 500.0, 30000.0]))
    def pass_time(self, pause_ms):
        self.harness.now_ms += pause_ms

    def teardown(self):
        if not hasattr(self, "harness"):
            return
        self.harness.kv_down = False
        self.land_late_writes()
        final = self._new_runner()
        final.work()
        # The other runners resume and must detect that they no longer own the job.
        for runner in self.runners:
            runner.deliver_answers()
            runner.work(60)
        self._check_end()

    def _check_end(self):
        record = self.harness.record
        assert is_final(record), record
        assert not self.harness.open
        if not self.cancelled:
            assert record.state is JobState.COMPLETED
            assert set(self.harness.committed) == set(range(_ITEMS))
        if self.non_idempotent:
            assert max(self.harness.sent.values(), default=0) <= 1, self.harness.sent


BatchStatefulTest = BatchMachine.TestCase
BatchStatefulTest.settings = settings(max_examples=150, stateful_step_count=50)


if __name__ == "__main__":
    unittest.main()
