"""Answers online requests that are not streamed: with the whole answer or an error."""

import trio
from result import Err, Ok, Result

from fescuedock.entry.online_attempt import Attempt, UpstreamStalledError
from fescuedock.entry.online_request import OnlineRequest
from fescuedock.entry.online_run import run_attempts
from fescuedock.entry.online_state import OnlineState
from fescuedock.faults import Fault
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamRecord

__all__ = ["deadline_fault", "fetch_whole"]

_RETRY_AFTER_MS = 1000


async def fetch_whole(state: OnlineState, request: OnlineRequest) -> Result[bytes, Fault]:
    """Return the engine's JSON answer.

    A broken attempt starts again from the beginning elsewhere; at the deadline the request is
    given up.
    """
    answers: list[bytes] = []
    sent = False

    async def run_one(attempt: Attempt, upstream: UpstreamRecord) -> AttemptOutcome:
        nonlocal sent
        sent = True
        with trio.move_on_after(_stall_ms(state, request) / 1000):
            answers.append(
                await state.engines.call(upstream, request.path, request.body, attempt.attempt_id)
            )
            return AttemptOutcome.COMPLETED
        raise UpstreamStalledError("the engine did not answer in many times the usual time")

    with trio.move_on_at(request.deadline_ms / 1000):
        outcome = await run_attempts(state, request, run_one)
        if isinstance(outcome, Ok):
            return Ok(answers[0])
        return outcome
    return Err(deadline_fault(sent=sent))


def deadline_fault(*, sent: bool) -> Fault:
    """Return the fault of a request given up at its deadline."""
    if sent:
        message = "no whole answer came within the deadline"
        return Fault(ResultCode.UPSTREAM_TIMEOUT, message, _RETRY_AFTER_MS)
    message = "no capacity came free within the deadline"
    return Fault(ResultCode.DEADLINE_CANNOT_BE_MET, message, _RETRY_AFTER_MS)


def _stall_ms(state: OnlineState, request: OnlineRequest) -> float:
    spec = request.spec
    bound_ms = spec.request_timeout_ms
    return state.stall.whole_timeout_ms(spec.objectives, request.max_tokens, bound_ms)
