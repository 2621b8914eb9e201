"""Fair queueing of customers by virtual time, with costs in tokens.

A request is tagged with the virtual time at which its customer's use, divided by its weight,
begins.  That is the tag served last for a customer that used no more than others, and a later one
for a customer that used more.  Capacity used while no request was waiting is not counted, and use
is forgotten after ``USE_RETENTION_MS``.

Pure: the caller passes the time.
"""

from collections.abc import Mapping

import msgspec

__all__ = ["USE_RETENTION_MS", "FairShares"]

# A customer's use counts for the length of a few calls after it ended.
USE_RETENTION_MS = 3000.0
# Engines process a prompt token in 1/380 to 1/260 of the time of a generated token.
_PROMPT_TOKEN_COST = 1 / 256
# Assumed output of work without a token limit, until observed outputs replace it.
_INITIAL_MEAN_TOKENS = 32.0
_MEAN_TOKENS_GAIN = 0.1


class _Use(msgspec.Struct):
    """The virtual time up to which a customer was served, and when it was last charged."""

    served_until: float
    charged_ms: float


class FairShares(msgspec.Struct):
    """The virtual time of one queue and each customer's position in it."""

    virtual_time: float = 0.0
    _mean_tokens: float = _INITIAL_MEAN_TOKENS
    _uses: dict[str, _Use] = msgspec.field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of customers with recorded use."""
        return len(self._uses)

    def cost(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return the expected cost of work, in generated tokens."""
        generated = min(max_tokens, self._mean_tokens) if max_tokens else self._mean_tokens
        return generated + prompt_tokens * _PROMPT_TOKEN_COST

    def start(self, member: str) -> float:
        """Return the virtual start tag of a customer's next request."""
        use = self._uses.get(member)
        return self.virtual_time if use is None else max(use.served_until, self.virtual_time)

    def charge(self, member: str, cost: float, weight: float, now_ms: float) -> None:
        """Charge a customer for work that starts while other work waits."""
        start = self.start(member)
        self.virtual_time = max(self.virtual_time, start)
        self._uses[member] = _Use(start + cost / weight, now_ms)

    def correct(self, member: str, cost: float, weight: float, now_ms: float) -> None:
        """Add ``cost``, the difference between actual and charged cost, which may be negative."""
        use = self._uses.get(member)
        if use is not None:
            use.served_until += cost / weight
            use.charged_ms = now_ms

    def observe_tokens(self, generated_tokens: int) -> None:
        """Record the number of tokens that one unit of work generated."""
        self._mean_tokens += _MEAN_TOKENS_GAIN * (generated_tokens - self._mean_tokens)

    def forget(self, now_ms: float, running: Mapping[str, int], *, has_waiting: bool) -> None:
        """Drop entries that no longer affect the order, or all of them while no request waits."""
        if not self._uses:
            return
        if not has_waiting:
            self._uses.clear()
            return
        ended = [
            member
            for member, use in self._uses.items()
            if use.served_until <= self.virtual_time
            or (member not in running and now_ms >= use.charged_ms + USE_RETENTION_MS)
        ]
        for member in ended:
            del self._uses[member]
