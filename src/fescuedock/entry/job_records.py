"""Reads and writes the records of batch jobs in the key-value service, for an entry.

A job is accepted once its record exists.  The acknowledgement also waits for the key in the index
of open jobs, through which scanners find a job of which no runner was notified.
"""

import msgspec
from result import Err, Ok, Result

from fescuedock.backing.kv_writes import put_resolved
from fescuedock.core.batch.record import (
    cancel_requested,
    decode_record,
    encode_record,
    is_final,
)
from fescuedock.core.job_keys import (
    job_key,
    member_job_id,
    member_job_key,
    member_job_prefix,
    open_job_key,
)
from fescuedock.entry.context import EntryContext
from fescuedock.faults import Fault
from fescuedock.schema.batch import JobRecord
from fescuedock.schema.result_codes import ResultCode

__all__ = [
    "JobPage",
    "StoredJob",
    "create_job",
    "ensure_listed",
    "list_jobs",
    "read_job",
    "read_stored",
    "request_cancel",
]

_ATTEMPTS = 8


class StoredJob(msgspec.Struct, frozen=True):
    """A record and the revision at which it was read."""

    record: JobRecord
    revision: int


class JobPage(msgspec.Struct, frozen=True):
    """Jobs of one member, youngest first; ``more`` says that older ones follow."""

    records: list[JobRecord]
    more: bool


async def read_stored(context: EntryContext, job_id: str) -> Result[StoredJob | None, Fault]:
    """Return the job of any member; ``Ok(None)`` if it does not exist."""
    found = await context.kv.get(job_key(_prefix(context), job_id))
    if isinstance(found, Err):
        return found
    entry = found.ok_value
    if entry is None:
        return Ok(None)
    return Ok(StoredJob(decode_record(entry.value), entry.mod_revision))


async def read_job(context: EntryContext, member: str, job_id: str) -> Result[StoredJob, Fault]:
    """Return the member's job; a job of another member is ``NOT_FOUND`` too."""
    found = await read_stored(context, job_id)
    if isinstance(found, Err):
        return found
    if found.ok_value is None or found.ok_value.record.member != member:
        return Err(Fault(ResultCode.NOT_FOUND, f"no batch {job_id[:80]!r}"))
    return Ok(found.ok_value)


async def create_job(context: EntryContext, record: JobRecord) -> Result[JobRecord, Fault]:
    """Create the record, or return the existing one with this id."""
    key = job_key(_prefix(context), record.job_id)
    value = encode_record(record)
    written = await put_resolved(context.kv, key, value, 0, lambda found: found == value)
    if isinstance(written, Ok):
        return Ok(record)
    if written.err_value.code is not ResultCode.KV_CONFLICT:
        return written
    found = await read_stored(context, record.job_id)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Err(_unknown(f"batch {record.job_id} existed and disappeared"))
    return Ok(found.ok_value.record)


async def ensure_listed(context: EntryContext, record: JobRecord) -> Result[None, Fault]:
    """Add the job to the index of open jobs and to its member's list.

    Call this after the record exists and before the acknowledgement.  Any failure is
    ``KV_UNKNOWN``: the record exists, so the job may run.
    """
    prefix = _prefix(context)
    keys = [member_job_key(prefix, record.member, record.created_at_s, record.job_id)]
    if not is_final(record):
        keys.append(open_job_key(prefix, record.job_id))
    for key in keys:
        written = await _renew_key(context, key)
        if isinstance(written, Err):
            return Err(_unknown(f"batch {record.job_id} may be accepted: {written.err_value}"))
    return Ok(None)


async def list_jobs(
    context: EntryContext, member: str, after: JobRecord | None, limit: int
) -> Result[JobPage, Fault]:
    """Return up to ``limit`` jobs of the member that are older than ``after``."""
    prefix = member_job_prefix(_prefix(context), member)
    start = ""
    if after is not None:
        start = member_job_key(_prefix(context), member, after.created_at_s, after.job_id)
    page = await context.kv.get_range(prefix, start_after=start, limit=limit, keys_only=True)
    if isinstance(page, Err):
        return page
    records: list[JobRecord] = []
    for entry in page.ok_value.entries:
        found = await read_stored(context, member_job_id(entry.key))
        if isinstance(found, Err):
            return found
        if found.ok_value is not None:
            records.append(found.ok_value.record)
    return Ok(JobPage(records, page.ok_value.more))


async def request_cancel(
    context: EntryContext, member: str, job_id: str
) -> Result[JobRecord, Fault]:
    """Record the cancellation; return the updated record, or the final one if it came too late."""
    for _ in range(_ATTEMPTS):
        found = await read_job(context, member, job_id)
        if isinstance(found, Err):
            return found
        stored = found.ok_value
        after = cancel_requested(stored.record)
        if after is stored.record:
            return Ok(after)
        written = await _replace(context, after, stored.revision)
        if isinstance(written, Ok):
            return Ok(after)
        if written.err_value.code is not ResultCode.KV_CONFLICT:
            return written
    return Err(Fault(ResultCode.KV_CONFLICT, f"batch {job_id} changes too fast", 1000))


async def _replace(context: EntryContext, record: JobRecord, revision: int) -> Result[int, Fault]:
    key = job_key(_prefix(context), record.job_id)
    value = encode_record(record)
    return await put_resolved(context.kv, key, value, revision, lambda found: found == value)


async def _renew_key(context: EntryContext, key: str) -> Result[None, Fault]:
    """Ensure that the key is written after this call starts, by any writer.

    A scanner may have read an older key before the record existed, and may be about to delete it at
    the revision that it read.
    """
    seen_revision = 0
    for _ in range(_ATTEMPTS):
        written = await context.kv.put_if(key, b"", seen_revision)
        if isinstance(written, Ok):
            return Ok(None)
        if written.err_value.code not in (ResultCode.KV_CONFLICT, ResultCode.KV_UNKNOWN):
            return written
        found = await context.kv.get(key)
        if isinstance(found, Err):
            return found
        revision = found.ok_value.mod_revision if found.ok_value else 0
        if revision > seen_revision > 0:
            return Ok(None)
        seen_revision = revision
    return Err(_unknown(f"{key} changes too fast"))


def _unknown(text: str) -> Fault:
    return Fault(ResultCode.KV_UNKNOWN, f"{text}; send again with the same key", 1000)


def _prefix(context: EntryContext) -> str:
    return context.settings.platform.key_prefix
