"""Local health: how far this VM may trust its timeouts, as a slow one must not accuse others."""

__all__ = ["LocalHealth"]

_MAX_SCORE = 8
# Lag of the event loop, as shares of the probe interval, that counts as late and as a pause.
_LATE_SHARE = 0.25
_PAUSE_SHARE = 1.0


class LocalHealth:
    """A score from 0 (healthy) to 8; timeouts are multiplied by one more than it.

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
        """The factor for timeouts."""
        return 1 + self.score

    @property
    def may_accuse(self) -> bool:
        """Whether this VM is healthy enough to accuse another."""
        return self.score < _MAX_SCORE // 2

    def record_lag(self, lag_ms: float) -> bool:
        """Record how late the event loop woke; return whether that was a pause.

        After a pause, answers may be waiting unread, so that pending probes prove nothing.
        """
        if not self._health_aware or lag_ms < _LATE_SHARE * self._interval_ms:
            return False
        paused = lag_ms >= _PAUSE_SHARE * self._interval_ms
        self._add(2 if paused else 1)
        return paused

    def record_answered(self) -> None:
        """Record that a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def record_unanswered(self) -> None:
        """Record that neither target nor helpers answered; the fault may be this VM's."""
        self._add(1)

    def record_accusation(self) -> None:
        """Record that others could not reach this VM."""
        self._add(1)

    def _add(self, points: int) -> None:
        if self._health_aware:
            self.score = min(_MAX_SCORE, self.score + points)
