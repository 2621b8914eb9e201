"""The framing of log records: length and checksum, so that a torn last write is recognised."""

from collections.abc import Iterable
from struct import Struct
from zlib import crc32

import msgspec

__all__ = ["HEADER_BYTES", "Frames", "encode_frames", "read_frames"]

# Length of the record and CRC-32 over length and record, both big-endian.
_HEADER = Struct(">II")
HEADER_BYTES = _HEADER.size


class Frames(msgspec.Struct, frozen=True):
    """The whole records at the beginning of some bytes.

    ``size_bytes`` is the length of their frames.  ``needed_bytes`` is 0 when the next frame is
    damaged, and otherwise how many bytes from the end of these frames it takes to judge the next.
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
    """Return the whole records that ``data`` begins with."""
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
    # The length is covered too, so that a run of zeros, as a torn write leaves, is no record.
    return crc32(record, crc32(len(record).to_bytes(4, "big")))
