"""How many lines of each kind may be logged, so that load cannot fill a disk or slow a request.

Routine lines, which say that all went well, get a smaller share than those that explain a failure.

Pure: the caller passes the time.
"""

from collections import Counter

import msgspec

__all__ = ["LogBudget"]


class LogBudget(msgspec.Struct):
    """A token bucket for each kind of line, filled at its rate, of one second's size.

    The rates are those of one node at four times today's load: 15 calls a second and as many runs
    of items, each with one line; failures come in bursts of a few hundred.
    """

    routine_per_s: float = 100.0
    other_per_s: float = 400.0
    _tokens: dict[str, tuple[float, float]] = msgspec.field(default_factory=dict)
    _dropped: Counter[str] = msgspec.field(default_factory=Counter)

    def allow(self, kind: str, now_s: float, *, routine: bool) -> bool:
        """Whether a line of ``kind`` may be written now; counts it as left out if not."""
        rate = self.routine_per_s if routine else self.other_per_s
        tokens, at_s = self._tokens.get(kind, (rate, now_s))
        tokens = min(rate, tokens + max(now_s - at_s, 0.0) * rate)
        allowed = tokens >= 1.0
        self._tokens[kind] = (tokens - 1.0 if allowed else tokens, now_s)
        if not allowed:
            self._dropped[kind] += 1
        return allowed

    def pop_dropped_counts(self) -> dict[str, int]:
        """Return the lines left out by kind since the last call."""
        dropped = dict(self._dropped)
        self._dropped.clear()
        return dropped
