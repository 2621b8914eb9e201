"""Finds the input segment of the next item, and reads one segment at a time."""

from collections.abc import Sequence

from fescuedock.core.batch.actions import ReadInput
from fescuedock.schema.batch import SegmentRef

__all__ = ["InputReader"]

_RETRY_MS = 1000.0


class InputReader:
    """Reads the input of one job in order; does not store what it reads."""

    __slots__ = ("_refs", "_starts", "busy", "due_at_ms")

    def __init__(self, refs: Sequence[SegmentRef]) -> None:
        self._refs = refs
        self._starts = [0]
        for ref in refs:
            self._starts.append(self._starts[-1] + ref.items)
        self.busy = False
        self.due_at_ms = 0.0

    def start_of(self, index: int) -> int:
        """Return the number of the first item of segment ``index``."""
        return self._starts[index]

    def next_action(self, item_number: int, now_ms: float) -> ReadInput | None:
        """Return the read of the segment that contains ``item_number``, or None if not due.

        Raise ``ValueError`` when the input has no such item.
        """
        if self.busy or now_ms < self.due_at_ms:
            return None
        for index, ref in enumerate(self._refs):
            if item_number < self._starts[index + 1]:
                self.busy = True
                return ReadInput(index, ref)
        raise ValueError(
            f"the input has {self._starts[-1]} items, item {item_number} was requested"
        )

    def on_read(self) -> None:
        self.busy = False

    def on_failed(self, now_ms: float) -> None:
        self.busy = False
        self.due_at_ms = now_ms + _RETRY_MS
