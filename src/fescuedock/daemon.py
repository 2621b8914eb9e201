"""What every program has in common: its shape, and how it is started and stopped.

A program is a coroutine that gets the checked settings and a ``Stop``, reports its address when it
serves, and returns after a graceful shutdown.  ``fescuedock local`` runs the same coroutines as
tasks of one process.
"""

from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Protocol

import trio

from fescuedock.net.address import Address
from fescuedock.settings import Settings

__all__ = ["Program", "Stop"]


@dataclass(slots=True)
class Stop:
    """Asks a program for a graceful shutdown."""

    _requested: trio.Event = field(default_factory=trio.Event)

    def request(self) -> None:
        self._requested.set()

    @property
    def requested(self) -> bool:
        return self._requested.is_set()

    async def wait(self) -> None:
        await self._requested.wait()


class Program(Protocol):
    """The coroutine of a program; ``task_status`` gets the ``Address`` once it serves."""

    def __call__(
        self, settings: Settings, stop: Stop, *, task_status: trio.TaskStatus[Address]
    ) -> Awaitable[None]: ...
