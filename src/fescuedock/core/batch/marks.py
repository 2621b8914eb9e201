"""Lets the items of a non-idempotent job run only after a committed mark, and then once.

Whoever takes the job over cannot know which of the marked items ran.  So few are marked ahead, and
those without a result end as unknown.
"""

from fescuedock.core.batch.ranges import ItemSet, holds, to_ranges
from fescuedock.schema.batch import JobRecord

__all__ = ["MarkGate"]


class MarkGate:
    """Marks ``ahead`` items at once.  The items of idempotent jobs all pass."""

    __slots__ = ("_ahead", "_asked", "_former", "_needed", "_ours")

    def __init__(self, record: JobRecord, ahead: int) -> None:
        self._needed = record.non_idempotent
        self._ahead = ahead
        self._former = record.marked
        self._ours = ItemSet(record.item_count if self._needed else 0)
        self._asked: list[int] = []

    def allows(self, number: int) -> bool:
        """Return whether a fresh item may be dispatched."""
        return not self._needed or (number < self._ours.size and number in self._ours)

    def on_dispatched(self, number: int) -> None:
        """Note that a marked item may run from now on."""
        if self._needed:
            self._ours.discard(number)

    def unused(self) -> list[int]:
        """Return the items that are marked and were not dispatched."""
        return [number for start, end in self._ours.ranges() for number in range(start, end)]

    def unresolved(self, start: int, end: int) -> list[int]:
        """Return the items of a half-open range that a former owner had marked."""
        return [number for number in range(start, end) if holds(self._former, number)]

    def wanted(self, fresh: list[int]) -> list[list[int]]:
        """Return the ranges to mark now, given the items that come next; mostly none."""
        if not self._needed or self._asked or not fresh or fresh[0] in self._ours:
            return []
        self._asked = [number for number in fresh if number not in self._ours][: self._ahead]
        return to_ranges(self._asked)

    def on_record(self, record: JobRecord) -> None:
        """Open the gate for the marks that are in ``record``, read or written under our epoch."""
        if self._asked and holds(record.marked, self._asked[-1]):
            for number in self._asked:
                self._ours.add(number)
            self._asked = []

    @property
    def ahead(self) -> int:
        return self._ahead if self._needed else 0
