"""Estimates the run time of batch items from completed ones: events, event interval and waits.

Pure: the caller passes the times.
"""

import msgspec

__all__ = ["RunEstimate", "RunShare"]


class RunEstimate(msgspec.Struct):
    """Moving averages of an item's number of events and of the time per event.

    ``gain`` is the weight of a new sample.  Until the first item has completed, the estimate is a
    typical item: 250 events in five seconds.
    """

    gain: float = 0.1
    events: float = 250.0
    # Mean absolute deviation of the number of events.
    deviation: float = 50.0
    event_ms: float = 20.0
    _has_sample: bool = False

    def observe(self, events: int, event_ms: float) -> None:
        """Add a completed item with its number of events and mean time between two events."""
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
        """Return the time to generate this many events, which a restart would take again."""
        return events_done * self.event_ms

    def left_ms(self, events_done: int) -> float:
        """Return the remaining run time of an item.

        It is at least the mean deviation, as some items have more events than the mean.
        """
        left = self.events - events_done
        return max(left, self.deviation, 1.0) * self.event_ms


class RunShare(msgspec.Struct):
    """The share of time that items are running, from their first run on.

    A moving average over about the last 20 waits.  Online calls preempt slots of batch items, so an
    item with 5 s of run time may take 10 s to complete.
    """

    gain: float = 0.05
    _run_ms: float = 1.0
    _wait_ms: float = 0.0

    @property
    def share(self) -> float:
        return self._run_ms / (self._run_ms + self._wait_ms)

    def observe(self, run_ms: float, wait_ms: float) -> None:
        """Add a run of ``run_ms`` and the wait after it, which is 0 for an item's last run."""
        self._run_ms += self.gain * (run_ms - self._run_ms)
        self._wait_ms += self.gain * (wait_ms - self._wait_ms)
