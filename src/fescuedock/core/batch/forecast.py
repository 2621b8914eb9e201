"""Predicts whether a job will meet its deadline, from the recent rate at which its items end."""

from collections import deque

from fescuedock.schema.batch import JobForecast

__all__ = ["DeadlineWatch", "RateMeter"]

_WINDOW_MS = 60000.0
_STEP_MS = 2000.0
# With less than both of these there is too little data for a rate.
_MIN_WATCHED_MS = 10000.0
_MIN_ENDED = 20
# A forecast is withdrawn once the slack exceeds this share of the time left.
_WITHDRAW_MARGIN_SHARE = 0.1
_REFRESH_MS = 30000.0
_NO_EXPECTED_END_S = -1


class RateMeter:
    """Items ended per second over the last minute."""

    __slots__ = ("_ended", "_samples")

    def __init__(self, now_ms: float) -> None:
        self._ended = 0
        self._samples: deque[tuple[float, int]] = deque([(now_ms, 0)])

    def on_ended(self, now_ms: float) -> None:
        self._ended += 1
        if now_ms - self._samples[-1][0] >= _STEP_MS:
            self._samples.append((now_ms, self._ended))
        while now_ms - self._samples[0][0] > _WINDOW_MS and len(self._samples) > 1:
            self._samples.popleft()

    def items_per_s(self, now_ms: float) -> float | None:
        """Return the rate, or None when there is too little data."""
        start_ms, ended_before = self._samples[0]
        span_ms = now_ms - start_ms
        ended = self._ended - ended_before
        if span_ms >= _MIN_WATCHED_MS or (ended >= _MIN_ENDED and span_ms > 0):
            return ended / span_ms * 1000.0
        return None


class DeadlineWatch:
    """Reports when one job's rate is too low for its deadline, and when it is sufficient again.

    ``deadline_ms`` is on the clock of ``now_ms``.  Until the job has a rate of its own,
    ``prior_items_per_s`` is used if it is above 0.
    """

    __slots__ = ("_meter", "_reported_at_ms", "deadline_ms", "prior_items_per_s")

    def __init__(self, deadline_ms: float, now_ms: float) -> None:
        self.deadline_ms = deadline_ms
        self.prior_items_per_s = 0.0
        self._meter = RateMeter(now_ms)
        self._reported_at_ms: float | None = None

    def on_ended(self, now_ms: float) -> None:
        """Count one item that got its result."""
        self._meter.on_ended(now_ms)

    def check(self, items_left: int, now_ms: float, now_s: int) -> list[JobForecast] | None:
        """Return a forecast to record, an empty list to withdraw it, or None for no change."""
        rate = self._rate(now_ms)
        slack_ms = self._slack_ms(items_left, rate, now_ms)
        if slack_ms >= 0:
            return self._withdraw(slack_ms, now_ms)
        if self._reported_at_ms is not None and now_ms - self._reported_at_ms < _REFRESH_MS:
            return None
        self._reported_at_ms = now_ms
        return [self._forecast(items_left, rate or 0.0, now_ms, now_s)]

    def _rate(self, now_ms: float) -> float | None:
        rate = self._meter.items_per_s(now_ms)
        return self.prior_items_per_s or None if rate is None else rate

    def _slack_ms(self, items_left: int, rate: float | None, now_ms: float) -> float:
        left_ms = self.deadline_ms - now_ms
        if rate is None:
            return left_ms
        return left_ms - items_left / rate * 1000.0 if rate else float("-inf")

    def _withdraw(self, slack_ms: float, now_ms: float) -> list[JobForecast] | None:
        margin_ms = (self.deadline_ms - now_ms) * _WITHDRAW_MARGIN_SHARE
        if self._reported_at_ms is None or slack_ms < margin_ms:
            return None
        self._reported_at_ms = None
        return []

    def _forecast(self, items_left: int, rate: float, now_ms: float, now_s: int) -> JobForecast:
        left_s = max((self.deadline_ms - now_ms) / 1000.0, 1.0)
        return JobForecast(
            made_at_s=now_s,
            expected_end_s=now_s + round(items_left / rate) if rate else _NO_EXPECTED_END_S,
            items_left=items_left,
            items_per_s=round(rate, 3),
            needed_items_per_s=round(items_left / left_s, 3),
        )
