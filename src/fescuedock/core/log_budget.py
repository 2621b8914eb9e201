"""Limits the rate of log lines of each kind, so that load cannot fill a disk or slow requests.

Routine lines, which report success, have a lower limit than lines that explain a failure.

Pure: the caller passes the time.
"""

from collections import Counter

import msgspec

__all__ = ["LogBudget"]


class LogBudget(msgspec.Struct):
    """One token bucket per kind of line; each holds the lines of one second.

    The rates suffice for one node at four times the usual load, 15 calls and 15 item runs per
    second with one line each; failures come in bursts of a few hundred.
    """

    routine_per_s: float = 100.0
    other_per_s: float = 400.0
    _tokens: dict[str, tuple[float, float]] = msgspec.field(default_factory=dict)
    _dropped: Counter[str] = msgspec.field(default_factory=Counter)

    def allow(self, kind: str, now_s: float, *, routine: bool) -> bool:
        """Whether a line of ``kind`` may be written now; if not, it is counted as dropped."""
        rate = self.routine_per_s if routine else self.other_per_s
        tokens, at_s = self._tokens.get(kind, (rate, now_s))
        tokens = min(rate, tokens + max(now_s - at_s, 0.0) * rate)
        allowed = tokens >= 1.0
        self._tokens[kind] = (tokens - 1.0 if allowed else tokens, now_s)
        if not allowed:
            self._dropped[kind] += 1
        return allowed

    def pop_dropped_counts(self) -> dict[str, int]:
        """Return the number of lines dropped since the last call, by kind."""
        dropped = dict(self._dropped)
        self._dropped.clear()
        return dropped
