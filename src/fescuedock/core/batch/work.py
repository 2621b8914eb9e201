"""Runs the items of a claimed job, from the input lines to results ready to be committed."""

import random
from collections.abc import Sequence

from fescuedock.core.batch.actions import AppendLog, PutSegment, ReadInput, ReadLog
from fescuedock.core.batch.answers import failed_line, rejected_line, succeeded_line
from fescuedock.core.batch.forecast import DeadlineWatch
from fescuedock.core.batch.input_reader import InputReader
from fescuedock.core.batch.items import AttemptEnd, EndKind, Isolation, Item, ItemQueue
from fescuedock.core.batch.marks import MarkGate
from fescuedock.core.batch.ranges import ItemSet, to_ranges
from fescuedock.core.batch.recovery import LogRecovery
from fescuedock.core.batch.result_log import ResultLog
from fescuedock.core.batch.results import GroupBuilder
from fescuedock.schema.batch import JobForecast, JobRecord, LoggedResult
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings

__all__ = ["JobWork"]

_FORECAST_INTERVAL_MS = 2000.0


class JobWork:
    """The work on one job, created from the claimed record.

    ``deadline_ms`` is on the clock of ``now_ms``.
    """

    __slots__ = (
        "_ended",
        "_forecast_due_ms",
        "_gate",
        "_input",
        "_job_id",
        "_log",
        "_settings",
        "deadline_watch",
        "items",
        "recovery",
        "results",
    )

    def __init__(
        self,
        record: JobRecord,
        settings: BatchSettings,
        random_: random.Random,
        deadline_ms: float,
        now_ms: float,
    ) -> None:
        self._job_id = record.job_id
        self._settings = settings
        self._ended = ItemSet(record.item_count, record.done)
        self._gate = MarkGate(record, settings.mark_items)
        self._input = InputReader(record.input)
        self._log = ResultLog(settings.buffer_bytes)
        self._forecast_due_ms = 0.0
        self.items = ItemQueue(self._ended, record.non_idempotent, settings, random_, deadline_ms)
        self.recovery = LogRecovery(needed=record.epoch > 1)
        self.results = GroupBuilder(settings)
        self.deadline_watch = DeadlineWatch(deadline_ms, now_ms)

    @property
    def items_left(self) -> int:
        """Number of items without a result, committed or not."""
        return self._ended.size - len(self._ended)

    @property
    def buffer_full(self) -> bool:
        """Whether the results in memory have reached ``BatchSettings.buffer_bytes``."""
        return self.results.buffered_bytes >= self._settings.buffer_bytes

    def due_ms(self) -> list[float]:
        """Return the times at which an action becomes due without any outcome being reported."""
        due = [self.results.due_at_ms(), self._input.due_at_ms, self.recovery.due_at_ms]
        return [*due, self._forecast_due_ms]

    def peek(self, now_ms: float) -> Item | None:
        """Return the item that would probably run next, without claiming it."""
        return self.items.peek(now_ms, self._fresh_allowed())

    def claim(self, upstream_id: str, allowed: Isolation, now_ms: float) -> Item | None:
        """Claim an item to run on ``upstream_id``."""
        item = self.items.claim(upstream_id, allowed, now_ms, self._fresh_allowed())
        if item is not None:
            self._gate.on_dispatched(item.number)
        return item

    def on_attempt_ended(self, item: Item, end: AttemptEnd, now_ms: float) -> ResultCode | None:
        """Handle the end of an attempt; return the item's result code if the item has ended."""
        if not self.items.is_in_flight(item):
            return None
        job_id, number, line = self._job_id, item.number, item.line
        if end.kind is EndKind.DONE:
            self.items.release(number)
            text = succeeded_line(job_id, number, line, end.status, end.body)
            self._end_item(LoggedResult(number, True, text), now_ms)
            return ResultCode.OK
        if end.kind is EndKind.REJECTED:
            self.items.release(number)
            text = rejected_line(job_id, number, line, end.status, end.body)
            self._end_item(LoggedResult(number, False, text), now_ms)
            return ResultCode.UPSTREAM_REJECTED
        failure = self.items.on_ended(number, end, now_ms)
        if failure is None:
            return None
        text = failed_line(job_id, number, line, failure.code, failure.message)
        self._end_item(LoggedResult(number, False, text), now_ms)
        return failure.code

    def on_log_page(self, records: Sequence[bytes], now_ms: float) -> None:
        """Recover the results in a page of the former owner's log, as far as they fit."""
        for result in self.recovery.results(records, self._ended):
            if self.buffer_full:
                self.recovery.mark_incomplete()
                return
            self._ended.add(result.item_number)
            self.recovery.reused += 1
            self.results.add(result, now_ms)

    def on_logged(self) -> None:
        self._log.on_logged()

    def on_input(self, index: int, lines: list[bytes], now_ms: float) -> None:
        """Load the lines of an input segment."""
        self._input.on_read()
        start = self._input.start_of(index)
        self._end_unresolved(start, lines, now_ms)
        self.items.load(start, lines)

    def on_input_failed(self, now_ms: float) -> None:
        self._input.on_failed(now_ms)

    def on_record(self, record: JobRecord) -> None:
        """Apply the current record under the own epoch."""
        self._gate.on_record(record)

    def next_log_read(self, now_ms: float) -> ReadLog | None:
        """Return the read of the former owner's log if there is room for its results."""
        room = self.results.buffered_bytes <= self._settings.buffer_bytes // 2
        return self.recovery.next_action(now_ms) if room else None

    def next_input_read(self, now_ms: float) -> ReadInput | None:
        """Return the read of the next input segment, if one is needed."""
        item_number = self.items.next_unread_item
        return None if item_number is None else self._input.next_action(item_number, now_ms)

    def next_log_write(self) -> AppendLog | None:
        """Return the results to append to the log."""
        return self._log.next_action()

    def next_puts(self, now_ms: float, flush: bool) -> list[PutSegment]:
        """Return the segments to write; ``flush`` closes the open group early."""
        self.results.seal_due(now_ms, flush or self.buffer_full)
        return self.results.puts(now_ms)

    def next_marks(self) -> list[list[int]]:
        """Return the items of a non-idempotent job to mark now; usually none."""
        if not self._gate.ahead:
            return []
        return self._gate.next_marks(self.items.fresh_numbers(self._gate.ahead))

    def unused_marks(self) -> list[list[int]]:
        """Return the marked items that were not dispatched."""
        if not self._gate.ahead:
            return []
        return to_ranges(self._gate.unused() + self.items.waiting_numbers())

    def check_deadline(self, now_ms: float, now_s: int) -> list[JobForecast] | None:
        """Return a new forecast to record, an empty list to withdraw it, or None for no change."""
        if now_ms < self._forecast_due_ms:
            return None
        self._forecast_due_ms = now_ms + _FORECAST_INTERVAL_MS
        return self.deadline_watch.check(self.items_left, now_ms, now_s)

    def _end_unresolved(self, start: int, lines: list[bytes], now_ms: float) -> None:
        """End the items that a former owner may have dispatched and that must not run again."""
        message = "the call may have been made before its runner was lost"
        for number in self._gate.unresolved(start, start + len(lines)):
            code, line = ResultCode.ITEM_UNKNOWN, lines[number - start]
            text = failed_line(self._job_id, number, line, code, message)
            self._end_item(LoggedResult(number, False, text), now_ms)

    def _end_item(self, result: LoggedResult, now_ms: float) -> None:
        """Store the first result of an item; drop any further one."""
        if not self._ended.add(result.item_number):
            return
        self.results.add(result, now_ms)
        self.deadline_watch.on_ended(now_ms)
        self._log.add(result)

    def _fresh_allowed(self) -> bool:
        return self._gate.allows(self.items.next_fresh)
