"""Answers online requests that are not streamed, with the complete answer or an error.

If no content is lost by it, the answer is requested from the engine as a stream: another engine can
continue a broken stream, a hung engine is detected early, and the owner learns the times between
tokens, by which it limits batch work that would slow online requests.
"""

import msgspec
import trio
from result import Err, Result

from fescuedock.core.answers import AnswerCollector, can_be_collected, streamed_body
from fescuedock.core.streams import StreamState
from fescuedock.entry.online_attempt import Attempt, UpstreamStalledError
from fescuedock.entry.online_relay import relay_attempts
from fescuedock.entry.online_request import OnlineRequest
from fescuedock.entry.online_run import deadline_fault, run_attempts
from fescuedock.entry.online_state import OnlineState
from fescuedock.faults import Fault
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.view import UpstreamRecord

__all__ = ["FullAnswer", "fetch_full_answer"]

_CHAT_PATH = "/v1/chat/completions"


class FullAnswer(msgspec.Struct, frozen=True):
    """The JSON of an answer, and the attempt that completed it."""

    body: bytes
    attempt: Attempt


async def fetch_full_answer(
    state: OnlineState, request: OnlineRequest
) -> Result[FullAnswer, Fault]:
    """Return the answer; the request is abandoned at its deadline."""
    stream = StreamState(wants_usage=True)
    with trio.move_on_at(request.deadline_ms / 1000):
        if not can_be_collected(request.body):
            return await _fetch_from_engine(state, request, stream)
        collected = await _collect(state, request, stream)
        if isinstance(collected, Err) or stream.resumable:
            return collected
        # The answer has content that only the engine can assemble.
        return await _fetch_from_engine(state, request, stream)
    return Err(deadline_fault(sent=stream.started))


async def _collect(
    state: OnlineState, request: OnlineRequest, stream: StreamState
) -> Result[FullAnswer, Fault]:
    collector = AnswerCollector(chat=request.path == _CHAT_PATH)

    async def add(data: bytes) -> None:
        collector.add(data)

    streamed = msgspec.structs.replace(request, body=streamed_body(request.body))
    ended = await relay_attempts(state, streamed, stream, add, lambda _attempt: None)
    return ended.map(lambda attempt: FullAnswer(collector.answer(stream.text), attempt))


async def _fetch_from_engine(
    state: OnlineState, request: OnlineRequest, stream: StreamState
) -> Result[FullAnswer, Fault]:
    """Let the engine assemble the answer; a retry starts from the beginning."""
    answers: list[bytes] = []

    async def run_one(attempt: Attempt, upstream: UpstreamRecord) -> AttemptOutcome:
        stream.begin(attempt.attempt_id)
        with trio.move_on_after(_stall_ms(state, request) / 1000):
            answers.append(
                await state.engines.call(
                    upstream, request.path, request.body, attempt.attempt_id, attempt.check
                )
            )
            return AttemptOutcome.COMPLETED
        raise UpstreamStalledError("the engine did not answer within many times the usual time")

    ended = await run_attempts(state, request, run_one)
    return ended.map(lambda attempt: FullAnswer(answers[0], attempt))


def _stall_ms(state: OnlineState, request: OnlineRequest) -> float:
    spec = request.spec
    bound_ms = spec.request_timeout_ms
    return state.stall.full_answer_timeout_ms(spec.objectives, request.max_tokens, bound_ms)
