"""A token bucket: grants in any interval are at most its size plus the rate over the interval."""

from collections import deque

import msgspec

__all__ = ["Bucket", "BucketTerms", "SendBucket", "remove_grant"]

# Minimum wait that is reported to a refused caller.
_MIN_WAIT_MS = 50.0
# How long a grant is remembered until its call is sent; calls are abandoned sooner.
_MAX_UNSENT_MS = 10_000.0


class BucketTerms(msgspec.Struct, frozen=True):
    """Parameters of a bucket: at most ``size`` tokens, refilled by ``rate_per_s``.

    A share starts with ``start_tokens``.
    """

    rate_per_s: float
    size: float
    start_tokens: float


class Bucket(msgspec.Struct):
    """Tokens as of ``refilled_ms``; retry times up to ``assigned_until_ms`` have been assigned."""

    tokens: float
    refilled_ms: float
    assigned_until_ms: float = float("-inf")

    def refill(self, terms: BucketTerms, now_ms: float) -> None:
        """Add the tokens accumulated up to ``now_ms``."""
        passed_s = max(now_ms - self.refilled_ms, 0.0) / 1000
        self.tokens = min(self.tokens + passed_s * terms.rate_per_s, terms.size)
        self.refilled_ms = max(self.refilled_ms, now_ms)

    def try_acquire(self, terms: BucketTerms, now_ms: float) -> bool:
        """Acquire one token; return False when there is none."""
        self.refill(terms, now_ms)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_ms(self, terms: BucketTerms, now_ms: float, max_wait_ms: float) -> float:
        """Return when a refused caller should retry, one token later than the previous caller.

        If all were given the same time, they would retry together, and all but one be refused
        again.
        """
        if terms.rate_per_s <= 0:
            return max_wait_ms
        token_ms = 1000 / terms.rate_per_s
        first_ms = now_ms + (1.0 - self.tokens) * token_ms
        due_ms = max(first_ms, self.assigned_until_ms + token_ms)
        if due_ms - now_ms > max_wait_ms:
            # A caller that must wait this long may as well retry at any time before.
            return max_wait_ms
        self.assigned_until_ms = due_ms
        return max(due_ms - now_ms, _MIN_WAIT_MS)


class SendBucket(msgspec.Struct):
    """A token bucket for calls that may wait between their grant and their sending.

    Grants spread over seconds may all be sent at once, so a call that waited returns its token and
    acquires another one when it is sent.  ``_before_grants`` is the bucket before the remembered
    grants.
    """

    _bucket: Bucket
    _before_grants: Bucket | None = None
    _granted_ms: deque[float] = msgspec.field(default_factory=deque)

    def try_acquire(self, terms: BucketTerms, now_ms: float) -> bool:
        """Acquire one token; return False when there is none."""
        if self._before_grants is None:
            self._before_grants = Bucket(self._bucket.tokens, self._bucket.refilled_ms)
        while self._granted_ms and self._granted_ms[0] <= now_ms - _MAX_UNSENT_MS:
            _replay(self._before_grants, terms, self._granted_ms.popleft())
        if not self._bucket.try_acquire(terms, now_ms):
            return False
        self._granted_ms.append(now_ms)
        return True

    def add(self, terms: BucketTerms, tokens: float, now_ms: float) -> None:
        """Add tokens, up to the size of the bucket, and forget earlier grants."""
        self._bucket.refill(terms, now_ms)
        self._bucket.tokens = min(self._bucket.tokens + tokens, terms.size)
        self._before_grants = None
        self._granted_ms.clear()

    def try_reacquire(self, terms: BucketTerms, granted_ms: float, now_ms: float) -> bool:
        """Acquire a token now in place of one that was acquired up to ``granted_ms``."""
        if self._before_grants is not None and remove_grant(self._granted_ms, granted_ms):
            bucket = Bucket(
                self._before_grants.tokens,
                self._before_grants.refilled_ms,
                self._bucket.assigned_until_ms,
            )
            for at_ms in self._granted_ms:
                _replay(bucket, terms, at_ms)
            self._bucket = bucket
        return self.try_acquire(terms, now_ms)

    def wait_ms(self, terms: BucketTerms, now_ms: float, max_wait_ms: float) -> float:
        """See ``Bucket.wait_ms``."""
        return self._bucket.wait_ms(terms, now_ms, max_wait_ms)


def _replay(bucket: Bucket, terms: BucketTerms, at_ms: float) -> None:
    bucket.refill(terms, at_ms)
    # Negative if the limit has been lowered since.
    bucket.tokens -= 1.0


def remove_grant(granted_ms: deque[float], at_ms: float) -> bool:
    """Remove the grant of a call that is only sent now; return False if there is none.

    The latest grant not after ``at_ms`` is removed: the call's own or an older one, which would
    expire sooner.
    """
    for position in range(len(granted_ms) - 1, -1, -1):
        if granted_ms[position] <= at_ms:
            del granted_ms[position]
            return True
    return False
