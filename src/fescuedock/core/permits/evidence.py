"""Turns the holders' reports on attempts into limits and predictions of one upstream."""

from fescuedock.core.permits.estimates import DecayedMean
from fescuedock.core.permits.limits import AttemptSample, UpstreamLimits
from fescuedock.core.permits.outstanding import OutstandingPermit, OutstandingPermits
from fescuedock.core.permits.prediction import FirstTokenModel
from fescuedock.core.permits.speed import UpstreamSpeed
from fescuedock.schema.config import Objectives
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, HeldPermit, WorkClass
from fescuedock.schema.settings import PermitSettings

__all__ = ["UpstreamEvidence"]

# Fewer tokens between two renewals do not give a usable rate.
_MIN_WINDOW_TOKENS = 8


class UpstreamEvidence:
    """Passes each report to the estimators; ``held`` supplies the concurrency it ran under."""

    def __init__(
        self,
        settings: PermitSettings,
        objectives: Objectives,
        held: OutstandingPermits,
        now_ms: float,
    ) -> None:
        half_life_ms = settings.estimate_half_life_ms
        self.limits = UpstreamLimits(settings, objectives, now_ms)
        self.first_token = FirstTokenModel(half_life_ms)
        self.speed = UpstreamSpeed(half_life_ms)
        self._held = held
        self._online_hold = DecayedMean(half_life_ms)

    def online_hold_ms(self, default: float) -> float:
        """Return the mean time for which an online attempt holds its permit."""
        return self._online_hold.value(default)

    def observe_end(self, held: OutstandingPermit, ended: EndedPermit, now_ms: float) -> None:
        """Record the final report of an attempt that still counts as outstanding."""
        if held.revoked_ms is not None:
            self.limits.observe_revocation(now_ms - held.revoked_ms, now_ms)
        recent_ms = ended.recent_token_ms if ended.recent_token_ms >= 0 else ended.inter_token_ms
        self.speed.observe_events(recent_ms, len(self._held), now_ms)
        if held.work_class is not WorkClass.ONLINE:
            return
        self._online_hold.add(now_ms - held.granted_ms, now_ms)
        if ended.outcome is AttemptOutcome.COMPLETED and ended.generated_tokens:
            self.speed.observe_length(ended.generated_tokens, now_ms)
        if ended.first_token_ms >= 0:
            self._observe_first_token(held, ended.first_token_ms, now_ms)
        if ended.inter_token_ms >= 0 and not held.window_tokens:
            self._observe_latency(held, -1.0, ended.inter_token_ms, now_ms)

    def observe_progress(self, held: OutstandingPermit, permit: HeldPermit, now_ms: float) -> None:
        """Record a renewal, which shows the current rate seconds before the attempt ends."""
        if permit.first_token_ms >= 0:
            self._observe_first_token(held, permit.first_token_ms, now_ms)
        held.generated_tokens = permit.generated_tokens
        held.first_token_ms = permit.first_token_ms
        tokens = permit.generated_tokens - held.window_tokens
        if tokens < _MIN_WINDOW_TOKENS:
            return
        if held.window_tokens:
            event_ms = (now_ms - held.window_start_ms) / tokens
            self.speed.observe_events(event_ms, len(self._held), now_ms)
            if held.work_class is WorkClass.ONLINE:
                self._observe_latency(held, -1.0, event_ms, now_ms)
        self._held.start_window(held, permit.generated_tokens, now_ms)

    def _observe_first_token(
        self, held: OutstandingPermit, first_token_ms: float, now_ms: float
    ) -> None:
        if held.start is None:
            return
        self.first_token.observe(held.start, first_token_ms, now_ms)
        self.speed.observe_start(held.start.prompt_tokens, first_token_ms, now_ms)
        held.start = None
        if held.work_class is WorkClass.ONLINE:
            self._observe_latency(held, first_token_ms, -1.0, now_ms)

    def _observe_latency(
        self, held: OutstandingPermit, first_token_ms: float, inter_token_ms: float, now_ms: float
    ) -> None:
        concurrency = self._held.concurrency_of(held, now_ms)
        sample = AttemptSample(first_token_ms, inter_token_ms, held.window_start_ms, concurrency)
        self.limits.observe_attempt(sample, now_ms)
