"""Translates the headers of clients' calls and upstreams' answers, and identifies upstreams."""

from collections.abc import Iterable, Sequence

import msgspec

from fescuedock.core.customers import bearer_keys
from fescuedock.core.forwarding.calls import AnswerHead, CallHead
from fescuedock.core.forwarding.event_stream import MAX_EVENT_NUMBER
from fescuedock.faults import Fault
from fescuedock.net.http_client import PeerQuery
from fescuedock.net.http_messages import HOP_HEADERS, Headers
from fescuedock.platform.fields import (
    MAX_DURATION_MS,
    MAX_TOKENS,
    UnixMs,
    bounded_number,
    bounded_whole_number,
    decode_json,
)
from fescuedock.platform.records import registered_id, started_at

__all__ = [
    "HEALTH_ID_HEADER",
    "answer_head",
    "api_keys",
    "call_head",
    "client_headers",
    "item_head",
    "item_headers",
    "presence_query",
    "process_query",
    "refusal_headers",
    "upstream_headers",
]

_REQUEST_ID = "x-request-id"
# Milliseconds that the sender still waits: the client towards a node, a node towards an upstream.
_DEADLINE = "x-deadline-ms"
_TOKENS = "x-token-count"
# Parts of the prompt in order, as ID:TOKENS.  The last one belongs to this request or its session
# alone; the ones before it may be shared with other requests.
_PROMPT_PARTS = "x-prompt-prefix"
_LAST_EVENT = "last-event-id"
# Request ID of the client's attempt that began the stream which this call resumes.
_RESUMES = "resumes"
# ID of the addressed upstream; one with another ID answers 421 without running the request.
_EXPECTED_UPSTREAM = "x-expect-instance"
# Set in an upstream's answer when it did not run the request.
_NOT_RUN = "x-not-executed"
# Shows that an answer was written by an upstream and not by something in between.
_SEAL = "x-response-seal"
# The caller's API key.  Upstreams get the name of the key's customer in its place.
_KEY = "authorization"
_CUSTOMER = "x-tenant"
_RETRY_AFTER = "retry-after"
_KEEP_ALIVE = "keep-alive"
_MISDIRECTED = 421
HEALTH_ID_HEADER = "x-instance-id"
_REPORT_PATH = "/api/report"
_OK = 200
_NOT_FOUND = 404

# Headers that every attempt sets itself.
_REPLACED_HEADERS = frozenset(
    ("host", "content-length", _DEADLINE, _EXPECTED_UPSTREAM, _LAST_EVENT)
)


def api_keys(headers: Headers) -> list[str]:
    """Return the API keys in a client's headers, an empty string for each malformed one."""
    return bearer_keys(value for name, value in headers if name == _KEY)


def call_head(headers: Headers) -> CallHead:
    """Decode the headers of a client's call; a malformed field counts as absent.

    So does one that is out of range.
    """
    fields = dict(headers)
    prompt_tokens, max_tokens = _token_counts(fields.get(_TOKENS, ""))
    return CallHead(
        request_id=fields.get(_REQUEST_ID, ""),
        patience_ms=bounded_number(fields.get(_DEADLINE, ""), MAX_DURATION_MS),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        prompt_parts=tuple(_prompt_parts(fields.get(_PROMPT_PARTS, ""))),
        last_event=_last_event(fields.get(_LAST_EVENT, "")),
        resumed_request_id=fields.get(_RESUMES, "").strip(),
    )


def item_head(headers: Iterable[Sequence[str]]) -> CallHead:
    """Decode the headers of a batch item."""
    return call_head([(name.lower(), value) for name, value in headers])


def upstream_headers(
    headers: Headers,
    *,
    left_ms: float,
    upstream_id: str,
    last_event: int,
    customer: str | None = None,
) -> list[tuple[str, str]]:
    """Return a client's headers for one attempt at ``upstream_id``.

    ``left_ms`` is the time that the call has left.  ``last_event`` is the number of the last event
    that the client has received, below 0 for none.  ``customer`` is the customer that the call
    counts for: empty for none, None where no customers are configured.
    """
    forwarded = _with_customer(_without_hop_headers(headers, _REPLACED_HEADERS), customer)
    forwarded.append((_DEADLINE, str(max(int(left_ms), 1))))
    forwarded.append((_EXPECTED_UPSTREAM, registered_id(upstream_id)))
    if last_event >= 0:
        forwarded.append((_LAST_EVENT, str(last_event)))
    return forwarded


def item_headers(
    headers: Iterable[Sequence[str]],
    *,
    item_id: str,
    upstream_id: str,
    last_event: int,
    customer: str | None = None,
) -> list[tuple[str, str]]:
    """Return the headers of a batch item for one attempt at ``upstream_id``.

    ``customer`` is the owner of its job, as in ``upstream_headers``.
    """
    fields = [(name.lower(), _header_value(value)) for name, value in headers]
    forwarded = _with_customer(
        _without_hop_headers(fields, _REPLACED_HEADERS | {_REQUEST_ID}), customer
    )
    forwarded += [(_REQUEST_ID, item_id), (_EXPECTED_UPSTREAM, registered_id(upstream_id))]
    if last_event >= 0:
        forwarded.append((_LAST_EVENT, str(last_event)))
    return forwarded


def answer_head(status: int, headers: Headers) -> AnswerHead:
    """Decode the status and headers of an upstream's answer."""
    fields = dict(headers)
    return AnswerHead(
        status=status,
        request_id=fields.get(_REQUEST_ID, ""),
        not_run=_NOT_RUN in fields or status == _MISDIRECTED,
        sealed=_SEAL in fields,
    )


def client_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the headers of an upstream's answer that are passed on to the client."""
    return _without_hop_headers(headers, frozenset(("content-length",)))


class _Report(msgspec.Struct):
    """A worker's report of its state; only its start time in Unix milliseconds is read."""

    born: UnixMs | None = None


def process_query(upstream_id: str) -> PeerQuery | None:
    """Return the query that identifies an upstream's process; None if its entry names no start.

    Without a start time in its entry each start of a worker has an ID of its own, which every
    request names.
    """
    expected = started_at(upstream_id)
    return PeerQuery(_REPORT_PATH, _read_start, expected, _is_report) if expected else None


def presence_query(upstream_id: str, process: str | None) -> PeerQuery:
    """Return the query whether an upstream's process is still running.

    ``process`` is the start time that it told before; without one the entry's start time counts,
    and without that any process that answers.
    """
    expected = process or started_at(upstream_id)
    if not expected:
        return PeerQuery(_REPORT_PATH, lambda _status, _body: None, "", _is_report)
    return PeerQuery(_REPORT_PATH, _read_start, expected, _is_report)


def _is_report(headers: Headers) -> bool:
    """Whether an answer belongs to a request without an ID, which all others have."""
    return not answer_head(_OK, headers).request_id


def _read_start(status: int, body: bytes) -> str | None:
    if status == _NOT_FOUND:
        return None
    if status != _OK:
        raise ValueError(f"status {status}")
    try:
        report = decode_json(body, _Report)
    except ValueError as error:
        raise ValueError(f"its report cannot be read: {error}") from error
    return None if report.born is None else str(report.born)


def refusal_headers(fault: Fault) -> list[tuple[str, str]]:
    """Return the headers of a refusal by this node; ``retry-after`` is in seconds."""
    if not fault.retry_after_ms:
        return []
    return [(_RETRY_AFTER, f"{fault.retry_after_ms / 1000:.3f}")]


def _with_customer(fields: list[tuple[str, str]], customer: str | None) -> list[tuple[str, str]]:
    """Replace the API key by the customer's name and drop any such name that the client sent."""
    if customer is None:
        return fields
    forwarded = [(name, value) for name, value in fields if name not in (_KEY, _CUSTOMER)]
    return [*forwarded, (_CUSTOMER, _header_value(customer))] if customer else forwarded


def _header_value(text: str) -> str:
    """Return a text of a document as a header's value: its bytes in UTF-8, as ISO 8859-1."""
    return text if text.isascii() else text.encode().decode("latin-1")


def _without_hop_headers(headers: Headers, removed: frozenset[str]) -> list[tuple[str, str]]:
    connection_options = {
        name.strip().lower()
        for field, value in headers
        if field == "connection"
        for name in value.split(",")
    }
    excluded = HOP_HEADERS | removed | connection_options
    return [(name, value) for name, value in headers if name not in excluded]


def _token_counts(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    return _token_count(prompt), _token_count(output)


def _prompt_parts(text: str) -> Iterable[tuple[str, int]]:
    for part in text.split(",") if text else ():
        name, _, tokens = part.strip().partition(":")
        yield name, _token_count(tokens)


def _token_count(text: str) -> int:
    return bounded_whole_number(text, MAX_TOKENS) or 0


def _last_event(text: str) -> int:
    number = bounded_whole_number(text, MAX_EVENT_NUMBER)
    return -1 if number is None else number
