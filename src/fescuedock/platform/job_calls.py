"""Decodes the clients' calls about batch jobs and encodes their answers."""

import base64
from collections.abc import Mapping, Sequence

import msgspec
from result import Err, Ok, Result

from fescuedock.platform import fields
from fescuedock.schema.stored_jobs import StoredItem, StoredResult

__all__ = [
    "MAX_JOB_ITEMS",
    "JobCall",
    "encode_results",
    "job_call",
    "read_submission",
]

MAX_JOB_ITEMS = 200
_RESULTS_PATH = "/api/lots/"
_BODIES_PATH = "/api/items/"
_WAIT_HEADER = "x-wait-ms"
# Characters of a value that a refusal repeats.
_MAX_NAMED_CHARACTERS = 40


class _Item(msgspec.Struct):
    """An item; every accepted one can be sent as a request."""

    id: fields.RequestId
    # Path of the request to the upstream.
    path: fields.RequestTarget
    headers: dict[fields.HeaderName, fields.HeaderValue]
    # In base64.
    body: str
    # Tokens of the prompt and the longest possible output together.
    tokens: fields.TokenCount = 0


class _Submission(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str


class _Results(msgspec.Struct, rename={"next_position": "nextToken"}):
    # All items of the job, also those not listed here.
    total: int
    results: list[_Result]
    next_position: int


class JobCall(msgspec.Struct, frozen=True):
    """A call about an existing job.

    ``verb`` is ``read`` (results), ``body`` (the body of one item) or ``end`` (end the job).
    """

    verb: str
    job_id: str
    after: int = 0
    item_id: str = ""
    wait_ms: float = 0.0


def job_call(
    method: str, path: str, query: Mapping[str, str], headers: Mapping[str, str]
) -> JobCall | None:
    """Decode a call about an existing job; return None for any other call.

    Raise ``ValueError``, naming the field, for one that is no number or out of range.
    """
    if path.startswith(_BODIES_PATH) and method == "GET":
        return JobCall("body", path.removeprefix(_BODIES_PATH), item_id=query.get("id", ""))
    if not path.startswith(_RESULTS_PATH):
        return None
    job_id = path.removeprefix(_RESULTS_PATH)
    if method == "DELETE":
        return JobCall("end", job_id)
    if method != "GET":
        return None
    after = _integer("after", query.get("after", "0"), fields.MAX_COUNT)
    wait_ms = _integer(_WAIT_HEADER, headers.get(_WAIT_HEADER, "0"), int(fields.MAX_DURATION_MS))
    return JobCall("read", job_id, after, wait_ms=wait_ms)


def read_submission(body: bytes) -> Result[list[StoredItem], str]:
    """Decode the items of a submitted job; ``Err`` is the reason for its refusal."""
    try:
        submission = fields.decode_json(body, _Submission)
        items = [_stored_item(item) for item in submission.items]
    except ValueError as error:
        return Err(f"the job cannot be read: {error}")
    if not items:
        return Err("the job has no items")
    if len(items) > MAX_JOB_ITEMS:
        return Err(f"the job has {len(items)} items, at most {MAX_JOB_ITEMS} are accepted")
    if len({item.item_id for item in items}) < len(items):
        return Err("two items of the job have the same id")
    return Ok(items)


def encode_results(total: int, after: int, results: Sequence[StoredResult]) -> bytes:
    """Return the body of an answer that lists ``results``, the first at position ``after``."""
    listed = [
        _Result(item.item_id, "completed" if item.completed else "dead_letter", item.text)
        for item in results
    ]
    return msgspec.json.encode(_Results(total, listed, after + len(listed)))


def _stored_item(item: _Item) -> StoredItem:
    headers = [[name, value.strip(" \t")] for name, value in item.headers.items()]
    body = base64.b64decode(item.body, validate=True)
    return StoredItem(item.id, item.path, headers, body, item.tokens)


def _integer(name: str, text: str, limit: int) -> int:
    number = fields.bounded_whole_number(text, limit)
    if number is None:
        raise ValueError(f"{name} = {text[:_MAX_NAMED_CHARACTERS]!r} is no number up to {limit}")
    return number
