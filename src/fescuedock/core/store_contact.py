"""Whether the key-value service answers this node, and since when.

After an outage what was held by leases may be missing although its owner lives: owners write again
within a grace period, and only what is still missing then is gone.

Pure: the caller passes the time.
"""

import msgspec

__all__ = ["ContactPolicy", "StoreContact"]


class ContactPolicy(msgspec.Struct, frozen=True):
    """``outage_ms`` without any answer is an outage: three held watches that failed at once.

    ``grace_ms`` after it, owners of lapsed keys have written them again; the platform says two
    seconds, and half a second more covers our own way of noticing.  Between failed calls the pause
    grows from ``first_pause_ms`` to ``max_pause_ms``, since refused calls are paid for too.
    """

    outage_ms: float = 800.0
    grace_ms: float = 2500.0
    first_pause_ms: float = 100.0
    max_pause_ms: float = 800.0


class StoreContact(msgspec.Struct):
    """What the answers and failures of the service's calls tell."""

    policy: ContactPolicy = ContactPolicy()
    reached: bool = False
    last_answer_ms: float = float("-inf")
    returned_ms: float = float("-inf")
    _failures: int = 0
    _was_away: bool = False

    def record_answer(self, now_ms: float) -> bool:
        """Note an answer; return whether it ends a time without any."""
        had_been_away = self.is_away(now_ms)
        if had_been_away:
            self.returned_ms = now_ms
        regained = had_been_away or not self.reached
        self.reached = True
        self.last_answer_ms = now_ms
        self._failures = 0
        self._was_away = False
        return regained

    def record_neighbour_answer(self, now_ms: float) -> None:
        """Note that a neighbour has just got an answer: the service is worth asking again.

        Without this a node went on refusing jobs for up to 0.7 s after others had reached it.
        """
        if self.is_away(now_ms):
            self.returned_ms = now_ms
        self._failures = 0
        self._was_away = False
        self.last_answer_ms = max(self.last_answer_ms, now_ms)

    def record_failure(self, now_ms: float) -> bool:
        """Note a call without an answer; return whether the service counts as away from now on."""
        self._failures += 1
        was_reported = self._was_away
        self._was_away = self.is_away(now_ms)
        return self._was_away and not was_reported

    def is_away(self, now_ms: float) -> bool:
        """Whether the service has not answered for the length of an outage, though asked."""
        if not self._failures:
            return False
        return now_ms - max(self.last_answer_ms, 0.0) >= self.policy.outage_ms

    def in_grace(self, now_ms: float) -> bool:
        """Whether keys that are missing may still come back."""
        return self.is_away(now_ms) or now_ms - self.returned_ms < self.policy.grace_ms

    def pause_ms(self) -> float:
        """Return how long to wait after the last failure."""
        doublings = min(max(self._failures - 1, 0), 6)
        return min(self.policy.first_pause_ms * 2**doublings, self.policy.max_pause_ms)
