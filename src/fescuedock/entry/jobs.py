"""Batch jobs: ``/v1/batches``, compatible with OpenAI's interface.

``completion_window`` may be any duration such as ``24h``, ``90m`` or ``3600s``, and a request may
have an ``Idempotency-Key``.  Without one its content serves as the key.
"""

from typing import Any

import msgspec
from result import Err, Ok, Result

from fescuedock.core.acceptance import parse_window_s
from fescuedock.core.batch.record import is_final
from fescuedock.core.job_identity import JobRequest
from fescuedock.entry.context import EntryContext
from fescuedock.entry.file_records import read_file
from fescuedock.entry.files import IDEMPOTENCY_HEADER, page_limit
from fescuedock.entry.job_acceptance import accept_job, find_accepted, push_job
from fescuedock.entry.job_objects import batch_object
from fescuedock.entry.job_records import JobPage, list_jobs, read_job, request_cancel
from fescuedock.entry.members import find_member
from fescuedock.entry.routes import Route
from fescuedock.faults import Fault
from fescuedock.net.http_server import Request, Responder
from fescuedock.schema.batch import JobRecord
from fescuedock.schema.result_codes import ResultCode

__all__ = ["routes"]

_MAX_BODY_BYTES = 65536
_MAX_KEY_CHARS = 512
_MAX_METADATA = 16
_MAX_METADATA_CHARS = 512
_DEFAULT_PAGE = 20
_MAX_PAGE = 100


class _CreateBody(msgspec.Struct):
    """Body of ``POST /v1/batches``; other fields are ignored."""

    input_file_id: str
    endpoint: str
    completion_window: str | int
    metadata: dict[str, str] | None = None


def routes(context: EntryContext) -> list[Route]:
    """Return the routes under ``/v1/batches``."""

    async def create(request: Request, responder: Responder, _values: dict[str, str]) -> None:
        await _send_result(responder, await _create(context, request))

    async def get(request: Request, responder: Responder, values: dict[str, str]) -> None:
        await _send_result(responder, await _get(context, request, values["job_id"]))

    async def list_all(request: Request, responder: Responder, _values: dict[str, str]) -> None:
        page = await _list(context, request)
        if isinstance(page, Err):
            await responder.send_fault(page.err_value)
            return
        await responder.send_json(200, _list_body(page.ok_value))

    async def cancel(request: Request, responder: Responder, values: dict[str, str]) -> None:
        await _send_result(responder, await _cancel(context, request, values["job_id"]))

    return [
        Route("POST", "/v1/batches", create),
        Route("GET", "/v1/batches", list_all),
        Route("GET", "/v1/batches/{job_id}", get),
        Route("POST", "/v1/batches/{job_id}/cancel", cancel),
    ]


async def _create(context: EntryContext, request: Request) -> Result[JobRecord, Fault]:
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        return member
    creation = _read_body(await request.read(_MAX_BODY_BYTES), request, member.ok_value)
    if isinstance(creation, Err):
        return creation
    file_id, wanted = creation.ok_value.file_id, creation.ok_value.request
    file = await read_file(context, member.ok_value, file_id)
    if isinstance(file, Ok):
        wanted = msgspec.structs.replace(wanted, input_hash=file.ok_value.content_hash)
        return await accept_job(context, wanted, file.ok_value)
    if file.err_value.code is ResultCode.NOT_FOUND and wanted.idempotency_key:
        accepted = await find_accepted(context, wanted, file_id)
        return file if accepted == Ok(None) else accepted
    return file


class _CreateRequest(msgspec.Struct, frozen=True):
    """A parsed request to create a job; the input hash of ``request`` is not set yet."""

    file_id: str
    request: JobRequest


def _read_body(data: bytes, request: Request, member: str) -> Result[_CreateRequest, Fault]:
    try:
        body = msgspec.json.decode(data, type=_CreateBody)
    except msgspec.MsgspecError as error:
        return Err(Fault(ResultCode.BAD_REQUEST, str(error)))
    key = request.headers.get(IDEMPOTENCY_HEADER, "")
    if len(key) > _MAX_KEY_CHARS:
        text = f"Idempotency-Key is over {_MAX_KEY_CHARS} characters"
        return Err(Fault(ResultCode.BAD_REQUEST, text))
    metadata = _checked_metadata(body.metadata or {})
    if isinstance(metadata, Err):
        return metadata
    window_s = parse_window_s(str(body.completion_window))
    if isinstance(window_s, Err):
        return window_s
    wanted = JobRequest(
        member=member,
        idempotency_key=key,
        endpoint=body.endpoint,
        window_s=window_s.ok_value,
        metadata=metadata.ok_value,
        input_hash="",
    )
    return Ok(_CreateRequest(body.input_file_id, wanted))


def _checked_metadata(metadata: dict[str, str]) -> Result[dict[str, str], Fault]:
    longest = max((len(text) for item in metadata.items() for text in item), default=0)
    if len(metadata) <= _MAX_METADATA and longest <= _MAX_METADATA_CHARS:
        return Ok(metadata)
    text = f"metadata is limited to {_MAX_METADATA} entries of {_MAX_METADATA_CHARS} characters"
    return Err(Fault(ResultCode.BAD_REQUEST, text))


async def _get(context: EntryContext, request: Request, job_id: str) -> Result[JobRecord, Fault]:
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        return member
    return (await read_job(context, member.ok_value, job_id)).map(lambda stored: stored.record)


async def _list(context: EntryContext, request: Request) -> Result[JobPage, Fault]:
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        return member
    limit = page_limit(request.query.get("limit"), _DEFAULT_PAGE, _MAX_PAGE)
    if isinstance(limit, Err):
        return limit
    after = None
    if "after" in request.query:
        stored = await read_job(context, member.ok_value, request.query["after"])
        if isinstance(stored, Err):
            return stored
        after = stored.ok_value.record
    return await list_jobs(context, member.ok_value, after, limit.ok_value)


async def _cancel(context: EntryContext, request: Request, job_id: str) -> Result[JobRecord, Fault]:
    """Record the cancellation, then notify the owner; only the record is authoritative."""
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        return member
    record = await request_cancel(context, member.ok_value, job_id)
    if isinstance(record, Ok) and not is_final(record.ok_value):
        await push_job(context, record.ok_value, cancelled=True)
    return record


async def _send_result(responder: Responder, result: Result[JobRecord, Fault]) -> None:
    if isinstance(result, Err):
        await responder.send_fault(result.err_value)
        return
    await responder.send_json(200, batch_object(result.ok_value))


def _list_body(page: JobPage) -> dict[str, Any]:
    objects = [batch_object(record) for record in page.records]
    return {
        "object": "list",
        "data": objects,
        "first_id": objects[0].id if objects else None,
        "last_id": objects[-1].id if objects else None,
        "has_more": page.more,
    }
