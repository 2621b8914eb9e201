"""Clocks for fleets in one process: a virtual one, and times of day that differ by node."""

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from unittest import mock

from trio.testing import MockClock

from fescuedock import clock
from fescuedock.node import main

__all__ = ["AHEAD_S", "clocks_apart", "virtual_clock"]

# How far the time of day of the node that the current task starts is ahead, in seconds.
AHEAD_S: ContextVar[float] = ContextVar("ahead_s", default=0.0)

# Data between sockets of one process arrives within this real time.
_ARRIVAL_S = 0.001


def virtual_clock() -> MockClock:
    """Return a clock that advances only while all tasks wait, so that a busy machine is no slower.

    Only for fleets whose nodes, store and upstreams all run in this process.
    """
    return MockClock(autojump_threshold=_ARRIVAL_S)


@contextmanager
def clocks_apart() -> Iterator[None]:
    """Make nodes that start meanwhile read the time of day with ``AHEAD_S`` of their task."""

    def shifted_clock() -> clock.UnixClock:
        own, ahead_s = clock.unix_clock(), AHEAD_S.get()
        return lambda: int(own() + ahead_s)

    with mock.patch.object(main, "unix_clock", shifted_clock):
        yield
