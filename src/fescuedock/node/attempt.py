"""One attempt of a call or of a batch item at an upstream."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from fescuedock.address import Address
from fescuedock.agent.permit_client import Grant
from fescuedock.clock import now_ms
from fescuedock.core.forwarding.calls import AnswerHead
from fescuedock.core.forwarding.progress import AttemptEnd
from fescuedock.net.http_client import ClientResponse, HttpClient, SendCheck
from fescuedock.net.http_messages import Headers
from fescuedock.platform import calls
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, WorkClass
from fescuedock.schema.view import UpstreamRecord

__all__ = ["AttemptRecord", "UpstreamAnswer", "send_attempt"]

# What a pause between events moves the recent mean by: the last four or so count.
_RECENT_PAUSE_GAIN = 0.4
# What each end of an attempt says of the upstream's health.
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
    """An upstream's answer: what its head says, and its body still to be read."""

    head: AnswerHead
    response: ClientResponse


class AttemptRecord(msgspec.Struct):
    """What an attempt tells the owner of its upstream once it is over."""

    grant: Grant
    work_class: WorkClass
    started_ms: float
    prompt_tokens: int = 0
    first_event_ms: float = -1.0
    last_event_ms: float = 0.0
    events: int = 0
    # Moving mean of the latest pauses between events; below 0 before the first.
    recent_pause_ms: float = -1.0
    # The head of an answer has come.
    answered: bool = False

    def record_answer(self, answer: UpstreamAnswer) -> None:
        """Note that the head of an answer has come."""
        self.answered = True
        if answer.response.unframed:
            self.grant.note_unframed()

    def record_events(self, count: int) -> None:
        """Note that ``count`` events came just now."""
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
        """Give the permit back; ``end`` is None for a whole answer."""
        outcome = AttemptOutcome.COMPLETED if end is None else _OUTCOMES[end]
        self._end(outcome)

    def cancel(self) -> None:
        """Give the permit back after an attempt that the caller, not the upstream, ended."""
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
        """Return the mean time between two events; below 0 where there were not two."""
        if self.events < 2:
            return -1.0
        return (self.last_event_ms - self.started_ms - self.first_event_ms) / (self.events - 1)


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
) -> AsyncIterator[UpstreamAnswer]:
    """Send a request to an upstream, if ``check`` still allows it then, and give its answer.

    ``NotSentError``, ``WithdrawnError`` and ``ResponseLostError`` are those of
    ``HttpClient.request``.
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
    ) as response:
        head = calls.answer_head(response.status, response.header_fields)
        yield UpstreamAnswer(head, response)
