"""Exponential backoff between the attempts of an operation that is retried until it succeeds."""

import trio

__all__ = ["ExponentialBackoff"]


class ExponentialBackoff:
    """Pauses that start at ``initial_ms`` and double up to ``max_ms``."""

    __slots__ = ("_max_ms", "_next_ms")

    def __init__(self, initial_ms: float, max_ms: float) -> None:
        self._next_ms = initial_ms
        self._max_ms = max_ms

    async def wait(self) -> None:
        await trio.sleep(self._next_ms / 1000)
        self._next_ms = min(self._next_ms * 2, self._max_ms)
