"""One attempt at an upstream: what its failures mean, and the report to the owner."""

import msgspec
import trio

from fescuedock.agent.permit_client import Grant
from fescuedock.backing.engine import EngineError
from fescuedock.clock import now_ms
from fescuedock.entry.online_permits import OnlineCall
from fescuedock.faults import Fault
from fescuedock.net.http_client import (
    NotSentError,
    ResponseLostError,
    SendCheck,
    WithdrawnError,
    unchecked,
)
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, WorkClass
from fescuedock.schema.result_codes import ResultCode

__all__ = [
    "ATTEMPT_ERRORS",
    "AnswerLostError",
    "Attempt",
    "Failure",
    "ResumeRefusedError",
    "UpstreamStalledError",
    "begin_attempt",
    "failure_of",
]

_RETRY_AFTER_MS = 1000


class UpstreamStalledError(Exception):
    """The upstream keeps its connection open and gives nothing for too long."""


class ResumeRefusedError(Exception):
    """The engine does not continue an answer from a resume point."""


class AnswerLostError(Exception):
    """The answer broke off where no other attempt can go on with it."""


ATTEMPT_ERRORS = (
    NotSentError,
    WithdrawnError,
    ResponseLostError,
    EngineError,
    UpstreamStalledError,
    ResumeRefusedError,
    AnswerLostError,
)


class Failure(msgspec.Struct, frozen=True):
    """Why an attempt failed: evidence for the owner, and the fault if it stays at that.

    ``withdrawn`` says that nothing was sent and nothing is known against the upstream.
    """

    outcome: AttemptOutcome
    fault: Fault
    permanent: bool = False
    upstream_lost: bool = False
    withdrawn: bool = False


class Attempt(msgspec.Struct):
    """Times of one attempt; ``end`` reports them, whatever happened.

    ``check`` is that of its request.
    """

    grant: Grant
    call: OnlineCall
    started_ms: float
    first_token_at_ms: float = -1.0
    last_token_at_ms: float = -1.0
    tokens: int = 0
    outcome: AttemptOutcome = AttemptOutcome.CANCELLED
    check: SendCheck = unchecked

    @property
    def attempt_id(self) -> str:
        return self.grant.permit_id

    def record_token(self, at_ms: float) -> None:
        if not self.tokens:
            self.first_token_at_ms = at_ms
        self.last_token_at_ms = at_ms
        self.tokens += 1
        self.grant.count_tokens()

    @property
    def first_token_ms(self) -> float:
        """Time from the dispatch to the first token; below 0 when there was none."""
        return self.first_token_at_ms - self.started_ms if self.tokens else -1.0

    @property
    def inter_token_ms(self) -> float:
        """Mean time between tokens; below 0 when there were fewer than two."""
        if self.tokens < 2:
            return -1.0
        return (self.last_token_at_ms - self.first_token_at_ms) / (self.tokens - 1)

    def end(self) -> None:
        self.grant.end(
            EndedPermit(
                permit_id=self.grant.permit_id,
                upstream_id=self.grant.upstream_id,
                outcome=self.outcome,
                work_class=WorkClass.ONLINE,
                first_token_ms=self.first_token_ms,
                inter_token_ms=self.inter_token_ms,
                prompt_tokens=self.call.demand.prompt_tokens,
                generated_tokens=self.tokens,
            )
        )


def begin_attempt(grant: Grant, call: OnlineCall) -> Attempt:
    return Attempt(grant, call, now_ms())


def failure_of(error: Exception) -> Failure:
    """Classify one of ``ATTEMPT_ERRORS``."""
    match error:
        case NotSentError():
            slow = isinstance(error.__cause__, trio.TooSlowError)
            outcome = AttemptOutcome.CONNECT_TIMEOUT if slow else AttemptOutcome.CONNECT_REFUSED
            fault = Fault(ResultCode.NO_CAPACITY, str(error), _RETRY_AFTER_MS)
            return Failure(outcome, fault)
        case WithdrawnError():
            fault = Fault(ResultCode.NO_CAPACITY, str(error), _RETRY_AFTER_MS)
            return Failure(AttemptOutcome.CANCELLED, fault, withdrawn=True)
        case ResponseLostError():
            fault = Fault(ResultCode.UPSTREAM_LOST, str(error), _RETRY_AFTER_MS)
            return Failure(AttemptOutcome.TRUNCATED, fault, upstream_lost=True)
        case UpstreamStalledError():
            fault = Fault(ResultCode.UPSTREAM_TIMEOUT, str(error), _RETRY_AFTER_MS)
            return Failure(AttemptOutcome.RESPONSE_TIMEOUT, fault, upstream_lost=True)
        case ResumeRefusedError():
            fault = Fault(ResultCode.UPSTREAM_LOST, str(error), _RETRY_AFTER_MS)
            return Failure(AttemptOutcome.CLIENT_ERROR, fault)
        case AnswerLostError():
            fault = Fault(ResultCode.TRUNCATED, str(error), _RETRY_AFTER_MS)
            return Failure(AttemptOutcome.TRUNCATED, fault, permanent=True)
        case EngineError():
            return _engine_failure(error)
    raise TypeError(f"not an attempt's error: {error!r}")


def _engine_failure(error: EngineError) -> Failure:
    message = _engine_message(error)
    if error.is_permanent:
        fault = Fault(ResultCode.UPSTREAM_REJECTED, message)
        return Failure(AttemptOutcome.CLIENT_ERROR, fault, permanent=True)
    fault = Fault(ResultCode.UPSTREAM_ERROR, message, _RETRY_AFTER_MS)
    overloaded = error.status < 500
    outcome = AttemptOutcome.CLIENT_ERROR if overloaded else AttemptOutcome.SERVER_ERROR
    return Failure(outcome, fault)


class _EngineErrorDetail(msgspec.Struct):
    message: str


class _EngineErrorBody(msgspec.Struct):
    error: _EngineErrorDetail


def _engine_message(error: EngineError) -> str:
    """Return the message within an error body of the OpenAI shape, else the body's beginning."""
    try:
        return msgspec.json.decode(error.body, type=_EngineErrorBody).error.message
    except msgspec.MsgspecError:
        return str(error)
