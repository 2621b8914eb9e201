"""Exponentially decaying estimators: mean, peak and straight line, each with its own half-life."""

import msgspec

__all__ = ["DecayedLine", "DecayedMean", "DecayedPeak"]


def _decay(elapsed_ms: float, half_life_ms: float) -> float:
    return 0.5 ** (max(elapsed_ms, 0.0) / half_life_ms)


class DecayedMean(msgspec.Struct):
    """Mean of samples whose weight halves every ``half_life_ms``."""

    half_life_ms: float
    weight: float = 0.0
    _sum: float = 0.0
    _at_ms: float = 0.0

    def add(self, value: float, now_ms: float, weight: float = 1.0) -> None:
        decay = _decay(now_ms - self._at_ms, self.half_life_ms)
        self._sum = self._sum * decay + value * weight
        self.weight = self.weight * decay + weight
        self._at_ms = now_ms

    def value(self, default: float) -> float:
        """Return the mean, or ``default`` before the first sample."""
        return self._sum / self.weight if self.weight else default


class DecayedPeak(msgspec.Struct):
    """Highest recent value, which decays by half every ``half_life_ms``."""

    half_life_ms: float
    _peak: float = 0.0
    _at_ms: float = 0.0

    def add(self, value: float, now_ms: float) -> None:
        self._peak = max(value, self.value(now_ms))
        self._at_ms = now_ms

    def value(self, now_ms: float) -> float:
        return self._peak * _decay(now_ms - self._at_ms, self.half_life_ms)


class DecayedLine(msgspec.Struct):
    """Least-squares line through samples whose weight halves every ``half_life_ms``."""

    half_life_ms: float
    _count: float = 0.0
    _x: float = 0.0
    _y: float = 0.0
    _xx: float = 0.0
    _xy: float = 0.0
    _at_ms: float = 0.0

    def add(self, x: float, y: float, now_ms: float) -> None:
        decay = _decay(now_ms - self._at_ms, self.half_life_ms)
        self._count = self._count * decay + 1.0
        self._x = self._x * decay + x
        self._y = self._y * decay + y
        self._xx = self._xx * decay + x * x
        self._xy = self._xy * decay + x * y
        self._at_ms = now_ms

    @property
    def slope(self) -> float:
        """Slope of y over x; 0 while the samples do not determine it.

        The samples are durations that add up, so the slope is never negative and never so steep
        that y would be negative at x = 0.
        """
        spread = self._count * self._xx - self._x * self._x
        if spread <= 1e-9 * max(self._count * self._xx, 1.0):
            return 0.0
        slope = (self._count * self._xy - self._x * self._y) / spread
        return min(max(slope, 0.0), self._y / self._x if self._x else slope)

    def value(self, x: float, default: float) -> float:
        """Return y on the line at ``x``, or ``default`` before the first sample."""
        if not self._count:
            return default
        return max(self._y / self._count + self.slope * (x - self._x / self._count), 0.0)

    def freshness(self, now_ms: float) -> float:
        """Return 1 right after a sample, halved with every half-life since then."""
        return _decay(now_ms - self._at_ms, self.half_life_ms)
