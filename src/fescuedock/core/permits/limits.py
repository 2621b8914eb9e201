"""Concurrency limits of an upstream, learned from online latency and engine load.

The *hard* limit bounds all attempts.  It starts high and is lowered when the engine reports a
queue, or when online misses its objectives without batch running concurrently.  The *mixed* limit
bounds all attempts while batch is among them.  It starts low, rises in steps while online meets its
objectives, and is multiplied by a factor below 1 otherwise.  ``online_weight`` moves the mixed
limit from the number at which the objectives hold (0) to the peak of online by itself (1), so that
batch only fills the room below the peaks of online.
"""

from collections import deque

import msgspec

from fescuedock.core.permits.estimates import DecayedMean, DecayedPeak
from fescuedock.core.permits.outstanding import Concurrency
from fescuedock.schema.config import Objectives
from fescuedock.schema.settings import PermitSettings

__all__ = ["AttemptSample", "UpstreamLimits"]

# A limit is in use from this share of it on; raising it makes no difference below that.
_IN_USE_SHARE = 0.9
# Until its first cut a limit grows by this share per raise, to find the order of magnitude.
_SLOW_START_SHARE = 0.25
# Shares of the misses permitted by the objectives above which a limit is not raised, and is cut.
# The limit oscillates between the two, and all of that range must stay within the objectives.
_RAISE_SHARE = 0.25
_CUT_SHARE = 0.5
# Total weight of misses below which their share is not significant.
_MIN_MISSES = 2.0


class AttemptSample(msgspec.Struct, frozen=True):
    """Latency of one online attempt and the concurrency it ran under since ``since_ms``.

    A negative time is unknown.
    """

    first_token_ms: float
    inter_token_ms: float
    since_ms: float
    concurrency: Concurrency


class _Limit:
    """One additive-increase, multiplicative-decrease limit.

    Only attempts that started after the last cut and ran under the limit count as evidence.  Others
    reflect the limit before the cut, or a queue that it left behind, and would cause a second cut
    for the same reason.
    """

    __slots__ = (
        "cut_ms",
        "half_life_ms",
        "misses",
        "raise_confirmed",
        "raised_ms",
        "value",
        "was_cut",
    )

    def __init__(self, value: float, half_life_ms: float, now_ms: float) -> None:
        self.value = value
        self.half_life_ms = half_life_ms
        self.cut_ms = now_ms
        self.raised_ms = now_ms
        self.was_cut = False
        # Whether an attempt that started after the last raise has been observed.
        self.raise_confirmed = False
        self.misses = DecayedMean(half_life_ms)

    def observe(self, missed: bool, weight: float, sample: AttemptSample, now_ms: float) -> None:
        if not self.is_evidence(sample):
            return
        if weight > 0:
            self.misses.add(float(missed), now_ms, weight)
        if sample.since_ms >= self.raised_ms:
            self.raise_confirmed = True

    def is_evidence(self, sample: AttemptSample) -> bool:
        """Whether an attempt started after the last cut and ran under the limit."""
        under = sample.concurrency.in_flight <= self.value + 1.0
        return under and sample.since_ms >= self.cut_ms

    def cut(self, value: float, now_ms: float) -> None:
        self.value = max(min(self.value, value), 1.0)
        self.was_cut = True
        self.cut_ms = now_ms
        self.raised_ms = now_ms
        self.misses = DecayedMean(self.half_life_ms)


class UpstreamLimits:
    """The limits of one upstream."""

    def __init__(self, settings: PermitSettings, objectives: Objectives, now_ms: float) -> None:
        self._settings = settings
        self.objectives = objectives
        half_life_ms = settings.estimate_half_life_ms
        self._hard = _Limit(settings.max_limit, half_life_ms, now_ms)
        self._mixed = _Limit(settings.start_limit, half_life_ms, now_ms)
        self._peak = DecayedPeak(settings.peak_half_life_ms)
        self._burst = DecayedPeak(half_life_ms)
        self._arrivals_ms: deque[float] = deque()
        self._revocation = DecayedMean(half_life_ms)
        self._engine_cap = float(settings.max_limit)
        self._engine_cap_seen_ms = now_ms

    @property
    def hard(self) -> int:
        """Number of attempts that may run at once."""
        return max(int(self._hard.value), 1)

    def mixed(self, now_ms: float) -> int:
        """Number of attempts that may run at once while both batch and online run."""
        weight = self.objectives.online_weight
        sustainable = min(self._mixed.value, self._hard.value)
        own_peak = self._peak.value(now_ms) * (1.0 + self._settings.tail_rise)
        peak = min(own_peak, sustainable)
        return max(int(weight * peak + (1.0 - weight) * sustainable), 1)

    def headroom(self, now_ms: float) -> float:
        """Return the room to keep free for an online burst within one revocation time."""
        return self._burst.value(now_ms)

    @property
    def revocation_ms(self) -> float:
        """Time from a revocation to the end of its attempt."""
        return self._revocation.value(self._settings.revocation_ms)

    def observe_online_start(self, in_flight_online: int, now_ms: float) -> None:
        """Record the start of an online attempt, with ``in_flight_online`` now running."""
        self._peak.add(in_flight_online, now_ms)
        self._arrivals_ms.append(now_ms)
        window_ms = max(self._settings.burst_window_ms, self.revocation_ms)
        while self._arrivals_ms[0] < now_ms - window_ms:
            self._arrivals_ms.popleft()
        self._burst.add(len(self._arrivals_ms), now_ms)

    def observe_revocation(self, duration_ms: float, now_ms: float) -> None:
        self._revocation.add(duration_ms, now_ms)

    def observe_attempt(self, sample: AttemptSample, now_ms: float) -> None:
        """Record the latency of an online attempt; misses beyond the permitted share cut a limit.

        A miss counts against batch by batch's share of the concurrency, and against the number of
        online attempts by the rest.  The latter only applies when the first token is late, which
        indicates a queue: slow tokens are preferable to a refusal.
        """
        late = sample.first_token_ms > self.objectives.first_token_ms
        slow = sample.inter_token_ms > self.objectives.inter_token_ms
        batch_share = sample.concurrency.batch_share
        self._mixed.observe(late or slow, batch_share, sample, now_ms)
        if late or slow:
            self._cut_if_missed(self._mixed, _CUT_SHARE, sample, now_ms)
        if sample.first_token_ms >= 0:
            self._hard.observe(late, 1.0 - batch_share, sample, now_ms)
            if late:
                self._cut_if_missed(self._hard, 1.0, sample, now_ms)

    def observe_load(self, running: int, waiting: int, now_ms: float) -> None:
        """Record an engine's own load report, which is up to ``load_lag_ms`` old.

        An engine that queues shows how many attempts it can run.  Reports that arrive within the
        lag after a cut describe the state before the cut and are ignored.
        """
        if not waiting or running < 1:
            return
        if now_ms - self._hard.cut_ms < self._settings.load_lag_ms:
            return
        if running < self._hard.value:
            self._hard.cut(running, now_ms)
        self._engine_cap = running
        self._engine_cap_seen_ms = now_ms

    def online_cost(self) -> float:
        """Return how much of the mixed limit one online attempt uses."""
        return 1.0 + self._settings.online_reserve * self.objectives.online_weight

    def adjust(self, online: int, batch: int, now_ms: float) -> None:
        """Raise limits that are in use and met the objectives; must be called periodically."""
        headroom = self.headroom(now_ms)
        self._raise(self._hard, online + batch, self._ceiling(now_ms), now_ms)
        if batch:
            used = batch + online * self.online_cost() + headroom
            self._raise(self._mixed, used, self._hard.value, now_ms)

    def _cut_if_missed(
        self, limit: _Limit, share: float, sample: AttemptSample, now_ms: float
    ) -> None:
        """Cut when the misses exceed ``share`` of those permitted; a single miss may be chance."""
        misses = limit.misses.value(0.0)
        if not limit.is_evidence(sample) or misses * limit.misses.weight < _MIN_MISSES:
            return
        if misses > share * self._permitted_misses:
            limit.cut(sample.concurrency.in_flight * self._settings.limit_cut, now_ms)

    @property
    def _permitted_misses(self) -> float:
        return 1.0 - self.objectives.online_share

    def _ceiling(self, now_ms: float) -> float:
        """Return the maximum of the hard limit.

        It is the capacity that the engine has shown, and rises beyond that only after a while.
        """
        age = (now_ms - self._engine_cap_seen_ms) / self._settings.peak_half_life_ms
        return min(self._engine_cap * max(age, 1.0), self._settings.max_limit)

    def _raise(self, limit: _Limit, used: float, ceiling: float, now_ms: float) -> None:
        """Raise by a step if the limit is in use and the last raise has proved harmless."""
        in_use = used >= _IN_USE_SHARE * limit.value
        if not in_use or not limit.raise_confirmed or limit.value >= ceiling:
            return
        if now_ms - limit.raised_ms < self._settings.adjust_ms:
            return
        if limit.misses.value(0.0) > _RAISE_SHARE * self._permitted_misses:
            return
        step = self._settings.limit_step
        if not limit.was_cut:
            step = max(step, _SLOW_START_SHARE * limit.value)
        limit.value = min(limit.value + step, ceiling)
        limit.raised_ms = now_ms
        limit.raise_confirmed = False
