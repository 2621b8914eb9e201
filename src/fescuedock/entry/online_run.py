"""Runs attempts of an online request one after the other until one is whole or none may follow."""

from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from fescuedock.core.retry import AttemptHistory
from fescuedock.entry.online_attempt import (
    ATTEMPT_ERRORS,
    Attempt,
    Failure,
    begin_attempt,
    failure_of,
)
from fescuedock.entry.online_permits import find_permit
from fescuedock.entry.online_request import OnlineRequest
from fescuedock.entry.online_state import OnlineState
from fescuedock.faults import Fault
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.result_codes import Outcome, ResultCode
from fescuedock.schema.view import UpstreamRecord

__all__ = ["RunAttempt", "run_attempts"]

# Runs one attempt; raises one of ATTEMPT_ERRORS when it fails.
RunAttempt = Callable[[Attempt, UpstreamRecord], Awaitable[None]]


async def run_attempts(
    state: OnlineState, request: OnlineRequest, run_one: RunAttempt
) -> Result[Attempt, Fault]:
    """Return the attempt that ended well, or the fault to answer with.

    A fault says "not run" only when nothing was ever sent to an upstream.
    """
    history = AttemptHistory(state.retry)
    avoid: set[str] = set()
    last: Failure | None = None
    while True:
        attempt_id = state.new_identity()
        granted = await find_permit(state, request, attempt_id, avoid)
        if isinstance(granted, Err):
            return Err(_truthful(granted.err_value, last))
        attempt = begin_attempt(granted.ok_value, attempt_id, request)
        failure = await _try(state, attempt, run_one)
        if failure is None:
            return Ok(attempt)
        if failure.permanent:
            return Err(failure.fault)
        last = failure if last is None or _was_sent(failure) else last
        avoid.add(attempt.grant.upstream_id)
        history.note_failure(upstream_lost=failure.upstream_lost, progress=attempt.tokens > 0)
        wait_ms = history.next_wait_ms(
            state.budget, request.left_ms(), trio.current_time() * 1000, state.rng
        )
        if wait_ms is None:
            return Err(_truthful(failure.fault, last))
        await trio.sleep(wait_ms / 1000)


async def _try(state: OnlineState, attempt: Attempt, run_one: RunAttempt) -> Failure | None:
    """Run one attempt and report it to the owner; None when it went well."""
    upstream = state.context.view.upstreams.get(attempt.grant.upstream_id)
    try:
        if upstream is None:
            fault = Fault(ResultCode.NO_UPSTREAM, f"{attempt.grant.upstream_id} has left")
            return Failure(AttemptOutcome.CANCELLED, fault)
        await run_one(attempt, upstream)
    except ATTEMPT_ERRORS as error:
        failure = failure_of(error)
        attempt.outcome = failure.outcome
        return failure
    else:
        attempt.outcome = AttemptOutcome.COMPLETED
        _learn(state, attempt)
        return None
    finally:
        attempt.end()


def _learn(state: OnlineState, attempt: Attempt) -> None:
    state.budget.succeeded()
    if attempt.tokens < 1:
        return
    request = attempt.request
    times = state.admission.times(request.service)
    times.observe(attempt.tokens, attempt.inter_token_ms, state.admission.policy.gain)
    state.prefill(request.service).observe(request.demand.prompt_tokens, attempt.first_token_ms)


def _was_sent(failure: Failure) -> bool:
    return failure.fault.outcome is not Outcome.NOT_RUN


def _truthful(fault: Fault, last: Failure | None) -> Fault:
    """Return ``fault``, or the failure of an attempt that was sent where it would say "not run"."""
    if fault.outcome is not Outcome.NOT_RUN or last is None or not _was_sent(last):
        return fault
    return Fault(
        last.fault.code, f"{last.fault.message}; then {fault.message}", fault.retry_after_ms
    )
