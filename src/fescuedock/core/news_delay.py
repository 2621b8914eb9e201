"""How long one-way messages were on their way, by clocks that have nothing to do with each other.

A message may wait in a sender that stands still, behind a cut, or in a receiver that stands still;
what it says is as old as that.  The difference of two machines' clocks is not known, but it hardly
changes, so the fastest message from a sender tells how much longer each other one took.

Pure: the caller passes the times.
"""

import msgspec

__all__ = ["NewsDelays"]

# Two clocks run apart by less than 0.1 ms a second; ten times that, so that a drift is never taken
# for a delay, while a delay of 2 s counts for over half an hour.
_DRIFT_MS_PER_S = 1.0
# Senders remembered, about 150 bytes each: ten groups of nodes that tell each other.
_MOST_SENDERS = 256


class _Fastest(msgspec.Struct):
    """The least difference between receipt and sending, and when it was taken."""

    offset_ms: float
    at_ms: float


class NewsDelays(msgspec.Struct):
    """The fastest message of each sender; a restarted one must have another name."""

    _fastest: dict[str, _Fastest] = msgspec.field(default_factory=dict)

    def observe(self, sender: str, sent_ms: float, received_ms: float) -> float:
        """Return how much longer than the fastest from ``sender`` this message took.

        ``sent_ms`` is by the sender's clock, ``received_ms`` by this process's.  0 for the first.
        """
        offset_ms = received_ms - sent_ms
        known = self._fastest.get(sender)
        if known is None:
            self._make_room()
            self._fastest[sender] = _Fastest(offset_ms, received_ms)
            return 0.0
        drift_ms = (received_ms - known.at_ms) / 1000 * _DRIFT_MS_PER_S
        least_ms = known.offset_ms + drift_ms
        known.at_ms = received_ms
        known.offset_ms = min(least_ms, offset_ms)
        return max(offset_ms - least_ms, 0.0)

    def _make_room(self) -> None:
        if len(self._fastest) < _MOST_SENDERS:
            return
        silent = min(self._fastest, key=lambda sender: self._fastest[sender].at_ms)
        del self._fastest[silent]
