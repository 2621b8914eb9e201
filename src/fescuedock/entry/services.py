"""Calls to plain services: any method under ``/services/{service}/``.

A repeatable call is retried within the retry budget.  A call that may not be repeated, by the
service's configuration or its own header, is sent at most once; with an ``Idempotency-Key`` this
also holds across resends at any entry.
"""

import random
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.entry.claiming import ClaimManager
from fescuedock.entry.context import EntryContext
from fescuedock.entry.online_attempt import Attempt, UpstreamStalledError
from fescuedock.entry.online_run import deadline_fault, run_attempts
from fescuedock.entry.online_state import OnlineState
from fescuedock.entry.routes import Route
from fescuedock.entry.service_call import (
    ServiceCall,
    forwarded_headers,
    open_attempt,
    read_service_call,
)
from fescuedock.faults import Fault
from fescuedock.net.confirmed_body import ConfirmedBody
from fescuedock.net.http_client import ClientResponse, ResponseLostError
from fescuedock.net.http_server import Request, Responder
from fescuedock.schema.claims import RecordedAnswer
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.result_codes import Outcome, ResultCode
from fescuedock.schema.view import UpstreamRecord

__all__ = ["routes"]

# An answer up to this size is buffered until it is complete, so that a broken one can be retried.
_MAX_BUFFERED_BYTES = 1024 * 1024
_EVENT_STREAM = "text/event-stream"
_JSON = "application/json"

# Receives an answer before the caller does; None for one that cannot be repeated.
RecordAnswer = Callable[[RecordedAnswer | None], Awaitable[None]]


class _BrokenAnswerError(Exception):
    """The answer broke off after the caller had received a part of it."""


def routes(context: EntryContext, rng: random.Random | None = None) -> list[Route]:
    """Return the routes of plain services.  ``rng`` must be unguessable outside tests."""
    state = OnlineState(context, rng or random.SystemRandom())
    claims = ClaimManager(context, state.rng)

    async def call(request: Request, responder: Responder, values: dict[str, str]) -> None:
        await _serve(state, claims, request, responder, values)

    return [Route("*", "/services/{service}/{path*}", call)]


async def _serve(
    state: OnlineState,
    claims: ClaimManager,
    request: Request,
    responder: Responder,
    values: dict[str, str],
) -> None:
    started_ms = now_ms()
    request_id = request.headers.get("x-request-id") or state.new_identity()
    headers = [("x-request-id", request_id)]
    read = await read_service_call(state.context, request, values, request_id)
    if isinstance(read, Err):
        await responder.send_fault(read.err_value, headers)
        return
    call = read.ok_value
    outcome = state.admission.admit(call.member, state.shares())
    if isinstance(outcome, Ok):
        try:
            outcome = await _execute(state, claims, call, responder)
        finally:
            state.admission.release(call.member)
    if isinstance(outcome, Err) and not responder.started:
        await responder.send_fault(outcome.err_value, headers)
    code = ResultCode.OK if isinstance(outcome, Ok) else outcome.err_value.code
    state.context.metrics.record_online(call.service, call.member, now_ms() - started_ms, 0.0, code)


async def _execute(
    state: OnlineState, claims: ClaimManager, call: ServiceCall, responder: Responder
) -> Result[None, Fault]:
    """Answer ``call``; a returned fault is sent to the caller unless a response has started."""
    if not call.idempotency_key:
        return await _run(state, call, responder, _record_nothing)
    return await _run_claimed(state, claims, call, responder)


async def _run_claimed(
    state: OnlineState, claims: ClaimManager, call: ServiceCall, responder: Responder
) -> Result[None, Fault]:
    claimed = await claims.claim_call(call)
    if isinstance(claimed, Err):
        return claimed
    claim = claimed.ok_value
    if isinstance(claim, RecordedAnswer):
        await responder.send(claim.status, claim.body, _replay_headers(claim, call))
        return Ok(None)
    # The call continues after its caller disconnects: a resend finds the answer in the record.
    with trio.CancelScope(shield=True):
        outcome = await _run(
            state, call, responder, lambda answer: claims.record_answer(claim, answer)
        )
        if isinstance(outcome, Err) and outcome.err_value.outcome is Outcome.NOT_RUN:
            await claims.release(claim)
    return outcome


async def _run(
    state: OnlineState, call: ServiceCall, responder: Responder, record_answer: RecordAnswer
) -> Result[None, Fault]:
    """Send the call and relay its answer, within the deadline."""
    sent = False

    async def run_one(attempt: Attempt, upstream: UpstreamRecord) -> AttemptOutcome:
        nonlocal sent
        sent = True
        with trio.move_on_after(call.spec.request_timeout_ms / 1000):
            async with open_attempt(state.context.http, call, upstream, attempt.check) as response:
                attempt.record_token(now_ms())
                body = _confirmed_body(state, upstream, response)
                await _relay(attempt, call, response, body, responder, record_answer)
                failed = response.status >= 500
                return AttemptOutcome.SERVER_ERROR if failed else AttemptOutcome.COMPLETED
        raise UpstreamStalledError(f"no answer within {call.spec.request_timeout_ms} ms")

    try:
        with trio.move_on_at(call.deadline_ms / 1000):
            outcome = await run_attempts(state, call, run_one)
            return outcome.map(lambda _: None)
    except _BrokenAnswerError as error:
        return Err(Fault(ResultCode.TRUNCATED, str(error)))
    return Err(_deadline_fault(call, sent=sent))


def _confirmed_body(
    state: OnlineState, upstream: UpstreamRecord, response: ClientResponse
) -> ConfirmedBody:
    context = state.context

    def is_leaving() -> bool:
        listed = context.view.upstreams.get(upstream.upstream_id)
        return listed is None or listed.leaving

    return ConfirmedBody(context.http, Address(upstream.host, upstream.port), response, is_leaving)


async def _relay(
    attempt: Attempt,
    call: ServiceCall,
    response: ClientResponse,
    chunks: AsyncIterator[bytes],
    responder: Responder,
    record_answer: RecordAnswer,
) -> None:
    """Relay the answer to the caller: buffered if it is small, else streamed."""
    streamed = response.headers.get("content-type", "").startswith(_EVENT_STREAM)
    buffered = await _read_buffered(chunks, 0 if streamed else _MAX_BUFFERED_BYTES)
    headers = forwarded_headers(response.headers, call.request_id)
    kind = response.headers.get("content-type", "")
    recorded = RecordedAnswer(response.status, kind, buffered.body) if buffered.complete else None
    await record_answer(recorded)
    if buffered.complete:
        await responder.send(response.status, buffered.body, headers)
        return
    try:
        async with responder.stream(response.status, headers) as output:
            await output.write(buffered.body)
            async for chunk in chunks:
                await output.write(chunk)
    except ResponseLostError as error:
        attempt.outcome = AttemptOutcome.TRUNCATED
        raise _BrokenAnswerError(str(error)) from error


class _BufferedBody(msgspec.Struct, frozen=True):
    """The beginning of an answer; ``complete`` says that it is the entire answer."""

    body: bytes
    complete: bool


async def _read_buffered(chunks: AsyncIterator[bytes], limit_bytes: int) -> _BufferedBody:
    parts: list[bytes] = []
    size_bytes = 0
    async for chunk in chunks:
        parts.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            return _BufferedBody(b"".join(parts), False)
    return _BufferedBody(b"".join(parts), True)


async def _record_nothing(_answer: RecordedAnswer | None) -> None:
    """Record no answer: the call has no Idempotency-Key."""


def _replay_headers(answer: RecordedAnswer, call: ServiceCall) -> list[tuple[str, str]]:
    return [
        ("content-type", answer.content_type or _JSON),
        ("x-request-id", call.request_id),
        ("idempotent-replay", "true"),
    ]


def _deadline_fault(call: ServiceCall, *, sent: bool) -> Fault:
    if call.repeatable or not sent:
        return deadline_fault(sent=sent)
    message = "the call may have run: no answer arrived within the deadline"
    return Fault(ResultCode.EXECUTION_UNKNOWN, message)
