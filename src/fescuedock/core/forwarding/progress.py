"""Decides what may follow a failed attempt of one call.

A call that is not idempotent is retried only while no attempt can have run.  An idempotent call may
run at as many upstreams as its route allows.

A pure state machine.
"""

import enum
from collections.abc import Iterable

import msgspec

from fescuedock.core.forwarding.event_stream import SplitEvent

__all__ = ["AttemptEnd", "CallProgress"]


class AttemptEnd(enum.Enum):
    """How an attempt ended that did not deliver the complete answer."""

    # Nothing can have reached the upstream.
    NOT_SENT = "not_sent"
    # The upstream says that it did not run the call.
    REJECTED = "rejected"
    # No answer, or a truncated one.
    LOST = "lost"
    # The upstream ran the call and reports a failure.
    FAILED = "failed"
    # The upstream sent nothing for too long.
    STALLED = "stalled"
    # The owner of the upstream revoked the permit for more urgent work.
    REVOKED = "revoked"
    # Not sent, because the reason for choosing the upstream no longer held; this says nothing
    # against the upstream.
    WITHDRAWN = "withdrawn"


_NOT_RUN = (AttemptEnd.NOT_SENT, AttemptEnd.REJECTED, AttemptEnd.WITHDRAWN)


# Pause after an upstream that was full: a fraction of the time until a slot becomes free.
_REJECTED_PAUSE_MS = 15.0
# After the first refused connection another upstream is tried at once; from the second on, pauses
# double.  Without them a call retried the same upstreams every 0.3 ms while most were down.
_FIRST_REFUSED_PAUSE_MS = 10.0
_MAX_REFUSED_PAUSE_MS = 160.0
# Limits the exponent to avoid huge numbers.
_MAX_DOUBLINGS = 8


class CallProgress(msgspec.Struct):
    """The attempts of one call so far.

    ``last_event`` is the number of the last event that was sent to the client, below 0 for none.
    ``answer_started`` says that the client received the beginning of an answer without events.
    """

    idempotent: bool
    max_runs: int
    last_event: int = -1
    runs: int = 0
    attempts: int = 0
    answer_started: bool = False
    _consecutive_refusals: int = 0

    @property
    def may_have_run(self) -> bool:
        return self.runs > 0

    @property
    def consecutive_refusals(self) -> int:
        """The number of consecutive attempts whose connection was refused."""
        return self._consecutive_refusals

    def record_end(self, end: AttemptEnd) -> None:
        """Record how an attempt ended."""
        self.attempts += 1
        if end not in _NOT_RUN:
            self.runs += 1
        if end is AttemptEnd.NOT_SENT:
            self._consecutive_refusals += 1
        elif end is not AttemptEnd.WITHDRAWN:
            self._consecutive_refusals = 0

    def pause_ms(self, end: AttemptEnd) -> float:
        """Return the pause between an attempt that ended this way and the next one."""
        if end is AttemptEnd.REJECTED:
            return _REJECTED_PAUSE_MS
        if end is not AttemptEnd.NOT_SENT or self._consecutive_refusals < 2:
            return 0.0
        doublings = min(self._consecutive_refusals - 2, _MAX_DOUBLINGS)
        return min(_FIRST_REFUSED_PAUSE_MS * 2**doublings, _MAX_REFUSED_PAUSE_MS)

    def take_new_events(self, events: Iterable[SplitEvent]) -> bytes | None:
        """Return the bytes of the events that are new to the client; None if one was skipped."""
        parts: list[bytes] = []
        for event in events:
            if 0 <= event.number <= self.last_event:
                continue
            if event.number >= 0:
                if 0 <= self.last_event < event.number - 1:
                    return None
                self.last_event = event.number
            parts.append(event.raw)
        return b"".join(parts)

    def may_retry(self) -> bool:
        """Whether another attempt may be made."""
        if self.answer_started:
            # No other run can continue the answer; it would occupy an upstream without effect.
            return False
        if not self.may_have_run:
            return True
        return self.idempotent and self.runs < self.max_runs

    def is_last_run(self) -> bool:
        """Whether the run in progress is the last one allowed."""
        return not self.idempotent or self.runs + 1 >= self.max_runs
