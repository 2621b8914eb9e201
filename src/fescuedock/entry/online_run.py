"""Runs the attempts of an online call until one completes or no retry is allowed."""

from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from fescuedock.agent.send_check import send_check
from fescuedock.clock import now_ms
from fescuedock.core.retry import AttemptHistory
from fescuedock.entry.online_attempt import (
    ATTEMPT_ERRORS,
    Attempt,
    Failure,
    begin_attempt,
    failure_of,
)
from fescuedock.entry.online_permits import OnlineCall, find_permit
from fescuedock.entry.online_state import OnlineState
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.result_codes import Outcome, ResultCode
from fescuedock.schema.view import UpstreamRecord

__all__ = ["RunAttempt", "deadline_fault", "run_attempts"]

_RETRY_AFTER_MS = 1000

# Runs one attempt; returns its outcome, or raises one of ATTEMPT_ERRORS if it fails.
RunAttempt = Callable[[Attempt, UpstreamRecord], Awaitable[AttemptOutcome]]


async def run_attempts(
    state: OnlineState, call: OnlineCall, run_one: RunAttempt
) -> Result[Attempt, Fault]:
    """Return the attempt that succeeded, or the fault for the caller.

    An attempt that was withdrawn before sending does not count as a failure; the deadline bounds
    such attempts.  A fault says "not run" only if nothing was ever sent to an upstream.  A call
    that may not be repeated is retried only after an attempt that was certainly not sent.
    """
    history = AttemptHistory(state.retry)
    avoid: set[str] = set()
    sent: Failure | None = None
    while True:
        granted = await find_permit(state, call, avoid)
        if isinstance(granted, Err):
            return Err(_final_fault(granted.err_value, sent))
        attempt = begin_attempt(granted.ok_value, call)
        failure = await _run_attempt(state, attempt, call, run_one)
        if failure is None:
            return Ok(attempt)
        _log_failure(call, attempt, failure)
        if failure.withdrawn:
            continue
        if failure.permanent:
            return Err(failure.fault)
        if _was_sent(failure):
            sent = failure
            if not call.repeatable:
                return Err(_execution_unknown(failure))
        avoid.add(attempt.grant.upstream_id)
        history.record_failure(upstream_lost=failure.upstream_lost, progress=attempt.tokens > 0)
        wait_ms = history.next_wait_ms(state.budget, call.left_ms(), now_ms(), state.rng)
        if wait_ms is None:
            return Err(_final_fault(failure.fault, sent))
        await trio.sleep(wait_ms / 1000)


async def _run_attempt(
    state: OnlineState, attempt: Attempt, call: OnlineCall, run_one: RunAttempt
) -> Failure | None:
    """Run one attempt and report it to the owner; return None if it succeeded."""
    upstream = state.context.view.upstreams.get(attempt.grant.upstream_id)
    try:
        if upstream is None:
            fault = Fault(ResultCode.NO_UPSTREAM, f"{attempt.grant.upstream_id} has left")
            return Failure(AttemptOutcome.CANCELLED, fault)
        deadline_ms = now_ms() + call.left_ms()
        attempt.check = send_check(state.view, upstream, attempt.grant, deadline_ms=deadline_ms)
        attempt.outcome = await run_one(attempt, upstream)
    except ATTEMPT_ERRORS as error:
        failure = failure_of(error)
        attempt.outcome = failure.outcome
        return failure
    else:
        _observe_attempt(state, attempt)
        return None
    finally:
        attempt.end()


def _log_failure(call: OnlineCall, attempt: Attempt, failure: Failure) -> None:
    log_event(
        "online_attempt_failed",
        request_id=call.request_id,
        attempt_id=attempt.attempt_id,
        upstream_id=attempt.grant.upstream_id,
        outcome=failure.outcome.value,
        tokens=attempt.tokens,
        reason=failure.fault.message,
    )


def _observe_attempt(state: OnlineState, attempt: Attempt) -> None:
    state.budget.record_success()
    if attempt.tokens < 1:
        return
    call, upstream_id = attempt.call, attempt.grant.upstream_id
    demand = call.demand
    times = state.admission.times(call.service)
    times.observe(attempt.tokens, attempt.inter_token_ms, now_ms())
    if state.prefixes.record(upstream_id, demand.prefix_hash):
        state.prefill(call.service).observe(demand.prompt_tokens, attempt.first_token_ms)


def _was_sent(failure: Failure) -> bool:
    return failure.fault.outcome is not Outcome.NOT_RUN


def deadline_fault(*, sent: bool) -> Fault:
    """Return the fault of a request that reached its deadline, ``sent`` to an upstream or not."""
    if sent:
        message = "no complete answer arrived within the deadline"
        return Fault(ResultCode.UPSTREAM_TIMEOUT, message, _RETRY_AFTER_MS)
    message = "no capacity became free within the deadline"
    return Fault(ResultCode.DEADLINE_CANNOT_BE_MET, message, _RETRY_AFTER_MS)


def _execution_unknown(failure: Failure) -> Fault:
    message = f"the call may have run: {failure.fault.message}"
    return Fault(ResultCode.EXECUTION_UNKNOWN, message)


def _final_fault(fault: Fault, sent: Failure | None) -> Fault:
    """Return ``fault``, or the fault of a sent attempt if ``fault`` would wrongly say "not run"."""
    if fault.outcome is not Outcome.NOT_RUN or sent is None:
        return fault
    message = f"{sent.fault.message}; then: {fault.message}"
    return Fault(sent.fault.code, message, fault.retry_after_ms)
