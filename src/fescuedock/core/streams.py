"""The state of one caller's streamed answer over any number of attempts.

It counts what the caller was given, drops what comes from attempts that are over, and decides
after a broken attempt whether the answer can go on elsewhere.  A caller gets each token once and
an end only when the answer is whole.

A pure state machine: attempts are known by their identities, and nothing here reads a clock.
"""

import enum
import re
from typing import Protocol

import msgspec

from fescuedock.schema.config import Objectives

__all__ = [
    "AttemptEnd",
    "NextStep",
    "ResumePoint",
    "StallPolicy",
    "StreamEvent",
    "StreamState",
]

_IDENTITY = re.compile(rb'"id"\s*:\s*"[^"\\]*"')


class StallPolicy(msgspec.Struct, frozen=True):
    """When a silent stream counts as hung: ``factor`` times what is usual, ``floor_ms`` at least.

    Too early doubles work that was only slow, too late keeps a caller waiting for a dead process
    whose connection stays open.
    """

    factor: float = 10.0
    floor_ms: float = 2000.0

    def timeout_ms(self, usual_ms: float) -> float:
        """Return how long to wait for the next event when ``usual_ms`` is the usual wait."""
        return max(self.floor_ms, self.factor * usual_ms)

    def full_answer_timeout_ms(
        self, objectives: Objectives, max_tokens: int, bound_ms: float
    ) -> float:
        """Return how long to wait for an answer in one piece.

        ``bound_ms`` where the caller sets no limit to its tokens: nobody knows how long it gets.
        """
        if max_tokens <= 0:
            return bound_ms
        run_ms = max_tokens * objectives.inter_token_ms
        return min(bound_ms, self.timeout_ms(objectives.first_token_ms + run_ms))


class AttemptEnd(enum.Enum):
    """How an attempt stopped giving events."""

    COMPLETE = enum.auto()
    BROKEN = enum.auto()


class NextStep(enum.Enum):
    """What follows the end of an attempt."""

    FINISH = enum.auto()
    CONTINUE = enum.auto()
    GIVE_UP = enum.auto()
    IGNORE = enum.auto()


class StreamEvent(Protocol):
    """One event of an engine's stream.

    ``data`` is what the caller would get.  ``text`` is the token's text, empty for an event
    without a token; ``finished`` marks the event that gives the reason for the end.
    """

    @property
    def data(self) -> bytes: ...

    @property
    def text(self) -> str: ...

    @property
    def finished(self) -> bool: ...


class ResumePoint(msgspec.Struct, frozen=True):
    """Where another attempt goes on: after ``tokens`` tokens that read ``text``."""

    tokens: int
    text: str


class StreamState(msgspec.Struct):
    """What one caller was given.

    ``wants_usage`` says that the caller asked for a closing event with token counts, so that the
    answer is not whole before it.  ``resumable`` is False for an answer of several texts.
    ``replays`` lets further attempts start anew, as far as they repeat what the caller was given;
    it is set once an engine does not take a resume point.  An attempt at another software version
    than the one that wrote what the caller was given starts anew in the same way.  ``begun``: there
    was an attempt.
    """

    wants_usage: bool = False
    resumable: bool = True
    replays: bool = False
    attempt_id: str = ""
    tokens: int = 0
    finished: bool = False
    ended: bool = False
    begun: bool = False
    # Of the upstream that opened the answer.
    software_version: str = ""
    _current_version: str = ""
    _texts: list[str] = msgspec.field(default_factory=list)
    _opened: bool = False
    _usage_sent: bool = False
    _first_event: bool = True
    _resumed: bool = False
    _identity: bytes = b""
    # Tokens of the current attempt that repeat delivered ones.
    _repeated: int = 0
    _diverged: bool = False

    @property
    def text(self) -> str:
        return "".join(self._texts)

    @property
    def diverged(self) -> bool:
        """Whether the current attempt gives another answer than the caller was given."""
        return self._diverged

    @property
    def opened(self) -> bool:
        """Whether the caller was given anything."""
        return self._opened

    def begin(self, attempt_id: str, software_version: str = "") -> ResumePoint | None:
        """Let ``attempt_id`` take over; return where it must go on, None for from the start."""
        self.attempt_id = attempt_id
        self._current_version = software_version
        self.begun = True
        self._first_event = True
        self._resumed = self._opened
        replays = self.replays or (self._opened and software_version != self.software_version)
        self._repeated = 0 if replays else self.tokens
        if replays or not self.tokens:
            return None
        return ResumePoint(self.tokens, self.text)

    def receive(self, attempt_id: str, event: StreamEvent) -> bytes | None:
        """Take in an event; return what the caller gets now, None for nothing.

        What comes from another attempt than the current one is dropped.
        """
        if attempt_id != self.attempt_id or self.ended or self._diverged:
            return None
        if self._repeated < self.tokens and not self.finished:
            self._first_event = False
            self._check_replayed(event)
            return None
        first_event, self._first_event = self._first_event, False
        if self.finished:
            return self._usage_event(event)
        if event.text:
            self.tokens += 1
            self._repeated += 1
            self._texts.append(event.text)
        elif not event.finished and first_event and self._opened:
            # A stream that took over opens the answer again.
            return None
        elif not event.finished and not first_event:
            # A part of the answer that no count of tokens describes.
            self.resumable = False
        self.finished = event.finished
        return self._event_data(event)

    def end(self, attempt_id: str, how: AttemptEnd) -> NextStep:
        """Take in the end of an attempt.

        An engine's word that the stream is whole counts only after a reason for its end.
        """
        if attempt_id != self.attempt_id or self.ended:
            return NextStep.IGNORE
        self.attempt_id = ""
        closed = self._usage_sent or not self.wants_usage or how is AttemptEnd.COMPLETE
        if self.finished and closed:
            self.ended = True
            return NextStep.FINISH
        if not self._opened or (self.resumable and not self._diverged):
            return NextStep.CONTINUE
        return NextStep.GIVE_UP

    def _check_replayed(self, event: StreamEvent) -> None:
        """Take an event of a replay before it gets to where the caller is.

        It must repeat what the caller was given, else the two halves would not be one answer.
        """
        if event.text:
            self._diverged = event.text != self._texts[self._repeated]
            self._repeated += 1
        self._diverged |= event.finished

    def _usage_event(self, event: StreamEvent) -> bytes | None:
        """Pass one event after the end's reason: the token counts, if the caller wants them."""
        if event.text or event.finished or not self.wants_usage or self._usage_sent:
            return None
        self._usage_sent = True
        return self._event_data(event)

    def _event_data(self, event: StreamEvent) -> bytes:
        """Return the event's bytes; all carry the answer identity of the first one."""
        if not self._opened:
            self._opened = True
            self.software_version = self._current_version
            found = _IDENTITY.search(event.data)
            self._identity = found.group() if found else b""
        if not self._resumed or not self._identity:
            return event.data
        return _IDENTITY.sub(lambda _: self._identity, event.data, count=1)
