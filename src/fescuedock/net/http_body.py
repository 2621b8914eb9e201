"""The body of an HTTP/1.1 answer, cut out of the bytes behind its head.

h11 gives an event for each part of a chunk, which costs more than all else that is done to a small
event of a stream; here the bytes that came together are given together.  The framing is that of
RFC 9112, section 6.3; what it leaves open is refused.
"""

import re

import h11

__all__ = ["BodyReader", "body_reader"]

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")
# Longest line of a chunk's size, and all trailers together.
_MAX_LINE_BYTES = 4096
_MAX_TRAILER_BYTES = 65536
_NO_BODY_STATUS = (204, 304)
# In place of a chunk's bytes that are left: only the end of its line is missing.
_AT_LINE_END = -2


class BodyReader:
    """Takes the bytes behind an answer's head; ``rest`` is what lies behind the body's end.

    ``length_bytes`` is None for a body in chunks, and below 0 for one that its connection's end
    ends.  ``feed`` and ``close`` raise ``h11.RemoteProtocolError``.
    """

    __slots__ = ("_buffer", "_in_trailer", "_remaining_bytes", "_trailer_bytes", "chunked", "ended")

    def __init__(self, length_bytes: int | None) -> None:
        self.chunked = length_bytes is None
        self.ended = length_bytes == 0
        self._remaining_bytes = length_bytes or 0
        self._buffer = b""
        self._in_trailer = False
        self._trailer_bytes = 0

    @property
    def unframed(self) -> bool:
        """Whether only the end of its connection ends it."""
        return self._remaining_bytes < 0 and not self.chunked

    @property
    def rest(self) -> bytes:
        """What has come behind the end of the body."""
        return self._buffer if self.ended else b""

    def feed(self, data: bytes) -> bytes:
        """Take in ``data``; return what it holds of the body."""
        if self.ended:
            self._buffer += data
            return b""
        if self.chunked:
            return self._feed_chunks(data)
        if self._remaining_bytes < 0:
            return data
        part = data[: self._remaining_bytes]
        self._remaining_bytes -= len(part)
        self.ended = not self._remaining_bytes
        self._buffer = data[len(part) :]
        return part

    def close(self) -> None:
        """Take the end of the connection; an error unless the body was to end by it."""
        if not self.ended and (self.chunked or self._remaining_bytes >= 0):
            raise h11.RemoteProtocolError("connection closed within the answer")
        self.ended = True

    def _feed_chunks(self, data: bytes) -> bytes:
        data = self._buffer + data if self._buffer else data
        parts: list[bytes] = []
        position = 0
        while not self.ended:
            if self._remaining_bytes > 0:
                part = data[position : position + self._remaining_bytes]
                if part:
                    parts.append(part)
                position += len(part)
                self._remaining_bytes -= len(part)
                if self._remaining_bytes:
                    break
                self._remaining_bytes = _AT_LINE_END
            if self._remaining_bytes == _AT_LINE_END:
                if len(data) - position < 2:
                    break
                if data[position : position + 2] != b"\r\n":
                    raise h11.RemoteProtocolError("a chunk is longer than its size")
                position += 2
                self._remaining_bytes = 0
            end = data.find(b"\r\n", position)
            if end < 0:
                if len(data) - position > _MAX_LINE_BYTES:
                    raise h11.RemoteProtocolError("the line of a chunk's size is too long")
                break
            line = data[position:end]
            position = end + 2
            if self._in_trailer:
                self._parse_trailer(line)
            else:
                self._parse_chunk_size(line)
        self._buffer = data[position:]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _parse_chunk_size(self, line: bytes) -> None:
        found = _CHUNK_SIZE.fullmatch(line)
        if found is None:
            raise h11.RemoteProtocolError(f"{line[:40]!r} is no size of a chunk")
        self._remaining_bytes = int(found[1], 16)
        self._in_trailer = not self._remaining_bytes

    def _parse_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line)
        if self._trailer_bytes > _MAX_TRAILER_BYTES:
            raise h11.RemoteProtocolError("the trailers are too long")
        self.ended = not line


def body_reader(method: str, response: h11.Response) -> BodyReader:
    """Return the reader of the body that follows ``response``, whose headers h11 has checked."""
    if method == "HEAD" or response.status_code in _NO_BODY_STATUS:
        return BodyReader(0)
    fields = dict(response.headers)
    if b"transfer-encoding" in fields:
        return BodyReader(None)
    length = fields.get(b"content-length")
    return BodyReader(-1 if length is None else int(length))
