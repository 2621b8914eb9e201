"""Transitions of a job's record: each returns a new record to be written by compare-and-swap.

The record changes in no other way, so what these functions keep is what holds: the epoch only
rises, an item is committed once, counts never go down, a final record stays as it is.
"""

from collections.abc import Sequence

import msgspec

from fescuedock.core.batch.ranges import ItemSet
from fescuedock.schema.batch import CommittedGroup, JobForecast, JobRecord, JobState, SegmentRef

__all__ = [
    "DuplicateItemError",
    "OwnerChange",
    "cancel_requested",
    "apply_change",
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
    """A group holds an item that already has a committed result."""


class OwnerChange(msgspec.Struct):
    """What a job's owner wants to add to the record in one write.

    ``folded`` is a manifest segment that takes the place of the first ``folded.items`` groups.
    ``unmarks`` are items that were marked and surely not dispatched.
    ``forecast`` of None leaves the forecast as it is.
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
    """Return whether the record will never change again."""
    return record.state in _FINAL


def claimed(record: JobRecord, owner: str) -> JobRecord:
    """Return the record owned by ``owner`` under the next epoch."""
    return msgspec.structs.replace(record, epoch=record.epoch + 1, owner=owner)


def cancel_requested(record: JobRecord) -> JobRecord:
    """Return the record with the cancel recorded; the same one when it is already final."""
    if record.state is not JobState.RUNNING:
        return record
    return msgspec.structs.replace(record, state=JobState.CANCELLING)


def apply_change(record: JobRecord, change: OwnerChange) -> JobRecord:
    """Return the record with ``change`` applied.

    Raises ``DuplicateItemError`` rather than commit an item a second time.
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
    """Return the final record: completed when every item has a result, else cancelled."""
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
