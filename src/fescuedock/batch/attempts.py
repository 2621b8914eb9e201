"""Runs one attempt of an item at one upstream and reports how it ended."""

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.permit_client import Grant
from fescuedock.backing.engine import (
    ATTEMPT_HEADER,
    EngineClient,
    EngineError,
    NotSentError,
    OtherVersionError,
    ResponseLostError,
    ResumePoint,
)
from fescuedock.clock import now_ms
from fescuedock.core.batch.answers import ItemLine, read_line
from fescuedock.core.batch.assembly import AnswerAssembly, can_stream
from fescuedock.core.batch.items import AttemptEnd, EndKind, Item
from fescuedock.log import log_event
from fescuedock.net.confirmed_body import ConfirmedBody
from fescuedock.net.http_client import (
    HttpClient,
    ResponseTooLargeError,
    SendCheck,
    WithdrawnError,
)
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, WorkClass
from fescuedock.schema.view import UpstreamKind, UpstreamRecord

__all__ = ["Attempt", "UpstreamClients", "run_attempt"]

_CHAT_URL = "/v1/chat/completions"
_SERVICE_PREFIX_SLASHES = 3
_OVERLOAD_STATUSES = (429, 503)
_FIRST_ERROR_STATUS = 300
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_OUTCOMES = {
    EndKind.DONE: AttemptOutcome.COMPLETED,
    EndKind.REJECTED: AttemptOutcome.CLIENT_ERROR,
    EndKind.SERVER_ERROR: AttemptOutcome.SERVER_ERROR,
    EndKind.NOT_SENT: AttemptOutcome.CONNECT_REFUSED,
    EndKind.BUSY: AttemptOutcome.SERVER_ERROR,
    EndKind.DIED: AttemptOutcome.TRUNCATED,
    EndKind.REVOKED: AttemptOutcome.REVOKED,
    EndKind.STOPPED: AttemptOutcome.CANCELLED,
    EndKind.WITHDRAWN: AttemptOutcome.CANCELLED,
    EndKind.OTHER_VERSION: AttemptOutcome.CLIENT_ERROR,
    EndKind.RESUME_REJECTED: AttemptOutcome.CLIENT_ERROR,
}


class Attempt(msgspec.Struct, eq=False):
    """One attempt in progress; cancelling ``scope`` stops it.

    ``stall_timeout_ms`` bounds the wait for the next token, or for an answer that is not streamed.
    ``check`` decides, just before the request is written, whether the attempt may still begin.
    ``software_version`` is the one that the answer names; the record of an upstream may be older
    than its process.  ``first_token_ms`` is the time from the start to the first token; -1 before
    it.
    """

    item: Item
    upstream: UpstreamRecord
    grant: Grant
    stall_timeout_ms: float
    check: SendCheck
    scope: trio.CancelScope = msgspec.field(default_factory=trio.CancelScope)
    software_version: str = ""
    started_ms: float = 0.0
    first_token_ms: float = -1.0


class UpstreamClients(msgspec.Struct, frozen=True):
    """The clients that send attempts to engines and to plain services."""

    engine: EngineClient
    http: HttpClient


async def run_attempt(upstreams: UpstreamClients, attempt: Attempt) -> AttemptEnd:
    """Run the attempt, end its permit, and return how the attempt ended.

    A revoked permit or a cancelled scope closes the connection, which cancels the stream; the
    result then holds the text generated so far.
    """
    item = attempt.item
    line = read_line(item.line)
    listed_version = attempt.upstream.software_version
    # An answer is not continued by another software version: the two parts would not match.
    can_resume = not listed_version or item.software_version == listed_version
    initial = (item.text, item.tokens) if can_resume else ("", 0)
    assembly = AnswerAssembly(line.url == _CHAT_URL, *initial)
    attempt.started_ms = now_ms()
    end = AttemptEnd(EndKind.STOPPED)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_when_revoked, attempt)
        with attempt.scope:
            end = await _call_and_classify(upstreams, attempt, line, assembly)
        nursery.cancel_scope.cancel()
    if end.kind is EndKind.STOPPED and attempt.grant.revoked.is_set():
        end = AttemptEnd(EndKind.REVOKED)
    if end.kind is EndKind.REJECTED and initial[1]:
        # The next attempt begins anew and shows whether the item itself is rejected.
        end = AttemptEnd(EndKind.RESUME_REJECTED, end.status, end.body)
    elif end.kind is not EndKind.DONE:
        generated = (item.text, item.tokens, item.software_version)
        if assembly.tokens > initial[1]:
            generated = (assembly.text, assembly.tokens, attempt.software_version)
        end = AttemptEnd(end.kind, end.status, end.body, *generated)
    _end_permit(attempt, end, assembly.tokens - initial[1])
    return end


async def _cancel_when_revoked(attempt: Attempt) -> None:
    await attempt.grant.revoked.wait()
    attempt.scope.cancel()


async def _call_and_classify(
    upstreams: UpstreamClients, attempt: Attempt, line: ItemLine, assembly: AnswerAssembly
) -> AttemptEnd:
    """Send the request and classify how it ended."""
    try:
        with trio.CancelScope() as stall:
            answer = await _request_answer(upstreams, attempt, line, assembly, stall)
    except WithdrawnError as error:
        return AttemptEnd(EndKind.WITHDRAWN, body=str(error).encode())
    except NotSentError as error:
        return AttemptEnd(EndKind.NOT_SENT, body=str(error).encode())
    except ResponseLostError as error:
        return AttemptEnd(EndKind.DIED, body=str(error).encode())
    except OtherVersionError as error:
        return AttemptEnd(EndKind.OTHER_VERSION, body=str(error).encode())
    except EngineError as error:
        return AttemptEnd(_end_kind(error), error.status, error.body)
    except msgspec.MsgspecError as error:
        return AttemptEnd(
            EndKind.SERVER_ERROR, 502, f"invalid event in the stream: {error}".encode()
        )
    except Exception as error:
        # An internal error must not stop this runner: the job's next runner would meet it again.
        log_event("attempt_fault", upstream_id=attempt.upstream.upstream_id, error=repr(error))
        return AttemptEnd(EndKind.SERVER_ERROR, body=repr(error).encode())
    if stall.cancelled_caught:
        return AttemptEnd(EndKind.DIED, body=b"no answer in time")
    return answer


async def _request_answer(
    upstreams: UpstreamClients,
    attempt: Attempt,
    line: ItemLine,
    assembly: AnswerAssembly,
    stall: trio.CancelScope,
) -> AttemptEnd:
    """Return the complete answer; each event of a stream extends the deadline of ``stall``."""
    stall_s = attempt.stall_timeout_ms / 1000
    stall.deadline = trio.current_time() + stall_s
    attempt_id = attempt.grant.permit_id
    if attempt.upstream.kind is UpstreamKind.PLAIN:
        return await _call_plain(upstreams.http, attempt, line)
    engine = upstreams.engine
    body = msgspec.json.decode(line.body)
    if not can_stream(body):
        full_body = await engine.call(attempt.upstream, line.url, body, attempt_id, attempt.check)
        return AttemptEnd(EndKind.DONE, 200, full_body)
    body["stream_options"] = {"include_usage": True}
    resume = ResumePoint(assembly.tokens, assembly.text) if assembly.tokens else None
    async with engine.stream(
        attempt.upstream, line.url, body, attempt_id, resume, attempt.check
    ) as stream:
        attempt.software_version = stream.software_version
        if resume is not None and stream.software_version != attempt.item.software_version:
            raise OtherVersionError(
                f"the upstream resumes with software version {stream.software_version!r}"
                f" what {attempt.item.software_version!r} wrote"
            )
        async for event in stream:
            stall.deadline = trio.current_time() + stall_s
            if event.text:
                _record_token(attempt)
            assembly.add(event.data, event.text, event.finished)
    return AttemptEnd(EndKind.DONE, 200, assembly.body())


async def _call_plain(http: HttpClient, attempt: Attempt, line: ItemLine) -> AttemptEnd:
    """Send the item's body unchanged to a plain service."""
    address = Address(attempt.upstream.host, attempt.upstream.port)
    headers = [("content-type", "application/json"), (ATTEMPT_HEADER, attempt.grant.permit_id)]
    path = _service_path(line.url)
    async with http.request(
        address, line.method, path, headers, bytes(line.body), check=attempt.check
    ) as response:
        try:
            answer = await ConfirmedBody(http, address, response).read(_MAX_ANSWER_BYTES)
        except ResponseTooLargeError as error:
            raise ResponseLostError(str(error), head_received=True) from error
    if response.status >= _FIRST_ERROR_STATUS:
        raise EngineError(response.status, answer)
    return AttemptEnd(EndKind.DONE, response.status, answer)


def _record_token(attempt: Attempt) -> None:
    attempt.grant.count_tokens()
    if attempt.first_token_ms < 0:
        attempt.first_token_ms = now_ms() - attempt.started_ms


def _service_path(url: str) -> str:
    """Return the path at the plain service: ``url`` without ``/services/NAME``."""
    return "/" + "".join(url.split("/", _SERVICE_PREFIX_SLASHES)[_SERVICE_PREFIX_SLASHES:])


def _end_kind(error: EngineError) -> EndKind:
    if error.status in _OVERLOAD_STATUSES:
        return EndKind.BUSY
    return EndKind.REJECTED if error.is_permanent else EndKind.SERVER_ERROR


def _end_permit(attempt: Attempt, end: AttemptEnd, tokens: int) -> None:
    """End the permit, reporting the outcome and the latencies seen at the upstream."""
    inter_token_ms = -1.0
    if tokens > 1 and attempt.first_token_ms >= 0:
        streamed_ms = now_ms() - attempt.started_ms - attempt.first_token_ms
        inter_token_ms = streamed_ms / (tokens - 1)
    attempt.grant.end(
        EndedPermit(
            permit_id=attempt.grant.permit_id,
            upstream_id=attempt.upstream.upstream_id,
            outcome=_OUTCOMES[end.kind],
            work_class=WorkClass.BATCH,
            first_token_ms=attempt.first_token_ms,
            inter_token_ms=inter_token_ms,
            generated_tokens=max(tokens, 0),
        )
    )
