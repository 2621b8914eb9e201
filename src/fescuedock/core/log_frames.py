"""Framing of log records by length and checksum, so that a torn last write is detected."""

from collections.abc import Iterable
from struct import Struct
from zlib import crc32

import msgspec

__all__ = ["HEADER_BYTES", "Frames", "encode_frames", "read_frames"]

# Length of the record and CRC-32 over length and record, both big-endian.
_HEADER = Struct(">II")
HEADER_BYTES = _HEADER.size


class Frames(msgspec.Struct, frozen=True):
    """The complete records at the start of some data.

    ``size_bytes`` is the length of their frames.  ``needed_bytes`` is the number of bytes after
    these frames that are needed to read on, or 0 when the next frame is damaged.
    """

    records: list[bytes]
    size_bytes: int
    needed_bytes: int


def encode_frames(records: Iterable[bytes]) -> bytes:
    """Return the frames of ``records``."""
    parts: list[bytes] = []
    for record in records:
        parts.append(_HEADER.pack(len(record), _checksum(record)))
        parts.append(record)
    return b"".join(parts)


def read_frames(data: bytes) -> Frames:
    """Return the complete records at the start of ``data``."""
    records: list[bytes] = []
    offset = 0
    while len(data) - offset >= HEADER_BYTES:
        size_bytes, checksum = _HEADER.unpack_from(data, offset)
        end = offset + HEADER_BYTES + size_bytes
        if end > len(data):
            return Frames(records, offset, end - offset)
        record = data[offset + HEADER_BYTES : end]
        if _checksum(record) != checksum:
            return Frames(records, offset, 0)
        records.append(record)
        offset = end
    return Frames(records, offset, HEADER_BYTES)


def _checksum(record: bytes) -> int:
    # The checksum covers the length too, so that zeros left by a torn write are not a valid record.
    return crc32(record, crc32(len(record).to_bytes(4, "big")))
