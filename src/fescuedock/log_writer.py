"""Writes log lines to a descriptor without ever blocking on its reader.

Lines that the reader does not accept yet are buffered up to a limit.  Beyond it they are dropped
and counted, and the count is written as a separate line as soon as there is space.
"""

import os
from collections import deque

import msgspec

__all__ = ["BoundedWriter"]

# The allowed lag of a reader: about half a minute of log lines of one busy node.
_MAX_BUFFERED_BYTES = 1024 * 1024


class BoundedWriter:
    """A binary file for log lines over descriptor ``fd``, which is made non-blocking."""

    __slots__ = ("_buffer", "_buffered_bytes", "_dropped", "_fd", "_max_bytes")

    def __init__(self, fd: int, max_bytes: int = _MAX_BUFFERED_BYTES) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._max_bytes = max_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0

    def write(self, data: bytes) -> int:
        """Buffer a line for ``flush``, or drop and count it if the buffer is full."""
        if self._buffered_bytes + len(data) > self._max_bytes:
            self.flush()
        if self._buffered_bytes + len(data) > self._max_bytes:
            self._dropped += 1
            return len(data)
        if self._dropped:
            self._append(_dropped_line(self._dropped))
            self._dropped = 0
        self._append(data)
        return len(data)

    def flush(self) -> None:
        """Write as much as the reader accepts now."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and with it the only place to report the error.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()

    def _append(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)


def _dropped_line(count: int) -> bytes:
    line = {"message_type": "log_lines_dropped", "count": count}
    return msgspec.json.encode(line) + b"\n"
