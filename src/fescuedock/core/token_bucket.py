"""A token bucket: what it grants in any span is at most its size and the rate over that span."""

import msgspec

__all__ = ["Bucket", "BucketTerms"]

# Shortest time that a refused caller is told to wait.
_LEAST_WAIT_MS = 50.0


class BucketTerms(msgspec.Struct, frozen=True):
    """``size`` tokens at the most, ``rate_per_s`` more each second, ``start`` of them at first."""

    rate_per_s: float
    size: float
    start: float


class Bucket(msgspec.Struct):
    """``told_until_ms`` is up to when refused callers have been told to come back."""

    tokens: float
    at_ms: float
    told_until_ms: float = float("-inf")

    def take(self, terms: BucketTerms, now_ms: float) -> bool:
        """Take one token; False when there is none."""
        passed_s = max(now_ms - self.at_ms, 0.0) / 1000
        self.tokens = min(self.tokens + passed_s * terms.rate_per_s, terms.size)
        self.at_ms = max(self.at_ms, now_ms)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_ms(self, terms: BucketTerms, now_ms: float, longest_ms: float) -> float:
        """Return when a refused caller may come back, each one a token later than the one before.

        Told the same time, they would come back together, and all but one be refused again.
        """
        if terms.rate_per_s <= 0:
            return longest_ms
        token_ms = 1000 / terms.rate_per_s
        first_ms = now_ms + (1.0 - self.tokens) * token_ms
        due_ms = max(first_ms, self.told_until_ms + token_ms)
        if due_ms - now_ms > longest_ms:
            # Who is told so much may as well come at any time before it.
            return longest_ms
        self.told_until_ms = due_ms
        return max(due_ms - now_ms, _LEAST_WAIT_MS)
