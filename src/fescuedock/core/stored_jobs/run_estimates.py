"""What batch items take, learned from those that ran: events, time between events, and waits.

Pure: the caller passes the times.
"""

import msgspec

__all__ = ["RunShare", "RunEstimate"]


class RunEstimate(msgspec.Struct):
    """How many events items have and how long one takes.

    Until the first one the guess is a middling one: five seconds for 250 events.
    """

    gain: float = 0.1
    events: float = 250.0
    # Mean distance of an item's events from their mean.
    deviation: float = 50.0
    event_ms: float = 20.0
    _has_sample: bool = False

    def observe(self, events: int, event_ms: float) -> None:
        """Take in a whole item, and the mean time between two of its events."""
        if events < 2 or event_ms <= 0:
            return
        if not self._has_sample:
            self._has_sample = True
            self.events, self.event_ms = float(events), event_ms
            self.deviation = self.events / 5
            return
        self.deviation += self.gain * (abs(events - self.events) - self.deviation)
        self.events += self.gain * (events - self.events)
        self.event_ms += self.gain * (event_ms - self.event_ms)

    def rerun_ms(self, events_done: int) -> float:
        """Return how long it took, or would take again, to make what an item has so far."""
        return events_done * self.event_ms

    def left_ms(self, events_done: int) -> float:
        """Return how long an item still has to run; a deviation at least, as some are longer."""
        left = self.events - events_done
        return max(left, self.deviation, 1.0) * self.event_ms


class RunShare(msgspec.Struct):
    """Which share of the time items run, from their first run on; about the last 20 waits count.

    Online takes their slots now and then, so an item that needs 5 s may be done after 10.
    """

    gain: float = 0.05
    _run_ms: float = 1.0
    _wait_ms: float = 0.0

    @property
    def share(self) -> float:
        return self._run_ms / (self._run_ms + self._wait_ms)

    def observe(self, run_ms: float, wait_ms: float) -> None:
        """Take in that an item ran for ``run_ms`` and then waited for ``wait_ms``, 0 at its end."""
        self._run_ms += self.gain * (run_ms - self._run_ms)
        self._wait_ms += self.gain * (wait_ms - self._wait_ms)
