"""Recovers uncommitted results from the result log of a former owner."""

from collections.abc import Iterator, Sequence

import msgspec

from fescuedock.core.batch.actions import ReadLog
from fescuedock.core.batch.ranges import ItemSet
from fescuedock.schema.batch import LoggedResult

__all__ = ["LogRecovery"]

_ATTEMPTS = 5
_FIRST_RETRY_MS = 200.0

_decode = msgspec.msgpack.Decoder(LoggedResult).decode


class LogRecovery:
    """Reads a log repeatedly until all of it has passed through a bounded buffer.

    Gives up after several failures: items without a known result then run again, or end as unknown
    if they may not run twice.
    """

    __slots__ = ("_due_at_ms", "_failures", "_incomplete", "_reading", "done", "reused")

    def __init__(self, needed: bool) -> None:
        self.done = not needed
        self.reused = 0
        self._failures = 0
        self._due_at_ms = 0.0
        self._reading = False
        self._incomplete = False

    @property
    def due_at_ms(self) -> float:
        return float("inf") if self.done or self._reading else self._due_at_ms

    def next_action(self, now_ms: float) -> ReadLog | None:
        if self.done or self._reading or now_ms < self._due_at_ms:
            return None
        self._reading = True
        self._incomplete = False
        return ReadLog()

    def results(self, records: Sequence[bytes], ended: ItemSet) -> Iterator[LoggedResult]:
        """Yield the results of a page whose items have none yet; pages of both copies arrive."""
        for record in records:
            result = _decode(record)
            if result.item_number not in ended:
                yield result

    def mark_incomplete(self) -> None:
        """Record that a result did not fit in the buffer, so the log must be read again."""
        self._incomplete = True

    def on_end(self, complete: bool, now_ms: float) -> None:
        """Handle the end of a read; ``complete`` is set when a store was read to its end."""
        self._reading = False
        if complete:
            self.done = not self._incomplete
            return
        self._failures += 1
        self.done = self._failures >= _ATTEMPTS
        self._due_at_ms = now_ms + _FIRST_RETRY_MS * 2**self._failures
