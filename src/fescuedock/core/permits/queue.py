"""The queue of one upstream: decides which attempts start, wait or are revoked.

An online request is granted at once while the number of online attempts is below the hard limit.
If more than the mixed limit is in flight then, batch permits are revoked in the same step.  During
a revocation the upstream therefore exceeds its limit by at most the permits being revoked.  A few
batch runs that were cut off repeatedly are protected from online requests that can use other
upstreams.  Batch is granted only into room beyond the headroom for online bursts.
"""

from collections import OrderedDict

from fescuedock.core.permits.actions import Action, Granted, Refused, Revoked
from fescuedock.core.permits.evidence import UpstreamEvidence
from fescuedock.core.permits.outstanding import OutstandingPermit, OutstandingPermits
from fescuedock.core.permits.refusals import RetryTimes
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.core.permits.waiting import WaitingRequest, WaitingRequests
from fescuedock.schema.permits import EndedPermit, HeldPermit, LoadSnapshot, PermitAsk, WorkClass
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import PermitSettings

__all__ = ["UpstreamQueue"]

# If an owner did not run for this share of the validity, missing renewals are its own fault.
_PAUSE_VALIDITY_SHARE = 0.5
# How long a peak of online attempts keeps batch from starting: the usual pause between two online
# calls at an upstream whose slots are full of them (8 slots of 0.75 s each: 94 ms), plus one half.
_PEAK_HOLD_MS = 150.0
# A late request waits longer than the requests ahead of it imply, because requests that can still
# be on time go first.
_LATE_WAIT_FACTOR = 2.0
# Maximum share of the slots that protected batch runs may keep from online.
_MAX_PROTECTED_SHARE = 0.25
# Time within which an online request queued at several owners is granted by another one if that one
# has room.
_OTHER_OWNERS_MS = 10.0
# Time within which a node repeats a request for an isolated run of a batch item.  Work that started
# meanwhile would have to end first, however long it takes.
_REPEAT_MS = 500.0


class UpstreamQueue:
    """Soft state of one upstream, held by the agent that owns it.

    ``rebuild_ms`` is how long batch waits after a change of owner, until the holders' renewals have
    reported the running attempts.
    """

    def __init__(
        self,
        upstream_id: str,
        settings: PermitSettings,
        terms: UpstreamTerms,
        valid_ms: int,
        rebuild_ms: float,
        now_ms: float,
    ) -> None:
        self.upstream_id = upstream_id
        self.healthy = True
        self._settings = settings
        self._terms = terms
        self.valid_ms = valid_ms
        self._rebuild_until_ms = now_ms + rebuild_ms
        self._next_batch_start_ms = now_ms
        self._reserved_until_ms = -float("inf")
        self._last_online_ms = -float("inf")
        self._peak = 0
        self._peak_ms = -float("inf")
        self._last_tick_ms = now_ms
        self._held = OutstandingPermits()
        self._waiting = WaitingRequests(terms.shares)
        self._retry_times = RetryTimes()
        self._ended: OrderedDict[str, float] = OrderedDict()
        self._evidence = UpstreamEvidence(settings, terms.objectives, self._held, now_ms)
        self._limits = self._evidence.limits
        self._first_token = self._evidence.first_token

    @property
    def accepting(self) -> bool:
        return self._terms.admitting and self.healthy

    def set_terms(self, terms: UpstreamTerms, now_ms: float) -> list[Action]:
        """Apply changed terms; requests that can no longer be granted are refused."""
        self._terms = terms
        self._waiting.shares = terms.shares
        self._limits.objectives = terms.objectives
        return self._serve(now_ms)

    def set_healthy(self, healthy: bool, now_ms: float) -> list[Action]:
        """Set the upstream's health; running attempts may finish."""
        self.healthy = healthy
        return self._serve(now_ms)

    def submit(self, request: PermitAsk, now_ms: float) -> list[Action]:
        """Grant, refuse or queue a request.

        A repeated request of an attempt that holds a permit returns the same permit.  An attempt
        that has ended gets none, so that a request overtaken by its own end cannot leave a permit
        behind.
        """
        held = self._held.get(request.attempt_id)
        if held is not None:
            return [self._repeat_answer(request, held)]
        if request.attempt_id in self._ended:
            return [Refused(request, ResultCode.REVOKED, 0)]
        if not self.accepting:
            return [Refused(request, ResultCode.NO_CAPACITY, 0)]
        if self._waiting.count(request.work_class) >= self._settings.max_waiting:
            return [Refused(request, ResultCode.NO_CAPACITY, self._retry_after_ms(request, now_ms))]
        if request.attempt_id not in self._waiting:
            self._waiting.add(
                WaitingRequest(
                    request, now_ms, now_ms + max(request.wait_ms, 0), now_ms + request.slack_ms
                )
            )
        return self._serve(now_ms)

    def renew(self, holder_id: str, permit: HeldPermit, now_ms: float) -> bool:
        """Extend a permit; False when it is no longer valid and its attempt must be cancelled.

        A permit that is unknown here was granted by a former owner and is adopted.
        """
        if permit.permit_id in self._ended:
            return False
        held = self._held.get(permit.permit_id)
        if held is None:
            held = OutstandingPermit.adopted(holder_id, permit, now_ms, self.valid_ms)
            self._held.add(held, now_ms)
        held.expires_ms = now_ms + self.valid_ms
        held.update_work(permit, now_ms)
        self._evidence.observe_progress(held, permit, now_ms)
        return held.revoked_ms is None

    def trim(self, now_ms: float) -> list[Action]:
        """Enforce the limits after renewals, which may have added permits beyond them."""
        return self._serve(now_ms)

    def end(self, ended: EndedPermit, now_ms: float) -> list[Action]:
        """Record the end of an attempt or the withdrawal of its request."""
        self._record_end(ended.permit_id, now_ms)
        waiting = self._waiting.remove(ended.permit_id)
        held = self._held.get(ended.permit_id)
        if held is not None:
            self._evidence.observe_end(held, ended, now_ms)
            self._waiting.correct_charge(held, ended.generated_tokens, now_ms)
            self._record_online(held.work_class, now_ms)
            self._held.remove(held.permit_id, now_ms)
        refused = [] if waiting is None else [Refused(waiting.request, ResultCode.REVOKED, 0)]
        return [*refused, *self._serve(now_ms)]

    def observe_load(self, running: int, waiting: int, now_ms: float) -> None:
        """Record the engine's own load report."""
        self._limits.observe_load(running, waiting, now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Expire permits, adjust limits, and grant requests that have become possible."""
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms > _PAUSE_VALIDITY_SHARE * self.valid_ms:
            self._held.postpone_expiry(gap_ms)
        for held in self._held.expired(now_ms):
            self._held.remove(held.permit_id, now_ms)
        while self._ended and next(iter(self._ended.values())) <= now_ms:
            self._ended.popitem(last=False)
        self._waiting.forget(self._held.by_member(), now_ms)
        if not self._is_online_idle(now_ms):
            self._limits.adjust(self._held.online, self._held.unrevoked_batch, now_ms)
        return self._serve(now_ms)

    def has_waiting(self, work_class: WorkClass) -> bool:
        """Whether any request of ``work_class`` is queued, so that ``tick`` must run soon."""
        return bool(self._waiting.count(work_class))

    def load(self, now_ms: float) -> LoadSnapshot:
        """Return the load snapshot that replies to holders carry."""
        queued = self._waiting.expected_online_starts()
        # Protected batch runs keep slots from online requests just as online attempts do.
        protected = self._protected_batch(now_ms)
        predicted_ms = self._first_token.predict_ms(self._held.unrevoked, now_ms)
        wait_ms = self._online_wait_ms(queued)
        speed = self._evidence.speed.speed(self._held.unrevoked + 1, now_ms)
        return LoadSnapshot(
            upstream_id=self.upstream_id,
            in_flight_online=self._held.online + protected,
            in_flight_batch=self._held.batch - protected,
            queued_online=self._waiting.count(WorkClass.ONLINE),
            limit=0 if self._is_reserved(now_ms) else self._hard_limit(),
            first_token_ms=predicted_ms + wait_ms,
            accepting=self.accepting,
            wait_ms=wait_ms + self._first_token.prefill_ahead_ms(now_ms),
            start_ms=speed.start_ms,
            prompt_token_ms=speed.prompt_token_ms,
            event_ms=speed.event_ms,
            run_ms=speed.run_ms,
            slowness=speed.slowness,
            speed_age_ms=speed.age_ms,
        )

    def retained_customers(self) -> int:
        """Return the number of customers and refused units of work with stored state."""
        return self._waiting.retained_customers() + len(self._held.by_member())

    def refuse_all(self, code: ResultCode) -> list[Action]:
        """Refuse every waiting request with ``code``."""
        requests = [waiting.request for waiting in self._waiting]
        for request in requests:
            self._waiting.remove(request.attempt_id)
        return [Refused(request, code, 0) for request in requests]

    def _serve(self, now_ms: float) -> list[Action]:
        """Grant, refuse and revoke as the current state permits."""
        if not self.accepting:
            return self.refuse_all(ResultCode.NO_CAPACITY)
        if self._is_reserved(now_ms):
            return self._serve_isolated(now_ms)
        actions = self._serve_online(now_ms)
        if actions and not self._terms.slots:
            actions += self._revoke_blocking_prefill(now_ms)
        actions += self._revoke_excess_batch(now_ms)
        actions += self._serve_batch(now_ms)
        return actions

    def _is_reserved(self, now_ms: float) -> bool:
        """Whether an isolated run holds a permit here or waits for one, or its request is due."""
        return (
            self._held.isolated > 0
            or self._waiting.isolated > 0
            or now_ms < self._reserved_until_ms
        )

    def _serve_isolated(self, now_ms: float) -> list[Action]:
        """Grant nothing until the upstream is empty, then grant the next isolated run.

        Other waiting requests are not refused early, as the isolated run is short.
        """
        actions: list[Action] = []
        if not self._held.isolated:
            actions += [self._revoke(held, now_ms) for held in self._held.unrevoked_batch_permits()]
        for waiting in self._waiting.isolated_in_order():
            # A new owner does not know yet which attempts are running.
            if not len(self._held) and now_ms >= self._rebuild_until_ms:
                self._waiting.remove(waiting.request.attempt_id)
                actions.append(self._grant(waiting, now_ms))
        timed_out = [item for item in self._waiting if now_ms >= item.answer_by_ms]
        for waiting in timed_out:
            self._waiting.remove(waiting.request.attempt_id)
            if waiting.request.alone and waiting.request.work_class is WorkClass.BATCH:
                self._reserved_until_ms = now_ms + _REPEAT_MS
            retry_ms = self._retry_after_ms(waiting.request, now_ms)
            actions.append(Refused(waiting.request, ResultCode.NO_CAPACITY, retry_ms))
        return actions

    def _serve_online(self, now_ms: float) -> list[Action]:
        if not self._waiting.count(WorkClass.ONLINE):
            return []
        actions: list[Action] = []
        queue = self._waiting.in_order(WorkClass.ONLINE, self._held.count_of, now_ms)
        ahead = 0.0
        for waiting in queue:
            if self._held.online < self._online_limit(waiting, now_ms):
                self._waiting.remove(waiting.request.attempt_id)
                actions.append(self._grant(waiting, now_ms))
            elif self._should_refuse(waiting, ahead, now_ms):
                self._waiting.remove(waiting.request.attempt_id)
                actions.append(self._refuse_online(waiting, ahead, now_ms))
            else:
                ahead += waiting.expected_starts
        return actions

    def _online_limit(self, waiting: WaitingRequest, now_ms: float) -> int:
        """Return the number of online attempts below which a request is granted.

        Protected batch runs are revoked only for a request that found no room at other upstreams.
        """
        if waiting.request.wait_ms > 0 and now_ms >= waiting.arrived_ms + _OTHER_OWNERS_MS:
            return self._hard_limit()
        return self._hard_limit() - self._protected_batch(now_ms)

    def _protected_batch(self, now_ms: float) -> int:
        """Return how many batch runs are protected from requests that can use other upstreams."""
        max_protected = max(int(self._hard_limit() * _MAX_PROTECTED_SHARE), 1)
        return min(self._held.count_protected(now_ms), max_protected)

    def _should_refuse(self, waiting: WaitingRequest, ahead: float, now_ms: float) -> bool:
        """Whether a request cannot be granted within the time it may wait.

        A request that can still be on time is queued until its wait ends, as its holder then
        chooses again.  A late one is queued while it can start before its caller leaves: a late
        answer is of use, one after the caller has left is not.  The same applies to a customer's
        request, on time or not, as its wait depends on the customer's share.
        """
        target_ms = waiting.request.target_ms
        if target_ms < 0 or (target_ms and waiting.needs_fair_order):
            start_ms = now_ms + _LATE_WAIT_FACTOR * self._online_wait_ms(ahead)
            return start_ms > waiting.due_ms or now_ms >= waiting.answer_by_ms
        wait_ms = 0.0 if target_ms else self._online_wait_ms(ahead)
        return now_ms + wait_ms >= waiting.answer_by_ms

    def _refuse_online(self, waiting: WaitingRequest, ahead: float, now_ms: float) -> Refused:
        wait_ms = self._online_wait_ms(ahead)
        code = ResultCode.NO_CAPACITY
        if now_ms + wait_ms > waiting.due_ms:
            code = ResultCode.DEADLINE_CANNOT_BE_MET
        if self._waiting.is_over_share(waiting.request.member, self._held.count_of):
            code = ResultCode.MEMBER_OVER_SHARE
        if waiting.needs_fair_order and now_ms < waiting.answer_by_ms:
            # The refusal is final: it was not made so that the holder chooses again.
            self._waiting.record_refusal(waiting, now_ms)
            hold_ms = self._evidence.online_hold_ms(self._terms.objectives.first_token_ms)
            wait_ms = self._retry_times.assign_delay_ms(
                now_ms, wait_ms, hold_ms / self._hard_limit()
            )
        return Refused(waiting.request, code, max(int(wait_ms), 1))

    def _revoke_excess_batch(self, now_ms: float) -> list[Action]:
        """Revoke the batch permits beyond the limit that online leaves."""
        limit = self._batch_limit(now_ms)
        if self._terms.slots:
            # A recent online peak prevents new batch attempts; running ones continue while slots
            # are free.
            limit = max(self._hard_limit() - self._held.online, 0)
        excess = self._held.unrevoked_batch - limit
        if excess <= 0 or not self._held.unrevoked_batch:
            return []
        victims = self._held.victims(excess, now_ms, self._settings.urgent_slack_ms)
        return [self._revoke(held, now_ms) for held in victims]

    def _revoke_blocking_prefill(self, now_ms: float) -> list[Action]:
        """Revoke batch whose prompts would be processed before those of the online just granted.

        It has generated nothing yet, so little is lost.
        """
        return [
            self._revoke(held, now_ms)
            for held in self._held.batch_unstarted(now_ms)
            if self._is_worth_revoking(
                self._first_token.remaining_prefill_ms(held.start, held.granted_ms, now_ms)
            )
        ]

    def _is_worth_revoking(self, prefill_ms: float) -> bool:
        """Whether this much prefill justifies a revocation, weighted by ``online_weight``."""
        return self._terms.objectives.online_weight * prefill_ms > self._limits.revocation_ms

    def _revoke(self, held: OutstandingPermit, now_ms: float) -> Revoked:
        self._held.mark_revoked(held, now_ms)
        return Revoked(self.upstream_id, held.holder_id, held.permit_id)

    def _serve_batch(self, now_ms: float) -> list[Action]:
        if not self._waiting.count(WorkClass.BATCH):
            return []
        actions: list[Action] = []
        for waiting in self._waiting.in_order(WorkClass.BATCH, self._held.count_of, now_ms):
            if self._has_batch_room(now_ms):
                self._waiting.remove(waiting.request.attempt_id)
                actions.append(self._grant(waiting, now_ms))
                self._pace_batch(waiting.request, now_ms)
            elif now_ms >= waiting.answer_by_ms:
                self._waiting.remove(waiting.request.attempt_id)
                retry_ms = self._retry_after_ms(waiting.request, now_ms)
                actions.append(Refused(waiting.request, ResultCode.NO_CAPACITY, retry_ms))
        return actions

    def _has_batch_room(self, now_ms: float) -> bool:
        """Whether a batch attempt may start now."""
        if now_ms < self._rebuild_until_ms or now_ms < self._next_batch_start_ms:
            return False
        if self._waiting.count(WorkClass.ONLINE):
            return False
        if self._terms.slots:
            return self._held.batch < self._batch_limit(now_ms)
        if (
            self._is_worth_revoking(self._first_token.prefill_ahead_ms(now_ms))
            and self._held.online
        ):
            return False
        limit = self._batch_limit(now_ms)
        headroom = min(self._limits.headroom(now_ms), limit / 2)
        # Attempts under revoked permits are still running, so they occupy room until they end.
        return self._held.batch + headroom < limit

    def _pace_batch(self, request: PermitAsk, now_ms: float) -> None:
        if self._is_online_idle(now_ms) or self._terms.slots:
            return
        prompt_ms = self._first_token.prompt_ms(request.prompt_tokens)
        self._next_batch_start_ms = now_ms + prompt_ms / self._settings.batch_start_share

    def _grant(self, waiting: WaitingRequest, now_ms: float) -> Granted:
        request = waiting.request
        start = self._first_token.record_start(request.prompt_tokens, self._held.unrevoked, now_ms)
        held = OutstandingPermit.granted(request, start, now_ms, self.valid_ms)
        held.charged_tokens = self._waiting.charge(waiting, now_ms)
        held.granted_as_overdue = self._waiting.record_grant(waiting, now_ms)
        self._held.add(held, now_ms)
        self._record_online(request.work_class, now_ms)
        if request.work_class is WorkClass.ONLINE:
            self._limits.observe_online_start(self._held.online, now_ms)
        return Granted(request, request.attempt_id, self.valid_ms)

    def _record_online(self, work_class: WorkClass, now_ms: float) -> None:
        if work_class is WorkClass.ONLINE:
            self._last_online_ms = now_ms
            self._record_peak(now_ms)

    def _repeat_answer(self, request: PermitAsk, held: OutstandingPermit) -> Action:
        if held.revoked_ms is not None:
            return Refused(request, ResultCode.REVOKED, 0)
        return Granted(request, held.permit_id, self.valid_ms)

    def _record_end(self, permit_id: str, now_ms: float) -> None:
        self._ended.pop(permit_id, None)
        self._ended[permit_id] = now_ms + self._settings.ended_memory_ms

    def _hard_limit(self) -> int:
        return self._terms.max_in_flight or self._terms.slots or self._limits.hard

    def _batch_limit(self, now_ms: float) -> int:
        """Return how many batch attempts may run together with the current online attempts."""
        hard = self._hard_limit()
        if self._terms.slots:
            return max(hard - self._reserved_for_online(now_ms), 0)
        if self._is_online_idle(now_ms):
            return hard
        limit = min(self._limits.mixed(now_ms), hard)
        return max(int(limit - self._held.online * self._limits.online_cost()), 0)

    def _reserved_for_online(self, now_ms: float) -> int:
        """Return the number of declared slots reserved for online now.

        While online uses at least half of the slots, its recent peak counts: a slot that it frees
        is needed again within about this time, and batch would be revoked before making progress.
        Without this rule an item was split into six runs on average, each over a new connection.
        """
        online = self._held.online
        if 2 * online < self._terms.slots or now_ms - self._peak_ms > _PEAK_HOLD_MS:
            return online
        return max(online, self._peak)

    def _record_peak(self, now_ms: float) -> None:
        if self._held.online >= self._peak or now_ms - self._peak_ms > _PEAK_HOLD_MS:
            self._peak = self._held.online
            self._peak_ms = now_ms

    def _is_online_idle(self, now_ms: float) -> bool:
        return not self._held.online and now_ms - self._last_online_ms > self._settings.quiet_ms

    def _online_wait_ms(self, ahead: float) -> float:
        if self._held.online < self._hard_limit():
            return 0.0
        hold_ms = self._evidence.online_hold_ms(self._terms.objectives.first_token_ms)
        return (ahead + 1) * hold_ms / self._hard_limit()

    def _retry_after_ms(self, request: PermitAsk, now_ms: float) -> int:
        if request.work_class is WorkClass.ONLINE:
            return max(int(self._online_wait_ms(self._waiting.expected_online_starts())), 1)
        ready_ms = max(self._rebuild_until_ms, self._next_batch_start_ms) - now_ms
        return max(int(ready_ms), self._settings.adjust_ms)
