"""Decides whether an answer is complete that has neither a length nor chunks.

Such an answer ends with its connection, and the connections of a killed process end in the same
way.  What tells them apart is whether the process was still running after the end.

Pure: the caller asks for the process and passes the time.
"""

import enum

import msgspec

__all__ = ["AnswerEnd", "EndVerdict", "InterruptedAnswers", "verdict_on"]

# A process sends the end right after the last event; a killed one at any time between two events.
# An end is prompt within this time, and this share of the mean pause more.
_PROMPT_MS = 1.0
_PROMPT_SHARE = 0.125
# The connections of a process that exits end within this time.
_SAME_EXIT_MS = 50.0


class EndVerdict(enum.Enum):
    """Whether an answer is complete.

    A ``PROBABLE`` one should be continued by another run if that is possible, which shows whether
    anything was missing, and else counts as complete.
    """

    COMPLETE = "complete"
    PROBABLE = "probable"
    BROKEN_OFF = "broken_off"

    @property
    def is_complete(self) -> bool:
        return self is EndVerdict.COMPLETE

    @property
    def is_probable(self) -> bool:
        return self is EndVerdict.PROBABLE


class AnswerEnd(msgspec.Struct, frozen=True):
    """The end of one answer.

    ``idle_ms`` is the time without data before it, and ``pause_ms`` the mean time between two
    events, below 0 if unknown.
    """

    idle_ms: float
    pause_ms: float

    @property
    def is_prompt(self) -> bool:
        """Whether it came so soon after the last event that both were probably sent together."""
        return self.idle_ms <= _PROMPT_MS + _PROMPT_SHARE * max(self.pause_ms, 0.0)


class InterruptedAnswers(msgspec.Struct):
    """The latest times at which answers ended between two events, by upstream.

    An exit that interrupts one answer ends all others of the process at the same time.
    """

    _ended_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def record(self, upstream_id: str, now_ms: float) -> None:
        """Record an answer that has just ended between two events."""
        self._ended_ms = {
            name: at_ms for name, at_ms in self._ended_ms.items() if now_ms - at_ms < _SAME_EXIT_MS
        }
        self._ended_ms[upstream_id] = now_ms

    def has_recent(self, upstream_id: str, now_ms: float) -> bool:
        """Whether another answer of the upstream was interrupted just now."""
        return now_ms - self._ended_ms.get(upstream_id, float("-inf")) < _SAME_EXIT_MS


def verdict_on(
    end: AnswerEnd, *, is_running: bool, leaving: bool, others_interrupted: bool
) -> EndVerdict:
    """Return whether the answer that ended this way is complete.

    ``is_running`` tells that the process was found after the end, and ``leaving`` that the upstream
    was being shut down: its process may exit with its last answer.
    """
    if is_running:
        return EndVerdict.COMPLETE
    if leaving and end.is_prompt and not others_interrupted:
        return EndVerdict.PROBABLE
    return EndVerdict.BROKEN_OFF
