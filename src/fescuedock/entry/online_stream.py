"""Streams an answer to its caller."""

from contextlib import AsyncExitStack

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.core.streams import StreamState
from fescuedock.entry.online_attempt import Attempt
from fescuedock.entry.online_relay import relay_attempts
from fescuedock.entry.online_request import OnlineRequest
from fescuedock.entry.online_run import deadline_fault
from fescuedock.entry.online_state import OnlineState
from fescuedock.faults import Fault
from fescuedock.net.http_server import Responder, ResponseStream, fault_body
from fescuedock.schema.result_codes import ResultCode

__all__ = ["relay_stream"]

_DONE = b"data: [DONE]\n\n"
_STREAM_HEADERS = (("content-type", "text/event-stream"), ("cache-control", "no-cache"))


class _BrokenAnswerError(Exception):
    """Ends the caller's response without its terminator, so that the truncation is visible."""


class _Caller(msgspec.Struct):
    """The caller's response, which is started by the first bytes to write."""

    responder: Responder
    request_id: str
    stack: AsyncExitStack
    output: ResponseStream | None = None

    async def write(self, data: bytes) -> None:
        if self.output is None:
            headers = [*_STREAM_HEADERS, ("x-request-id", self.request_id)]
            response = self.responder.stream(200, headers)
            self.output = await self.stack.enter_async_context(response)
        await self.output.write(data)


async def relay_stream(
    state: OnlineState, request: OnlineRequest, responder: Responder
) -> Result[Attempt, Fault]:
    """Answer with a stream; return the last attempt, or the fault that the caller received.

    A failure before the first event is an ordinary error response.  After it, the fault is sent as
    an event and the response is truncated.
    """
    try:
        async with AsyncExitStack() as stack:
            caller = _Caller(responder, request.request_id, stack)
            outcome = await _relay(state, request, caller)
            if isinstance(outcome, Ok):
                await caller.write(_DONE)
                return outcome
            if caller.output is not None:
                await caller.write(b"data: " + fault_body(outcome.err_value) + b"\n\n")
                raise _BrokenAnswerError
    except _BrokenAnswerError:
        return outcome
    await responder.send_fault(outcome.err_value, [("x-request-id", request.request_id)])
    return outcome


async def _relay(
    state: OnlineState, request: OnlineRequest, caller: _Caller
) -> Result[Attempt, Fault]:
    stream = StreamState(wants_usage=request.wants_usage, resumable=request.resumable)
    with trio.move_on_at(request.deadline_ms / 1000) as scope:

        def serving(attempt: Attempt) -> None:
            # The answer has started: from now on only its total time is bounded.
            end_ms = attempt.started_ms + request.spec.request_timeout_ms
            scope.deadline = max(scope.deadline, end_ms / 1000)

        return await relay_attempts(state, request, stream, caller.write, serving)
    if stream.opened:
        message = f"the answer was incomplete after {request.spec.request_timeout_ms} ms"
        return Err(Fault(ResultCode.TRUNCATED, message))
    return Err(deadline_fault(sent=stream.started))
