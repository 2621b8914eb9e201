"""The state of one caller's streamed answer over any number of attempts.

It counts what the caller was given, drops what comes from attempts that are over, and decides
after a broken attempt whether the answer can go on elsewhere.  A caller gets each token once and
an end only when the answer is whole.

A pure state machine: attempts are known by their identities, and nothing here reads a clock.
"""

import enum
from dataclasses import dataclass, field

__all__ = [
    "AttemptEnd",
    "Continue",
    "Drop",
    "EndStream",
    "GiveUp",
    "Relay",
    "ResumePoint",
    "StreamEvent",
    "StreamState",
]


class AttemptEnd(enum.Enum):
    """How an attempt stopped giving events."""

    WHOLE = enum.auto()
    BROKEN = enum.auto()


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of an engine's stream.

    ``text`` is the token's text, empty for an event without a token; ``finished`` marks the event
    that gives the reason for the end.
    """

    data: bytes
    text: str = ""
    finished: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """Send ``data`` to the caller now."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Drop:
    """Nothing for the caller in this event."""


@dataclass(frozen=True, slots=True)
class EndStream:
    """The answer is whole: end the caller's stream."""


@dataclass(frozen=True, slots=True)
class Continue:
    """The answer is not whole, and another attempt may go on with it."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The answer is not whole, and what was relayed cannot be continued elsewhere."""


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where another attempt goes on: after ``tokens`` tokens that read ``text``."""

    tokens: int
    text: str


_DROP = Drop()
_END = EndStream()
_CONTINUE = Continue()
_GIVE_UP = GiveUp()


@dataclass(slots=True)
class StreamState:
    """What one caller was given.

    ``wants_usage`` says that the caller asked for a closing event with token counts, so that the
    answer is not whole before it.
    """

    wants_usage: bool = False
    attempt_id: str = ""
    tokens: int = 0
    finished: bool = False
    ended: bool = False
    _texts: list[str] = field(default_factory=list)
    _opened: bool = False
    _closed: bool = False
    _resumable: bool = True
    _first_event: bool = True

    @property
    def text(self) -> str:
        return "".join(self._texts)

    @property
    def started(self) -> bool:
        """Whether the caller was given anything."""
        return self._opened

    def begin(self, attempt_id: str) -> ResumePoint | None:
        """Let ``attempt_id`` take over; return where it must go on, None for from the start."""
        self.attempt_id = attempt_id
        self._first_event = True
        if not self.tokens:
            return None
        return ResumePoint(self.tokens, self.text)

    def receive(self, attempt_id: str, event: StreamEvent) -> Relay | Drop:
        """Take in an event; what comes from another attempt than the current one is dropped."""
        if attempt_id != self.attempt_id or self.ended:
            return _DROP
        first_event, self._first_event = self._first_event, False
        if self.finished:
            return self._take_closing(event)
        if event.text:
            self.tokens += 1
            self._texts.append(event.text)
        elif first_event and self._opened and not event.finished:
            # A resumed stream opens the answer again.
            return _DROP
        elif not first_event and not event.finished:
            # A part of the answer that no count of tokens describes.
            self._resumable = False
        self._opened = True
        self.finished = event.finished
        return Relay(event.data)

    def end(self, attempt_id: str, how: AttemptEnd) -> EndStream | Continue | GiveUp | Drop:
        """Take in the end of an attempt.

        An engine's word that the stream is whole counts only after a reason for its end.
        """
        if attempt_id != self.attempt_id or self.ended:
            return _DROP
        self.attempt_id = ""
        closed = self._closed or not self.wants_usage or how is AttemptEnd.WHOLE
        if self.finished and closed:
            self.ended = True
            return _END
        return _CONTINUE if self._resumable else _GIVE_UP

    def _take_closing(self, event: StreamEvent) -> Relay | Drop:
        """Relay one event after the end's reason: the token counts, if the caller wants them."""
        if event.text or event.finished or not self.wants_usage or self._closed:
            return _DROP
        self._closed = True
        return Relay(event.data)
