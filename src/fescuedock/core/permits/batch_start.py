"""Which batch work may begin now, and which would only be cut off by the next rise of online.

Nothing is held back unless the next rise is forecast: without a rhythm that would cost 2 in 100
items their time.  With one, work that is not urgent leaves free what online used a moment ago, and
begins only if that takes no more runs than to begin when demand has fallen again.  Work that is
urgent may take any free slot, and so may all work while some was short of time lately: what is cut
off resumes where it was, so a slot left empty then costs more than a run.

Pure: the caller passes the time.
"""

import math
from collections import deque
from collections.abc import Iterable

from fescuedock.core.permits.demand_steps import DemandSteps
from fescuedock.core.permits.waiting import Waiting
from fescuedock.schema.permits import BatchStage

__all__ = ["BatchStart"]

# How long online's use of a slot counts: between its calls while demand is low, and about the
# length of a call while it is high.
_LOW_HOLD_MS = 150.0
_HIGH_HOLD_MS = 800.0
# Work is urgent whose slack is below this many times its own length.  With 2.4 it was cut off less
# (1,475 instead of 1,617 for 670 results), but 664 instead of 666 were on time, of 667 unheld.
_URGENT_SLACK_FACTOR = 2.8
_ON_TIME = (BatchStage.FRESH, BatchStage.BEGUN)
# How long every free slot is used after batch was short of time.  Judged by each moment alone,
# 1,045 items instead of 1,070 were on time where more came than fit.
_SHORT_HOLD_MS = 10_000.0


class BatchStart:
    """What an owner knows of online's use of the ``slots`` of one upstream."""

    __slots__ = ("_short_ms", "_slots", "_steps", "_used")

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._steps = DemandSteps(slots)
        self._short_ms = -math.inf
        # The slots that online used, by the time since when, over the longest hold.
        self._used: deque[tuple[float, int]] = deque()

    def observe(self, online: int, now_ms: float) -> None:
        """Take in that online uses ``online`` slots from now on."""
        self._steps.observe(online, now_ms)
        if not self._used or self._used[-1][1] != online:
            self._used.append((now_ms, online))
        # The first entry tells what was used at the begin of the hold.
        while len(self._used) > 1 and self._used[1][0] <= now_ms - _HIGH_HOLD_MS:
            self._used.popleft()

    def is_short(self, asks: Iterable[Waiting], now_ms: float) -> bool:
        """Whether batch that waits here may miss its time, or did a moment ago."""
        if any(waiting.ask.stage not in _ON_TIME for waiting in asks):
            self._short_ms = now_ms
        return now_ms - self._short_ms < _SHORT_HOLD_MS

    def may_begin(self, waiting: Waiting, batch: int, now_ms: float) -> bool:
        """Whether ``waiting``, which is not short of time, may begin beside ``batch`` others."""
        left_ms = waiting.ask.left_ms
        if waiting.due_ms - now_ms < _URGENT_SLACK_FACTOR * left_ms:
            return True
        to_rise_ms = self._steps.to_rise_ms(now_ms)
        if to_rise_ms is None:
            return True
        is_high = self._steps.is_high(now_ms)
        held = self._peak(_HIGH_HOLD_MS if is_high else _LOW_HOLD_MS, now_ms)
        if batch + held >= self._slots:
            return False
        if is_high or not left_ms or not self._steps.low_ms:
            return True
        cuts_later = math.ceil(left_ms / self._steps.low_ms) - 1
        cuts_now = math.ceil((left_ms - to_rise_ms) / self._steps.low_ms)
        return cuts_now <= cuts_later

    def _peak(self, hold_ms: float, now_ms: float) -> int:
        """Return the most slots that online used within ``hold_ms``."""
        peak = 0
        for since_ms, online in reversed(self._used):
            peak = max(peak, online)
            if since_ms <= now_ms - hold_ms:
                break
        return peak
