"""Speed of one upstream: its long-term speed, and a slowdown factor for slow periods.

Both are derived from the holders' reports on running and ended attempts.  The long-term speed is
learned over tens of seconds and per number of concurrent attempts, so that a full upstream is not
taken for a slow one; a full one is recognized by its queue.  The factor follows the latest pauses
between events and decays within a second without evidence.

Pure: the caller passes the time.
"""

import msgspec

from fescuedock.core.permits.estimates import DecayedLine, DecayedMean

__all__ = ["SLOWNESS_HALF_LIFE_MS", "Speed", "UpstreamSpeed"]

# Slow periods of upstreams last about 600 ms: after a second without evidence 1/16 remains.
SLOWNESS_HALF_LIFE_MS = 250.0
# Weight of one report in the factor.  Reports arrive every 80 ms from 8 slots of 0.6 s: two make
# most of a factor of 2.5 visible, while a single one may be a pause of the network.
_SLOWNESS_GAIN = 0.5
_MAX_SLOWNESS = 10.0
# Larger samples are capped at this multiple of the usual value, so that slow periods hardly change
# the long-term speed while a lasting change still does, step by step.
_MAX_SAMPLE_RATIO = 1.5


class Speed(msgspec.Struct, frozen=True):
    """Estimates of one upstream; times are 0 and ``age_ms`` is negative while nothing is known.

    ``start_ms`` is the time to the first event without that of the prompt, ``event_ms`` the time
    between two events at the given concurrency, and ``run_ms`` the time from the first to the last
    event of a typical call.  None of them includes the factor ``slowness`` or any wait for a slot.
    """

    start_ms: float = 0.0
    prompt_token_ms: float = 0.0
    event_ms: float = 0.0
    run_ms: float = 0.0
    slowness: float = 1.0
    age_ms: float = -1.0


class UpstreamSpeed:
    """The learned speed of one upstream; a new owner or upstream starts without knowledge."""

    __slots__ = (
        "_event",
        "_event_count",
        "_last_evidence_ms",
        "_slowness",
        "_slowness_updated_ms",
        "_start",
    )

    def __init__(self, half_life_ms: float) -> None:
        self._start = DecayedLine(half_life_ms)
        self._event = DecayedLine(half_life_ms)
        self._event_count = DecayedMean(half_life_ms)
        self._slowness = 1.0
        self._slowness_updated_ms = 0.0
        self._last_evidence_ms = -float("inf")

    def observe_start(self, prompt_tokens: int, first_event_ms: float, now_ms: float) -> None:
        """Record the time from the grant to the first event of an attempt."""
        usual_ms = self._start.value(prompt_tokens, first_event_ms)
        self._start.add(prompt_tokens, min(first_event_ms, _MAX_SAMPLE_RATIO * usual_ms), now_ms)
        self._last_evidence_ms = now_ms

    def observe_events(self, event_ms: float, in_flight: int, now_ms: float) -> None:
        """Record a recent time between two events of one of ``in_flight`` running attempts."""
        if event_ms <= 0:
            return
        usual_ms = self._event.value(in_flight, event_ms) or event_ms
        ratio = min(event_ms / usual_ms, _MAX_SLOWNESS)
        before = self.slowness(now_ms)
        self._slowness = max(before + _SLOWNESS_GAIN * (ratio - before), 1.0)
        self._slowness_updated_ms = now_ms
        self._event.add(in_flight, min(event_ms, _MAX_SAMPLE_RATIO * usual_ms), now_ms)
        self._last_evidence_ms = now_ms

    def observe_length(self, events: int, now_ms: float) -> None:
        """Record the number of events of a complete answer to a call."""
        self._event_count.add(events, now_ms)

    def slowness(self, now_ms: float) -> float:
        """Return the current slowdown factor relative to the usual speed, at least 1."""
        decay = 0.5 ** (max(now_ms - self._slowness_updated_ms, 0.0) / SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self._slowness - 1.0) * decay

    def speed(self, in_flight: int, now_ms: float) -> Speed:
        """Return the estimates for an attempt that would be one of ``in_flight``."""
        if self._last_evidence_ms == -float("inf"):
            return Speed()
        event_ms = self._event.value(in_flight, 0.0)
        return Speed(
            start_ms=self._start.value(0.0, 0.0),
            prompt_token_ms=self._start.slope,
            event_ms=event_ms,
            run_ms=max(self._event_count.value(0.0) - 1.0, 0.0) * event_ms,
            slowness=self.slowness(now_ms),
            age_ms=now_ms - self._last_evidence_ms,
        )
