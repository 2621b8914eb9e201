"""The commands ``jobs list``, ``jobs show`` and ``jobs cancel``."""

import msgspec
from result import Result

from fescuedock.cli.command_line import Command, ExitCode
from fescuedock.cli.entry_session import EntrySession, Failure, run_session, show_json
from fescuedock.report.tables import table

__all__ = ["JOB_COMMANDS"]

_HELP = """\
fescuedock jobs: the batch jobs of the member whose key is in FESCUEDOCK_API_KEY.

usage: fescuedock jobs list [--limit=20] [--entry=HOST:PORT] [--json]
       fescuedock jobs show JOB          [--entry=HOST:PORT] [--json]
       fescuedock jobs cancel JOB        [--entry=HOST:PORT] [--json]

A cancel is recorded when the command returns with 0; items in flight then stop within seconds.
exit codes: 0 done, 1 refused or failed, 2 bad usage, 3 outcome unknown
"""


class _Counts(msgspec.Struct):
    total: int = 0
    completed: int = 0
    failed: int = 0


class _Job(msgspec.Struct):
    """The fields of OpenAI's batch object that the commands show."""

    id: str
    status: str
    endpoint: str
    created_at: int
    expires_at: int | None = None
    request_counts: _Counts = msgspec.field(default_factory=_Counts)
    output_file_id: str | None = None
    error_file_id: str | None = None


class _JobList(msgspec.Struct):
    data: list[_Job]


def _list(limit: int = 20, entry: str = "", json: bool = False) -> int:
    async def steps(session: EntrySession) -> Result[str, Failure]:
        answer = await session.get(f"/v1/batches?limit={limit}", _JobList)
        return answer.map(show_json if json else _list_text)

    return run_session(entry, steps)


def _show(job: str, entry: str = "", json: bool = False) -> int:
    async def steps(session: EntrySession) -> Result[str, Failure]:
        answer = await session.get(f"/v1/batches/{job}", _Job)
        return answer.map(show_json if json else _job_text)

    return run_session(entry, steps)


def _cancel(job: str, entry: str = "", json: bool = False) -> int:
    async def steps(session: EntrySession) -> Result[str, Failure]:
        cancelled = await session.post(f"/v1/batches/{job}/cancel", {}, _Job)
        return cancelled.map(show_json if json else _job_text)

    return run_session(entry, steps)


def _list_text(jobs: _JobList) -> str:
    headers = ("JOB", "STATUS", "ITEMS", "SUCCEEDED", "FAILED", "ENDPOINT")
    rows = [
        (
            job.id,
            job.status,
            job.request_counts.total,
            job.request_counts.completed,
            job.request_counts.failed,
            job.endpoint,
        )
        for job in jobs.data
    ]
    return table(headers, rows)


def _job_text(job: _Job) -> str:
    counts = job.request_counts
    lines = [
        f"job        {job.id}",
        f"status     {job.status}",
        f"items      {counts.total}: {counts.completed} succeeded, {counts.failed} failed",
        f"endpoint   {job.endpoint}",
        f"created    {job.created_at} (Unix time)",
        f"deadline   {job.expires_at} (Unix time)",
        f"output     {job.output_file_id or '-'}",
        f"errors     {job.error_file_id or '-'}",
    ]
    return "\n".join(lines)


JOB_COMMANDS = {
    "": Command(lambda: ExitCode.USAGE, _HELP),
    "list": Command(_list, _HELP),
    "show": Command(_show, _HELP),
    "cancel": Command(_cancel, _HELP),
}
