"""Parses an online request: its member, service, demand and deadline."""

from collections.abc import Collection, Iterator, Mapping
from hashlib import blake2b
from typing import Any

import msgspec
from result import Err, Ok, Result

from fescuedock.clock import now_ms
from fescuedock.core.routing import Demand
from fescuedock.core.work_identity import message_parts, work_identity
from fescuedock.entry.context import EntryContext
from fescuedock.entry.members import find_member
from fescuedock.entry.models import service_of_model
from fescuedock.faults import Fault
from fescuedock.net.http_server import Request
from fescuedock.schema.config import ServiceSpec
from fescuedock.schema.result_codes import ResultCode

__all__ = ["DEADLINE_HEADER", "OnlineRequest", "read_deadline_ms", "read_online_request"]

DEADLINE_HEADER = "x-deadline-ms"

_MAX_BODY_BYTES = 8 * 1024 * 1024
_BYTES_PER_TOKEN = 4
# Prompts with the same first bytes are assumed to share their prefix cache entry.
_PREFIX_BYTES = 1024
_HASH_BYTES = 12


class OnlineRequest(msgspec.Struct):
    """One accepted request; ``deadline_ms`` is a time of ``clock.now_ms``.

    ``software_versions`` limits the upstreams of the next attempt, None for any version.
    """

    request_id: str
    path: str
    body: dict[str, Any]
    member: str
    service: str
    spec: ServiceSpec
    demand: Demand
    max_tokens: int
    deadline_ms: float
    work_id: str = ""
    parts: tuple[str, ...] = ()
    software_versions: Collection[str] | None = None

    @property
    def streamed(self) -> bool:
        return self.body.get("stream") is True

    @property
    def wants_usage(self) -> bool:
        options = self.body.get("stream_options")
        return isinstance(options, dict) and options.get("include_usage") is True

    @property
    def resumable(self) -> bool:
        """Whether the answer is a single text, which another attempt can continue."""
        return self.body.get("n") in (None, 1) and not self.body.get("logprobs")

    @property
    def repeatable(self) -> bool:
        return True

    def target_left_ms(self) -> int:
        """Return 0: single calls have no target for the first token."""
        return 0

    def urgency(self) -> tuple[int, int]:
        """Return zeros: members of this deployment have shares, not priorities."""
        return 0, 0

    def left_ms(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline_ms - now_ms()

    def start_left_ms(self) -> float:
        """Return the time left until the deadline: a start is useful until then."""
        return self.left_ms()


async def read_online_request(
    context: EntryContext, request: Request, request_id: str
) -> Result[OnlineRequest, Fault]:
    """Read and validate ``request``; its deadline is counted from now."""
    arrived_ms = now_ms()
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        return member
    deadline = read_deadline_ms(context, request.headers)
    if isinstance(deadline, Err):
        return deadline
    data = await request.read(_MAX_BODY_BYTES)
    body = _decode(data)
    if isinstance(body, Err):
        return body
    model = body.ok_value.get("model")
    service = service_of_model(context.view.configuration, str(model))
    if service is None:
        return Err(Fault(ResultCode.UNKNOWN_MODEL, f"no service offers {model!r}"))
    return Ok(
        OnlineRequest(
            request_id=request_id,
            path=request.path,
            body=body.ok_value,
            member=member.ok_value,
            service=service,
            spec=context.view.configuration.services[service],
            demand=_estimate_demand(body.ok_value),
            max_tokens=_max_tokens(body.ok_value),
            deadline_ms=arrived_ms + deadline.ok_value,
            work_id=work_identity(service, "POST", request.path, member.ok_value, data),
            parts=message_parts(body.ok_value),
        )
    )


def read_deadline_ms(context: EntryContext, headers: Mapping[str, str]) -> Result[int, Fault]:
    """Return the deadline that the caller sets, or the default of the settings."""
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return Ok(context.settings.entry.default_deadline_ms)
    if text.isascii() and text.isdigit() and 0 < int(text) < 10**9:
        return Ok(int(text))
    message = f"header X-Deadline-Ms must be a number of milliseconds, not {text!r}"
    return Err(Fault(ResultCode.BAD_REQUEST, message))


def _decode(data: bytes) -> Result[dict[str, Any], Fault]:
    try:
        return Ok(msgspec.json.decode(data, type=dict[str, Any]))
    except msgspec.MsgspecError as error:
        return Err(Fault(ResultCode.BAD_REQUEST, f"the body is not a JSON object: {error}"))


def _max_tokens(body: Mapping[str, Any]) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = body.get(name)
        if isinstance(value, int) and value > 0:
            return value
    return 0


def _estimate_demand(body: Mapping[str, Any]) -> Demand:
    text = "\0".join(_texts(body)).encode()
    if not text:
        return Demand(0, 0, "")
    shared = _shareable_prefix(body, text)
    name = str(body.get("model")).encode()
    digest = blake2b(name + b"\0" + shared[:_PREFIX_BYTES], digest_size=_HASH_BYTES)
    return Demand(_tokens(text), _tokens(shared), digest.hexdigest())


def _tokens(text: bytes) -> int:
    return -(-len(text) // _BYTES_PER_TOKEN)


def _shareable_prefix(body: Mapping[str, Any], text: bytes) -> bytes:
    """Return the prefix that other prompts may share: the first message, or the first bytes."""
    messages = body.get("messages")
    if isinstance(messages, list) and len(messages) > 1:
        return next(_texts(body), "").encode()
    return text[:_PREFIX_BYTES]


def _texts(body: Mapping[str, Any]) -> Iterator[str]:
    """Yield the texts of the prompt in order."""
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        yield prompt
    elif isinstance(prompt, list):
        yield from (item for item in prompt if isinstance(item, str))
    messages = body.get("messages")
    for message in messages if isinstance(messages, list) else ():
        content = message.get("content") if isinstance(message, dict) else None
        if isinstance(content, str):
            yield content
        elif isinstance(content, list):
            yield from _part_texts(content)


def _part_texts(parts: list[Any]) -> Iterator[str]:
    for part in parts:
        if isinstance(part, dict) and isinstance(part.get("text"), str):
            yield part["text"]
