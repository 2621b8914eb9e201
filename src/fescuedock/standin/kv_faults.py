"""Fault injection for a key-value service, and the count of its calls by kind."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, StrEnum

__all__ = ["WRITES", "CallKind", "KvFaults", "LostAnswer"]


class CallKind(StrEnum):
    """The kinds of calls that the service counts; a watch is one call however long it lasts."""

    GET = "get"
    RANGE = "range"
    PUT = "put"
    DELETE = "delete"
    GRANT = "grant"
    KEEP = "keep"
    REVOKE = "revoke"
    WATCH = "watch"


# The kinds of calls to which ``lose_answer`` applies.
WRITES = frozenset({CallKind.PUT, CallKind.DELETE, CallKind.GRANT, CallKind.REVOKE})


class LostAnswer(Enum):
    """How a write whose response is lost takes effect.

    ``BEFORE_EFFECT``: never.  ``AFTER_EFFECT``: before its response is lost.  ``LATE_EFFECT``:
    some time after its response was lost.
    """

    BEFORE_EFFECT = "before"
    AFTER_EFFECT = "after"
    LATE_EFFECT = "late"


@dataclass(slots=True)
class KvFaults:
    """Faults that a test switches on; all are off at first.

    ``down`` refuses every call.  ``silent`` accepts calls but neither executes nor answers them.
    ``delay_ms`` delays every call; ``delays_ms`` adds a delay for calls of one kind.
    """

    down: bool = False
    silent: bool = False
    delay_ms: float = 0.0
    delays_ms: dict[CallKind, float] = field(default_factory=dict)
    late_effect_ms: float = 200.0
    calls: Counter[CallKind] = field(default_factory=Counter)
    writes_seen: int = 0
    _lost: dict[int, LostAnswer] = field(default_factory=dict)

    def lose_answer(self, when: LostAnswer = LostAnswer.AFTER_EFFECT, nth: int = 1) -> None:
        """Lose the response to the ``nth`` write from now (1: the next one)."""
        self._lost[self.writes_seen + nth] = when

    def stop_losing_answers(self) -> None:
        """Cancel all pending ``lose_answer`` requests."""
        self._lost.clear()

    def count(self, kind: CallKind) -> LostAnswer | None:
        """Count a call and return how its response is to be lost; None if it is not."""
        self.calls[kind] += 1
        if kind not in WRITES:
            return None
        self.writes_seen += 1
        return self._lost.pop(self.writes_seen, None)

    def delay_s(self, kind: CallKind) -> float:
        """Return the delay before a call of ``kind`` is executed."""
        return (self.delay_ms + self.delays_ms.get(kind, 0.0)) / 1000

    @property
    def total_calls(self) -> int:
        return self.calls.total()

    def clear(self) -> None:
        """Switch every fault off without resetting the counts."""
        self.down = self.silent = False
        self.delay_ms = 0.0
        self.delays_ms.clear()
        self._lost.clear()
