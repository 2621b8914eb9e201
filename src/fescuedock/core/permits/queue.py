"""The queue of one upstream: who may start now, who waits, who must give way.

An online ask is granted at once as long as online alone is under the hard limit, and leaves a few
batch runs alone that were cut off again and again while it can go elsewhere; if that leaves more
than the mixed limit in flight, batch permits are revoked in the same step.  So for the time
that a revocation takes, the upstream runs more than its limit by the permits being revoked, and
never by more.  Batch is granted only into room that is free beyond the headroom for bursts.
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

# An owner that was not run for this share of the validity cannot blame holders for the silence.
_PAUSE_VALIDITY_SHARE = 0.5
# How long a peak of online keeps batch out: the usual pause between two online calls at an upstream
# whose slots online fills (8 slots of 0.75 s each: 94 ms), and half as much again.
_PEAK_HOLD_MS = 150.0
# A late ask waits longer than the asks before it make it, since those that come on time go first.
_LATE_WAIT_FACTOR = 2.0
# Of the slots, the largest share that sheltered batch runs take from online.
_MAX_PROTECTED_SHARE = 0.25
# In which an online call that waits at several owners is granted by another one, if any has room.
_OTHER_OWNERS_MS = 10.0


class UpstreamQueue:
    """Soft state of one upstream, kept by the agent that owns it.

    ``rebuild_ms`` is how long batch waits after a change of owner, for the holders' renewals to
    tell what runs already.
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
        """Take in changed terms; asks that can no longer be granted are refused."""
        self._terms = terms
        self._waiting.shares = terms.shares
        self._limits.objectives = terms.objectives
        return self._serve(now_ms)

    def set_healthy(self, healthy: bool, now_ms: float) -> list[Action]:
        """Take in the owner's verdict; what runs may finish."""
        self.healthy = healthy
        return self._serve(now_ms)

    def submit(self, ask: PermitAsk, now_ms: float) -> list[Action]:
        """Take in an ask; it is granted, refused or queued.

        An attempt that holds a permit gets the same again.  One that has ended gets none, so that
        an ask that was overtaken by its own end cannot leave a permit behind.
        """
        held = self._held.get(ask.attempt_id)
        if held is not None:
            return [self._repeat_answer(ask, held)]
        if ask.attempt_id in self._ended:
            return [Refused(ask, ResultCode.REVOKED, 0)]
        if not self.accepting:
            return [Refused(ask, ResultCode.NO_CAPACITY, 0)]
        if self._waiting.count(ask.work_class) >= self._settings.max_waiting:
            return [Refused(ask, ResultCode.NO_CAPACITY, self._retry_after_ms(ask, now_ms))]
        if ask.attempt_id not in self._waiting:
            self._waiting.add(
                WaitingRequest(ask, now_ms, now_ms + max(ask.wait_ms, 0), now_ms + ask.slack_ms)
            )
        return self._serve(now_ms)

    def renew(self, holder_id: str, permit: HeldPermit, now_ms: float) -> bool:
        """Extend a permit; False when it is no longer good and its attempt must be cancelled.

        A permit that is not known here was granted by a former owner, and is taken in.
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
        """Decide again after renewals, which may have brought more than the limits allow."""
        return self._serve(now_ms)

    def end(self, ended: EndedPermit, now_ms: float) -> list[Action]:
        """Take in that an attempt is over, or that its ask was given up."""
        self._record_end(ended.permit_id, now_ms)
        waiting = self._waiting.remove(ended.permit_id)
        held = self._held.get(ended.permit_id)
        if held is not None:
            self._evidence.observe_end(held, ended, now_ms)
            self._waiting.correct_charge(held, ended.generated_tokens, now_ms)
            self._record_online(held.work_class, now_ms)
            self._held.remove(held.permit_id, now_ms)
        refused = [] if waiting is None else [Refused(waiting.ask, ResultCode.REVOKED, 0)]
        return [*refused, *self._serve(now_ms)]

    def observe_load(self, running: int, waiting: int, now_ms: float) -> None:
        """Take in the engine's own report of its load."""
        self._limits.observe_load(running, waiting, now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Let time pass: expire, adjust limits, grant what has become possible."""
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
        """Whether any ask of ``work_class`` is queued, which makes time matter."""
        return bool(self._waiting.count(work_class))

    def load(self, now_ms: float) -> LoadSnapshot:
        queued = self._waiting.expected_online_starts()
        # They take slots from calls as online does.
        protected = self._protected_batch(now_ms)
        predicted_ms = self._first_token.predict_ms(self._held.unrevoked, now_ms)
        wait_ms = self._online_wait_ms(queued)
        speed = self._evidence.speed.speed(self._held.unrevoked + 1, now_ms)
        return LoadSnapshot(
            upstream_id=self.upstream_id,
            in_flight_online=self._held.online + protected,
            in_flight_batch=self._held.batch - protected,
            queued_online=self._waiting.count(WorkClass.ONLINE),
            limit=0 if self._is_reserved else self._hard_limit(),
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
        """Return the number of customers and refused works of which anything is kept."""
        return self._waiting.retained_customers() + len(self._held.by_member())

    def refuse_all(self, code: ResultCode) -> list[Action]:
        """Answer every waiting ask with ``code``: nothing can be granted here any more."""
        asks = [waiting.ask for waiting in self._waiting]
        for ask in asks:
            self._waiting.remove(ask.attempt_id)
        return [Refused(ask, code, 0) for ask in asks]

    def _serve(self, now_ms: float) -> list[Action]:
        if not self.accepting:
            return self.refuse_all(ResultCode.NO_CAPACITY)
        if self._is_reserved:
            return self._serve_isolated(now_ms)
        actions = self._serve_online(now_ms)
        if actions and not self._terms.slots:
            actions += self._revoke_blocking_prefill(now_ms)
        actions += self._revoke_excess_batch(now_ms)
        actions += self._serve_batch(now_ms)
        return actions

    @property
    def _is_reserved(self) -> bool:
        """Whether something runs alone here, or waits to."""
        return self._held.isolated > 0 or self._waiting.isolated > 0

    def _serve_isolated(self, now_ms: float) -> list[Action]:
        """Let the upstream run empty for the next ask to run alone; nothing else begins.

        What else waits is not refused before its time, as the run that it waits for is short.
        """
        actions: list[Action] = []
        if not self._held.isolated:
            actions += [self._revoke(held, now_ms) for held in self._held.unrevoked_batch_permits()]
        for waiting in self._waiting.isolated_in_order():
            # An owner that is new does not know yet what runs.
            if not len(self._held) and now_ms >= self._rebuild_until_ms:
                self._waiting.remove(waiting.ask.attempt_id)
                actions.append(self._grant(waiting, now_ms))
        timed_out = [item for item in self._waiting if now_ms >= item.answer_by_ms]
        for waiting in timed_out:
            self._waiting.remove(waiting.ask.attempt_id)
            retry_ms = self._retry_after_ms(waiting.ask, now_ms)
            actions.append(Refused(waiting.ask, ResultCode.NO_CAPACITY, retry_ms))
        return actions

    def _serve_online(self, now_ms: float) -> list[Action]:
        if not self._waiting.count(WorkClass.ONLINE):
            return []
        actions: list[Action] = []
        queue = self._waiting.in_order(WorkClass.ONLINE, self._held.count_of, now_ms)
        ahead = 0.0
        for waiting in queue:
            if self._held.online < self._online_limit(waiting, now_ms):
                self._waiting.remove(waiting.ask.attempt_id)
                actions.append(self._grant(waiting, now_ms))
            elif self._should_refuse(waiting, ahead, now_ms):
                self._waiting.remove(waiting.ask.attempt_id)
                actions.append(self._refuse_online(waiting, ahead, now_ms))
            else:
                ahead += waiting.expected_starts
        return actions

    def _online_limit(self, waiting: WaitingRequest, now_ms: float) -> int:
        """Return below which number of online attempts an ask is granted.

        Sheltered batch runs give way only to a call that found no room at other upstreams.
        """
        if waiting.ask.wait_ms > 0 and now_ms >= waiting.arrived_ms + _OTHER_OWNERS_MS:
            return self._hard_limit()
        return self._hard_limit() - self._protected_batch(now_ms)

    def _protected_batch(self, now_ms: float) -> int:
        """Return how many batch runs do not give way to calls that can go elsewhere."""
        max_protected = max(int(self._hard_limit() * _MAX_PROTECTED_SHARE), 1)
        return min(self._held.count_protected(now_ms), max_protected)

    def _should_refuse(self, waiting: WaitingRequest, ahead: float, now_ms: float) -> bool:
        """Whether an ask will not be granted while it may wait.

        One that can be on time is kept to the end of its wait, as its holder chooses anew by then.
        A late one is kept while it can start before its caller leaves: a late answer is worth
        something, one that nobody waits for is not.  So is one of a customer, whose place in the
        queue says by its share how long it will wait, on time or not.
        """
        target_ms = waiting.ask.target_ms
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
        if self._waiting.is_over_share(waiting.ask.member, self._held.count_of):
            code = ResultCode.MEMBER_OVER_SHARE
        if waiting.needs_fair_order and now_ms < waiting.answer_by_ms:
            # Not because its holder is to choose anew, so it is refused for good.
            self._waiting.record_refusal(waiting, now_ms)
            hold_ms = self._evidence.online_hold_ms(self._terms.objectives.first_token_ms)
            wait_ms = self._retry_times.assign_delay_ms(
                now_ms, wait_ms, hold_ms / self._hard_limit()
            )
        return Refused(waiting.ask, code, max(int(wait_ms), 1))

    def _revoke_excess_batch(self, now_ms: float) -> list[Action]:
        limit = self._batch_limit(now_ms)
        if self._terms.slots:
            # A recent peak keeps batch from beginning; what runs stays while there are slots.
            limit = max(self._hard_limit() - self._held.online, 0)
        excess = self._held.unrevoked_batch - limit
        if excess <= 0 or not self._held.unrevoked_batch:
            return []
        victims = self._held.victims(excess, now_ms, self._settings.urgent_slack_ms)
        return [self._revoke(held, now_ms) for held in victims]

    def _revoke_blocking_prefill(self, now_ms: float) -> list[Action]:
        """Take back batch whose prompts would be read before those of the online just granted.

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
        """Whether so much prefill is worth a revocation; the more batch weighs, the less it is."""
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
                self._waiting.remove(waiting.ask.attempt_id)
                actions.append(self._grant(waiting, now_ms))
                self._pace_batch(waiting.ask, now_ms)
            elif now_ms >= waiting.answer_by_ms:
                self._waiting.remove(waiting.ask.attempt_id)
                retry_ms = self._retry_after_ms(waiting.ask, now_ms)
                actions.append(Refused(waiting.ask, ResultCode.NO_CAPACITY, retry_ms))
        return actions

    def _has_batch_room(self, now_ms: float) -> bool:
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
        # Permits being revoked still run, so they take room until they end.
        return self._held.batch + headroom < limit

    def _pace_batch(self, ask: PermitAsk, now_ms: float) -> None:
        if self._is_online_idle(now_ms) or self._terms.slots:
            return
        prompt_ms = self._first_token.prompt_ms(ask.prompt_tokens)
        self._next_batch_start_ms = now_ms + prompt_ms / self._settings.batch_start_share

    def _grant(self, waiting: WaitingRequest, now_ms: float) -> Granted:
        ask = waiting.ask
        start = self._first_token.record_start(ask.prompt_tokens, self._held.unrevoked, now_ms)
        held = OutstandingPermit.granted(ask, start, now_ms, self.valid_ms)
        held.charged_tokens = self._waiting.charge(waiting, now_ms)
        held.granted_as_overdue = self._waiting.record_grant(waiting, now_ms)
        self._held.add(held, now_ms)
        self._record_online(ask.work_class, now_ms)
        if ask.work_class is WorkClass.ONLINE:
            self._limits.observe_online_start(self._held.online, now_ms)
        return Granted(ask, ask.attempt_id, self.valid_ms)

    def _record_online(self, work_class: WorkClass, now_ms: float) -> None:
        if work_class is WorkClass.ONLINE:
            self._last_online_ms = now_ms
            self._record_peak(now_ms)

    def _repeat_answer(self, ask: PermitAsk, held: OutstandingPermit) -> Action:
        if held.revoked_ms is not None:
            return Refused(ask, ResultCode.REVOKED, 0)
        return Granted(ask, held.permit_id, self.valid_ms)

    def _record_end(self, permit_id: str, now_ms: float) -> None:
        self._ended.pop(permit_id, None)
        self._ended[permit_id] = now_ms + self._settings.ended_memory_ms

    def _hard_limit(self) -> int:
        return self._terms.max_in_flight or self._terms.slots or self._limits.hard

    def _batch_limit(self, now_ms: float) -> int:
        """Return how many batch attempts may run beside the online ones that do."""
        hard = self._hard_limit()
        if self._terms.slots:
            return max(hard - self._reserved_for_online(now_ms), 0)
        if self._is_online_idle(now_ms):
            return hard
        limit = min(self._limits.mixed(now_ms), hard)
        return max(int(limit - self._held.online * self._limits.online_cost()), 0)

    def _reserved_for_online(self, now_ms: float) -> int:
        """Return the declared slots that are online's now.

        While online has half of them or more, its recent peak counts: a slot that it leaves is
        wanted again within about this time, and batch would be revoked before it got anywhere.
        Without this an item ran in six pieces on the average, each over a new connection.
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

    def _retry_after_ms(self, ask: PermitAsk, now_ms: float) -> int:
        if ask.work_class is WorkClass.ONLINE:
            return max(int(self._online_wait_ms(self._waiting.expected_online_starts())), 1)
        ready_ms = max(self._rebuild_until_ms, self._next_batch_start_ms) - now_ms
        return max(int(ready_ms), self._settings.adjust_ms)
