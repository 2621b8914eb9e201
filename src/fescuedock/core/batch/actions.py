"""Actions that a job's state machine requests; the daemon reports each through an ``on_`` call."""

import msgspec

from fescuedock.schema.batch import JobRecord, SegmentRef

__all__ = [
    "Action",
    "AppendLog",
    "CleanUp",
    "PutSegment",
    "ReadInput",
    "ReadLog",
    "ReadRecord",
    "StopAttempts",
    "WriteRecord",
]


class ReadRecord(msgspec.Struct, frozen=True):
    """Read the job's record; answer with ``on_record`` or ``on_kv_failed``."""


class WriteRecord(msgspec.Struct, frozen=True):
    """Write the record if it is still at ``expected_revision``.

    Answer with ``on_written``, or ``on_kv_failed`` with the fault's code.
    """

    record: JobRecord
    expected_revision: int


class ReadLog(msgspec.Struct, frozen=True):
    """Read the job's result log; answer each page with ``on_log_page``, the end ``on_log_end``."""


class AppendLog(msgspec.Struct, frozen=True):
    """Append ``records`` to the job's result log; answer with ``on_logged``, also after a failure.

    The log only saves work after a takeover, so a failure loses no acknowledged result.
    """

    records: tuple[bytes, ...]


class PutSegment(msgspec.Struct, frozen=True):
    """Write a segment of ``items`` lines; answer ``on_segment`` or ``on_segment_failed``."""

    number: int
    body: bytes
    items: int


class ReadInput(msgspec.Struct, frozen=True):
    """Read input segment ``index``; answer with ``on_input`` or ``on_input_failed``."""

    index: int
    ref: SegmentRef


class StopAttempts(msgspec.Struct, frozen=True):
    """Cancel every attempt of the job in flight; answer each with ``on_attempt_ended``."""


class CleanUp(msgspec.Struct, frozen=True):
    """Delete the job's entry in the index of open jobs, and its result log."""


Action = (
    ReadRecord | WriteRecord | ReadLog | AppendLog | PutSegment | ReadInput | StopAttempts | CleanUp
)
