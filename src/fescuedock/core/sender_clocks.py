"""When messages that nobody asked for were sent, by this process's clock.

A message may wait in a sender that stands still, behind a cut, or in a receiver that stands still;
what it says is as old as that.  Its sender's own time tells how old, once a question and its answer
have shown how far that clock is off: the answer was sent no earlier than the question.

Pure: the caller passes the times.
"""

import msgspec

__all__ = ["SenderClocks"]

# Two clocks run apart by less than 0.1 ms a second; ten times that for the bound to hold.
_DRIFT_MS_PER_S = 1.0
# A bound that is older is shown anew; by then it has lost 60 ms to the drift that is allowed for.
_BOUND_VALIDITY_MS = 60_000.0
# Senders remembered, about 150 bytes each: ten groups of nodes that tell each other.
_MAX_SENDERS = 256


class _Bound(msgspec.Struct):
    """This process's clock is ahead of the sender's by ``ahead_ms`` at least, as of ``at_ms``."""

    ahead_ms: float
    at_ms: float

    def at(self, now_ms: float) -> float:
        return self.ahead_ms - (now_ms - self.at_ms) / 1000 * _DRIFT_MS_PER_S


class SenderClocks(msgspec.Struct):
    """How far the clocks of senders are off; a restarted sender must have another name."""

    _bounds: dict[str, _Bound] = msgspec.field(default_factory=dict)

    def record_reply(self, sender: str, asked_ms: float, sent_ms: float) -> None:
        """Take an answer that was sent at ``sent_ms`` by its sender's clock."""
        ahead_ms = asked_ms - sent_ms
        known = self._bounds.get(sender)
        if known is not None:
            ahead_ms = max(ahead_ms, known.at(asked_ms))
        elif len(self._bounds) >= _MAX_SENDERS:
            del self._bounds[min(self._bounds, key=lambda name: self._bounds[name].at_ms)]
        self._bounds[sender] = _Bound(ahead_ms, asked_ms)

    def is_known(self, sender: str, now_ms: float) -> bool:
        """Whether the sender's clock was compared lately."""
        known = self._bounds.get(sender)
        return known is not None and now_ms - known.at_ms < _BOUND_VALIDITY_MS

    def earliest_sent_ms(self, sender: str, sent_ms: float, now_ms: float) -> float:
        """Return a time of this process's clock at which a message was not sent yet, or just then.

        ``sent_ms`` is by its sender's clock; infinitely long ago for an unknown sender.
        """
        known = self._bounds.get(sender)
        return float("-inf") if known is None else sent_ms + known.at(now_ms)
