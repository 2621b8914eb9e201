"""Collects the results of attempts into groups to be committed.

A result is final only once its group is committed.  Until then it is in the result log, in memory
or in a segment; the bytes in memory are bounded by ``BatchSettings.buffer_bytes``.
"""

import msgspec

from fescuedock.core.batch.actions import PutSegment
from fescuedock.core.batch.ranges import to_ranges
from fescuedock.schema.batch import CommittedGroup, JobManifest, LoggedResult, SegmentRef
from fescuedock.schema.settings import BatchSettings

__all__ = ["GroupBuilder", "manifest_body", "without_copies"]

_PUT_RETRY_MS = 1000.0


class _Group(msgspec.Struct):
    """Results that will be committed together; ``refs`` are the segments written so far."""

    numbers: list[int] = msgspec.field(default_factory=list)
    outputs: list[bytes] = msgspec.field(default_factory=list)
    errors: list[bytes] = msgspec.field(default_factory=list)
    size_bytes: int = 0
    opened_at_ms: float = 0.0
    waiting_for: set[int] = msgspec.field(default_factory=set)
    output_refs: list[SegmentRef] = msgspec.field(default_factory=list)
    error_refs: list[SegmentRef] = msgspec.field(default_factory=list)

    def committed(self) -> CommittedGroup:
        return CommittedGroup(
            outputs=self.output_refs,
            errors=self.error_refs,
            ranges=to_ranges(self.numbers),
            succeeded=sum(ref.items for ref in self.output_refs),
            failed=sum(ref.items for ref in self.error_refs),
        )


class _Put(msgspec.Struct):
    """One segment of a sealed group; its body is retained until a store has written it."""

    group: _Group
    action: PutSegment
    refs: list[SegmentRef]
    due_at_ms: float = 0.0
    running: bool = False


class GroupBuilder:
    """Collects results into groups and writes the segments of full ones."""

    __slots__ = ("_next_number", "_open", "_puts", "_settings", "buffered_bytes")

    def __init__(self, settings: BatchSettings) -> None:
        self._settings = settings
        self._open = _Group()
        self._puts: dict[int, _Put] = {}
        self._next_number = 0
        self.buffered_bytes = 0

    @property
    def empty(self) -> bool:
        return not self._open.numbers and not self._puts

    def add(self, result: LoggedResult, now_ms: float) -> None:
        """Add one result; the caller ensures that each item is added once."""
        group = self._open
        if not group.numbers:
            group.opened_at_ms = now_ms
        group.numbers.append(result.item_number)
        (group.outputs if result.succeeded else group.errors).append(result.line)
        group.size_bytes += len(result.line)
        self.buffered_bytes += len(result.line)

    def seal_due(self, now_ms: float, flush: bool) -> None:
        """Close the open group when it is full, old enough, or with ``flush`` at once."""
        if self._open.numbers and (flush or self._is_due(now_ms)):
            self._seal()

    def due_at_ms(self) -> float:
        """Return when the open group must be closed or a segment retried."""
        due = [put.due_at_ms for put in self._puts.values() if not put.running]
        if self._open.numbers:
            due.append(self._open.opened_at_ms + self._settings.group_max_age_ms)
            if len(self._open.numbers) >= self._settings.group_min_items:
                due.append(self._open.opened_at_ms + self._settings.group_age_ms)
        return min(due, default=float("inf"))

    def puts(self, now_ms: float) -> list[PutSegment]:
        """Return the segments to write now."""
        due = [put for put in self._puts.values() if not put.running and put.due_at_ms <= now_ms]
        for put in due:
            put.running = True
        return [put.action for put in due]

    def on_segment(self, number: int, ref: SegmentRef) -> CommittedGroup | None:
        """Handle a written segment; return its group if it was the last one missing."""
        put = self._puts.pop(number)
        self.buffered_bytes -= len(put.action.body)
        put.refs.append(without_copies(ref))
        put.group.waiting_for.discard(number)
        return None if put.group.waiting_for else put.group.committed()

    def on_segment_failed(self, number: int, now_ms: float) -> None:
        put = self._puts[number]
        put.running = False
        put.due_at_ms = now_ms + _PUT_RETRY_MS

    def has_segment(self, number: int) -> bool:
        """Return whether segment ``number`` belongs to this builder."""
        return number in self._puts

    def _is_due(self, now_ms: float) -> bool:
        settings, group = self._settings, self._open
        age_ms = now_ms - group.opened_at_ms
        full = len(group.numbers) >= settings.group_items
        large = group.size_bytes >= settings.segment_bytes
        aged = age_ms >= settings.group_age_ms and len(group.numbers) >= settings.group_min_items
        return full or large or aged or age_ms >= settings.group_max_age_ms

    def _seal(self) -> None:
        group, self._open = self._open, _Group()
        self._put_lines(group, group.outputs, group.output_refs)
        self._put_lines(group, group.errors, group.error_refs)
        group.outputs, group.errors = [], []

    def _put_lines(self, group: _Group, lines: list[bytes], refs: list[SegmentRef]) -> None:
        if not lines:
            return
        number = self._next_number
        self._next_number += 1
        body = b"\n".join([*lines, b""])
        self.buffered_bytes += len(lines)
        action = PutSegment(number, body, len(lines))
        self._puts[number] = _Put(group, action, refs)
        group.waiting_for.add(number)


def manifest_body(groups: list[CommittedGroup]) -> bytes:
    """Return the body of the manifest segment that holds ``groups``."""
    return msgspec.msgpack.encode(JobManifest(groups=groups))


def without_copies(ref: SegmentRef) -> SegmentRef:
    """Return ``ref`` as stored in the record: copies may move, and are located by the hash."""
    return msgspec.structs.replace(ref, copies=[])
