"""Splits a stream of server-sent events into events, keeping their bytes unchanged.

Only complete events are returned: an upstream may stop in the middle of an event, which the
upstream that continues the stream sends again.  An upstream may also send bytes without end that
are no events, or the same event again and again; neither counts as progress.
"""

import re

import msgspec

__all__ = ["MAX_EVENT_BYTES", "MAX_EVENT_NUMBER", "EventSplitter", "SplitEvent"]

# Bytes within which the next event must end; the size at which the head of an answer is refused.
MAX_EVENT_BYTES = 65536
# Events are numbered from 0, so no stream comes near it.
MAX_EVENT_NUMBER = 10**15 - 1
_MAX_NUMBER_DIGITS = 15
_NO_ID = -1
# One search for both line ends: searching for each would scan the buffer to its end every time.
_END_MARK = re.compile(rb"\n\n|\r\n\r\n")
_MAX_MARK_BYTES = 4


class SplitEvent(msgspec.Struct, frozen=True):
    """One event: its bytes, and its number, -1 if its id is missing or no event's number."""

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
    """Splits the bytes of one upstream's stream into complete events.

    The stream makes progress with each event whose number is higher than all before.
    """

    __slots__ = ("_buffer", "_idle_bytes", "_last_number", "progress_count")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._last_number = _NO_ID
        # Bytes of complete events since the last progress.
        self._idle_bytes = 0
        # Number of events that were progress.
        self.progress_count = 0

    @property
    def is_overlong(self) -> bool:
        """Whether too many bytes have come since the last progress."""
        return self._idle_bytes + len(self._buffer) > MAX_EVENT_BYTES

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event was received: if no more follows, the stream is truncated."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[SplitEvent]:
        """Append ``data``; return the events that it completes."""
        # The end of an event may have begun within the last bytes of the buffer.
        search_from = max(len(self._buffer) - _MAX_MARK_BYTES + 1, 0)
        self._buffer += data
        events: list[SplitEvent] = []
        while (end := _event_end(self._buffer, search_from)) is not None:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            search_from = 0
            event = SplitEvent(_number(raw), raw)
            events.append(event)
            self._record_progress(event)
        return events

    def _record_progress(self, event: SplitEvent) -> None:
        if event.number > self._last_number:
            self._last_number = event.number
            self._idle_bytes = 0
            self.progress_count += 1
        else:
            self._idle_bytes += len(event.raw)


def _event_end(buffer: bytearray, search_from: int) -> int | None:
    """Return the position after the first event's empty line, None without a complete event."""
    found = _END_MARK.search(buffer, search_from)
    return None if found is None else found.end()


def _number(raw: bytes) -> int:
    for line in raw.splitlines():
        if line.partition(b":")[0] == b"id":
            value = _field_value(line)
            is_number = value.isdigit() and len(value) <= _MAX_NUMBER_DIGITS
            return int(value) if is_number else _NO_ID
    return _NO_ID


def _field_value(line: bytes) -> bytes:
    """Return a field's value without the optional space after the colon."""
    value = line.partition(b":")[2]
    return value[1:] if value.startswith(b" ") else value
