"""Time: trio's clock for every interval, and Unix time derived from it for records.

Nothing else in the package reads a clock, so that a test which pauses or advances trio's clock
moves everything, the Unix time included.
"""

import time
from collections.abc import Callable

import trio

__all__ = ["UnixClock", "now_ms", "unix_clock"]

# Returns Unix time in whole seconds.
UnixClock = Callable[[], int]


def now_ms() -> float:
    """Return trio's time in milliseconds; only differences mean anything."""
    return trio.current_time() * 1000.0


def unix_clock(start_s: float | None = None) -> UnixClock:
    """Return a clock that starts at ``start_s`` (by default the system's time) and follows trio's.

    Must be called inside ``trio.run``.
    """
    base_s = (time.time() if start_s is None else start_s) - trio.current_time()
    return lambda: int(base_s + trio.current_time())
