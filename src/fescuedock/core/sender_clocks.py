"""Determines by this process's clock when unsolicited messages were sent.

A message may be delayed in a suspended sender, by a network cut, or in a suspended receiver, and
its content is that old.  The sender's timestamp gives the age once a request and its reply have
bounded the offset of the sender's clock: the reply was sent no earlier than the request.

Pure: the caller passes the times.
"""

import msgspec

__all__ = ["SenderClocks"]

# Two clocks drift apart by less than 0.1 ms per second; the bound allows ten times that.
_DRIFT_MS_PER_S = 1.0
# An older bound must be renewed; by then the permitted drift has cost it 60 ms.
_BOUND_VALIDITY_MS = 60_000.0
# Number of senders remembered, about 150 bytes each: ten groups of nodes that exchange messages.
_MAX_SENDERS = 256


class _Bound(msgspec.Struct):
    """This process's clock is at least ``ahead_ms`` ahead of the sender's, as of ``at_ms``."""

    ahead_ms: float
    at_ms: float

    def at(self, now_ms: float) -> float:
        return self.ahead_ms - (now_ms - self.at_ms) / 1000 * _DRIFT_MS_PER_S


class SenderClocks(msgspec.Struct):
    """Bounds on the clock offsets of senders; a restarted sender must use another name."""

    _bounds: dict[str, _Bound] = msgspec.field(default_factory=dict)

    def record_reply(self, sender: str, requested_ms: float, sent_ms: float) -> None:
        """Record a reply, sent at ``sent_ms`` by the sender's clock, to one's own request."""
        ahead_ms = requested_ms - sent_ms
        known = self._bounds.get(sender)
        if known is not None:
            ahead_ms = max(ahead_ms, known.at(requested_ms))
        elif len(self._bounds) >= _MAX_SENDERS:
            del self._bounds[min(self._bounds, key=lambda name: self._bounds[name].at_ms)]
        self._bounds[sender] = _Bound(ahead_ms, requested_ms)

    def is_known(self, sender: str, now_ms: float) -> bool:
        """Whether the sender's clock was compared recently."""
        known = self._bounds.get(sender)
        return known is not None and now_ms - known.at_ms < _BOUND_VALIDITY_MS

    def earliest_sent_ms(self, sender: str, sent_ms: float, now_ms: float) -> float:
        """Return a time by this process's clock not later than the sending of a message.

        ``sent_ms`` is by the sender's clock; the result is minus infinity for an unknown sender.
        """
        known = self._bounds.get(sender)
        return float("-inf") if known is None else sent_ms + known.at(now_ms)
