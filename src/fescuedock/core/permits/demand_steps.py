"""Forecast of the steps of online demand at one upstream, from the slots that online uses there.

Demand is high from where the smoothed count passes the middle of the two levels seen so far.  The
distances between rises give the period.  One upstream's count is noisy, so a period is believed
only while most of the last rises keep to it; otherwise nothing is forecast.

Pure: the caller passes the time.
"""

from collections import deque
from itertools import pairwise

import msgspec

__all__ = ["DemandSteps"]

# Time constant of the smoothing: a single call of about 0.75 s must not look like a step.
_SMOOTHING_MS = 120.0
# Time constant with which the two levels follow the count.
_LEVEL_MS = 4000.0
# Share of the distance between the levels, and the least distance in slots, by which the count has
# to leave the middle.
_HYSTERESIS_SHARE = 0.1
_MIN_DISTANCE = 2.0
# Each phase corrects the expected length of its kind by this share.
_LENGTH_GAIN = 0.25
_MAX_RISES = 6
_MIN_PERIODS = 2
# Distances count as one period within this share of their median, and this share of them must.
_PERIOD_TOLERANCE = 0.12
_AGREEING_SHARE = 0.6
# A rise that is overdue by more than this share of the period is no longer expected.
_OVERDUE_SHARE = 0.25
# Slots come free from the end of a peak on; the count passes the middle half a call later.
_FALL_LEAD_MS = 200.0


class DemandSteps(msgspec.Struct):
    """What was learned at an upstream with ``slots``."""

    slots: int
    # Time between two rises; 0 while the rises keep to none.
    period_ms: float = 0.0
    # Expected time from a fall to the next rise, and from a rise to its fall; 0 while unknown.
    low_ms: float = 0.0
    high_ms: float = 0.0
    _is_high: bool = False
    _changed_ms: float = 0.0
    _online: int = 0
    _smoothed: float = 0.0
    _at_ms: float = 0.0
    _low_level: float = 0.0
    _high_level: float = 0.0
    _rises_ms: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=_MAX_RISES))

    def __post_init__(self) -> None:
        self._low_level = 0.25 * self.slots
        self._high_level = 0.75 * self.slots

    def observe(self, online: int, now_ms: float) -> None:
        """Take in that online uses ``online`` slots from now on."""
        elapsed_ms = max(now_ms - self._at_ms, 0.0)
        self._at_ms = now_ms
        weight = elapsed_ms / (elapsed_ms + _SMOOTHING_MS)
        self._smoothed += weight * (self._online - self._smoothed)
        self._online = online
        level_weight = min(elapsed_ms / _LEVEL_MS, 1.0)
        if self._is_high:
            self._high_level += level_weight * (self._smoothed - self._high_level)
        else:
            self._low_level += level_weight * (self._smoothed - self._low_level)
        self._change_phase(now_ms)

    def is_high(self, now_ms: float) -> bool:
        """Whether demand is high and its fall is not expected about now."""
        if self._is_high and self.period_ms:
            return now_ms < self._changed_ms + self.high_ms - _FALL_LEAD_MS
        return self._is_high

    def to_rise_ms(self, now_ms: float) -> float | None:
        """Return the time to the next rise, or None where none can be forecast."""
        if not self.period_ms:
            return None
        left_ms = self._rises_ms[-1] + self.period_ms - now_ms
        if left_ms < -_OVERDUE_SHARE * self.period_ms:
            return None
        return max(left_ms, 0.0)

    def _change_phase(self, now_ms: float) -> None:
        middle = (self._low_level + self._high_level) / 2
        distance = max(self._high_level - self._low_level, _MIN_DISTANCE)
        margin = _HYSTERESIS_SHARE * distance
        length_ms = now_ms - self._changed_ms
        if not self._is_high and self._smoothed > middle + margin:
            self.low_ms = _corrected(self.low_ms, length_ms)
            self._rises_ms.append(now_ms)
            self.period_ms = _common_period_ms(list(self._rises_ms))
        elif self._is_high and self._smoothed < middle - margin:
            self.high_ms = _corrected(self.high_ms, length_ms)
        else:
            return
        self._is_high = not self._is_high
        self._changed_ms = now_ms


def _corrected(expected_ms: float, seen_ms: float) -> float:
    return expected_ms + _LENGTH_GAIN * (seen_ms - expected_ms) if expected_ms else seen_ms


def _common_period_ms(rises_ms: list[float]) -> float:
    """Return the mean of the distances that agree, or 0 where too few do."""
    distances = [later - rise for rise, later in pairwise(rises_ms)]
    if len(distances) < _MIN_PERIODS:
        return 0.0
    median_ms = sorted(distances)[len(distances) // 2]
    agreeing = [
        item for item in distances if abs(item - median_ms) <= _PERIOD_TOLERANCE * median_ms
    ]
    if len(agreeing) < max(_MIN_PERIODS, _AGREEING_SHARE * len(distances)):
        return 0.0
    return sum(agreeing) / len(agreeing)
