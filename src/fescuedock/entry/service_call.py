"""Parses a call to a plain service, and sends one attempt of it."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import msgspec
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.claims import is_non_idempotent
from fescuedock.core.routing import Demand
from fescuedock.core.work_identity import work_identity
from fescuedock.entry.context import EntryContext
from fescuedock.entry.members import ANONYMOUS, find_member
from fescuedock.entry.online_request import DEADLINE_HEADER, read_deadline_ms
from fescuedock.faults import Fault
from fescuedock.net.http_client import ClientResponse, HttpClient, SendCheck
from fescuedock.net.http_messages import HOP_HEADERS
from fescuedock.net.http_server import Headers, Request
from fescuedock.schema.config import ServiceKind, ServiceSpec
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamRecord

__all__ = ["ServiceCall", "open_attempt", "forwarded_headers", "read_service_call"]

KEY_HEADER = "idempotency-key"
NON_IDEMPOTENT_HEADER = "x-non-idempotent"

_MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_KEY_CHARACTERS = 255
_NO_DEMAND = Demand(0, 0, "")
_TRUE = ("true", "1", "yes")
# Headers of a single connection, and headers of this entry.
_NOT_FORWARDED = HOP_HEADERS | {"content-length", "host", DEADLINE_HEADER, NON_IDEMPOTENT_HEADER}


class ServiceCall(msgspec.Struct, frozen=True):
    """One call; ``target`` is the path and query at the service, ``deadline_ms`` as ``now_ms``."""

    request_id: str
    service: str
    spec: ServiceSpec
    member: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline_ms: float
    repeatable: bool
    idempotency_key: str

    @property
    def work_id(self) -> str:
        """The identity of the work, the same for each attempt and resend."""
        path = f"/services/{self.service}{self.target}"
        return work_identity(self.service, self.method, path, self.member, self.body)

    @property
    def parts(self) -> tuple[str, ...]:
        """Empty: a call to a plain service has no prompt."""
        return ()

    @property
    def demand(self) -> Demand:
        return _NO_DEMAND

    @property
    def max_tokens(self) -> int:
        return 0

    @property
    def software_versions(self) -> None:
        """None: a single run answers the call, so any version may."""
        return None

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


async def read_service_call(
    context: EntryContext, request: Request, values: Mapping[str, str], request_id: str
) -> Result[ServiceCall, Fault]:
    """Read and validate a call to ``/services/{service}/{path*}``."""
    arrived_ms = now_ms()
    member = find_member(context, request.headers)
    if isinstance(member, Err):
        return member
    service = values["service"]
    spec = context.view.configuration.services.get(service)
    if spec is None or spec.kind is not ServiceKind.PLAIN:
        return Err(Fault(ResultCode.UNKNOWN_SERVICE, f"no plain service is named {service!r}"))
    wait = _time_allowed_ms(context, request.headers, spec)
    if isinstance(wait, Err):
        return wait
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > _MAX_KEY_CHARACTERS:
        message = f"the Idempotency-Key has more than {_MAX_KEY_CHARACTERS} characters"
        return Err(Fault(ResultCode.BAD_REQUEST, message))
    marked = request.headers.get(NON_IDEMPOTENT_HEADER, "").lower() in _TRUE
    configured = is_non_idempotent(spec.non_idempotent, request.method, values["path"])
    return Ok(
        ServiceCall(
            request_id=request_id,
            service=service,
            spec=spec,
            member=member.ok_value,
            method=request.method,
            target=_target_at_service(request.target),
            headers=_request_headers(request.headers, member.ok_value, request_id),
            body=await request.read(_MAX_BODY_BYTES),
            deadline_ms=arrived_ms + wait.ok_value,
            repeatable=not (marked or configured or key),
            idempotency_key=key,
        )
    )


@asynccontextmanager
async def open_attempt(
    http: HttpClient, call: ServiceCall, upstream: UpstreamRecord, check: SendCheck
) -> AsyncIterator[ClientResponse]:
    """Send the call once, if ``check`` allows it at that moment.

    Raise ``NotSentError``, ``WithdrawnError`` or ``ResponseLostError``.  A call that may not be
    repeated uses a new connection: only if a connection fails to open is it certain that nothing
    was sent.
    """
    address = Address(upstream.host, upstream.port)
    async with http.request(
        address,
        call.method,
        call.target,
        call.headers,
        call.body,
        fresh=not call.repeatable,
        check=check,
    ) as response:
        yield response


def forwarded_headers(headers: Mapping[str, str], request_id: str) -> list[tuple[str, str]]:
    """Return the service's headers to forward to the caller, with the request id."""
    forwarded = [item for item in headers.items() if item[0] not in _NOT_FORWARDED]
    if not any(name == "x-request-id" for name, _ in forwarded):
        forwarded.append(("x-request-id", request_id))
    return forwarded


def _time_allowed_ms(
    context: EntryContext, headers: Mapping[str, str], spec: ServiceSpec
) -> Result[int, Fault]:
    if DEADLINE_HEADER not in headers:
        return Ok(spec.request_timeout_ms)
    return read_deadline_ms(context, headers)


def _request_headers(
    headers: Mapping[str, str], member: str, request_id: str
) -> list[tuple[str, str]]:
    """Return the headers to forward to the service, without a member's API key."""
    forwarded = [item for item in headers.items() if item[0] not in _NOT_FORWARDED]
    if member != ANONYMOUS:
        forwarded = [item for item in forwarded if item[0] != "authorization"]
    if "x-request-id" not in headers:
        forwarded.append(("x-request-id", request_id))
    return forwarded


def _target_at_service(target: str) -> str:
    """Return ``/path?query`` of a target ``/services/NAME/path?query``, not decoded."""
    path, mark, query = target.partition("?")
    parts = path.split("/", 3)
    rest = parts[3] if len(parts) > 3 else ""
    return f"/{rest}{mark}{query}"
