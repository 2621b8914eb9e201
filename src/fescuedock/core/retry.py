"""Decides whether an attempt that failed may be followed by another, and when.

Retries come out of a budget that successes fill: in an outage nothing succeeds, the budget runs
dry, and the load of retries ends by itself.  Waits are jittered, and nothing is retried that could
not be whole by its deadline.

Pure: the caller passes the time and the randomness.
"""

import random
from dataclasses import dataclass, field

__all__ = ["RetryBudget", "RetryPolicy", "retry_wait_ms"]


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Bounds of retrying.

    ``share`` of recent successes may be retries; ``reserve`` retries are allowed besides while
    there is little traffic, refilled at ``reserve_per_s``.
    """

    share: float = 0.2
    reserve: float = 10.0
    reserve_per_s: float = 1.0
    max_saved: float = 100.0
    max_attempts: int = 4
    first_wait_ms: float = 10.0
    max_wait_ms: float = 1000.0


@dataclass(slots=True)
class RetryBudget:
    """How many retries one process may still send."""

    policy: RetryPolicy = field(default_factory=RetryPolicy)
    _saved: float = 0.0
    _reserve: float = -1.0
    _refilled_at_ms: float = 0.0

    def succeeded(self) -> None:
        """Note that a request was answered well."""
        self._saved = min(self.policy.max_saved, self._saved + self.policy.share)

    def take(self, now_ms: float) -> bool:
        """Use up one retry; False when the budget is dry."""
        self._refill(now_ms)
        if self._saved >= 1.0:
            self._saved -= 1.0
            return True
        if self._reserve >= 1.0:
            self._reserve -= 1.0
            return True
        return False

    def _refill(self, now_ms: float) -> None:
        if self._reserve < 0.0:
            self._reserve = self.policy.reserve
        else:
            added = (now_ms - self._refilled_at_ms) / 1000.0 * self.policy.reserve_per_s
            self._reserve = min(self.policy.reserve, self._reserve + max(0.0, added))
        self._refilled_at_ms = now_ms


def retry_wait_ms(
    policy: RetryPolicy, attempts_made: int, slack_ms: float, rng: random.Random
) -> float | None:
    """Return how long to wait before the next attempt; None when there should be none.

    ``slack_ms`` is the time left until the deadline less the predicted run time.  The first retry
    goes to another upstream and need not wait long; later ones back off, with full jitter.
    """
    if attempts_made >= policy.max_attempts:
        return None
    bound_ms = min(policy.max_wait_ms, policy.first_wait_ms * 2 ** (attempts_made - 1))
    wait_ms = rng.uniform(0.0, bound_ms)
    if wait_ms > slack_ms:
        return None
    return wait_ms
