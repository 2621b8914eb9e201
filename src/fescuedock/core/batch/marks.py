"""Runs each item of a non-idempotent job at most once, and only after its mark is committed.

After a takeover the new owner cannot know which of the marked items ran.  Therefore only a few
items are marked ahead, and those without a result end as unknown.
"""

from fescuedock.core.batch.ranges import ItemSet, covers, to_ranges
from fescuedock.schema.batch import JobRecord

__all__ = ["MarkGate"]


class MarkGate:
    """Marks up to ``ahead`` items at once; allows every item of an idempotent job."""

    __slots__ = ("_ahead", "_enabled", "_own_marks", "_previously_marked", "_requested")

    def __init__(self, record: JobRecord, ahead: int) -> None:
        self._enabled = record.non_idempotent
        self._ahead = ahead
        self._previously_marked = record.marked
        self._own_marks = ItemSet(record.item_count if self._enabled else 0)
        self._requested: list[int] = []

    def allows(self, number: int) -> bool:
        """Return whether a fresh item may be dispatched."""
        return not self._enabled or (number < self._own_marks.size and number in self._own_marks)

    def on_dispatched(self, number: int) -> None:
        """Record that a marked item may be running from now on."""
        if self._enabled:
            self._own_marks.discard(number)

    def unused(self) -> list[int]:
        """Return the marked items that were not dispatched."""
        return [number for start, end in self._own_marks.ranges() for number in range(start, end)]

    def unresolved(self, start: int, end: int) -> list[int]:
        """Return the items of a half-open range that a former owner had marked."""
        return [number for number in range(start, end) if covers(self._previously_marked, number)]

    def next_marks(self, fresh: list[int]) -> list[list[int]]:
        """Return the ranges to mark now, given the next fresh items; usually none."""
        if not self._enabled or self._requested or not fresh or fresh[0] in self._own_marks:
            return []
        self._requested = [number for number in fresh if number not in self._own_marks][
            : self._ahead
        ]
        return to_ranges(self._requested)

    def on_record(self, record: JobRecord) -> None:
        """Allow the items whose marks are in ``record``, read or written under the own epoch."""
        if self._requested and covers(record.marked, self._requested[-1]):
            for number in self._requested:
                self._own_marks.add(number)
            self._requested = []

    @property
    def ahead(self) -> int:
        return self._ahead if self._enabled else 0
