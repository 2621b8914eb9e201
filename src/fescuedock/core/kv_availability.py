"""Tracks whether the key-value service answers this node, and since when.

After an outage, keys held by leases may be missing although their owners are alive: owners write
them again within a grace period, and only keys still missing after it count as removed.

Pure: the caller passes the time.
"""

import msgspec

__all__ = ["KvAvailability", "KvAvailabilityPolicy"]


class KvAvailabilityPolicy(msgspec.Struct, frozen=True):
    """Times of outages and retries.

    ``outage_ms`` without any answer, the time of three held watches that fail immediately, is an
    outage.  Within ``grace_ms`` after it, owners of lapsed keys have written them again; the
    platform promises two seconds, and half a second more covers the time to notice its end.
    Between failed calls the pause grows from ``first_pause_ms`` to ``max_pause_ms``, since refused
    calls are billed too.
    """

    outage_ms: float = 800.0
    grace_ms: float = 2500.0
    first_pause_ms: float = 100.0
    max_pause_ms: float = 800.0


class KvAvailability(msgspec.Struct):
    """The availability of the service, derived from the answers and failures of calls."""

    policy: KvAvailabilityPolicy = KvAvailabilityPolicy()
    reached: bool = False
    last_answer_ms: float = float("-inf")
    returned_ms: float = float("-inf")
    _failures: int = 0
    _was_unavailable: bool = False

    def record_answer(self, now_ms: float) -> bool:
        """Record an answer; return whether it is the first, or the first after an outage."""
        had_been_unavailable = self.is_unavailable(now_ms)
        if had_been_unavailable:
            self.returned_ms = now_ms
        regained = had_been_unavailable or not self.reached
        self.reached = True
        self.last_answer_ms = now_ms
        self._failures = 0
        self._was_unavailable = False
        return regained

    def record_neighbour_answer(self, now_ms: float) -> None:
        """Record that a neighbour has just had an answer, so that calls are worth retrying.

        Otherwise a node refuses jobs for up to 0.7 s after others have reached the service.
        """
        if self.is_unavailable(now_ms):
            self.returned_ms = now_ms
        self._failures = 0
        self._was_unavailable = False
        self.last_answer_ms = max(self.last_answer_ms, now_ms)

    def record_failure(self, now_ms: float) -> bool:
        """Record a call without an answer; return whether an outage begins with it."""
        self._failures += 1
        was_reported = self._was_unavailable
        self._was_unavailable = self.is_unavailable(now_ms)
        return self._was_unavailable and not was_reported

    def is_unavailable(self, now_ms: float) -> bool:
        """Whether calls have failed and none was answered for ``outage_ms``."""
        if not self._failures:
            return False
        return now_ms - max(self.last_answer_ms, 0.0) >= self.policy.outage_ms

    def in_grace(self, now_ms: float) -> bool:
        """Whether missing keys may still be written again by their owners."""
        return self.is_unavailable(now_ms) or now_ms - self.returned_ms < self.policy.grace_ms

    def pause_ms(self) -> float:
        """Return the pause before the call after the last failure."""
        doublings = min(max(self._failures - 1, 0), 6)
        return min(self.policy.first_pause_ms * 2**doublings, self.policy.max_pause_ms)
