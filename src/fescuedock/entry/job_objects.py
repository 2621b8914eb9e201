"""Batch jobs as callers see them, in the format of OpenAI's batch object."""

import msgspec

from fescuedock.core.batch.record import is_final
from fescuedock.entry.result_files import ResultKind, result_file_id
from fescuedock.schema.batch import JobForecast, JobRecord, JobState

__all__ = ["BatchObject", "batch_object"]

_STATUS = {
    JobState.RUNNING: "in_progress",
    JobState.CANCELLING: "cancelling",
    JobState.COMPLETED: "completed",
    JobState.CANCELLED: "cancelled",
}
_UNITS = ((3600, "h"), (60, "m"), (1, "s"))


class RequestCounts(msgspec.Struct):
    """Numbers of items: all, and those with a committed result, which never decrease."""

    total: int
    completed: int
    failed: int


class BatchObject(msgspec.Struct):
    """A batch job.  Times are Unix times; ``forecast`` is set if the deadline will be missed."""

    id: str
    endpoint: str
    input_file_id: str
    completion_window: str
    status: str
    created_at: int
    in_progress_at: int
    expires_at: int
    request_counts: RequestCounts
    metadata: dict[str, str]
    output_file_id: str | None = None
    error_file_id: str | None = None
    completed_at: int | None = None
    cancelled_at: int | None = None
    forecast: JobForecast | None = None
    errors: None = None
    object: str = "batch"


def batch_object(record: JobRecord) -> BatchObject:
    """Return the job as callers see it, with its result files once they are complete."""
    final = is_final(record)
    completed = record.state is JobState.COMPLETED
    cancelled = record.state is JobState.CANCELLED
    return BatchObject(
        id=record.job_id,
        endpoint=record.endpoint,
        input_file_id=record.input_file_id,
        completion_window=_window(record.deadline_s - record.created_at_s),
        status=_STATUS[record.state],
        created_at=record.created_at_s,
        in_progress_at=record.created_at_s,
        expires_at=record.deadline_s,
        request_counts=RequestCounts(record.item_count, record.succeeded, record.failed),
        metadata=record.metadata,
        output_file_id=_file_id(record, ResultKind.OUTPUT) if final and record.succeeded else None,
        error_file_id=_file_id(record, ResultKind.ERROR) if final and record.failed else None,
        completed_at=record.finished_at_s if completed else None,
        cancelled_at=record.finished_at_s if cancelled else None,
        forecast=record.forecast[0] if record.forecast else None,
    )


def _file_id(record: JobRecord, kind: ResultKind) -> str:
    return result_file_id(record.job_id, kind)


def _window(window_s: int) -> str:
    size_s, unit = next(item for item in _UNITS if window_s % item[0] == 0)
    return f"{window_s // size_s}{unit}"
