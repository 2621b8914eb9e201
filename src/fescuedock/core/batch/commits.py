"""Writes an owner's changes to the job's record, one compare-and-swap at a time.

The queue never assumes the outcome of a write.  After any answer other than success it reads the
record again: a group whose items are done was committed, a record with another epoch belongs to
another owner.  The expected revision makes a delayed duplicate of a write fail.
"""

import random
from enum import StrEnum, auto

from fescuedock.core.batch.actions import ReadRecord, WriteRecord
from fescuedock.core.batch.ranges import covers
from fescuedock.core.batch.record import (
    DuplicateItemError,
    OwnerChange,
    apply_change,
    claimed,
    is_final,
)
from fescuedock.core.batch.start_gate import KnownRecord
from fescuedock.schema.batch import CommittedGroup, JobForecast, JobRecord, JobState, SegmentRef
from fescuedock.schema.result_codes import ResultCode

__all__ = ["CommitQueue", "Ownership"]

_FIRST_RETRY_MS = 50.0
_MAX_RETRY_MS = 5000.0


class Ownership(StrEnum):
    """Whether the queue may write the record, as far as it knows."""

    CLAIMING = auto()
    OWNED = auto()
    # The record is final.
    FINAL = auto()
    # Another owner has claimed the job.
    LOST = auto()
    # The record no longer exists.
    VANISHED = auto()


class CommitQueue:
    """Claims one job for ``owner`` and then writes its changes.

    ``owner`` must be unique to this process.
    """

    __slots__ = (
        "_busy",
        "_confirmed_at_ms",
        "_failures",
        "_finish_at_s",
        "_folded",
        "_forecast",
        "_groups",
        "_marks",
        "_maybe_stale",
        "_must_read",
        "_owner",
        "_random",
        "_requested_epoch",
        "_retry_at_ms",
        "_revision",
        "_sent_at_ms",
        "_unmarks",
        "_writing",
        "epoch",
        "ownership",
        "record",
    )

    def __init__(self, owner: str, random_: random.Random) -> None:
        self.ownership = Ownership.CLAIMING
        self.record: JobRecord | None = None
        self.epoch = 0
        self._owner = owner
        self._random = random_
        self._requested_epoch = 0
        self._revision = 0
        self._busy = False
        self._must_read = True
        self._maybe_stale = False
        self._sent_at_ms = 0.0
        self._confirmed_at_ms = float("-inf")
        self._writing: JobRecord | None = None
        self._failures = 0
        self._retry_at_ms = 0.0
        self._groups: list[CommittedGroup] = []
        self._marks: list[list[int]] = []
        self._unmarks: list[list[int]] = []
        self._folded: SegmentRef | None = None
        self._forecast: list[JobForecast] | None = None
        self._finish_at_s = 0

    @property
    def idle(self) -> bool:
        """Whether every added change is in the record."""
        waiting = self._groups or self._marks or self._unmarks or self._folded
        waiting = waiting or self._forecast is not None
        return not self._busy and not self._must_read and not waiting

    @property
    def retry_at_ms(self) -> float:
        """When ``next_action`` may return an action again after a failure."""
        return self._retry_at_ms

    @property
    def cancelling(self) -> bool:
        return self.record is not None and self.record.state is JobState.CANCELLING

    @property
    def known(self) -> KnownRecord:
        """The known state of the record, for the decision whether an item may begin."""
        owned = self.ownership is Ownership.OWNED
        return KnownRecord(self.record, owned, self._confirmed_at_ms, self._maybe_stale)

    def add_group(self, group: CommittedGroup) -> None:
        self._groups.append(group)

    def add_marks(self, ranges: list[list[int]]) -> None:
        self._marks += ranges

    def remove_marks(self, ranges: list[list[int]]) -> None:
        """Remove marks of items that this owner has not dispatched and never will."""
        self._unmarks += ranges

    def fold(self, manifest: SegmentRef) -> None:
        """Replace the first ``manifest.items`` groups in the record by ``manifest``."""
        self._folded = manifest

    def set_forecast(self, forecast: list[JobForecast]) -> None:
        """Record a forecast, or clear it with an empty list once the deadline will be met."""
        self._forecast = forecast

    def finish(self, at_s: int) -> None:
        """Make the record final together with the changes that are still queued."""
        self._finish_at_s = self._finish_at_s or at_s

    def invalidate(self) -> None:
        """Read the record as soon as possible, after a notification that it was changed."""
        self._must_read = True
        self._maybe_stale = True

    def refresh(self) -> None:
        """Read the record as soon as possible, as it has not been confirmed for a while."""
        # The answer to a call in progress will confirm it.
        if not self._busy:
            self._must_read = True

    def next_action(self, now_ms: float) -> ReadRecord | WriteRecord | None:
        """Return the next call to the key-value service, or None if there is none to make."""
        if self._busy or now_ms < self._retry_at_ms:
            return None
        if self.ownership not in (Ownership.CLAIMING, Ownership.OWNED):
            return None
        if self._must_read:
            # Cleared now, not at the answer: a change reported in between needs another read.
            self._must_read = False
            self._send(now_ms)
            return ReadRecord()
        self._writing = self._next_record()
        if self._writing is None:
            return None
        self._send(now_ms)
        return WriteRecord(self._writing, self._revision)

    def on_record(self, record: JobRecord | None, revision: int) -> None:
        """Apply the record as the service returned it."""
        self._answered()
        self._maybe_stale = self._must_read
        self._revision = revision
        self.record = record or self.record
        if record is None:
            self.ownership = Ownership.VANISHED
            return
        self._apply_record(record)

    def on_written(self, revision: int) -> None:
        """Handle the success of the last write."""
        self._answered()
        self._revision = revision
        self.record = self._writing
        self._apply_record(self._writing)

    def on_failed(self, code: ResultCode, now_ms: float) -> None:
        """Handle the failure or unknown outcome of the last call."""
        self._busy = False
        self._must_read = True
        if code is ResultCode.KV_CONFLICT:
            self._maybe_stale = True
            return
        delay_ms = min(_FIRST_RETRY_MS * 2**self._failures, _MAX_RETRY_MS)
        self._failures += 1
        self._retry_at_ms = now_ms + delay_ms * self._random.uniform(0.5, 1.5)

    def _send(self, now_ms: float) -> None:
        self._busy = True
        self._sent_at_ms = now_ms

    def _answered(self) -> None:
        # An answer may be delayed, and does not show changes made after the call was sent.
        self._confirmed_at_ms = self._sent_at_ms
        self._busy = False
        self._failures = 0
        self._retry_at_ms = 0.0

    def _apply_record(self, record: JobRecord) -> None:
        """Compare ``record`` with the queued changes, and keep only those not yet written."""
        if self.epoch == 0:
            self._apply_claim(record)
        elif record.epoch != self.epoch:
            self.ownership = Ownership.LOST
        elif is_final(record):
            self.ownership = Ownership.FINAL
        else:
            self._drop_committed(record)

    def _apply_claim(self, record: JobRecord) -> None:
        if is_final(record):
            self.ownership = Ownership.FINAL
        elif self._requested_epoch and record.epoch >= self._requested_epoch:
            is_own_claim = record.epoch == self._requested_epoch and record.owner == self._owner
            self.ownership = Ownership.OWNED if is_own_claim else Ownership.LOST
            self.epoch = record.epoch if is_own_claim else 0

    def _drop_committed(self, record: JobRecord) -> None:
        self._groups = [item for item in self._groups if not covers(record.done, item.ranges[0][0])]
        self._marks = [item for item in self._marks if not covers(record.marked, item[0])]
        self._unmarks = [item for item in self._unmarks if covers(record.marked, item[0])]
        if self._folded in record.manifests:
            self._folded = None
        if self._forecast == record.forecast:
            self._forecast = None

    def _next_record(self) -> JobRecord | None:
        if self.epoch == 0:
            self._requested_epoch = self.record.epoch + 1
            return claimed(self.record, self._owner)
        change = OwnerChange(
            groups=self._groups,
            marks=self._marks,
            unmarks=self._unmarks,
            folded=self._folded,
            forecast=self._forecast,
            finished_at_s=self._finish_at_s,
        )
        if not change:
            return None
        try:
            return apply_change(self.record, change)
        except DuplicateItemError:
            # Caused by another writer or a local fault; the next claim starts from the record.
            self.ownership = Ownership.LOST
            return None
