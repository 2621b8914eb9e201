"""Refused work: when its caller should retry, and recognizing it on that retry.

Pure: the caller passes the time.
"""

from collections import OrderedDict

import msgspec

__all__ = ["RefusedWork", "RetryTimes"]

# Callers retry within seconds, or not at all.
_REFUSAL_MEMORY_MS = 5000.0
_MAX_REMEMBERED_REFUSALS = 512
# Callers do not retry if the retry time exceeds the time they wait for an answer.
_MAX_RETRY_DELAY_MS = 2500.0
# The fractional part of the golden ratio spreads any number of phases nearly evenly.
_PHASE_STEP = 0.618


class RetryTimes(msgspec.Struct):
    """Assigns each refused caller its own retry time, at the rate at which the queue is served."""

    _last_ms: float = -float("inf")
    _phase: float = 0.0

    def assign_delay_ms(self, now_ms: float, wait_ms: float, step_ms: float) -> float:
        """Return the delay in ms after which there is capacity for one more caller.

        ``wait_ms`` is the time until the current queue is served, ``step_ms`` the time between two
        grants.
        """
        at_ms = max(now_ms + wait_ms, self._last_ms + step_ms)
        if at_ms > now_ms + _MAX_RETRY_DELAY_MS:
            # No capacity is left to assign; start another round at times between those already
            # assigned.
            self._phase = (self._phase + _PHASE_STEP) % 1.0
            at_ms = now_ms + min(wait_ms, _MAX_RETRY_DELAY_MS - step_ms) + self._phase * step_ms
        self._last_ms = at_ms
        return at_ms - now_ms


class RefusedWork(msgspec.Struct):
    """The units of work refused in the last seconds, by identity."""

    _until_ms: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._until_ms)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._until_ms

    def add(self, work_id: str, now_ms: float) -> None:
        """Record that work was refused; beyond the bound the oldest entry is dropped."""
        if not work_id:
            return
        self._until_ms.pop(work_id, None)
        self._until_ms[work_id] = now_ms + _REFUSAL_MEMORY_MS
        if len(self._until_ms) > _MAX_REMEMBERED_REFUSALS:
            self._until_ms.popitem(last=False)

    def discard(self, work_id: str) -> None:
        """Forget work that starts."""
        self._until_ms.pop(work_id, None)

    def forget(self, now_ms: float) -> None:
        """Drop work that was not retried in time."""
        while self._until_ms and next(iter(self._until_ms.values())) <= now_ms:
            self._until_ms.popitem(last=False)
