"""How far this VM may trust its own timeouts: a slow or paused one must not accuse others."""

__all__ = ["LocalHealth"]

_MAX_SCORE = 8
_LATE_SHARE = 0.25
_PAUSE_SHARE = 1.0


class LocalHealth:
    """A score of 0 (well) to 8, by which the timeouts are multiplied.

    Lag of the event loop, probes that neither the target nor a helper answers, and accusations
    against this VM raise it; answered probes lower it.  With ``health_aware`` off it stays 0, for
    comparison in the bench.
    """

    __slots__ = ("_health_aware", "_interval_ms", "score")

    def __init__(self, interval_ms: float, health_aware: bool = True) -> None:
        self._interval_ms = interval_ms
        self._health_aware = health_aware
        self.score = 0

    @property
    def multiplier(self) -> int:
        """By what timeouts are to be multiplied."""
        return 1 + self.score

    @property
    def may_accuse(self) -> bool:
        """Whether this VM may testify against another."""
        return self.score < _MAX_SCORE // 2

    def record_lag(self, lag_ms: float) -> bool:
        """Take the time by which the loop woke late; return whether it was a pause.

        After a pause, answers may be waiting unread: what was outstanding proves nothing.
        """
        if not self._health_aware or lag_ms < _LATE_SHARE * self._interval_ms:
            return False
        paused = lag_ms >= _PAUSE_SHARE * self._interval_ms
        self._add(2 if paused else 1)
        return paused

    def record_answered(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)

    def record_unanswered(self) -> None:
        """Neither the target nor any helper answered: perhaps it is us."""
        self._add(1)

    def record_accusation(self) -> None:
        """Others could not reach this VM."""
        self._add(1)

    def _add(self, points: int) -> None:
        if self._health_aware:
            self.score = min(_MAX_SCORE, self.score + points)
