"""Stores the records of uploaded files in the key-value service."""

import msgspec
from result import Err, Ok, Result

from fescuedock.backing.kv_writes import put_resolved
from fescuedock.core.job_keys import file_key, file_prefix
from fescuedock.entry.context import EntryContext
from fescuedock.faults import Fault
from fescuedock.schema.batch import FileRecord
from fescuedock.schema.result_codes import ResultCode

__all__ = ["FilePage", "create_file", "delete_file", "list_files", "read_file"]

_DELETE_ATTEMPTS = 4


class FilePage(msgspec.Struct, frozen=True):
    """Files of one member in the order of their ids; ``more`` says that further files follow."""

    files: tuple[FileRecord, ...]
    more: bool


async def create_file(context: EntryContext, record: FileRecord) -> Result[FileRecord, Fault]:
    """Create the file record; return the existing one if the id is already in use."""
    key = _key(context, record.member, record.file_id)
    value = msgspec.msgpack.encode(record)
    written = await put_resolved(context.kv, key, value, 0, lambda found: found == value)
    if isinstance(written, Ok):
        return Ok(record)
    if written.err_value.code is not ResultCode.KV_CONFLICT:
        return written
    return await read_file(context, record.member, record.file_id)


async def read_file(context: EntryContext, member: str, file_id: str) -> Result[FileRecord, Fault]:
    """Return the member's file; a file of another member is ``NOT_FOUND`` too."""
    found = await context.kv.get(_key(context, member, file_id))
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Err(Fault(ResultCode.NOT_FOUND, f"no file {file_id[:80]!r}"))
    return Ok(msgspec.msgpack.decode(found.ok_value.value, type=FileRecord))


async def list_files(
    context: EntryContext, member: str, after: str, limit: int
) -> Result[FilePage, Fault]:
    """Return up to ``limit`` files of the member, starting after the id ``after``."""
    prefix = file_prefix(context.settings.platform.key_prefix, member)
    start = prefix + after if after else ""
    page = await context.kv.get_range(prefix, start_after=start, limit=limit)
    if isinstance(page, Err):
        return page
    decoder = msgspec.msgpack.Decoder(FileRecord)
    files = tuple(decoder.decode(entry.value) for entry in page.ok_value.entries)
    return Ok(FilePage(files, page.ok_value.more))


async def delete_file(context: EntryContext, member: str, file_id: str) -> Result[None, Fault]:
    """Delete the member's file record; its segments stay for the jobs that use them."""
    key = _key(context, member, file_id)
    unsure = False
    for _ in range(_DELETE_ATTEMPTS):
        found = await context.kv.get(key)
        if isinstance(found, Err):
            return Err(_unknown(file_id)) if unsure else found
        if found.ok_value is None:
            missing = Fault(ResultCode.NOT_FOUND, f"no file {file_id[:80]!r}")
            return Ok(None) if unsure else Err(missing)
        deleted = await context.kv.delete_if(key, found.ok_value.mod_revision)
        if isinstance(deleted, Ok):
            return deleted
        if deleted.err_value.code is ResultCode.KV_UNAVAILABLE and not unsure:
            return deleted
        unsure = True
    return Err(_unknown(file_id))


def _unknown(file_id: str) -> Fault:
    text = f"it is not known whether {file_id} was deleted; send again"
    return Fault(ResultCode.KV_UNKNOWN, text, retry_after_ms=1000)


def _key(context: EntryContext, member: str, file_id: str) -> str:
    return file_key(context.settings.platform.key_prefix, member, file_id)
