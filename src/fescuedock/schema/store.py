"""Messages to a store, which keeps write-once segments and append-only result logs on disk.

Generated from ``source/store.yaml``; do not edit.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from fescuedock.schema.wire import WireStruct


class PutSegment(WireStruct):
    """
    Write once; acknowledged only after fsync. The hash is SHA-256 of the body, in hex.
    """

    segment_hash: str
    body: bytes
    kept_since_s: Annotated[
        int, Meta(description="Unix time from which retention counts; 0 is now.")
    ] = 0


class GetSegment(WireStruct):
    segment_hash: str


class SegmentReply(WireStruct):
    body: bytes
    code: Annotated[int, Meta(description="A ResultCode.")] = 0
    kept_since_s: Annotated[int, Meta(description="Unix time from which retention counts.")] = 0


class HaveSegments(WireStruct):
    """
    Asks which segments a store holds. With renew their retention counts from now, on disk before the answer.
    """

    segment_hashes: list[str]
    renew: bool = False


class HaveSegmentsReply(WireStruct):
    missing: list[str]


class DropSegments(WireStruct):
    segment_hashes: list[str]


class AppendLog(WireStruct):
    """
    Append result records of one job; acknowledged only after fsync.
    """

    job_id: str
    records: list[bytes]


class ReadLog(WireStruct):
    job_id: str
    offset_bytes: int = 0
    limit_bytes: int = 1048576


class LogReply(WireStruct):
    """
    Whole records from the offset on; next_offset_bytes equals the offset at the end.
    """

    code: Annotated[int, Meta(description="A ResultCode.")] = 0
    records: list[bytes] = field(default_factory=list)
    next_offset_bytes: int = 0


class DropLog(WireStruct):
    job_id: str


class StoreReply(WireStruct):
    code: Annotated[int, Meta(description="A ResultCode.")] = 0
    message: str = ""
    free_bytes: int = 0


class AskSweep(WireStruct):
    """
    A store that has started asks another to compare its segments; a disk may have been replaced by an empty one.
    """

    vm_id: str
