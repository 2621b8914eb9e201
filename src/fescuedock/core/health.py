"""Judges the health of upstreams by the outcomes of their attempts, without probing them.

The owner of an upstream reports every outcome to its ``HealthTracker``.  Faults add to a score by
their weight, successes subtract from it, and it halves with time.  Beyond a threshold the upstream
is taken out of service.  It returns only after several successful trials in a row, so that a
flapping upstream does not alternate.  A cap bounds the number of upstreams out of service.

Pure: the caller passes the time.
"""

from collections.abc import Collection

import msgspec

from fescuedock.schema.permits import AttemptOutcome

__all__ = ["FAULT_WEIGHTS", "HealthPolicy", "HealthTracker"]

# Weight of an outcome as evidence against the upstream.  A refused connection means a dead process;
# a server error may be caused by the request.  Other outcomes are neutral: a client error is the
# caller's fault, a cancellation or revocation our own doing.
FAULT_WEIGHTS = {
    AttemptOutcome.CONNECT_REFUSED: 3.0,
    AttemptOutcome.CONNECT_TIMEOUT: 3.0,
    AttemptOutcome.RESPONSE_TIMEOUT: 2.0,
    AttemptOutcome.TRUNCATED: 2.0,
    AttemptOutcome.SERVER_ERROR: 1.0,
}


class HealthPolicy(msgspec.Struct, frozen=True):
    """Thresholds of ``HealthTracker``; scores are in units of ``FAULT_WEIGHTS``.

    An upstream whose score reaches ``out_score`` is taken out of service, and returns after
    ``required_trials`` successful trials.  At most ``max_out_share`` of the fleet's upstreams are
    out at once.
    """

    out_score: float = 6.0
    success_credit: float = 1.0
    half_life_ms: float = 10000.0
    required_trials: int = 2
    first_trial_ms: float = 500.0
    max_trial_ms: float = 15000.0
    trial_timeout_ms: float = 10000.0
    max_out_share: float = 0.5


class _Record(msgspec.Struct):
    """The score of one upstream and, while it is out of service, its trials."""

    score: float = 0.0
    scored_at_ms: float = 0.0
    out: bool = False
    trial_interval_ms: float = 0.0
    next_trial_ms: float = 0.0
    trial_ends_ms: float | None = None
    trials_passed: int = 0


class HealthTracker(msgspec.Struct):
    """The health of the upstreams of one service that one owner is responsible for."""

    policy: HealthPolicy = msgspec.field(default_factory=HealthPolicy)
    fleet_count: int = 1
    _records: dict[str, _Record] = msgspec.field(default_factory=dict)

    def set_upstreams(self, owned: Collection[str], fleet_count: int) -> None:
        """Forget upstreams not in ``owned``; the cap is a share of ``fleet_count``."""
        self.fleet_count = max(1, fleet_count)
        for upstream_id in tuple(self._records):
            if upstream_id not in owned:
                del self._records[upstream_id]

    def observe(self, upstream_id: str, outcome: AttemptOutcome, now_ms: float) -> None:
        """Record the outcome of one attempt on ``upstream_id``."""
        record = self._records.setdefault(upstream_id, _Record(scored_at_ms=now_ms))
        if record.out:
            self._observe_trial(record, outcome, now_ms)
            return
        self._decay(record, now_ms)
        if outcome is AttemptOutcome.COMPLETED:
            record.score = max(0.0, record.score - self.policy.success_credit)
            return
        record.score += FAULT_WEIGHTS.get(outcome, 0.0)
        if record.score >= self.policy.out_score and self._may_take_out_of_service():
            self._take_out_of_service(record, now_ms)

    def accepting(self, upstream_id: str) -> bool:
        """Whether ``upstream_id`` gets ordinary work."""
        record = self._records.get(upstream_id)
        return record is None or not record.out

    def start_trial(self, upstream_id: str, now_ms: float) -> bool:
        """Whether one attempt may go to an upstream that is out of service, as a trial.

        At most one trial runs at a time, and the wait between trials doubles up to a bound.
        """
        record = self._records.get(upstream_id)
        if record is None or not record.out:
            return False
        under_way = record.trial_ends_ms is not None and now_ms < record.trial_ends_ms
        if under_way or now_ms < record.next_trial_ms:
            return False
        record.trial_ends_ms = now_ms + self.policy.trial_timeout_ms
        return True

    def next_trial_ms(self, upstream_id: str) -> float:
        """Return the time before which ``start_trial`` returns False; 0 when it is in service."""
        record = self._records.get(upstream_id)
        if record is None or not record.out:
            return 0.0
        return max(record.next_trial_ms, record.trial_ends_ms or 0.0)

    @property
    def out_count(self) -> int:
        return sum(record.out for record in self._records.values())

    def _may_take_out_of_service(self) -> bool:
        # At least one may always be taken out: an owner often has a single upstream of a small
        # fleet, and entries have their own rule for too many refusing owners.
        return self.out_count + 1 <= max(1.0, self.policy.max_out_share * self.fleet_count)

    def _decay(self, record: _Record, now_ms: float) -> None:
        age_ms = max(0.0, now_ms - record.scored_at_ms)
        record.score *= 0.5 ** (age_ms / self.policy.half_life_ms)
        record.scored_at_ms = now_ms

    def _take_out_of_service(self, record: _Record, now_ms: float) -> None:
        record.out = True
        record.trials_passed = 0
        record.trial_ends_ms = None
        record.trial_interval_ms = self.policy.first_trial_ms
        record.next_trial_ms = now_ms + record.trial_interval_ms

    def _observe_trial(self, record: _Record, outcome: AttemptOutcome, now_ms: float) -> None:
        """Record the outcome of a trial; a fault doubles the wait before the next one."""
        if record.trial_ends_ms is None:
            # The attempt started while the upstream was in service, so it is not a trial.
            return
        record.trial_ends_ms = None
        if outcome is AttemptOutcome.COMPLETED:
            self._record_passed_trial(record, now_ms)
        elif outcome in FAULT_WEIGHTS:
            record.trials_passed = 0
            wait_ms = min(self.policy.max_trial_ms, record.trial_interval_ms * 2)
            record.trial_interval_ms = wait_ms
            record.next_trial_ms = now_ms + wait_ms

    def _record_passed_trial(self, record: _Record, now_ms: float) -> None:
        record.trials_passed += 1
        record.next_trial_ms = now_ms
        if record.trials_passed < self.policy.required_trials:
            return
        record.out = False
        record.score = 0.0
        record.scored_at_ms = now_ms
