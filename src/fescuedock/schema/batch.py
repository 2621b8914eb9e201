"""Records of batch jobs in the key-value service and messages to batch runners.

Generated from ``source/batch.yaml``; do not edit.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, field


class JobState(StrEnum):
    """
    completed and cancelled are final; their records never change again.
    """

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
    Results made final together. Ranges of item numbers are half-open. Each segment is JSONL of the OpenAI batch output shape (id, custom_id, response, error) plus item_number, a line per item, in order of completion; lines with a response and lines with an error are in separate segments.
    """

    outputs: Annotated[
        list[SegmentRef],
        Meta(
            description="Segments of succeeded items; concatenated over all groups they are the output file."
        ),
    ] = field(default_factory=list)
    errors: Annotated[
        list[SegmentRef],
        Meta(
            description="Segments of failed items; concatenated over all groups they are the error file."
        ),
    ] = field(default_factory=list)
    ranges: list[list[int]] = field(default_factory=list)
    succeeded: int = 0
    failed: int = 0


class JobManifest(Struct):
    """
    Body, in MessagePack, of a manifest segment; it holds older groups so that the record stays small.
    """

    groups: list[CommittedGroup]


class JobForecast(Struct):
    """
    Why the job is not expected to make its deadline, with the numbers.
    """

    made_at_s: Annotated[int, Meta(description="Unix time.")]
    expected_end_s: Annotated[int, Meta(description="Unix time.")]
    items_left: int
    items_per_s: Annotated[float, Meta(description="Rate at which the job's items ended lately.")]
    needed_items_per_s: Annotated[float, Meta(description="Rate that would meet the deadline.")]


class JobRecord(Struct):
    """
    The one record of a job, changed only by compare-and-swap. The committed results are the groups of the manifests, in order, and then groups. Whoever changes the record keeps every field that it does not mean to change.
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
        int,
        Meta(
            description="Raised by each claim; a commit under an older one fails. 0 before the first."
        ),
    ]
    created_at_s: Annotated[int, Meta(description="Unix time.")]
    deadline_s: Annotated[int, Meta(description="Unix time.")]
    item_count: int
    input: Annotated[
        list[SegmentRef],
        Meta(description="Segments of item lines in order; emptied when the job is final."),
    ]
    owner: Annotated[
        str, Meta(description="Runner that raised the epoch, as VM_ID/INCARNATION.")
    ] = ""
    finished_at_s: int = 0
    groups: Annotated[
        list[CommittedGroup], Meta(description="Latest groups; older ones move to the manifests.")
    ] = field(default_factory=list)
    manifests: Annotated[
        list[SegmentRef],
        Meta(description="Segments that each hold one JobManifest; items counts its groups."),
    ] = field(default_factory=list)
    done: Annotated[
        list[list[int]],
        Meta(description="Half-open ranges of all item numbers with a committed result."),
    ] = field(default_factory=list)
    succeeded: Annotated[
        int, Meta(description="Committed items with a response; never goes down.")
    ] = 0
    failed: Annotated[int, Meta(description="Committed items with an error; never goes down.")] = 0
    non_idempotent: Annotated[
        bool, Meta(description="Items are marked before dispatch and run at most once.")
    ] = False
    marked: Annotated[
        list[list[int]],
        Meta(
            description="Half-open ranges of items that may have been dispatched, of a non-idempotent job."
        ),
    ] = field(default_factory=list)
    forecast: Annotated[
        list[JobForecast],
        Meta(
            description="One entry while the job is not expected to make its deadline; else empty."
        ),
    ] = field(default_factory=list)
    metadata: dict[str, str] = field(default_factory=dict)
    input_file_id: str = ""


class LoggedResult(Struct):
    """
    One record, in MessagePack, of a job's result log; not final until its item is committed.
    """

    item_number: int
    succeeded: bool
    line: Annotated[bytes, Meta(description="JSONL line of the result without its newline.")]


class JobPush(Struct):
    """
    One-way; an entry or scanner names a job to the runner that should own it.
    """

    job_id: str
    cancelled: bool = False


class JobCheck(Struct):
    """
    Asks a runner whether it runs a job now.
    """

    job_id: str


class JobCheckReply(Struct):
    running: bool
    owner: Annotated[str, Meta(description="The runner that answers, as VM_ID/INCARNATION.")] = ""


class FileRecord(Struct):
    """
    An uploaded file; its content is the segments in order. Never changed, only created and deleted.
    """

    file_id: str
    member: str
    filename: str
    purpose: str
    size_bytes: int
    created_at_s: Annotated[int, Meta(description="Unix time.")]
    content_hash: Annotated[str, Meta(description="SHA-256 of the content in hex.")]
    segments: Annotated[
        list[SegmentRef], Meta(description="items counts the lines that are not blank.")
    ] = field(default_factory=list)
    item_count: int = 0
    endpoint: Annotated[
        str, Meta(description="The url that every line of a batch input names.")
    ] = ""
    models: Annotated[
        dict[str, int],
        Meta(description="Models that the lines name and the number of the first line that does."),
    ] = field(default_factory=dict)
    problem_code: Annotated[
        int,
        Meta(description="ResultCode of what keeps the file from being a batch input; 0 for none."),
    ] = 0
    problem: Annotated[str, Meta(description="Explains problem_code and names the line.")] = ""
