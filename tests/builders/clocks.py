"""Gives the nodes of a fleet in one process times of day that differ."""

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from unittest import mock

from fescuedock import clock
from fescuedock.node import main

__all__ = ["AHEAD_S", "clocks_apart"]

# How far the time of day of the node that the current task starts is ahead, in seconds.
AHEAD_S: ContextVar[float] = ContextVar("ahead_s", default=0.0)


@contextmanager
def clocks_apart() -> Iterator[None]:
    """Make nodes that start meanwhile read the time of day with ``AHEAD_S`` of their task."""

    def shifted_clock() -> clock.UnixClock:
        own, ahead_s = clock.unix_clock(), AHEAD_S.get()
        return lambda: int(own() + ahead_s)

    with mock.patch.object(main, "unix_clock", shifted_clock):
        yield
