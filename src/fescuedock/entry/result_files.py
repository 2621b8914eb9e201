"""The output and error files of batch jobs, assembled from the committed groups.

Only committed groups are read, so each ``custom_id`` appears once in the two files of a job.
"""

from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from fescuedock.entry.context import EntryContext
from fescuedock.entry.file_content import FileContent
from fescuedock.faults import Fault
from fescuedock.schema.batch import CommittedGroup, JobManifest, JobRecord, SegmentRef
from fescuedock.schema.result_codes import ResultCode
from fescuedock.store.client import StoreClient

__all__ = ["ResultFile", "ResultKind", "parse_result_file", "result_content", "result_file_id"]

_JOB_PREFIX = "batch_"


class ResultKind(StrEnum):
    """The two result files of a job."""

    OUTPUT = "output"
    ERROR = "error"


class ResultFile(msgspec.Struct, frozen=True):
    """The result file that a file id refers to."""

    job_id: str
    kind: ResultKind


def result_file_id(job_id: str, kind: ResultKind) -> str:
    """Return the file id of one of the job's files."""
    return f"file-{kind.value}-{job_id.removeprefix(_JOB_PREFIX)}"


def parse_result_file(file_id: str) -> ResultFile | None:
    """Return the result file with the id ``file_id``; None if the id has another form."""
    for kind in ResultKind:
        prefix = f"file-{kind.value}-"
        if file_id.startswith(prefix):
            return ResultFile(_JOB_PREFIX + file_id.removeprefix(prefix), kind)
    return None


async def result_content(
    context: EntryContext, record: JobRecord, kind: ResultKind
) -> Result[FileContent, Fault]:
    """Return the currently committed content of a job's file."""
    groups = await committed_groups(context.stores, record)
    if isinstance(groups, Err):
        return groups
    refs = [ref for group in groups.ok_value for ref in _segments_of(group, kind)]
    return Ok(FileContent(context.stores, refs))


async def committed_groups(
    stores: StoreClient, record: JobRecord
) -> Result[list[CommittedGroup], Fault]:
    """Return all groups of a job in order, including those in manifests."""
    groups: list[CommittedGroup] = []
    for ref in record.manifests:
        body = await stores.get_segment(ref)
        if isinstance(body, Err):
            return body
        try:
            manifest = msgspec.msgpack.decode(body.ok_value, type=JobManifest)
        except msgspec.MsgspecError as error:
            text = f"manifest {ref.segment_hash[:12]} of {record.job_id}: {error}"
            return Err(Fault(ResultCode.CORRUPT_SEGMENT, text))
        groups += manifest.groups
    return Ok(groups + record.groups)


def _segments_of(group: CommittedGroup, kind: ResultKind) -> list[SegmentRef]:
    return group.outputs if kind is ResultKind.OUTPUT else group.errors
