"""The state machine of one job in the hands of one runner; docs/BATCH.md has its table.

The daemon carries out what ``poll`` returns and reports back through the ``on_`` calls, in any
order; when it has a permit it asks ``take`` for an item.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum, auto

from fescuedock.core.batch.actions import (
    Action,
    CleanUp,
    PutSegment,
    ReadInput,
    ReadLog,
    StopAttempts,
)
from fescuedock.core.batch.answers import failed_line, rejected_line, succeeded_line
from fescuedock.core.batch.commits import CommitQueue, Ownership
from fescuedock.core.batch.folding import ManifestFolder
from fescuedock.core.batch.forecast import DeadlineWatch
from fescuedock.core.batch.input_reader import InputReader
from fescuedock.core.batch.items import AttemptEnd, EndKind, Isolation, Item, ItemQueue
from fescuedock.core.batch.marks import MarkGate
from fescuedock.core.batch.ranges import ItemSet, to_ranges
from fescuedock.core.batch.recovery import LogRecovery
from fescuedock.core.batch.result_log import ResultLog
from fescuedock.core.batch.results import GroupBuilder
from fescuedock.schema.batch import JobRecord, JobState, LoggedResult, SegmentRef
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings

__all__ = ["JobPhase", "JobRun", "Moment"]

_JUDGE_EVERY_MS = 2000.0


class JobPhase(StrEnum):
    """Where the job stands in this runner.  The last three are ends."""

    CLAIMING = auto()
    RECOVERING = auto()
    RUNNING = auto()
    STOPPING = auto()
    FINISHING = auto()
    FINISHED = auto()
    LOST = auto()
    VANISHED = auto()


_WORKING = frozenset({JobPhase.RECOVERING, JobPhase.RUNNING, JobPhase.STOPPING, JobPhase.FINISHING})
_ENDS = frozenset({JobPhase.FINISHED, JobPhase.LOST, JobPhase.VANISHED})
_END_OF = {
    Ownership.FINAL: JobPhase.FINISHED,
    Ownership.LOST: JobPhase.LOST,
    Ownership.VANISHED: JobPhase.VANISHED,
}


@dataclass(frozen=True, slots=True)
class Moment:
    """One moment on the monotonic clock and in Unix time, which deadlines are in."""

    now_ms: float
    now_s: int


class JobRun:
    """Runs job ``job_id`` under ``owner``, the unique name of this runner.

    ``may_load`` is set by the scheduler; without it no input is read.
    """

    __slots__ = (
        "_commits",
        "_ended",
        "_folder",
        "_gate",
        "_input",
        "_items",
        "_judge_due_ms",
        "_log",
        "_random",
        "_recovery",
        "_released",
        "_results",
        "_settings",
        "_stop_due",
        "_watch",
        "held",
        "job_id",
        "may_load",
        "phase",
    )

    def __init__(
        self, job_id: str, owner: str, settings: BatchSettings, random_: random.Random
    ) -> None:
        self.job_id = job_id
        self.phase = JobPhase.CLAIMING
        self.may_load = True
        self.held = False
        self._settings = settings
        self._random = random_
        self._commits = CommitQueue(owner, random_)
        self._results = GroupBuilder(settings)
        self._folder = ManifestFolder(settings.manifest_groups)
        self._ended = ItemSet(0)
        self._items: ItemQueue | None = None
        self._gate: MarkGate | None = None
        self._recovery: LogRecovery | None = None
        self._watch: DeadlineWatch | None = None
        self._log = ResultLog(settings.buffer_bytes)
        self._input = InputReader([])
        self._judge_due_ms = 0.0
        self._stop_due = False
        self._released = False

    @property
    def record(self) -> JobRecord | None:
        """The record as last read or written."""
        return self._commits.record

    @property
    def epoch(self) -> int:
        return self._commits.epoch

    @property
    def over(self) -> bool:
        """Whether this runner has nothing more to do with the job."""
        return self.phase in _ENDS

    @property
    def completed(self) -> bool:
        """Whether the job is whole."""
        record = self.record
        return record is not None and record.state is JobState.COMPLETED

    @property
    def items_left(self) -> int:
        return self._ended.size - len(self._ended)

    @property
    def in_flight(self) -> int:
        return self._items.in_flight if self._items else 0

    @property
    def reused(self) -> int:
        """Results of a former owner that were taken from the log."""
        return self._recovery.reused if self._recovery else 0

    @property
    def deadline_ms(self) -> float:
        """The deadline on the monotonic clock, once the job is claimed."""
        return self._watch.deadline_ms if self._watch else float("inf")

    @property
    def saved(self) -> bool:
        """Whether every result so far is committed."""
        return self._results.empty and self._commits.idle

    @property
    def buffered_bytes(self) -> int:
        """Bytes of results in memory."""
        return self._results.buffered_bytes

    # What to do.

    def poll(self, moment: Moment) -> list[Action]:
        """Advance, and return what is to be done now."""
        actions: list[Action] = []
        self._advance(moment, actions)
        if self.phase in _WORKING:
            self._poll_work(moment, actions)
        commit = self._commits.next_action(moment.now_ms)
        if commit is not None:
            actions.append(commit)
        return actions

    def wake_at_ms(self, now_ms: float) -> float:
        """Return when ``poll`` has something new, if nothing is reported before."""
        due = [self._results.due_at_ms(), self._input.due_at_ms, self._folder.due_at_ms]
        due += [self._commits.retry_at_ms, self._judge_due_ms]
        if self._recovery is not None:
            due.append(self._recovery.due_at_ms)
        return min((at_ms for at_ms in due if at_ms > now_ms), default=float("inf"))

    def release(self) -> None:
        """Prepare for a planned stop: start nothing more, and commit what there is.

        Marks of items that were not dispatched are taken back, so that the next owner runs them.
        To be called when no attempt is in flight any more.
        """
        if self._released or self._items is None:
            return
        self._released = True
        if self._gate.ahead:
            unused = self._gate.unused() + self._items.waiting_numbers()
            self._commits.remove_marks(to_ranges(unused))

    def expect_rate(self, items_per_s: float) -> None:
        """Judge the deadline by this rate until the job has one of its own."""
        if self._watch is not None:
            self._watch.prior_items_per_s = items_per_s

    # Items.

    def peek(self, now_ms: float) -> Item | None:
        """Return the item that would probably run next, without taking it."""
        return self._items.peek(now_ms, self._fresh_allowed()) if self._can_start() else None

    def strictest_isolation(self, now_ms: float) -> Isolation:
        """Return the strictest isolation that an item which could run now needs."""
        return self._items.strictest_ready(now_ms) if self._can_start() else Isolation.NONE

    def take(self, upstream_id: str, allowed: Isolation, now_ms: float) -> Item | None:
        """Take an item to run on ``upstream_id``; answer with ``on_attempt_ended``."""
        if not self._can_start():
            return None
        item = self._items.take(upstream_id, allowed, now_ms, self._fresh_allowed())
        if item is not None:
            self._gate.on_dispatched(item.number)
        return item

    def on_attempt_ended(self, item: Item, end: AttemptEnd, now_ms: float) -> ResultCode | None:
        """Take the end of an attempt; of a job that is over it changes nothing.

        Returns the item's code when this was its end, else None.
        """
        if self.over or not self._items.holds(item):
            return None
        job_id, number, line = self.job_id, item.number, item.line
        if end.kind is EndKind.DONE:
            self._items.release(number)
            text = succeeded_line(job_id, number, line, end.status, end.body)
            self._end_item(LoggedResult(number, True, text), now_ms)
            return ResultCode.OK
        if end.kind is EndKind.REJECTED:
            self._items.release(number)
            text = rejected_line(job_id, number, line, end.status, end.body)
            self._end_item(LoggedResult(number, False, text), now_ms)
            return ResultCode.UPSTREAM_REJECTED
        verdict = self._items.on_ended(number, end, now_ms)
        if verdict is None:
            return None
        text = failed_line(job_id, number, line, verdict.code, verdict.message)
        self._end_item(LoggedResult(number, False, text), now_ms)
        return verdict.code

    # Answers.

    def on_record(self, record: JobRecord | None, revision: int) -> None:
        self.held = False
        self._commits.on_record(record, revision)
        self._after_commit()

    def on_written(self, revision: int) -> None:
        self._commits.on_written(revision)
        self._after_commit()

    def on_kv_failed(self, code: ResultCode, now_ms: float) -> None:
        self._commits.on_failed(code, now_ms)

    def on_pushed(self, cancelled: bool) -> None:
        """An entry or scanner names the job; a cancel holds it until the record is read."""
        if cancelled and self.phase not in (JobPhase.STOPPING, JobPhase.FINISHING):
            self.held = True
            self._stop_due = True
            self._commits.look()

    def on_log_page(self, records: Sequence[bytes], now_ms: float) -> None:
        for result in self._recovery.results(records, self._ended):
            if self._results.buffered_bytes >= self._settings.buffer_bytes:
                self._recovery.skip()
                return
            self._ended.add(result.item_number)
            self._recovery.reused += 1
            self._results.add(result, now_ms)

    def on_log_end(self, complete: bool, now_ms: float) -> None:
        self._recovery.on_end(complete, now_ms)

    def on_logged(self) -> None:
        self._log.on_logged()

    def on_segment(self, number: int, ref: SegmentRef) -> None:
        if self._folder.knows(number):
            self._commits.fold(self._folder.on_segment(ref))
            return
        group = self._results.on_segment(number, ref)
        if group is not None:
            self._commits.add_group(group)

    def on_segment_failed(self, number: int, now_ms: float) -> None:
        if self._folder.knows(number):
            self._folder.on_failed(now_ms)
        else:
            self._results.on_segment_failed(number, now_ms)

    def on_input(self, index: int, lines: list[bytes], now_ms: float) -> None:
        self._input.on_read()
        start = self._input.start_of(index)
        self._end_unresolved(start, lines, now_ms)
        self._items.load(start, lines)

    def on_input_failed(self, now_ms: float) -> None:
        self._input.on_failed(now_ms)

    # Inside.

    def _advance(self, moment: Moment, actions: list[Action]) -> None:
        """Move to the phase that the record, the items and the results call for."""
        end = _END_OF.get(self._commits.ownership)
        if end is not None:
            self._end(end, actions)
        elif self.phase is JobPhase.CLAIMING and self._commits.ownership is Ownership.OWNED:
            self._begin(moment)
        if self.phase is JobPhase.RECOVERING and self._recovery.done:
            self.phase = JobPhase.RUNNING
        if self.phase is JobPhase.RUNNING and self._commits.cancelling:
            self.phase = JobPhase.STOPPING
            self._stop_due = True
        if self.phase is JobPhase.RUNNING and not self.items_left:
            self.phase = JobPhase.FINISHING
        if self.phase is JobPhase.STOPPING and not self._items.in_flight:
            self.phase = JobPhase.FINISHING
        if self._stop_due:
            self._stop_due = False
            actions.append(StopAttempts())

    def _end(self, phase: JobPhase, actions: list[Action]) -> None:
        if self.phase is phase:
            return
        self.phase = phase
        self._stop_due = True
        if phase is JobPhase.FINISHED:
            actions.append(CleanUp())

    def _begin(self, moment: Moment) -> None:
        """Set up the work from the record as it was claimed."""
        record = self.record
        settings = self._settings
        left_ms = (record.deadline_s - moment.now_s) * 1000.0
        self.phase = JobPhase.RECOVERING
        self._ended = ItemSet(record.item_count, record.done)
        self._items = ItemQueue(self._ended, record.non_idempotent, settings, self._random)
        self._input = InputReader(record.input)
        self._gate = MarkGate(record, settings.mark_items)
        self._recovery = LogRecovery(needed=record.epoch > 1)
        self._watch = DeadlineWatch(moment.now_ms + left_ms, moment.now_ms)

    def _end_unresolved(self, start: int, lines: list[bytes], now_ms: float) -> None:
        """End the items that a former owner may have dispatched and that may not run again."""
        message = "the call may have been made before its runner was lost"
        for number in self._gate.unresolved(start, start + len(lines)):
            code, line = ResultCode.ITEM_UNKNOWN, lines[number - start]
            text = failed_line(self.job_id, number, line, code, message)
            self._end_item(LoggedResult(number, False, text), now_ms)

    def _end_item(self, result: LoggedResult, now_ms: float) -> None:
        """Take an item's one result; any further one is dropped here."""
        if not self._ended.add(result.item_number):
            return
        self._results.add(result, now_ms)
        self._watch.on_ended(now_ms)
        self._log.add(result)

    def _after_commit(self) -> None:
        if self._gate is not None and self._commits.ownership is Ownership.OWNED:
            self._gate.on_record(self.record)

    def _poll_work(self, moment: Moment, actions: list[Action]) -> None:
        now_ms = moment.now_ms
        self._ask_marks()
        self._judge_deadline(moment)
        self._results.seal_due(now_ms, self._must_flush())
        next_ones = (self._next_reading(now_ms), self._log.next_action(), self._next_fold(moment))
        actions += [action for action in next_ones if action is not None]
        actions += self._results.puts(now_ms)

    def _next_reading(self, now_ms: float) -> ReadLog | ReadInput | None:
        if self.phase is JobPhase.RECOVERING:
            room = self._results.buffered_bytes <= self._settings.buffer_bytes // 2
            return self._recovery.next_action(now_ms) if room else None
        if self.phase is not JobPhase.RUNNING or not self.may_load:
            return None
        wanted = self._items.wanted_item
        return None if wanted is None else self._input.next_action(wanted, now_ms)

    def _ask_marks(self) -> None:
        if self.phase is JobPhase.RUNNING and self._gate.ahead and not self._released:
            ranges = self._gate.wanted(self._items.fresh_numbers(self._gate.ahead))
            if ranges:
                self._commits.add_marks(ranges)

    def _judge_deadline(self, moment: Moment) -> None:
        if self.phase is not JobPhase.RUNNING or moment.now_ms < self._judge_due_ms:
            return
        self._judge_due_ms = moment.now_ms + _JUDGE_EVERY_MS
        forecast = self._watch.judge(self.items_left, moment.now_ms, moment.now_s)
        if forecast is not None:
            self._commits.report(forecast)

    def _must_flush(self) -> bool:
        crowded = self._results.buffered_bytes >= self._settings.buffer_bytes
        return self.phase is JobPhase.FINISHING or crowded or self._released

    def _next_fold(self, moment: Moment) -> PutSegment | None:
        """Return the manifest to be written, if any; at the end also make the record final."""
        finishing = self.phase is JobPhase.FINISHING and self.saved
        put = self._folder.next_action(self.record, finishing, moment.now_ms)
        if finishing and self._folder.settled(self.record):
            self._commits.finish(moment.now_s)
        return put

    def _can_start(self) -> bool:
        if self.phase is not JobPhase.RUNNING or self.held or self._released:
            return False
        if self._commits.cancelling:
            return False
        return self._results.buffered_bytes < self._settings.buffer_bytes

    def _fresh_allowed(self) -> bool:
        return self._gate.allows(self._items.next_fresh)
