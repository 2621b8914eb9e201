"""Transitions of a job's record: each returns a new record to be written by compare-and-swap.

The record changes in no other way, so these functions maintain its invariants: the epoch only
increases, an item is committed once, counts never decrease, and a final record never changes.
"""

from collections.abc import Sequence

import msgspec

from fescuedock.core.batch.ranges import ItemSet
from fescuedock.schema.batch import CommittedGroup, JobForecast, JobRecord, JobState, SegmentRef

__all__ = [
    "DuplicateItemError",
    "OwnerChange",
    "apply_change",
    "cancel_requested",
    "claimed",
    "decode_record",
    "encode_record",
    "finished",
    "is_final",
]

encode_record = msgspec.msgpack.Encoder().encode
decode_record = msgspec.msgpack.Decoder(JobRecord).decode

_FINAL = frozenset({JobState.COMPLETED, JobState.CANCELLED})


class DuplicateItemError(ValueError):
    """A group contains an item that already has a committed result."""


class OwnerChange(msgspec.Struct):
    """Changes that a job's owner adds to the record in one write.

    ``folded`` is a manifest segment that replaces the first ``folded.items`` groups.
    ``unmarks`` are marked items that were certainly not dispatched.
    ``forecast`` of None leaves the forecast unchanged.
    """

    groups: Sequence[CommittedGroup] = ()
    marks: Sequence[Sequence[int]] = ()
    unmarks: Sequence[Sequence[int]] = ()
    folded: SegmentRef | None = None
    forecast: list[JobForecast] | None = None
    finished_at_s: int = msgspec.field(default=0)

    def __bool__(self) -> bool:
        return bool(
            self.groups
            or self.marks
            or self.unmarks
            or self.folded
            or self.forecast is not None
            or self.finished_at_s
        )


def is_final(record: JobRecord) -> bool:
    """Return whether the record can no longer change."""
    return record.state in _FINAL


def claimed(record: JobRecord, owner: str) -> JobRecord:
    """Return the record owned by ``owner`` under the next epoch."""
    return msgspec.structs.replace(record, epoch=record.epoch + 1, owner=owner)


def cancel_requested(record: JobRecord) -> JobRecord:
    """Return the record with the cancel recorded; unchanged when it is cancelling or final."""
    if record.state is not JobState.RUNNING:
        return record
    return msgspec.structs.replace(record, state=JobState.CANCELLING)


def apply_change(record: JobRecord, change: OwnerChange) -> JobRecord:
    """Return the record with ``change`` applied.

    Raise ``DuplicateItemError`` if an item would be committed a second time.
    """
    after = msgspec.structs.replace(record)
    if change.groups:
        after.done = _with_groups(record, change.groups)
        after.groups = [*record.groups, *change.groups]
        after.succeeded += sum(group.succeeded for group in change.groups)
        after.failed += sum(group.failed for group in change.groups)
    if change.marks or change.unmarks:
        after.marked = _marked(record, change)
    if change.folded is not None:
        after.manifests = [*record.manifests, change.folded]
        after.groups = after.groups[change.folded.items :]
    if change.forecast is not None:
        after.forecast = change.forecast
    if change.finished_at_s:
        return finished(after, change.finished_at_s)
    return after


def finished(record: JobRecord, at_s: int) -> JobRecord:
    """Return the final record: completed when every item has a result, else cancelled.

    Raise ``ValueError`` if items are left and the job was not cancelled.
    """
    if record.succeeded + record.failed < record.item_count:
        if record.state is not JobState.CANCELLING:
            raise ValueError(f"job {record.job_id} has items left and was not cancelled")
        state = JobState.CANCELLED
    else:
        state = JobState.COMPLETED
    return msgspec.structs.replace(
        record, state=state, finished_at_s=at_s, input=[], marked=[], forecast=[]
    )


def _marked(record: JobRecord, change: OwnerChange) -> list[list[int]]:
    marked = ItemSet(record.item_count, [*record.marked, *change.marks])
    for start, end in change.unmarks:
        for number in range(start, end):
            marked.discard(number)
    return marked.ranges()


def _with_groups(record: JobRecord, groups: Sequence[CommittedGroup]) -> list[list[int]]:
    done = ItemSet(record.item_count, record.done)
    for group in groups:
        for start, end in group.ranges:
            for number in range(start, end):
                if not done.add(number):
                    raise DuplicateItemError(f"item {number} of job {record.job_id}")
    return done.ranges()
