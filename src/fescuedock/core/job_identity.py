"""Derives the identity of the job that a request submits, and builds the job's record."""

from collections.abc import Mapping
from hashlib import sha256

import msgspec
from result import Err, Ok, Result

from fescuedock.faults import Fault
from fescuedock.schema.batch import FileRecord, JobRecord, JobState, SegmentRef
from fescuedock.schema.result_codes import ResultCode

__all__ = [
    "JobRequest",
    "check_same_job",
    "check_same_job_by_file",
    "file_identity",
    "job_identity",
    "new_record",
]

_IDENTITY_CHARS = 32
_MAX_SHOWN_CHARS = 80


class JobRequest(msgspec.Struct, frozen=True):
    """A member's request for a job; ``idempotency_key`` is empty when it sent none."""

    member: str
    idempotency_key: str
    endpoint: str
    window_s: int
    metadata: Mapping[str, str]
    input_hash: str

    @property
    def content_hash(self) -> str:
        """SHA-256, in hex, of all fields that distinguish this job from others of the member."""
        metadata = sorted(self.metadata.items())
        return _digest(self.endpoint, self.window_s, metadata, self.input_hash)


def job_identity(request: JobRequest) -> str:
    """Return the identity of the job of ``request``, the same for every repetition of it.

    It is derived from the member's idempotency key or, without one, from the content.
    """
    if request.idempotency_key:
        digest = _digest(request.member, "key", request.idempotency_key)
    else:
        digest = _digest(request.member, "content", request.content_hash)
    return f"batch_{digest[:_IDENTITY_CHARS]}"


def file_identity(member: str, idempotency_key: str, content_hash: str) -> str:
    """Return the identity of a file uploaded under an idempotency key."""
    return f"file-{_digest(member, idempotency_key, content_hash)[:_IDENTITY_CHARS]}"


def check_same_job(record: JobRecord, request: JobRequest) -> Result[None, Fault]:
    """Check that the job found under the identity of ``request`` is the requested one."""
    if record.member == request.member and record.content_hash == request.content_hash:
        return Ok(None)
    return _key_reused(request)


def check_same_job_by_file(
    record: JobRecord, request: JobRequest, file_id: str
) -> Result[None, Fault]:
    """Check as ``check_same_job`` does, without the hash, when the file's record is gone."""
    same = (
        record.member == request.member
        and record.input_file_id == file_id
        and record.endpoint == request.endpoint
        and record.deadline_s - record.created_at_s == request.window_s
        and record.metadata == request.metadata
    )
    return Ok(None) if same else _key_reused(request)


def _key_reused(request: JobRequest) -> Err[Fault]:
    key = request.idempotency_key[:_MAX_SHOWN_CHARS]
    text = f"Idempotency-Key {key!r} belongs to a job with other content"
    return Err(Fault(ResultCode.KEY_REUSED, text))


def new_record(
    request: JobRequest, file: FileRecord, service: str, now_s: int, *, non_idempotent: bool
) -> JobRecord:
    """Return the job record whose storage accepts ``request``.

    References to the input omit the locations of copies, to keep the record small, which is
    rewritten with each commit; copies are found by hash.
    """
    segments = [
        SegmentRef(
            segment_hash=ref.segment_hash, items=ref.items, size_bytes=ref.size_bytes, copies=[]
        )
        for ref in file.segments
    ]
    return JobRecord(
        job_id=job_identity(request),
        member=request.member,
        service=service,
        endpoint=request.endpoint,
        content_hash=request.content_hash,
        state=JobState.RUNNING,
        epoch=0,
        created_at_s=now_s,
        deadline_s=now_s + request.window_s,
        item_count=file.item_count,
        input=segments,
        non_idempotent=non_idempotent,
        metadata=dict(request.metadata),
        input_file_id=file.file_id,
    )


def _digest(*parts: object) -> str:
    return sha256(msgspec.json.encode(parts)).hexdigest()
