"""Splits a stream of server-sent events into events, keeping their bytes unchanged.

Only complete events are returned: an upstream may stop in the middle of an event, which the
upstream that continues the stream sends again.
"""

import msgspec

__all__ = ["EventSplitter", "SplitEvent"]

_NO_ID = -1


class SplitEvent(msgspec.Struct, frozen=True):
    """One event: its bytes, and its number, -1 if its id is missing or not a number."""

    number: int
    raw: bytes

    def data(self) -> str:
        """Return the event's data lines, joined by line feeds."""
        lines = [
            _field_value(line)
            for line in self.raw.splitlines()
            if line.partition(b":")[0] == b"data"
        ]
        return b"\n".join(lines).decode("utf-8", "replace")


class EventSplitter:
    """Splits the bytes of one upstream's stream into complete events."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event was received: if no more follows, the stream is truncated."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[SplitEvent]:
        """Append ``data``; return the events that it completes."""
        self._buffer += data
        events: list[SplitEvent] = []
        while (end := _event_end(self._buffer)) is not None:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(SplitEvent(_number(raw), raw))
        return events


def _event_end(buffer: bytearray) -> int | None:
    """Return the position after the first event's empty line, None without a complete event."""
    ends = [
        position + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(mark)) >= 0
    ]
    return min(ends, default=None)


def _number(raw: bytes) -> int:
    for line in raw.splitlines():
        if line.partition(b":")[0] == b"id":
            value = _field_value(line)
            return int(value) if value.isdigit() else _NO_ID
    return _NO_ID


def _field_value(line: bytes) -> bytes:
    """Return a field's value without the optional space after the colon."""
    value = line.partition(b":")[2]
    return value[1:] if value.startswith(b" ") else value
