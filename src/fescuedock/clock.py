"""Time: trio's clock for every interval, and Unix time derived from it for records.

Programs run trio with a clock that includes the time during which the machine is suspended
(``loop_clock``).  With a clock that stops meanwhile, the age of all data would read too low
afterwards.

No other module of the package reads a clock, so that a test which pauses or advances trio's clock
controls all times, including the Unix time.
"""

import time
from collections.abc import Callable

import trio

__all__ = ["UnixClock", "loop_clock", "now_ms", "unix_clock"]

# Returns Unix time in seconds.
UnixClock = Callable[[], int]


# Only Linux has a monotonic clock that includes suspended time.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Longest single sleep.  The kernel's timers stop during a suspension, so a longer sleep would delay
# a task that became due meanwhile by its full remaining time.
_MAX_SLEEP_S = 1.0


class _LoopClock(trio.abc.Clock):
    """The clock that ``loop_clock`` returns."""

    __slots__ = ()

    def start_clock(self) -> None:
        """Do nothing: the system's clock is already running."""

    def current_time(self) -> float:
        return time.clock_gettime(_CLOCK)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        return min(deadline - self.current_time(), _MAX_SLEEP_S)


def loop_clock() -> trio.abc.Clock:
    """Return a clock for ``trio.run`` that includes the time when the machine is suspended."""
    return _LoopClock()


def now_ms() -> float:
    """Return trio's time in milliseconds; only differences are meaningful."""
    return trio.current_time() * 1000.0


def unix_clock(start_s: float | None = None) -> UnixClock:
    """Return a clock that starts at ``start_s`` (by default the system's time) and follows trio's.

    Must be called inside ``trio.run``.
    """
    base_s = (time.time() if start_s is None else start_s) - trio.current_time()
    return lambda: int(base_s + trio.current_time())
