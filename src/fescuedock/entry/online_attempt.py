"""One attempt at an upstream: the classification of its failures, and its report to the owner."""

import msgspec
import trio

from fescuedock.agent.permit_client import Grant
from fescuedock.backing.engine import EngineError, OtherVersionError
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
    """The upstream keeps its connection open but sends nothing for too long."""


class ResumeRefusedError(Exception):
    """The engine rejected a resume point."""


class AnswerLostError(Exception):
    """The answer broke off where no other attempt can continue it."""


ATTEMPT_ERRORS = (
    NotSentError,
    WithdrawnError,
    ResponseLostError,
    EngineError,
    OtherVersionError,
    UpstreamStalledError,
    ResumeRefusedError,
    AnswerLostError,
)


class Failure(msgspec.Struct, frozen=True):
    """Why an attempt failed: the outcome reported to the owner, and the fault without a retry.

    ``withdrawn`` says that nothing was sent and that this is no evidence against the upstream.
    """

    outcome: AttemptOutcome
    fault: Fault
    permanent: bool = False
    upstream_lost: bool = False
    withdrawn: bool = False


class Attempt(msgspec.Struct):
    """Times and outcome of one attempt; ``end`` reports them after success and failure alike.

    ``check`` runs just before its request is sent.
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
        """Time from the start of the attempt to the first token; below 0 if there was none."""
        return self.first_token_at_ms - self.started_ms if self.tokens else -1.0

    @property
    def inter_token_ms(self) -> float:
        """Mean time between tokens; below 0 if there were fewer than two."""
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
        case ResumeRefusedError() | OtherVersionError():
            fault = Fault(ResultCode.UPSTREAM_LOST, str(error), _RETRY_AFTER_MS)
            return Failure(AttemptOutcome.CLIENT_ERROR, fault)
        case AnswerLostError():
            fault = Fault(ResultCode.TRUNCATED, str(error), _RETRY_AFTER_MS)
            return Failure(AttemptOutcome.TRUNCATED, fault, permanent=True)
        case EngineError():
            return _engine_failure(error)
    raise TypeError(f"not an error of an attempt: {error!r}")


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
    """Return the message of an error body in OpenAI's format, else the start of the body."""
    try:
        return msgspec.json.decode(error.body, type=_EngineErrorBody).error.message
    except msgspec.MsgspecError:
        return str(error)
