"""Whether a holder's asks reach no owner at all, as a part of its program may be at fault.

A node in that state can serve calls under its own limit, but no batch item would ever run.

Pure: the caller passes the time.
"""

import msgspec

__all__ = ["UnansweredAsks"]

# Owners die and nodes are cut off for shorter; others take the upstreams over within this time.
_LONG_MS = 5000.0
_LEAST = 8
# After the last one it is tried again.
_FORGOTTEN_MS = 10_000.0


class UnansweredAsks(msgspec.Struct):
    """The asks since the last one that any owner answered."""

    _count: int = 0
    _first_ms: float = 0.0
    _last_ms: float = float("-inf")

    def note_answer(self) -> None:
        """Note that an owner granted or refused an ask."""
        self._count = 0

    def note_silence(self, now_ms: float) -> None:
        """Note that an ask could not be sent, or got no answer in time."""
        if now_ms - self._last_ms > _FORGOTTEN_MS:
            self._count = 0
        if not self._count:
            self._first_ms = now_ms
        self._count += 1
        self._last_ms = now_ms

    def is_long(self, now_ms: float) -> bool:
        """Whether none has been answered for so long that others should do the batch work."""
        if self._count < _LEAST or now_ms - self._last_ms > _FORGOTTEN_MS:
            return False
        return now_ms - self._first_ms >= _LONG_MS
