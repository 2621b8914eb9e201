"""Time: trio's clock for every interval, and Unix time derived from it for records.

Programs give trio a clock that goes on while the machine is suspended (``loop_clock``): by one that
stands still meanwhile, whatever is judged by its age reads too young afterwards.

Nothing else in the package reads a clock, so that a test which pauses or advances trio's clock
moves everything, the Unix time included.
"""

import time
from collections.abc import Callable

import trio

__all__ = ["UnixClock", "loop_clock", "now_ms", "unix_clock"]

# Returns Unix time in whole seconds.
UnixClock = Callable[[], int]


# Linux has it; elsewhere the steady clock has to do.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# A sleep is cut into pieces of this length: the kernel's timers stand still as well, and would keep
# what was due during a suspension waiting for the whole rest.
_MAX_SLEEP_S = 1.0


class _LoopClock(trio.abc.Clock):
    """See ``loop_clock``."""

    __slots__ = ()

    def start_clock(self) -> None:
        """Nothing to set up: the machine's clock runs already."""

    def current_time(self) -> float:
        return time.clock_gettime(_CLOCK)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        return min(deadline - self.current_time(), _MAX_SLEEP_S)


def loop_clock() -> trio.abc.Clock:
    """Return the clock for ``trio.run``, which counts the time that the machine is suspended."""
    return _LoopClock()


def now_ms() -> float:
    """Return trio's time in milliseconds; only differences mean anything."""
    return trio.current_time() * 1000.0


def unix_clock(start_s: float | None = None) -> UnixClock:
    """Return a clock that starts at ``start_s`` (by default the system's time) and follows trio's.

    Must be called inside ``trio.run``.
    """
    base_s = (time.time() if start_s is None else start_s) - trio.current_time()
    return lambda: int(base_s + trio.current_time())
