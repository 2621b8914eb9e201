"""The state of one caller's streamed answer over any number of attempts.

Counts the delivered tokens, drops events of attempts that have ended, and decides after a broken
attempt whether another one can continue the answer.  A caller receives each token once, and the end
of the stream only when the answer is complete.

A pure state machine: attempts are identified by their ids, and nothing here reads a clock.
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
    """A silent stream counts as hung after ``factor`` times the usual wait, at least ``floor_ms``.

    A short timeout repeats work that was only slow; a long one keeps a caller waiting for a dead
    process whose connection stays open.
    """

    factor: float = 10.0
    floor_ms: float = 2000.0

    def timeout_ms(self, usual_ms: float) -> float:
        """Return how long to wait for the next event when ``usual_ms`` is the usual wait."""
        return max(self.floor_ms, self.factor * usual_ms)

    def full_answer_timeout_ms(
        self, objectives: Objectives, max_tokens: int, bound_ms: float
    ) -> float:
        """Return how long to wait for an answer that is not streamed.

        This is ``bound_ms`` if the caller sets no token limit, since the run time is then unknown.
        """
        if max_tokens <= 0:
            return bound_ms
        run_ms = max_tokens * objectives.inter_token_ms
        return min(bound_ms, self.timeout_ms(objectives.first_token_ms + run_ms))


class AttemptEnd(enum.Enum):
    """How the events of an attempt ended."""

    COMPLETE = enum.auto()
    BROKEN = enum.auto()


class NextStep(enum.Enum):
    """What to do after the end of an attempt."""

    FINISH = enum.auto()
    CONTINUE = enum.auto()
    GIVE_UP = enum.auto()
    IGNORE = enum.auto()


class StreamEvent(Protocol):
    """One event of an engine's stream.

    ``data`` holds the bytes for the caller.  ``text`` is the token's text, empty for an event
    without a token; ``finished`` marks the event that carries the finish reason.
    """

    @property
    def data(self) -> bytes: ...

    @property
    def text(self) -> str: ...

    @property
    def finished(self) -> bool: ...


class ResumePoint(msgspec.Struct, frozen=True):
    """Where another attempt continues: after ``tokens`` tokens with the text ``text``."""

    tokens: int
    text: str


class StreamState(msgspec.Struct):
    """What was delivered to one caller.

    ``wants_usage`` says that the caller requested a final event with token counts; the answer is
    incomplete without it.  ``resumable`` is False for an answer of several texts.  With
    ``replays``, further attempts start from the beginning and must repeat the delivered text; it
    is set once an engine rejects a resume point.  An attempt at a software version other than the
    one that wrote the delivered text starts from the beginning in the same way; as the record of an
    upstream may be older than its process, the version is the one that an answer names.
    ``started`` says that there was an attempt.
    """

    wants_usage: bool = False
    resumable: bool = True
    replays: bool = False
    attempt_id: str = ""
    tokens: int = 0
    finished: bool = False
    ended: bool = False
    started: bool = False
    # Version of the process that generated the delivered tokens; empty before the first.
    software_version: str = ""
    _current_version: str = ""
    _texts: list[str] = msgspec.field(default_factory=list)
    _opened: bool = False
    _usage_sent: bool = False
    _first_event: bool = True
    _resumed: bool = False
    _identity: bytes = b""
    # Position of the current attempt in tokens, counted from the start of the answer.
    _repeated: int = 0
    _diverged: bool = False

    @property
    def text(self) -> str:
        return "".join(self._texts)

    @property
    def diverged(self) -> bool:
        """Whether the current attempt's text differs from the delivered text."""
        return self._diverged

    @property
    def opened(self) -> bool:
        """Whether anything was delivered to the caller."""
        return self._opened

    def begin(self, attempt_id: str, listed_version: str = "") -> ResumePoint | None:
        """Make ``attempt_id`` the current attempt; return its resume point, None for the start.

        ``listed_version`` is that of the upstream's record, empty if it has none.
        """
        self.attempt_id = attempt_id
        self._current_version = ""
        self.started = True
        self._first_event = True
        self._resumed = self._opened
        at_other_version = bool(listed_version) and listed_version != self.software_version
        replays = self.replays or (self.tokens > 0 and at_other_version)
        self._repeated = 0 if replays else self.tokens
        if replays or not self.tokens:
            return None
        return ResumePoint(self.tokens, self.text)

    def accept_version(self, attempt_id: str, named_version: str) -> bool:
        """Record the version that the attempt's answer names, before any event of it is handled.

        Return False if the answer resumes what another version wrote.
        """
        if attempt_id != self.attempt_id:
            return False
        self._current_version = named_version
        resumes = 0 < self.tokens == self._repeated
        return not resumes or named_version == self.software_version

    def receive(self, attempt_id: str, event: StreamEvent) -> bytes | None:
        """Handle an event; return the bytes to deliver now, or None.

        Events of any attempt other than the current one are dropped.
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
            if not self.tokens:
                self.software_version = self._current_version
            self.tokens += 1
            self._repeated += 1
            self._texts.append(event.text)
        elif not event.finished and first_event and self._opened:
            # A continuing stream repeats the opening event of the answer.
            return None
        elif not event.finished and not first_event:
            # Content that is not text: a token count cannot serve as a resume point after it.
            self.resumable = False
        self.finished = event.finished
        return self._event_data(event)

    def end(self, attempt_id: str, how: AttemptEnd) -> NextStep:
        """Handle the end of an attempt.

        An engine's end marker counts only after an event with a finish reason.
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
        """Compare a replayed event with the delivered text at its position.

        The text must be the same, since otherwise the caller would receive parts of two answers.
        """
        if event.text:
            self._diverged = event.text != self._texts[self._repeated]
            self._repeated += 1
        self._diverged |= event.finished

    def _usage_event(self, event: StreamEvent) -> bytes | None:
        """Return the token count event that follows the finish reason, once and if requested."""
        if event.text or event.finished or not self.wants_usage or self._usage_sent:
            return None
        self._usage_sent = True
        return self._event_data(event)

    def _event_data(self, event: StreamEvent) -> bytes:
        """Return the event's bytes, with the answer identity of the first attempt."""
        if not self._opened:
            self._opened = True
            found = _IDENTITY.search(event.data)
            self._identity = found.group() if found else b""
        if not self._resumed or not self._identity:
            return event.data
        return _IDENTITY.sub(lambda _: self._identity, event.data, count=1)
