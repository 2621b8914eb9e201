"""Headers of clients' calls and upstreams' answers."""

from collections.abc import Iterable, Sequence

from fescuedock.core.customers import bearer_keys
from fescuedock.core.forwarding.calls import AnswerHead, CallHead
from fescuedock.faults import Fault
from fescuedock.net.http_messages import HOP_HEADERS, Headers
from fescuedock.platform.records import registered_id

__all__ = [
    "HEALTH_ID_HEADER",
    "answer_head",
    "api_keys",
    "call_head",
    "client_headers",
    "item_head",
    "item_headers",
    "refusal_headers",
    "upstream_headers",
]

_REQUEST_ID = "x-request-id"
# Milliseconds that the client, or towards an upstream we, will wait from now on.
_DEADLINE = "x-deadline-ms"
_TOKENS = "x-token-count"
# Parts of the prompt in order, as ID:TOKENS; the last one is the request's or its session's own.
_PROMPT_PARTS = "x-prompt-prefix"
_LAST_EVENT = "last-event-id"
# The identity of the client's attempt that brought the first event of the stream that it takes up.
_RESUMES = "resumes"
# An upstream with another identity answers 421 and does not run the request.
_EXPECTED_UPSTREAM = "x-expect-instance"
# On an upstream's answer: the request was not run.
_NOT_RUN = "x-not-executed"
# Proves that an answer is an upstream's.
_SEAL = "x-response-seal"
# A caller's key, and whom it belongs to, which upstreams are told instead.
_KEY = "authorization"
_CUSTOMER = "x-tenant"
_RETRY_AFTER = "retry-after"
_KEEP_ALIVE = "keep-alive"
_MISDIRECTED = 421
HEALTH_ID_HEADER = "x-instance-id"

# Set anew for each attempt.
_REPLACED_HEADERS = frozenset(
    ("host", "content-length", _DEADLINE, _EXPECTED_UPSTREAM, _LAST_EVENT)
)


def api_keys(headers: Headers) -> list[str]:
    """Return the keys that a client's headers bring, an empty one for each that is none."""
    return bearer_keys(value for name, value in headers if name == _KEY)


def call_head(headers: Headers) -> CallHead:
    """Return what a client's headers say of its call."""
    fields = dict(headers)
    prompt_tokens, max_tokens = _token_counts(fields.get(_TOKENS, ""))
    return CallHead(
        request_id=fields.get(_REQUEST_ID, ""),
        patience_ms=_number(fields.get(_DEADLINE, "")),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        prompt_parts=tuple(_prompt_parts(fields.get(_PROMPT_PARTS, ""))),
        last_event=_integer(fields.get(_LAST_EVENT, "")),
        resumed_request_id=fields.get(_RESUMES, "").strip(),
    )


def item_head(headers: Iterable[Sequence[str]]) -> CallHead:
    """Return what a batch item's headers say of it."""
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

    ``last_event`` is the number of the last event that the client has, below 0 for none.
    ``customer`` is whom the call counts for, empty for nobody; None where there are no customers.
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

    ``customer`` is whom its job belongs to, as in ``upstream_headers``.
    """
    fields = [(name.lower(), value) for name, value in headers]
    forwarded = _with_customer(
        _without_hop_headers(fields, _REPLACED_HEADERS | {_REQUEST_ID}), customer
    )
    forwarded += [(_REQUEST_ID, item_id), (_EXPECTED_UPSTREAM, registered_id(upstream_id))]
    if last_event >= 0:
        forwarded.append((_LAST_EVENT, str(last_event)))
    return forwarded


def answer_head(status: int, headers: Headers) -> AnswerHead:
    """Return what an upstream's answer says of what it did."""
    fields = dict(headers)
    return AnswerHead(
        status=status,
        request_id=fields.get(_REQUEST_ID, ""),
        not_run=_NOT_RUN in fields or status == _MISDIRECTED,
        sealed=_SEAL in fields,
    )


def client_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return an upstream's headers as the client is to get them."""
    return _without_hop_headers(headers, frozenset(("content-length",)))


def refusal_headers(fault: Fault) -> list[tuple[str, str]]:
    """Return the headers of an answer of our own; the time to come back is in seconds."""
    if not fault.retry_after_ms:
        return []
    return [(_RETRY_AFTER, f"{fault.retry_after_ms / 1000:.3f}")]


def _with_customer(fields: list[tuple[str, str]], customer: str | None) -> list[tuple[str, str]]:
    """Put the customer's name in place of the key, whatever the client sent of either."""
    if customer is None:
        return fields
    forwarded = [(name, value) for name, value in fields if name not in (_KEY, _CUSTOMER)]
    return [*forwarded, (_CUSTOMER, customer)] if customer else forwarded


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
    return _integer(prompt, 0), _integer(output, 0)


def _prompt_parts(text: str) -> Iterable[tuple[str, int]]:
    for part in text.split(",") if text else ():
        name, _, tokens = part.strip().partition(":")
        yield name, _integer(tokens, 0)


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if value >= 0 else None


def _integer(text: str, default: int = -1) -> int:
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() else default
