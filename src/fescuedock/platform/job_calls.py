"""Paths and bodies of the clients' calls about batch jobs."""

import base64
import binascii
from collections.abc import Mapping, Sequence

import msgspec
from result import Err, Ok, Result

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


class _Item(msgspec.Struct):
    id: str
    # Path at the upstream.
    path: str
    headers: dict[str, str]
    # Base64.
    body: str
    # Of the prompt and the longest output together.
    tokens: int = 0


class _Submission(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str


class _Results(msgspec.Struct, rename={"next_position": "nextToken"}):
    # Items of the job, listed or not.
    total: int
    results: list[_Result]
    next_position: int


class JobCall(msgspec.Struct, frozen=True):
    """A call about a job that exists: ``verb`` is ``read``, ``body`` or ``end``."""

    verb: str
    job_id: str
    after: int = 0
    item_id: str = ""
    wait_ms: float = 0.0


def job_call(
    method: str, path: str, query: Mapping[str, str], headers: Mapping[str, str]
) -> JobCall | None:
    """Return what a call about a job asks for; None for any other call.

    ``ValueError`` names a part of it that cannot be read.
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
    after = _integer("after", query.get("after", "0"))
    return JobCall(
        "read", job_id, after, wait_ms=_integer(_WAIT_HEADER, headers.get(_WAIT_HEADER, "0"))
    )


def read_submission(body: bytes) -> Result[list[StoredItem], str]:
    """Decode the items of a job; ``Err`` says what is wrong."""
    try:
        submission = msgspec.json.decode(body, type=_Submission)
        items = [_stored_item(item) for item in submission.items]
    except (msgspec.DecodeError, binascii.Error, ValueError) as error:
        return Err(f"the job cannot be read: {error}")
    if not items:
        return Err("the job has no items")
    if len(items) > MAX_JOB_ITEMS:
        return Err(f"the job has {len(items)} items, {MAX_JOB_ITEMS} at most are taken")
    if len({item.item_id for item in items}) < len(items):
        return Err("two items of the job have the same id")
    return Ok(items)


def encode_results(total: int, after: int, results: Sequence[StoredResult]) -> bytes:
    """Return the body of an answer with the results at ``after`` and on."""
    listed = [
        _Result(item.item_id, "completed" if item.completed else "dead_letter", item.text)
        for item in results
    ]
    return msgspec.json.encode(_Results(total, listed, after + len(listed)))


def _stored_item(item: _Item) -> StoredItem:
    headers = [[name, value] for name, value in item.headers.items()]
    body = base64.b64decode(item.body, validate=True)
    return StoredItem(item.id, item.path, headers, body, item.tokens)


def _integer(name: str, text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{name} = {text!r} is not a whole number")
    return int(text)
