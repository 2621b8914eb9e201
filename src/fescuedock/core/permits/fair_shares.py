"""Fair queueing of customers by virtual time, with the cost of their work in tokens.

Work gets the tag at which its customer's use, divided by its weight, would begin: that of the work
served last for a customer that used no more than others, and later for one that did.  Use of
capacity that nobody waited for is not counted, and use is forgotten after ``FORGET_MS``.

Pure: the caller passes the time.
"""

from collections.abc import Mapping

import msgspec

__all__ = ["FORGET_MS", "FairShares"]

# A customer's use counts for the length of a few calls after it ended.
FORGET_MS = 3000.0
# Engines read a prompt's token in 1/380 to 1/260 of the time of a generated one.
_PROMPT_TOKEN_COST = 1 / 256
# Of work that does not say how much it generates, until some has ended.
_USUAL_TOKENS = 32.0
_USUAL_GAIN = 0.1


class _Use(msgspec.Struct):
    """Up to which virtual time a customer has been served, and when it was last charged."""

    until: float
    at_ms: float


class FairShares(msgspec.Struct):
    """The virtual time of one queue and each customer's place in it."""

    time: float = 0.0
    _usual_tokens: float = _USUAL_TOKENS
    _uses: dict[str, _Use] = msgspec.field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of customers of whom anything is kept."""
        return len(self._uses)

    def cost(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return what work is expected to cost, in generated tokens."""
        generated = min(max_tokens, self._usual_tokens) if max_tokens else self._usual_tokens
        return generated + prompt_tokens * _PROMPT_TOKEN_COST

    def start(self, member: str) -> float:
        """Return the tag of a customer's next work."""
        use = self._uses.get(member)
        return self.time if use is None else max(use.until, self.time)

    def charge(self, member: str, cost: float, weight: float, now_ms: float) -> None:
        """Take in that work of a customer starts while other work waits."""
        start = self.start(member)
        self.time = max(self.time, start)
        self._uses[member] = _Use(start + cost / weight, now_ms)

    def correct(self, member: str, cost: float, weight: float, now_ms: float) -> None:
        """Add what work has cost beyond what it was charged; below 0 when it was less."""
        use = self._uses.get(member)
        if use is not None:
            use.until += cost / weight
            use.at_ms = now_ms

    def learn_tokens(self, generated_tokens: int) -> None:
        """Take in how much a piece of work generated."""
        self._usual_tokens += _USUAL_GAIN * (generated_tokens - self._usual_tokens)

    def forget(self, now_ms: float, running: Mapping[str, int], *, anyone_waits: bool) -> None:
        """Drop what no longer makes a difference; all of it while there is room for everybody."""
        if not self._uses:
            return
        if not anyone_waits:
            self._uses.clear()
            return
        ended = [
            member
            for member, use in self._uses.items()
            if use.until <= self.time or (member not in running and now_ms >= use.at_ms + FORGET_MS)
        ]
        for member in ended:
            del self._uses[member]
