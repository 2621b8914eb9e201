"""The state machine of one job at one runner; docs/BATCH.md has its transition table.

The daemon executes the actions that ``poll`` returns and reports their outcome through the ``on_``
calls, in any order; with a permit it calls ``claim`` for an item.
"""

import random
from collections.abc import Callable, Sequence
from enum import StrEnum, auto

import msgspec

from fescuedock.core.batch.actions import (
    Action,
    CleanUp,
    PutSegment,
    ReadInput,
    ReadLog,
    StopAttempts,
)
from fescuedock.core.batch.commits import CommitQueue, Ownership
from fescuedock.core.batch.folding import ManifestFolder
from fescuedock.core.batch.items import AttemptEnd, Isolation, Item
from fescuedock.core.batch.start_gate import StartRefusal, next_read_ms, refusal_of
from fescuedock.core.batch.work import JobWork
from fescuedock.schema.batch import JobRecord, JobState, SegmentRef
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings

__all__ = ["JobPhase", "JobRun", "Moment"]


class JobPhase(StrEnum):
    """Phase of the job at this runner; the last three are final."""

    CLAIMING = auto()
    # Reading the result log of a former owner.
    RECOVERING = auto()
    RUNNING = auto()
    # Cancelled; waiting for the end of attempts in flight.
    STOPPING = auto()
    # Committing the last results and making the record final.
    FINISHING = auto()
    FINISHED = auto()
    # Another runner owns the job.
    LOST = auto()
    # The record no longer exists.
    VANISHED = auto()


_WORKING = frozenset({JobPhase.RECOVERING, JobPhase.RUNNING, JobPhase.STOPPING, JobPhase.FINISHING})
_ENDS = frozenset({JobPhase.FINISHED, JobPhase.LOST, JobPhase.VANISHED})
_END_PHASES = {
    Ownership.FINAL: JobPhase.FINISHED,
    Ownership.LOST: JobPhase.LOST,
    Ownership.VANISHED: JobPhase.VANISHED,
}


class Moment(msgspec.Struct, frozen=True):
    """A point in time on the monotonic clock and in Unix time; deadlines are in Unix time."""

    now_ms: float
    now_s: int


class JobRun:
    """Runs job ``job_id`` under ``owner``, the unique name of this runner.

    ``may_load`` is set by the scheduler; without it no input is read.  ``kv_away`` returns whether
    the key-value service is unavailable to all VMs.
    """

    __slots__ = (
        "_commits",
        "_folder",
        "_kv_away",
        "_random",
        "_released",
        "_settings",
        "_stop_due",
        "_work",
        "job_id",
        "may_load",
        "phase",
    )

    def __init__(
        self,
        job_id: str,
        owner: str,
        settings: BatchSettings,
        random_: random.Random,
        kv_away: Callable[[], bool] = lambda: False,
    ) -> None:
        self.job_id = job_id
        self.phase = JobPhase.CLAIMING
        self.may_load = True
        self._settings = settings
        self._random = random_
        self._commits = CommitQueue(owner, random_)
        self._folder = ManifestFolder(settings.manifest_groups)
        # Set once the job is claimed.
        self._work: JobWork | None = None
        self._kv_away = kv_away
        self._released = False
        self._stop_due = False

    @property
    def record(self) -> JobRecord | None:
        """The record as last read or written."""
        return self._commits.record

    @property
    def epoch(self) -> int:
        """The epoch under which this runner owns the job; 0 before the claim."""
        return self._commits.epoch

    @property
    def over(self) -> bool:
        """Whether the job has ended for this runner."""
        return self.phase in _ENDS

    @property
    def completed(self) -> bool:
        """Whether every item of the job has a committed result."""
        record = self.record
        return record is not None and record.state is JobState.COMPLETED

    @property
    def items_left(self) -> int:
        """Items without a result; 0 before the claim."""
        return self._work.items_left if self._work else 0

    @property
    def in_flight(self) -> int:
        return self._work.items.in_flight if self._work else 0

    @property
    def reused(self) -> int:
        """Number of results recovered from the log of a former owner."""
        return self._work.recovery.reused if self._work else 0

    @property
    def deadline_ms(self) -> float:
        """The deadline on the monotonic clock, once the job is claimed."""
        return self._work.deadline_watch.deadline_ms if self._work else float("inf")

    @property
    def all_committed(self) -> bool:
        """Whether every result so far is committed."""
        return self._commits.idle and (self._work is None or self._work.results.empty)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of results in memory."""
        return self._work.results.buffered_bytes if self._work else 0

    # Actions.

    def poll(self, moment: Moment) -> list[Action]:
        """Advance the state machine and return the actions to execute now."""
        actions = self._advance(moment)
        if self.phase in _WORKING:
            actions += self._poll_work(moment)
        if moment.now_ms >= self._read_due_ms(moment.now_ms):
            self._commits.refresh()
        commit = self._commits.next_action(moment.now_ms)
        if commit is not None:
            actions.append(commit)
        if self._commits.ownership in _END_PHASES and not self.over:
            actions += self._advance(moment)
        return actions

    def wake_at_ms(self, now_ms: float) -> float:
        """Return when to call ``poll`` next if no outcome is reported before."""
        due = [self._folder.due_at_ms, self._commits.retry_at_ms, self._read_due_ms(now_ms)]
        if self._work is not None:
            due += self._work.due_ms()
        return min((at_ms for at_ms in due if at_ms > now_ms), default=float("inf"))

    def release(self) -> None:
        """Prepare for a planned stop: start no more items, and commit all results.

        Removes the marks of items that were not dispatched, so that the next owner runs them.  Call
        this only when no attempt is in flight.
        """
        if self._released or self._work is None:
            return
        self._released = True
        self._commits.remove_marks(self._work.unused_marks())

    def set_expected_rate(self, items_per_s: float) -> None:
        """Use this rate for the deadline forecast until the job has one of its own."""
        if self._work is not None:
            self._work.deadline_watch.prior_items_per_s = items_per_s

    # Items.

    def peek(self, now_ms: float) -> Item | None:
        """Return the item that would probably run next, without claiming it."""
        return self._work.peek(now_ms) if self._can_start(now_ms) else None

    def strictest_isolation(self, now_ms: float) -> Isolation:
        """Return the strictest isolation required by the items that could run now."""
        if not self._can_start(now_ms):
            return Isolation.NONE
        return self._work.items.strictest_ready(now_ms)

    def claim(self, upstream_id: str, allowed: Isolation, now_ms: float) -> Item | None:
        """Claim an item to run on ``upstream_id``; report its end with ``on_attempt_ended``."""
        if not self._can_start(now_ms):
            return None
        return self._work.claim(upstream_id, allowed, now_ms)

    def start_refusal(self, now_ms: float) -> StartRefusal | None:
        """Return why no item may begin according to the known record, or None when one may."""
        known, max_age_ms = self._commits.known, self._settings.record_age_ms
        kv_away = self._kv_away()
        return refusal_of(known, now_ms, max_age_ms=max_age_ms, kv_away=kv_away)

    def on_attempt_ended(self, item: Item, end: AttemptEnd, now_ms: float) -> ResultCode | None:
        """Handle the end of an attempt; ignored when the job is over.

        Return the item's result code if the item has ended, else None.
        """
        return None if self.over else self._work.on_attempt_ended(item, end, now_ms)

    # Outcomes of actions.

    def on_record(self, record: JobRecord | None, revision: int) -> None:
        self._commits.on_record(record, revision)
        self._after_commit()

    def on_written(self, revision: int) -> None:
        self._commits.on_written(revision)
        self._after_commit()

    def on_kv_failed(self, code: ResultCode, now_ms: float) -> None:
        self._commits.on_failed(code, now_ms)

    def on_pushed(self, cancelled: bool) -> None:
        """Handle a push from an entry or scanner; a cancel holds items until the record is read."""
        if cancelled and self.phase not in (JobPhase.STOPPING, JobPhase.FINISHING):
            self._stop_due = True
            self._commits.invalidate()

    def on_log_page(self, records: Sequence[bytes], now_ms: float) -> None:
        self._work.on_log_page(records, now_ms)

    def on_log_end(self, complete: bool, now_ms: float) -> None:
        self._work.recovery.on_end(complete, now_ms)

    def on_logged(self) -> None:
        self._work.on_logged()

    def on_segment(self, number: int, ref: SegmentRef) -> None:
        if self._folder.is_manifest(number):
            self._commits.fold(self._folder.on_segment(ref))
            return
        group = self._work.results.on_segment(number, ref)
        if group is not None:
            self._commits.add_group(group)

    def on_segment_failed(self, number: int, now_ms: float) -> None:
        if self._folder.is_manifest(number):
            self._folder.on_failed(now_ms)
        else:
            self._work.results.on_segment_failed(number, now_ms)

    def on_input(self, index: int, lines: list[bytes], now_ms: float) -> None:
        self._work.on_input(index, lines, now_ms)

    def on_input_failed(self, now_ms: float) -> None:
        self._work.on_input_failed(now_ms)

    # Internal.

    def _advance(self, moment: Moment) -> list[Action]:
        """Enter the phase that follows from the record, the items and the results."""
        actions: list[Action] = []
        end = _END_PHASES.get(self._commits.ownership)
        if end is not None:
            self._end(end, actions)
        elif self.phase is JobPhase.CLAIMING and self._commits.ownership is Ownership.OWNED:
            self._begin(moment)
        if self.phase is JobPhase.RECOVERING and self._work.recovery.done:
            self.phase = JobPhase.RUNNING
        if self.phase is JobPhase.RUNNING and self._commits.cancelling:
            self.phase = JobPhase.STOPPING
            self._stop_due = True
        if self.phase is JobPhase.RUNNING and not self.items_left:
            self.phase = JobPhase.FINISHING
        if self.phase is JobPhase.STOPPING and not self.in_flight:
            self.phase = JobPhase.FINISHING
        if self._stop_due:
            self._stop_due = False
            actions.append(StopAttempts())
        return actions

    def _end(self, phase: JobPhase, actions: list[Action]) -> None:
        if self.phase is phase:
            return
        self.phase = phase
        self._stop_due = True
        if phase is JobPhase.FINISHED:
            actions.append(CleanUp())

    def _begin(self, moment: Moment) -> None:
        left_ms = (self.record.deadline_s - moment.now_s) * 1000.0
        deadline_ms = moment.now_ms + left_ms
        self.phase = JobPhase.RECOVERING
        self._work = JobWork(self.record, self._settings, self._random, deadline_ms, moment.now_ms)

    def _after_commit(self) -> None:
        if self._work is not None and self._commits.ownership is Ownership.OWNED:
            self._work.on_record(self.record)

    def _poll_work(self, moment: Moment) -> list[Action]:
        work, now_ms = self._work, moment.now_ms
        if self.phase is JobPhase.RUNNING:
            self._queue_changes(moment)
        flush = self.phase is JobPhase.FINISHING or self._released
        puts = work.next_puts(now_ms, flush)
        next_ones = (self._next_read(now_ms), work.next_log_write(), self._next_fold(moment))
        return [*puts, *(action for action in next_ones if action is not None)]

    def _queue_changes(self, moment: Moment) -> None:
        """Queue marks for the next items, and a changed deadline forecast."""
        if not self._released:
            self._commits.add_marks(self._work.next_marks())
        forecast = self._work.check_deadline(moment.now_ms, moment.now_s)
        if forecast is not None:
            self._commits.set_forecast(forecast)

    def _next_read(self, now_ms: float) -> ReadLog | ReadInput | None:
        if self.phase is JobPhase.RECOVERING:
            return self._work.next_log_read(now_ms)
        if self.phase is JobPhase.RUNNING and self.may_load:
            return self._work.next_input_read(now_ms)
        return None

    def _next_fold(self, moment: Moment) -> PutSegment | None:
        """Return the manifest to write, if any; once all is folded, make the record final."""
        finishing = self.phase is JobPhase.FINISHING and self.all_committed
        put = self._folder.next_action(self.record, finishing, moment.now_ms)
        if finishing and self._folder.is_folded(self.record):
            self._commits.finish(moment.now_s)
        return put

    def _read_due_ms(self, now_ms: float) -> float:
        """Return when to read the record for the items in flight, or those that may begin.

        A job without items in flight or ready to start causes no reads.
        """
        if self.phase is not JobPhase.RUNNING:
            return float("inf")
        if not self.in_flight and not (self._is_open and self._work.peek(now_ms)):
            return float("inf")
        return next_read_ms(self._commits.known, self._settings.record_age_ms)

    @property
    def _is_open(self) -> bool:
        """Whether this runner can start another item, regardless of the record."""
        return self.phase is JobPhase.RUNNING and not self._released and not self._work.buffer_full

    def _can_start(self, now_ms: float) -> bool:
        # Every start of an item is checked here, however the job reached this runner.
        if not self._is_open:
            return False
        return self.start_refusal(now_ms) is None
