"""Splits a byte stream into lines, and groups lines into segments bounded in items and bytes.

The concatenated segments of a stream are equal to the stream.
"""

import msgspec

__all__ = ["CutSegment", "LineReader", "SegmentCutter", "is_blank", "item_lines"]

_NEWLINE = b"\n"


class CutSegment(msgspec.Struct, frozen=True):
    """A segment ready to be stored; ``items`` is the number of its lines that are not blank."""

    body: bytes
    items: int


def is_blank(line: bytes) -> bool:
    """Whether ``line`` contains only white space and so is no item."""
    return not line.strip()


def item_lines(body: bytes) -> list[bytes]:
    """Return the items of a segment: its lines that are not blank, without their newlines."""
    return [line for line in body.split(_NEWLINE) if not is_blank(line)]


class LineReader:
    """Splits a stream, fed in chunks of any size, into lines that include their newline.

    A line over ``max_line_bytes`` is returned in chunks of ``max_line_bytes + 1`` bytes, so that
    memory is bounded and the first chunk is recognized as too long.
    """

    __slots__ = ("_max_chunk_bytes", "_partial", "_partial_bytes")

    def __init__(self, max_line_bytes: int) -> None:
        self._max_chunk_bytes = max_line_bytes + 1
        self._partial: list[bytes] = []
        self._partial_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that ``data`` completes."""
        lines: list[bytes] = []
        *complete, last = data.split(_NEWLINE)
        for part in complete:
            self._buffer(part, lines)
            lines.append(self._pop_line() + _NEWLINE)
        self._buffer(last, lines)
        return lines

    def finish(self) -> list[bytes]:
        """End the stream; return its last line if that has no newline."""
        return [self._pop_line()] if self._partial_bytes else []

    def _buffer(self, part: bytes, lines: list[bytes]) -> None:
        while self._partial_bytes + len(part) > self._max_chunk_bytes:
            room = self._max_chunk_bytes - self._partial_bytes
            self._partial.append(part[:room])
            part = part[room:]
            lines.append(self._pop_line())
        if part:
            self._partial.append(part)
            self._partial_bytes += len(part)

    def _pop_line(self) -> bytes:
        line = b"".join(self._partial)
        self._partial.clear()
        self._partial_bytes = 0
        return line


class SegmentCutter(msgspec.Struct):
    """Groups lines into segments of at most ``max_items`` items and ``max_bytes`` bytes.

    Only a segment of a single longer line may exceed ``max_bytes``.
    """

    max_items: int
    max_bytes: int
    _lines: list[bytes] = msgspec.field(default_factory=list)
    _items: int = 0
    _size_bytes: int = 0

    def add(self, line: bytes) -> CutSegment | None:
        """Add ``line`` with its newline; return the segment before it if that has no room left."""
        is_item = not is_blank(line)
        full = self._items + is_item > self.max_items
        full = full or self._size_bytes + len(line) > self.max_bytes
        cut = self.finish() if full else None
        self._lines.append(line)
        self._items += is_item
        self._size_bytes += len(line)
        return cut

    def finish(self) -> CutSegment | None:
        """Return the segment of the lines added since the last one; None without such lines."""
        if not self._lines:
            return None
        cut = CutSegment(b"".join(self._lines), self._items)
        self._lines = []
        self._items = 0
        self._size_bytes = 0
        return cut
