"""Decides whether and when to retry a failed attempt.

Retries use a budget that successes fill: during an outage nothing succeeds, the budget runs out,
and the load of retries ends by itself.  Waits are jittered, and nothing is retried that could not
complete by its deadline.

Pure: the caller passes the time and the randomness.
"""

import random

import msgspec

__all__ = ["AttemptHistory", "RetryBudget", "RetryPolicy"]


class RetryPolicy(msgspec.Struct, frozen=True):
    """Bounds of retrying.

    Retries may number the fraction ``share`` of recent successes.  ``reserve`` further retries,
    refilled at ``reserve_per_s``, are permitted while there is little traffic.  A request may fail
    ``max_attempts`` times without progress, and be resumed ``max_resumes`` times after progress.  A
    request that lost its upstream ``max_losses`` times before any output may be the cause of the
    losses and is not retried.
    """

    share: float = 0.2
    reserve: float = 10.0
    reserve_per_s: float = 1.0
    max_credit: float = 100.0
    max_attempts: int = 4
    max_resumes: int = 12
    max_losses: int = 2
    first_wait_ms: float = 10.0
    max_wait_ms: float = 1000.0


class RetryBudget(msgspec.Struct):
    """The retries that one process may still send."""

    policy: RetryPolicy = msgspec.field(default_factory=RetryPolicy)
    _credit: float = 0.0
    _reserve: float = -1.0
    _refilled_at_ms: float = 0.0

    def record_success(self) -> None:
        """Record that a request succeeded."""
        self._credit = min(self.policy.max_credit, self._credit + self.policy.share)

    def try_consume(self, now_ms: float) -> bool:
        """Use one retry; return False when the budget is empty."""
        self._refill(now_ms)
        if self._credit >= 1.0:
            self._credit -= 1.0
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


class AttemptHistory(msgspec.Struct):
    """The attempts of one request so far."""

    policy: RetryPolicy
    failed: int = 0
    resumed: int = 0
    losses: int = 0

    def record_failure(self, *, upstream_lost: bool, progress: bool) -> None:
        """Record a failed attempt.

        ``upstream_lost`` says that the upstream disappeared while it ran the request, ``progress``
        that the attempt produced some of the answer.
        """
        if progress:
            self.resumed += 1
            return
        self.failed += 1
        self.losses += upstream_lost

    def next_wait_ms(
        self, budget: RetryBudget, slack_ms: float, now_ms: float, rng: random.Random
    ) -> float | None:
        """Return how long to wait before the next attempt; None when there must be none.

        ``slack_ms`` is the time left until the deadline less the predicted run time.  The first
        retry waits little, as it goes to another upstream; later ones back off, with full jitter.
        The retry is taken from the ``budget``.
        """
        if self._is_exhausted:
            return None
        bound_ms = self.policy.first_wait_ms * 2 ** max(0, self.failed - 1)
        bound_ms = min(self.policy.max_wait_ms, bound_ms)
        wait_ms = rng.uniform(0.0, bound_ms)
        if wait_ms > slack_ms or not budget.try_consume(now_ms):
            return None
        return wait_ms

    @property
    def _is_exhausted(self) -> bool:
        policy = self.policy
        return (
            self.failed >= policy.max_attempts
            or self.resumed >= policy.max_resumes
            or self.losses >= policy.max_losses
        )
