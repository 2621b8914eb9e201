"""Tracks job ends requested by clients but not recorded yet, and acceptances in progress.

An end that could not be recorded outlives its call: while it is pending, no work of the job begins
at this node, and the node retries until the end is recorded or the job is known not to exist.  An
acceptance with an unknown outcome may still store the job in the meantime.

Pure: the caller passes the time.
"""

from collections import Counter

import msgspec

__all__ = ["PendingEnds", "UnresolvedAcceptances"]

# 100 clients that each end 40 jobs during one outage, at about 150 bytes each.
_MAX_ENDS = 4000
# A neighbour tries for 0.9 s, and a write whose answer was lost may be delayed for longer.
_UNRESOLVED_MS = 10_000.0


class PendingEnds(msgspec.Struct):
    """The jobs with a pending end at this node, and until when each end is retried."""

    max_ends: int = _MAX_ENDS
    _until_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._until_ms)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._until_ms

    def add(self, job_id: str, until_ms: float) -> bool:
        """Store an end, retried until ``until_ms``; return False when there is no room for it."""
        if job_id not in self._until_ms and len(self._until_ms) >= self.max_ends:
            return False
        self._until_ms[job_id] = max(until_ms, self._until_ms.get(job_id, until_ms))
        return True

    def is_expired(self, job_id: str, now_ms: float) -> bool:
        """Whether an end has been retried for as long as the job can have existed."""
        return now_ms >= self._until_ms.get(job_id, float("-inf"))

    def discard(self, job_id: str) -> None:
        """Remove an end that is recorded, found no job, or has expired."""
        self._until_ms.pop(job_id, None)


class UnresolvedAcceptances(msgspec.Struct):
    """Acceptances that may still store a job, though neither the store nor a spool has it yet.

    An acceptance with an unknown outcome may take effect for another ``unresolved_ms``.
    """

    unresolved_ms: float = _UNRESOLVED_MS
    _running: Counter[str] = msgspec.field(default_factory=Counter)
    _until_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def begin(self, job_id: str) -> None:
        self._running[job_id] += 1

    def finish(self, job_id: str, now_ms: float, *, uncertain: bool) -> None:
        """Record the end of an attempt; ``uncertain`` when it may still take effect."""
        self._running[job_id] -= 1
        if not self._running[job_id]:
            del self._running[job_id]
        for name in [name for name, until_ms in self._until_ms.items() if until_ms <= now_ms]:
            del self._until_ms[name]
        if uncertain:
            self._until_ms[job_id] = now_ms + self.unresolved_ms

    def may_store(self, job_id: str, now_ms: float) -> bool:
        """Whether an attempt known to this node may still store the job."""
        return job_id in self._running or now_ms < self._until_ms.get(job_id, now_ms)
