"""What may follow an attempt of one call.

A call that is not idempotent gets another attempt only while none can have run.  An idempotent one
may run at as many upstreams as its route allows.

A pure state machine.
"""

import enum
from collections.abc import Iterable

import msgspec

from fescuedock.core.forwarding.event_stream import SplitEvent

__all__ = ["AttemptEnd", "CallProgress"]


class AttemptEnd(enum.Enum):
    """How an attempt ended that did not give the whole answer."""

    # Nothing can have arrived at the upstream.
    NOT_SENT = "not_sent"
    # The upstream says that it did not run it.
    REJECTED = "rejected"
    # No answer, or one that ends early.
    LOST = "lost"
    # The upstream ran it and says that it failed.
    FAILED = "failed"
    # Nothing came for too long.
    STALLED = "stalled"
    # Taken back by the owner of the upstream for more urgent work.
    REVOKED = "revoked"
    # Not sent, as what it had been chosen by did not hold any more; nothing is known against the
    # upstream.
    WITHDRAWN = "withdrawn"


_NOT_RUN = (AttemptEnd.NOT_SENT, AttemptEnd.REJECTED, AttemptEnd.WITHDRAWN)


# Before the next attempt after an upstream that was full: a share of the time a slot takes to free.
_REJECTED_PAUSE_MS = 15.0
# After a connection that was refused another upstream is tried at once, and from the second on with
# pauses that double: while most upstreams are down a call tried the same ones every 0.3 ms.
_FIRST_REFUSED_PAUSE_MS = 10.0
_MAX_REFUSED_PAUSE_MS = 160.0
# Keeps the power within numbers.
_MAX_DOUBLINGS = 8


class CallProgress(msgspec.Struct):
    """The attempts of one call so far.

    ``last_event`` is the number of the last event that the client has, below 0 for none.
    ``answer_begun`` says that the client has the beginning of an answer without events.
    """

    idempotent: bool
    max_runs: int
    last_event: int = -1
    runs: int = 0
    attempts: int = 0
    answer_begun: bool = False
    # Connections that were refused in a row.
    _consecutive_refusals: int = 0

    @property
    def may_have_run(self) -> bool:
        return self.runs > 0

    @property
    def consecutive_refusals(self) -> int:
        """Connections that were refused in a row."""
        return self._consecutive_refusals

    def record_end(self, end: AttemptEnd) -> None:
        """Take in how an attempt ended."""
        self.attempts += 1
        if end not in _NOT_RUN:
            self.runs += 1
        if end is AttemptEnd.NOT_SENT:
            self._consecutive_refusals += 1
        elif end is not AttemptEnd.WITHDRAWN:
            self._consecutive_refusals = 0

    def pause_ms(self, end: AttemptEnd) -> float:
        """Return the pause before the attempt that follows one which ended so."""
        if end is AttemptEnd.REJECTED:
            return _REJECTED_PAUSE_MS
        if end is not AttemptEnd.NOT_SENT or self._consecutive_refusals < 2:
            return 0.0
        doublings = min(self._consecutive_refusals - 2, _MAX_DOUBLINGS)
        return min(_FIRST_REFUSED_PAUSE_MS * 2**doublings, _MAX_REFUSED_PAUSE_MS)

    def take_new_events(self, events: Iterable[SplitEvent]) -> bytes | None:
        """Return the bytes of the events that the client lacks; None when one is missing."""
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
        if self.answer_begun:
            # No other run can go on with it; it would keep an upstream busy for nobody.
            return False
        if not self.may_have_run:
            return True
        return self.idempotent and self.runs < self.max_runs

    def is_last_run(self) -> bool:
        """Whether the run that is under way is the last that the call may have."""
        return not self.idempotent or self.runs + 1 >= self.max_runs
