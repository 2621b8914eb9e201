"""Simulated owners, entries and a batch runner for the mixed online and batch bench.

The shipped code makes the decisions (``core.permits``, ``core.routing``); this module delivers the
messages, which take ``HOP_MS`` each way, and simulates the loops of the daemons.
"""

import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.mix_traffic import Arrival, Deployment, random_token_count
from bench.virtual import Attempt, VirtualEngine, VirtualLoop
from fescuedock.core.admission import Admission
from fescuedock.core.permits.actions import Action, Granted, Refused, Revoked
from fescuedock.core.permits.holder import GrantRegistry, HeldGrant, LocalLimit
from fescuedock.core.permits.owner import OwnedUpstream, PermitOwner
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.core.route_learning import SilentOwners
from fescuedock.core.routing import (
    Candidate,
    Demand,
    PlannedRequest,
    RoutingPolicy,
    choose_upstreams,
    plan_requests,
)
from fescuedock.schema.permits import (
    AttemptOutcome,
    EndedPermit,
    LoadSnapshot,
    PermitAsk,
    PermitRenew,
    PermitsEnded,
    WorkClass,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import PermitSettings

if TYPE_CHECKING:
    from bench.mix_runs import Plan

__all__ = ["BatchRunner", "Entry", "Fleet", "OnlineResult", "OwnerFactory", "OwnerHost"]

WORKERS = 6
HOP_MS = 1.0
VALID_MS = 2000
TICK_MS = 10.0
OWNER_TIMEOUT_MS = 25.0
SERVICE = "service"

OwnerFactory = Callable[[PermitSettings, int], PermitOwner]


@dataclass(slots=True)
class OnlineResult:
    """Latencies and outcome of one online request; gaps are times between tokens."""

    arrival: Arrival
    first_token_ms: float = -1.0
    gaps_ms: list[float] = field(default_factory=list)
    finished_ms: float = -1.0
    refused: bool = False
    # Upstream of the last attempt.
    upstream_id: str = ""


class OwnerHost:
    """An agent that owns one upstream; while not alive it answers no message."""

    def __init__(self, fleet: "Fleet", upstream_id: str, make_owner: OwnerFactory) -> None:
        self.fleet = fleet
        self.upstream_id = upstream_id
        self.alive = True
        self._replies: dict[str, Callable[[Action, LoadSnapshot], None]] = {}
        self._holders: dict[str, Holder] = {}
        self.core = make_owner(fleet.settings, VALID_MS)
        terms = UpstreamTerms(fleet.deployment.objectives)
        owned = {upstream_id: OwnedUpstream(SERVICE, terms)}
        self.core.set_upstreams(owned, {SERVICE: len(fleet.engines)}, fleet.loop.now_ms)
        fleet.loop.after(TICK_MS, self._tick)
        fleet.loop.after(fleet.settings.load_poll_ms, self._poll)

    def handle_request(self, request: PermitAsk, holder: "Holder", reply: Callable) -> None:
        if not self.alive:
            return
        self._holders[holder.holder_id] = holder
        self._replies[request.attempt_id] = reply
        self._perform(self.core.submit(request, self.fleet.loop.now_ms))

    def handle_renewal(self, message: PermitRenew, holder: "Holder", reply: Callable) -> None:
        if not self.alive:
            return
        self._holders[holder.holder_id] = holder
        renewal = self.core.renew(message, self.fleet.loop.now_ms)
        self._perform(renewal.actions)
        self.fleet.loop.after(HOP_MS, reply, renewal.reply)

    def handle_ended(self, message: PermitsEnded) -> None:
        if self.alive:
            self._perform(self.core.end(message, self.fleet.loop.now_ms))

    def _tick(self) -> None:
        if self.alive:
            self._perform(self.core.tick(self.fleet.loop.now_ms))
            self.fleet.loop.after(TICK_MS, self._tick)

    def _poll(self) -> None:
        if not self.alive:
            return
        now_ms = self.fleet.loop.now_ms
        report = self.fleet.engines[self.upstream_id].report()
        if report is None:
            refused = AttemptOutcome.CONNECT_REFUSED
            self._perform(self.core.observe(self.upstream_id, refused, now_ms))
        else:
            self.core.observe_load(self.upstream_id, *report, now_ms)
        self.fleet.loop.after(self.fleet.settings.load_poll_ms, self._poll)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Revoked):
                holder = self._holders[action.holder_id]
                decided_ms = self.fleet.loop.now_ms
                self.fleet.loop.after(HOP_MS, holder.revoke, action.permit_id, decided_ms)
                continue
            reply = self._replies.pop(action.request.attempt_id, None)
            if reply is not None:
                load = self.core.load(self.upstream_id, self.fleet.loop.now_ms)
                self.fleet.loop.after(HOP_MS, reply, action, load)


class Holder:
    """Base of entries and runners: holds, renews and ends permits."""

    def __init__(self, fleet: "Fleet", holder_id: str) -> None:
        self.fleet = fleet
        self.holder_id = holder_id
        self.loads: dict[str, tuple[LoadSnapshot, float]] = {}
        self._grants = GrantRegistry()
        self._numbers = itertools.count()
        self._reporting = False
        fleet.loop.after(VALID_MS / 3, self._renew)

    def next_attempt(self) -> str:
        return f"{self.holder_id}/{next(self._numbers)}"

    def request_permit(self, request: PermitAsk, done: Callable[[Action | None], None]) -> None:
        """Request a permit of the owner; ``done`` receives its action, or None after a timeout."""
        sent_ms = self.fleet.loop.now_ms
        answered: list[Action | None] = []

        def on_answer(action: Action | None, load: LoadSnapshot | None) -> None:
            if answered:
                return
            answered.append(action)
            if load is not None:
                self.loads[load.upstream_id] = (load, self.fleet.loop.now_ms)
            if isinstance(action, Granted):
                grant = HeldGrant(request, self.fleet.loop.now_ms, sent_ms + action.valid_ms)
                self._grants.add(grant)
            elif action is None:
                outcome = AttemptOutcome.CANCELLED
                abandoned = EndedPermit(
                    request.attempt_id, request.upstream_id, outcome, request.work_class
                )
                self._grants.abandon(abandoned)
                self._report_soon()
            done(action)

        host = self.fleet.owners[request.upstream_id]
        self.fleet.loop.after(HOP_MS, host.handle_request, request, self, on_answer)
        self.fleet.loop.after(request.wait_ms + OWNER_TIMEOUT_MS, on_answer, None, None)

    def hold_local(self, request: PermitAsk) -> None:
        self._grants.add(HeldGrant(request, self.fleet.loop.now_ms, float("inf"), local=True))

    def report_ended(self, ended: EndedPermit) -> None:
        if self._grants.end(ended) is not None:
            self._report_soon()

    def revoke(self, permit_id: str, decided_ms: float | None = None) -> None:
        """Do nothing: permits of online requests are not revoked."""

    def _report_soon(self) -> None:
        if not self._reporting:
            self._reporting = True
            self.fleet.loop.after(self.fleet.settings.ended_batch_ms, self._report)

    def _report(self) -> None:
        self._reporting = False
        for ended in self._grants.drain_ended():
            message = PermitsEnded(self.holder_id, [ended])
            self.fleet.loop.after(
                HOP_MS, self.fleet.owners[ended.upstream_id].handle_ended, message
            )

    def _renew(self) -> None:
        sent_ms = self.fleet.loop.now_ms
        groups: dict[str, list[HeldGrant]] = {}
        for grant in self._grants:
            if not grant.local:
                groups.setdefault(grant.request.upstream_id, []).append(grant)
        for upstream_id, group in groups.items():
            message = PermitRenew(self.holder_id, [grant.as_held(sent_ms) for grant in group])
            host = self.fleet.owners[upstream_id]
            self.fleet.loop.after(
                HOP_MS, host.handle_renewal, message, self, self._renewed(group, sent_ms)
            )
        for permit_id in self._grants.lapsed(sent_ms):
            self.revoke(permit_id)
        self.fleet.loop.after(VALID_MS / 3, self._renew)

    def _renewed(self, group: list[HeldGrant], sent_ms: float) -> Callable:
        def on_answer(reply: object) -> None:
            for load in reply.loads:
                self.loads[load.upstream_id] = (load, self.fleet.loop.now_ms)
            self._grants.record_renewal(
                [grant.request.attempt_id for grant in group], sent_ms + reply.valid_ms
            )
            for permit_id in reply.revoked:
                self.revoke(permit_id)

        return on_answer

    def record_token(self, attempt_id: str) -> None:
        grant = self._grants.get(attempt_id)
        if grant is not None:
            if not grant.generated_tokens:
                grant.first_token_ms = self.fleet.loop.now_ms - grant.granted_ms
            grant.generated_tokens += 1


class Entry(Holder):
    """Serves online requests with the shipped routing and permits."""

    def __init__(self, fleet: "Fleet", holder_id: str, rng: random.Random) -> None:
        super().__init__(fleet, holder_id)
        self._rng = rng
        self._policy = RoutingPolicy()
        self._silent = SilentOwners(self._policy)
        self._local = LocalLimit(fleet.settings.local_limit)
        self._admission = Admission()

    def serve(self, result: OnlineResult) -> None:
        self._route_request(result, avoid=frozenset())

    def _route_request(self, result: OnlineResult, avoid: frozenset[str]) -> None:
        arrival = result.arrival
        now_ms = self.fleet.loop.now_ms
        candidates = [
            self._candidate(upstream_id)
            for upstream_id in self.fleet.engines
            if upstream_id not in avoid
        ]
        demand = Demand(arrival.prompt_tokens, 0, "")
        choices = choose_upstreams(candidates, demand, 0.0, self._policy, self._rng)
        run_ms = self._admission.times(SERVICE).run_ms(arrival.answer_tokens, now_ms)
        left_ms = arrival.at_ms + self.fleet.deadline_ms - now_ms
        first_token_ms = min((item.first_token_ms for item in choices), default=0.0)
        if self._admission.check_deadline(left_ms, first_token_ms, run_ms).is_err():
            result.refused = True
            return
        slack_ms = left_ms - run_ms
        planned_requests = deque(plan_requests(choices, slack_ms, self._policy))
        self._request_next(result, planned_requests, avoid, slack_ms)

    def _candidate(self, upstream_id: str) -> Candidate:
        now_ms = self.fleet.loop.now_ms
        load, at_ms = self.loads.get(upstream_id, (None, 0.0))
        fresh = load if now_ms - at_ms <= self._policy.stale_ms else None
        silent = self._silent.is_silent(upstream_id, now_ms)
        return Candidate(upstream_id, HOP_MS, fresh, silent)

    def _request_next(
        self,
        result: OnlineResult,
        planned_requests: deque[PlannedRequest],
        avoid: frozenset[str],
        slack_ms: float,
    ) -> None:
        if not planned_requests:
            result.refused = True
            return
        planned = planned_requests.popleft()
        message = self._message(result, planned, slack_ms)
        if planned.local:
            if self._local.try_acquire(planned.upstream_id):
                self.hold_local(message)
                self._run(result, message, avoid, local=True)
            else:
                self._request_next(result, planned_requests, avoid, slack_ms)
            return

        def done(action: Action | None) -> None:
            if isinstance(action, Granted):
                self._run(result, message, avoid, local=False)
                return
            if action is None:
                self._silent.record_silence(planned.upstream_id, self.fleet.loop.now_ms)
                planned_requests.append(PlannedRequest(planned.upstream_id, local=True))
            self._request_next(result, planned_requests, avoid, slack_ms)

        self.request_permit(message, done)

    def _message(self, result: OnlineResult, planned: PlannedRequest, slack_ms: float) -> PermitAsk:
        return PermitAsk(
            upstream_id=planned.upstream_id,
            attempt_id=self.next_attempt(),
            holder_id=self.holder_id,
            service=SERVICE,
            member=result.arrival.member,
            work_class=WorkClass.ONLINE,
            slack_ms=int(slack_ms),
            prompt_tokens=result.arrival.prompt_tokens,
            max_tokens=result.arrival.answer_tokens,
            wait_ms=int(planned.wait_ms),
        )

    def _run(
        self, result: OnlineResult, request: PermitAsk, avoid: frozenset[str], local: bool
    ) -> None:
        run = _OnlineRun(self, result, request, self.fleet.loop.now_ms)
        result.upstream_id = request.upstream_id

        def on_end(completed: bool) -> None:
            span = (run.started_ms, self.fleet.loop.now_ms)
            self.fleet.online_spans.setdefault(request.upstream_id, []).append(span)
            if local:
                self._local.release(request.upstream_id)
            ended = run.ended(completed)
            self.report_ended(ended)
            if completed:
                times = self._admission.times(SERVICE)
                times.observe(run.tokens, ended.inter_token_ms, self.fleet.loop.now_ms)
                result.finished_ms = self.fleet.loop.now_ms
            else:
                self._route_request(result, avoid | {request.upstream_id})

        done = len(result.gaps_ms) + (result.first_token_ms >= 0)
        prompt_tokens = request.prompt_tokens + done
        remaining_tokens = max(result.arrival.answer_tokens - done, 1)
        attempt = Attempt(request.attempt_id, prompt_tokens, remaining_tokens, run.on_token, on_end)
        self.fleet.loop.after(HOP_MS, self.fleet.engines[request.upstream_id].start, attempt)


@dataclass(slots=True)
class _OnlineRun:
    """State of one running online attempt."""

    entry: Entry
    result: OnlineResult
    request: PermitAsk
    started_ms: float
    first_ms: float = -1.0
    last_ms: float = -1.0
    tokens: int = 0

    def on_token(self) -> None:
        now_ms = self.entry.fleet.loop.now_ms
        if self.result.first_token_ms < 0:
            self.result.first_token_ms = now_ms - self.result.arrival.at_ms
        elif self.last_ms >= 0:
            self.result.gaps_ms.append(now_ms - self.last_ms)
        if not self.tokens:
            self.first_ms = now_ms
        self.last_ms = now_ms
        self.tokens += 1
        self.entry.record_token(self.request.attempt_id)

    def ended(self, completed: bool) -> EndedPermit:
        outcome = AttemptOutcome.COMPLETED if completed else AttemptOutcome.TRUNCATED
        first_ms = self.first_ms - self.started_ms if self.tokens else -1.0
        mean_ms = (self.last_ms - self.first_ms) / (self.tokens - 1) if self.tokens > 1 else -1.0
        return EndedPermit(
            self.request.attempt_id,
            self.request.upstream_id,
            outcome,
            WorkClass.ONLINE,
            first_ms,
            mean_ms,
            self.request.prompt_tokens,
            self.tokens,
        )


@dataclass(slots=True)
class Item:
    """One batch item; its generated tokens are retained after a revocation."""

    key: str
    prompt_tokens: int
    answer_tokens: int
    done_tokens: int = 0


class BatchRunner(Holder):
    """Runs an endless backlog: keeps permit requests open at each owner, resumes revoked items."""

    OPEN_REQUESTS = 4
    WAIT_MS = 5000

    def __init__(self, fleet: "Fleet", holder_id: str, rng: random.Random) -> None:
        super().__init__(fleet, holder_id)
        self.tokens = 0
        self.items_done = 0
        self.revoked = 0
        self.reread_tokens = 0
        self.revocations_ms: list[float] = []
        self._rng = rng
        self._items = itertools.count()
        # Items to run next by upstream: interrupted items, whose prompts it has read, and items
        # whose permit request failed.
        self._pending_items: dict[str, deque[Item]] = {name: deque() for name in fleet.engines}
        self._running: dict[str, tuple[Item, str]] = {}
        for upstream_id in fleet.engines:
            for _ in range(self.OPEN_REQUESTS):
                self._open_request(upstream_id)

    def revoke(self, permit_id: str, decided_ms: float | None = None) -> None:
        running = self._running.pop(permit_id, None)
        if running is None:
            return
        item, upstream_id = running
        self.revoked += 1
        self.fleet.loop.after(HOP_MS, self._cancel, upstream_id, permit_id, decided_ms)
        self._pending_items[upstream_id].append(item)
        self._end(permit_id, upstream_id, AttemptOutcome.REVOKED)

    def _cancel(self, upstream_id: str, permit_id: str, decided_ms: float | None) -> None:
        self.fleet.engines[upstream_id].cancel(permit_id)
        if decided_ms is not None:
            self.revocations_ms.append(self.fleet.loop.now_ms - decided_ms)

    def _next_item(self, upstream_id: str) -> Item:
        if self._pending_items[upstream_id]:
            return self._pending_items[upstream_id].popleft()
        deployment = self.fleet.deployment
        return Item(
            f"item{next(self._items)}",
            random_token_count(self._rng, deployment.batch_prompt_tokens),
            random_token_count(self._rng, deployment.batch_answer_tokens),
        )

    def _open_request(self, upstream_id: str) -> None:
        item = self._next_item(upstream_id)
        request = PermitAsk(
            upstream_id=upstream_id,
            attempt_id=self.next_attempt(),
            holder_id=self.holder_id,
            service=SERVICE,
            member="clinic",
            work_class=WorkClass.BATCH,
            slack_ms=4 * 3600 * 1000,
            prompt_tokens=item.done_tokens or item.prompt_tokens,
            wait_ms=self.WAIT_MS,
        )

        def done(action: Action | None) -> None:
            if isinstance(action, Granted):
                self._run(item, request)
                self._open_request(upstream_id)
                return
            self._pending_items[upstream_id].appendleft(item)
            refused = isinstance(action, Refused) and action.code is not ResultCode.REVOKED
            delay_ms = max(action.retry_after_ms, 50) if refused else 200
            self.fleet.loop.after(delay_ms, self._open_request, upstream_id)

        self.request_permit(request, done)

    def _run(self, item: Item, request: PermitAsk) -> None:
        attempt_id, upstream_id = request.attempt_id, request.upstream_id
        self._running[attempt_id] = (item, upstream_id)
        self.reread_tokens += item.done_tokens

        def on_token() -> None:
            if attempt_id in self._running:
                item.done_tokens += 1
                self.tokens += 1
                self.record_token(attempt_id)

        def on_end(completed: bool) -> None:
            if self._running.pop(attempt_id, None) is None:
                return
            if completed:
                self.items_done += 1
            else:
                self._pending_items[upstream_id].append(item)
            outcome = AttemptOutcome.COMPLETED if completed else AttemptOutcome.TRUNCATED
            self._end(attempt_id, upstream_id, outcome)

        remaining_tokens = max(item.answer_tokens - item.done_tokens, 1)
        attempt = Attempt(
            attempt_id,
            item.prompt_tokens,
            remaining_tokens,
            on_token,
            on_end,
            prompt_key=item.key,
            resumed_tokens=item.done_tokens,
        )
        self.fleet.loop.after(HOP_MS, self.fleet.engines[upstream_id].start, attempt)

    def _end(self, permit_id: str, upstream_id: str, outcome: AttemptOutcome) -> None:
        self.report_ended(EndedPermit(permit_id, upstream_id, outcome, WorkClass.BATCH))


@dataclass(slots=True)
class Fleet:
    """The simulated fleet of one run."""

    loop: VirtualLoop
    deployment: Deployment
    settings: PermitSettings
    deadline_ms: float
    engines: dict[str, VirtualEngine] = field(default_factory=dict)
    owners: dict[str, OwnerHost] = field(default_factory=dict)
    # Start and end times of the online attempts at each upstream.
    online_spans: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    @classmethod
    def for_plan(cls, loop: VirtualLoop, plan: "Plan") -> "Fleet":
        """Return a fleet with the engines of a run, without owners."""
        fleet = cls(loop, plan.deployment, plan.settings, plan.deadline_ms)
        for number in range(WORKERS):
            fleet.engines[f"w{number}"] = VirtualEngine(loop, plan.profile, HOP_MS)
        return fleet
