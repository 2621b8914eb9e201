"""The files of members: ``/v1/files``, compatible with OpenAI's interface."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from secrets import token_hex

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.core.acceptance import BATCH_PURPOSE
from fescuedock.core.job_identity import file_identity
from fescuedock.entry.context import EntryContext
from fescuedock.entry.file_content import FileContent
from fescuedock.entry.file_records import create_file, delete_file, list_files, read_file
from fescuedock.entry.job_records import read_job
from fescuedock.entry.members import find_member
from fescuedock.entry.result_files import ResultFile, parse_result_file, result_content
from fescuedock.entry.routes import Route
from fescuedock.entry.uploads import Upload, receive_upload
from fescuedock.faults import Fault
from fescuedock.net.http_server import Request, Responder
from fescuedock.schema.batch import FileRecord, JobRecord
from fescuedock.schema.result_codes import ResultCode

__all__ = ["IDEMPOTENCY_HEADER", "page_limit", "routes"]

IDEMPOTENCY_HEADER = "idempotency-key"

_OUTPUT_PURPOSE = "batch_output"
_DEFAULT_PAGE = 100
_MAX_PAGE = 100
# An upload holds some segments and a digest for each line in memory, a download one segment.
_MAX_UPLOADS = 8
_MAX_DOWNLOADS = 32
_SLOT_WAIT_MS = 10000
_RETRY_AFTER_MS = 2000


class _FileObject(msgspec.Struct):
    """A file as callers see it."""

    id: str
    bytes: int
    created_at: int
    filename: str
    purpose: str
    status: str = "processed"
    status_details: str | None = None
    object: str = "file"


def routes(context: EntryContext) -> list[Route]:
    """Return the routes under ``/v1/files``."""
    uploads = trio.Semaphore(_MAX_UPLOADS)
    downloads = trio.Semaphore(_MAX_DOWNLOADS)
    chunk_lock = trio.Lock()

    async def upload(request: Request, responder: Responder, _values: dict[str, str]) -> None:
        async with _slot(uploads, responder) as granted:
            if granted:
                await _send_result(responder, await _upload(context, request, chunk_lock))

    async def list_all(request: Request, responder: Responder, _values: dict[str, str]) -> None:
        await _list(context, request, responder)

    async def get(request: Request, responder: Responder, values: dict[str, str]) -> None:
        await _send_result(responder, await _find(context, request, values["file_id"]))

    async def content(request: Request, responder: Responder, values: dict[str, str]) -> None:
        async with _slot(downloads, responder) as granted:
            if granted:
                await _send_content(context, request, responder, values["file_id"])

    async def delete(request: Request, responder: Responder, values: dict[str, str]) -> None:
        await _delete(context, request, responder, values["file_id"])

    return [
        Route("POST", "/v1/files", upload),
        Route("GET", "/v1/files", list_all),
        Route("GET", "/v1/files/{file_id}", get),
        Route("DELETE", "/v1/files/{file_id}", delete),
        Route("GET", "/v1/files/{file_id}/content", content),
    ]


def page_limit(text: str | None, default: int, max_limit: int) -> Result[int, Fault]:
    """Return the ``limit`` of a list request, at most ``max_limit``."""
    if text is None:
        return Ok(default)
    if text.isascii() and text.isdigit() and int(text[:9]) > 0:
        return Ok(min(int(text[:9]), max_limit))
    return Err(
        Fault(ResultCode.BAD_REQUEST, f"limit must be a positive integer, not {text[:20]!r}")
    )


@asynccontextmanager
async def _slot(slots: trio.Semaphore, responder: Responder) -> AsyncIterator[bool]:
    """Hold one of ``slots`` for the block; yield False if the request was refused without one."""
    with trio.move_on_after(_SLOT_WAIT_MS / 1000) as waiting:
        await slots.acquire()
    if waiting.cancelled_caught:
        text = "too many uploads or downloads are in progress at this entry"
        await responder.send_fault(Fault(ResultCode.NO_CAPACITY, text, _RETRY_AFTER_MS))
        yield False
        return
    try:
        yield True
    finally:
        slots.release()


async def _upload(
    context: EntryContext, request: Request, chunk_lock: trio.Lock
) -> Result[_FileObject, Fault]:
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        return member
    max_bytes = context.settings.entry.max_body_bytes
    batch = context.settings.batch
    received = await receive_upload(request, context.stores, batch, max_bytes, chunk_lock)
    if isinstance(received, Err):
        return received
    file_id = _new_file_id(request, member.ok_value, received.ok_value)
    record = received.ok_value.record(file_id, member.ok_value, context.unix_clock())
    return (await create_file(context, record)).map(_file_object)


def _new_file_id(request: Request, member: str, upload: Upload) -> str:
    key = request.headers.get(IDEMPOTENCY_HEADER)
    return file_identity(member, key, upload.content_hash) if key else f"file-{token_hex(16)}"


async def _list(context: EntryContext, request: Request, responder: Responder) -> None:
    member = find_member(context, request.headers)
    limit = page_limit(request.query.get("limit"), _DEFAULT_PAGE, _MAX_PAGE)
    for checked in (member, limit):
        if isinstance(checked, Err):
            await responder.send_fault(checked.err_value)
            return
    after = request.query.get("after", "")
    page = await list_files(context, member.ok_value, after, limit.ok_value)
    if isinstance(page, Err):
        await responder.send_fault(page.err_value)
        return
    purpose = request.query.get("purpose")
    files = [_file_object(file) for file in page.ok_value.files]
    body = {
        "object": "list",
        "data": [file for file in files if purpose in (None, file.purpose)],
        "first_id": files[0].id if files else None,
        "last_id": files[-1].id if files else None,
        "has_more": page.ok_value.more,
    }
    await responder.send_json(200, body)


async def _find(
    context: EntryContext, request: Request, file_id: str
) -> Result[_FileObject, Fault]:
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        return member
    result_file = parse_result_file(file_id)
    if result_file is None:
        return (await read_file(context, member.ok_value, file_id)).map(_file_object)
    job = await read_job(context, member.ok_value, result_file.job_id)
    if isinstance(job, Err):
        return job
    content = await result_content(context, job.ok_value.record, result_file.kind)
    if isinstance(content, Err):
        return content
    return Ok(_result_object(file_id, result_file, job.ok_value.record, content.ok_value))


async def _send_content(
    context: EntryContext, request: Request, responder: Responder, file_id: str
) -> None:
    content = await _content(context, request, file_id)
    if isinstance(content, Err):
        await responder.send_fault(content.err_value)
        return
    await content.ok_value.send(responder)


async def _content(
    context: EntryContext, request: Request, file_id: str
) -> Result[FileContent, Fault]:
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        return member
    result_file = parse_result_file(file_id)
    if result_file is None:
        file = await read_file(context, member.ok_value, file_id)
        return file.map(lambda record: FileContent(context.stores, record.segments))
    job = await read_job(context, member.ok_value, result_file.job_id)
    if isinstance(job, Err):
        return job
    return await result_content(context, job.ok_value.record, result_file.kind)


async def _delete(
    context: EntryContext, request: Request, responder: Responder, file_id: str
) -> None:
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        await responder.send_fault(member.err_value)
        return
    if parse_result_file(file_id) is not None:
        text = f"{file_id!r} is retained as long as its batch"
        await responder.send_fault(Fault(ResultCode.BAD_REQUEST, text))
        return
    deleted = await delete_file(context, member.ok_value, file_id)
    if isinstance(deleted, Err):
        await responder.send_fault(deleted.err_value)
        return
    await responder.send_json(200, {"id": file_id, "object": "file", "deleted": True})


async def _send_result(responder: Responder, result: Result[_FileObject, Fault]) -> None:
    if isinstance(result, Err):
        await responder.send_fault(result.err_value)
        return
    await responder.send_json(200, result.ok_value)


def _file_object(record: FileRecord) -> _FileObject:
    unusable = bool(record.problem_code) and record.purpose == BATCH_PURPOSE
    return _FileObject(
        id=record.file_id,
        bytes=record.size_bytes,
        created_at=record.created_at_s,
        filename=record.filename,
        purpose=record.purpose,
        status="error" if unusable else "processed",
        status_details=record.problem if unusable else None,
    )


def _result_object(
    file_id: str, result_file: ResultFile, record: JobRecord, content: FileContent
) -> _FileObject:
    return _FileObject(
        id=file_id,
        bytes=content.size_bytes,
        created_at=record.finished_at_s or record.created_at_s,
        filename=f"{record.job_id}_{result_file.kind}.jsonl",
        purpose=_OUTPUT_PURPOSE,
    )
