"""Sends one attempt of a call or batch item to an upstream, and measures it for the owner."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.permit_client import Grant
from fescuedock.clock import now_ms
from fescuedock.core.forwarding.calls import AnswerHead
from fescuedock.core.forwarding.progress import AttemptEnd
from fescuedock.net.http_client import ClientResponse, HttpClient, ResponseLostError, SendCheck
from fescuedock.net.http_messages import Headers
from fescuedock.platform import calls
from fescuedock.platform.records import with_start
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, WorkClass
from fescuedock.schema.view import UpstreamRecord

__all__ = ["AttemptRecord", "UpstreamAnswer", "drain", "send_attempt"]

# Weight of the latest pause between events in the moving mean, which covers about the last four.
_RECENT_PAUSE_GAIN = 0.4
# Limits for the rest of an answer that is read only so that its connection can be reused.
_MAX_DRAINED_BYTES = 65536
_DRAIN_TIMEOUT_S = 0.3
# What the end of an attempt reports about the upstream's health.
_OUTCOMES = {
    AttemptEnd.NOT_SENT: AttemptOutcome.CONNECT_REFUSED,
    AttemptEnd.REJECTED: AttemptOutcome.CLIENT_ERROR,
    AttemptEnd.LOST: AttemptOutcome.TRUNCATED,
    AttemptEnd.FAILED: AttemptOutcome.SERVER_ERROR,
    AttemptEnd.STALLED: AttemptOutcome.RESPONSE_TIMEOUT,
    AttemptEnd.REVOKED: AttemptOutcome.REVOKED,
    AttemptEnd.WITHDRAWN: AttemptOutcome.CANCELLED,
}


class UpstreamAnswer(msgspec.Struct, frozen=True):
    """An upstream's answer: its parsed head, and the response whose body is still to be read."""

    head: AnswerHead
    response: ClientResponse


class AttemptRecord(msgspec.Struct):
    """The measurements of an attempt, reported to the owner of the upstream when it ends."""

    grant: Grant
    work_class: WorkClass
    started_ms: float
    prompt_tokens: int = 0
    first_event_ms: float = -1.0
    last_event_ms: float = 0.0
    events: int = 0
    # Moving mean of the latest pauses between events; below 0 before the first.
    recent_pause_ms: float = -1.0
    # Whether the head of an answer was received, and which process sent it, if known.
    answered: bool = False
    process: str | None = None
    # Whether the answer has neither a length nor chunks, and the time without data before its end.
    unframed: bool = False
    end_idle_ms: float = -1.0
    last_data_ms: float = 0.0

    def record_answer(self, answer: UpstreamAnswer) -> None:
        """Record that the head of an answer was received."""
        self.answered = True
        self.record_process(answer.response.peer)
        self.last_data_ms = now_ms()
        if answer.response.unframed:
            self.unframed = True
            self.grant.record_unframed()

    def record_process(self, process: str | None) -> None:
        """Record which process answers, if known."""
        self.process = process
        if process:
            self.grant.record_answered_by(with_start(self.grant.upstream_id, process))

    def record_data(self) -> None:
        """Record that bytes of the answer's body were received now."""
        self.last_data_ms = now_ms()

    def record_answer_end(self) -> None:
        """Record that the answer's body ended now."""
        self.end_idle_ms = now_ms() - self.last_data_ms

    def record_events(self, count: int) -> None:
        """Record that ``count`` events were received now."""
        at_ms = now_ms()
        if self.first_event_ms < 0:
            self.first_event_ms = at_ms - self.started_ms
        elif self.recent_pause_ms < 0:
            self.recent_pause_ms = (at_ms - self.last_event_ms) / count
        else:
            pause_ms = (at_ms - self.last_event_ms) / count
            self.recent_pause_ms += _RECENT_PAUSE_GAIN * (pause_ms - self.recent_pause_ms)
        self.last_event_ms = at_ms
        self.events += count
        self.grant.count_tokens(count)

    def finish(self, end: AttemptEnd | None) -> None:
        """Return the permit; ``end`` is None for a complete answer."""
        outcome = AttemptOutcome.COMPLETED if end is None else _OUTCOMES[end]
        self._end(outcome)

    def cancel(self) -> None:
        """Return the permit after an attempt that the caller, not the upstream, ended."""
        self._end(AttemptOutcome.CANCELLED)

    def _end(self, outcome: AttemptOutcome) -> None:
        self.grant.end(
            EndedPermit(
                permit_id=self.grant.permit_id,
                upstream_id=self.grant.upstream_id,
                outcome=outcome,
                work_class=self.work_class,
                first_token_ms=self.first_event_ms,
                inter_token_ms=self.mean_pause_ms(),
                prompt_tokens=self.prompt_tokens,
                generated_tokens=self.events,
                recent_token_ms=self.recent_pause_ms,
            )
        )

    def mean_pause_ms(self) -> float:
        """Return the mean time between two events; below 0 with fewer than two events."""
        if self.events < 2:
            return -1.0
        return (self.last_event_ms - self.started_ms - self.first_event_ms) / (self.events - 1)


async def drain(answer: UpstreamAnswer) -> None:
    """Read the rest of an answer that is not used, or its beginning if it is long or slow.

    Raise ``ResponseLostError`` if it breaks off, unless its head promises that the request was not
    run: no part of the body can change that.
    """
    drained_bytes = 0
    try:
        with trio.move_on_after(_DRAIN_TIMEOUT_S):
            while drained_bytes <= _MAX_DRAINED_BYTES and (
                data := await answer.response.read_some()
            ):
                drained_bytes += len(data)
    except ResponseLostError:
        if not answer.head.not_run:
            raise


@asynccontextmanager
async def send_attempt(
    http: HttpClient,
    upstream: UpstreamRecord,
    request_id: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    check: SendCheck,
    *,
    identifies: bool = False,
) -> AsyncIterator[UpstreamAnswer]:
    """Send a request to an upstream and yield the answer.

    ``check`` is called right before the request is written.  With ``identifies`` the process that
    gets the request is identified first, where the upstream's entry names one.  Raises
    ``NotSentError``, ``WithdrawnError`` and ``ResponseLostError`` as ``HttpClient.request`` does.
    """
    async with http.request(
        Address(upstream.host, upstream.port),
        method,
        target,
        headers,
        body,
        is_answer=lambda fields: calls.answer_head(0, fields).answers(request_id),
        check=check,
        identity=request_id,
        peer_query=calls.process_query(upstream.upstream_id) if identifies else None,
    ) as response:
        head = calls.answer_head(response.status, response.header_fields)
        yield UpstreamAnswer(head, response)
