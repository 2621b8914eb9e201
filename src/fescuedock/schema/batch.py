"""Records of batch jobs in the key-value service and messages to batch runners.

Generated from ``source/batch.yaml``; do not edit.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, field


class JobState(StrEnum):
    RUNNING = "running"
    CANCELLING = "cancelling"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class SegmentRef(Struct):
    segment_hash: str
    items: int
    size_bytes: int
    copies: Annotated[list[str], Meta(description="VM identities of the stores that hold it.")]


class CommittedGroup(Struct):
    """
    Results made final together. Ranges of item numbers are half-open.
    """

    result: SegmentRef
    ranges: list[list[int]]
    succeeded: int
    failed: int


class JobRecord(Struct):
    """
    The one record of a job, changed only by compare-and-swap.
    """

    job_id: str
    member: str
    service: str
    endpoint: str
    content_hash: Annotated[
        str, Meta(description="Hash over the input; a resend with other content is refused.")
    ]
    state: JobState
    epoch: Annotated[
        int, Meta(description="Raised by each claim; a commit under an older one fails.")
    ]
    created_at_s: Annotated[int, Meta(description="Unix time.")]
    deadline_s: Annotated[int, Meta(description="Unix time.")]
    item_count: int
    input: list[SegmentRef]
    owner: Annotated[str, Meta(description="Runner incarnation that raised the epoch.")] = ""
    finished_at_s: int = 0
    groups: list[CommittedGroup] = field(default_factory=list)
    metadata: dict[str, str] = field(default_factory=dict)
    input_file_id: str = ""


class JobPush(Struct):
    """
    One-way; an entry or scanner names a job to the runner that should own it.
    """

    job_id: str
    cancelled: bool = False
