"""Faults of a key-value service on command, and the count of its calls by kind."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, StrEnum

__all__ = ["WRITES", "CallKind", "KvFaults", "LostAnswer"]


class CallKind(StrEnum):
    """What the service counts; a waiting watch is one call."""

    GET = "get"
    RANGE = "range"
    PUT = "put"
    DELETE = "delete"
    GRANT = "grant"
    KEEP = "keep"
    REVOKE = "revoke"
    WATCH = "watch"


# The calls of which ``lose_answer`` counts.
WRITES = frozenset({CallKind.PUT, CallKind.DELETE, CallKind.GRANT, CallKind.REVOKE})


class LostAnswer(Enum):
    """When the answer of a write is lost."""

    BEFORE_EFFECT = "before"
    AFTER_EFFECT = "after"
    # The write is held back, its answer is lost, and it takes effect later.
    LATE_EFFECT = "late"


@dataclass(slots=True)
class KvFaults:
    """Switches that a test sets; all off at first.

    ``down`` refuses every call, ``silent`` takes calls and never answers them (nothing is
    executed), ``delay_ms`` slows each call, and ``delays_ms`` those of a kind besides.
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
        """Lose the answer of the ``nth`` write from now (1: the next one)."""
        self._lost[self.writes_seen + nth] = when

    def stop_losing_answers(self) -> None:
        """Lose no further answers."""
        self._lost.clear()

    def count(self, kind: CallKind) -> LostAnswer | None:
        """Count a call; say whether its answer is to be lost."""
        self.calls[kind] += 1
        if kind not in WRITES:
            return None
        self.writes_seen += 1
        return self._lost.pop(self.writes_seen, None)

    def delay_s(self, kind: CallKind) -> float:
        """Return how long a call of ``kind`` waits before it is executed."""
        return (self.delay_ms + self.delays_ms.get(kind, 0.0)) / 1000

    @property
    def total_calls(self) -> int:
        return self.calls.total()

    def clear(self) -> None:
        """Switch every fault off; the counts stay."""
        self.down = self.silent = False
        self.delay_ms = 0.0
        self.delays_ms.clear()
        self._lost.clear()
