"""Online requests: chat and text completions, streamed and not streamed."""

import random

import msgspec
from result import Err, Ok, Result

from fescuedock.clock import now_ms
from fescuedock.entry.context import EntryContext
from fescuedock.entry.online_attempt import Attempt
from fescuedock.entry.online_full import fetch_full_answer
from fescuedock.entry.online_request import OnlineRequest, read_online_request
from fescuedock.entry.online_state import OnlineState
from fescuedock.entry.online_stream import relay_stream
from fescuedock.entry.routes import Route
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.http_server import Request, Responder
from fescuedock.schema.result_codes import ResultCode

__all__ = ["routes"]

_PATHS = ("/v1/chat/completions", "/v1/completions")


class _CallerTimes(msgspec.Struct, frozen=True):
    """Times as the caller saw them; 0 where there was no token."""

    first_token_ms: float = 0.0
    inter_token_ms: float = 0.0


def routes(context: EntryContext, rng: random.Random | None = None) -> list[Route]:
    """Return the routes of online inference.  ``rng`` must be unguessable outside tests."""
    state = OnlineState(context, rng or random.SystemRandom())

    async def complete(request: Request, responder: Responder, _values: dict[str, str]) -> None:
        await _complete(state, request, responder)

    return [Route("POST", path, complete) for path in _PATHS]


async def _complete(state: OnlineState, request: Request, responder: Responder) -> None:
    started_ms = now_ms()
    request_id = state.new_identity()
    read = await read_online_request(state.context, request, request_id)
    if isinstance(read, Err):
        await responder.send_fault(read.err_value, [("x-request-id", request_id)])
        return
    online = read.ok_value
    admitted = state.admission.admit(online.member, state.shares())
    if isinstance(admitted, Err):
        await responder.send_fault(admitted.err_value, [("x-request-id", request_id)])
        _record(state, online, admitted, _CallerTimes())
        return
    try:
        if online.streamed:
            outcome = await relay_stream(state, online, responder)
        else:
            outcome = await _send_full_answer(state, online, responder)
    finally:
        state.admission.release(online.member)
    _record(state, online, outcome, _times_of(outcome, started_ms))


async def _send_full_answer(
    state: OnlineState, request: OnlineRequest, responder: Responder
) -> Result[Attempt, Fault]:
    headers = [("x-request-id", request.request_id)]
    answer = await fetch_full_answer(state, request)
    if isinstance(answer, Err):
        await responder.send_fault(answer.err_value, headers)
        return answer
    await responder.send(200, answer.ok_value.body, headers)
    return Ok(answer.ok_value.attempt)


def _times_of(outcome: Result[Attempt | None, Fault], started_ms: float) -> _CallerTimes:
    attempt = outcome.ok() if isinstance(outcome, Ok) else None
    if attempt is None or not attempt.tokens:
        return _CallerTimes(now_ms() - started_ms)
    return _CallerTimes(attempt.first_token_at_ms - started_ms, max(0.0, attempt.inter_token_ms))


def _record(
    state: OnlineState, request: OnlineRequest, outcome: Result[object, Fault], times: _CallerTimes
) -> None:
    code = ResultCode.OK if isinstance(outcome, Ok) else outcome.err_value.code
    state.context.metrics.record_online(
        request.service, request.member, times.first_token_ms, times.inter_token_ms, code
    )
    if isinstance(outcome, Err):
        log_event(
            "online_request_failed",
            request_id=request.request_id,
            service=request.service,
            member=request.member,
            code=int(code),
            reason=outcome.err_value.message,
        )
