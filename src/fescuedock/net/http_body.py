"""Extracts the body of an HTTP/1.1 answer from the bytes after its head.

h11 returns an event for each part of a chunk, which costs more than the rest of the processing of a
small stream event; this reader returns all received body bytes at once.  The framing follows RFC
9112, section 6.3; anything the RFC leaves open is refused.
"""

import re

import h11

__all__ = ["BodyReader", "body_reader"]

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")
# Limits for a line with a chunk size, and for all trailers together.
_MAX_LINE_BYTES = 4096
_MAX_TRAILER_BYTES = 65536
_NO_BODY_STATUS = (204, 304)
# Value of the remaining bytes while only the line end after a chunk is missing.
_AT_LINE_END = -2


class BodyReader:
    """Reads the bytes after an answer's head; ``rest`` holds those after the end of the body.

    ``length_bytes`` is None for a chunked body, and below 0 for one that ends with its connection.
    ``feed`` and ``close`` raise ``h11.RemoteProtocolError``.
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
        """Whether the body ends only with its connection."""
        return self._remaining_bytes < 0 and not self.chunked

    @property
    def rest(self) -> bytes:
        """The bytes received after the end of the body."""
        return self._buffer if self.ended else b""

    def feed(self, data: bytes) -> bytes:
        """Process ``data``; return the body bytes in it."""
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
        """Handle the end of the connection; raise an error if the body is incomplete."""
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
                    raise h11.RemoteProtocolError("the line with a chunk size is too long")
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
            raise h11.RemoteProtocolError(f"{line[:40]!r} is not a chunk size")
        self._remaining_bytes = int(found[1], 16)
        self._in_trailer = not self._remaining_bytes

    def _parse_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line)
        if self._trailer_bytes > _MAX_TRAILER_BYTES:
            raise h11.RemoteProtocolError("the trailers are too long")
        self.ended = not line


def body_reader(method: str, response: h11.Response) -> BodyReader:
    """Return a reader for the body of ``response``, whose headers h11 has validated."""
    if method == "HEAD" or response.status_code in _NO_BODY_STATUS:
        return BodyReader(0)
    fields = dict(response.headers)
    if b"transfer-encoding" in fields:
        return BodyReader(None)
    length = fields.get(b"content-length")
    return BodyReader(-1 if length is None else int(length))
