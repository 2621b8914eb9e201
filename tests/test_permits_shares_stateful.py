"""Customers and priorities in one queue, under any order of requests, ends and pauses."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fescuedock.core.permits.actions import Action, Granted, Refused
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.schema.config import Objectives
from fescuedock.schema.permits import AttemptOutcome, HeldPermit, PermitAsk, WorkClass
from tests.builders.permits import VALID_MS, ask_for, end_of, new_queue

SLOTS = 3
MEMBERS = ("", "anna", "bo", "cleo")
LONG_WAIT_MS = 10_000_000
# Number of grants, at 10 ms each, after which work of a lower priority is overdue, and the interval
# at which overdue work is granted.
OVERDUE_GRANTS = 81
OVERDUE_INTERVAL = 8


class SharesMachine(RuleBasedStateMachine):
    """One upstream whose owner never fails and receives every message of the holders."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.queue: UpstreamQueue = new_queue(
            terms=UpstreamTerms(Objectives(online_weight=0.0), slots=SLOTS)
        )
        self.waiting: dict[str, PermitAsk] = {}
        self.running: dict[str, PermitAsk] = {}

    def perform(self, actions: list[Action]) -> list[PermitAsk]:
        granted = []
        for action in actions:
            if isinstance(action, Granted | Refused):
                self.waiting.pop(action.request.attempt_id, None)
            if isinstance(action, Granted):
                self.check_order(action.request)
                self.running[action.request.attempt_id] = action.request
                granted.append(action.request)
        return granted

    def check_order(self, granted: PermitAsk) -> None:
        """Fail if equal work of the same customer that arrived earlier is passed over."""
        for ask in self.waiting.values():
            same = (ask.member, ask.priority) == (granted.member, granted.priority)
            if same and ask.slack_ms == granted.slack_ms == LONG_WAIT_MS:
                number, granted_number = (
                    int(item.attempt_id.rpartition("-")[2]) for item in (ask, granted)
                )
                assert number > granted_number, (ask, granted)

    def ask(self, **changes: object) -> PermitAsk:
        self.now_ms += 1.0
        fields = {"wait_ms": LONG_WAIT_MS, "slack_ms": LONG_WAIT_MS, **changes}
        ask = ask_for(**fields)
        self.waiting[ask.attempt_id] = ask
        self.perform(self.queue.submit(ask, self.now_ms))
        return ask

    @rule(
        member=st.sampled_from(MEMBERS),
        priority=st.integers(0, 2),
        prompt_tokens=st.sampled_from([0, 10_000]),
    )
    def ask_with_long_wait(self, member: str, priority: int, prompt_tokens: int) -> None:
        self.ask(member=member, priority=priority, prompt_tokens=prompt_tokens)

    @rule(member=st.sampled_from(MEMBERS), target_ms=st.sampled_from([-1, 0, 40]))
    def ask_with_short_wait(self, member: str, target_ms: int) -> None:
        had_room = len(self.running) < SLOTS
        work_id = f"work-{member}"
        ask = self.ask(member=member, wait_ms=50, slack_ms=60, target_ms=target_ms, work_id=work_id)
        assert ask.attempt_id in self.running or not had_room

    @rule(data=st.data(), tokens=st.sampled_from([0, 5, 400]))
    @precondition(lambda self: self.running)
    def finish(self, data: st.DataObject, tokens: int) -> None:
        ask = self.running.pop(data.draw(st.sampled_from(sorted(self.running))))
        self.now_ms += 10.0
        ended = end_of(ask, AttemptOutcome.COMPLETED, generated_tokens=tokens)
        self.perform(self.queue.end(ended, self.now_ms))

    @rule(data=st.data())
    @precondition(lambda self: self.waiting)
    def abandon(self, data: st.DataObject) -> None:
        ask = self.waiting[data.draw(st.sampled_from(sorted(self.waiting)))]
        self.perform(self.queue.end(end_of(ask, AttemptOutcome.CANCELLED), self.now_ms))

    @rule(by_ms=st.sampled_from([1, 60, VALID_MS // 3, 4 * VALID_MS]))
    def advance(self, by_ms: int) -> None:
        end_ms = self.now_ms + by_ms
        while self.now_ms < end_ms:
            self.now_ms = min(self.now_ms + VALID_MS / 4, end_ms)
            for ask in self.running.values():
                self.queue.renew("h1", _renewal(ask), self.now_ms)
            self.perform(self.queue.tick(self.now_ms))

    @invariant()
    def no_slot_is_idle_while_a_request_waits(self) -> None:
        load = self.queue.load(self.now_ms)
        assert load.in_flight_online == len(self.running) <= SLOTS
        assert load.queued_online == len(self.waiting)
        assert not self.waiting or len(self.running) == SLOTS

    def teardown(self) -> None:
        self.no_request_starves()
        self.no_state_is_retained()

    def no_request_starves(self) -> None:
        """All waiting work is served while another customer's urgent work floods the queue."""
        self.advance(60)
        left = dict(self.waiting)
        for _ in range(3):
            self.ask(member="flood")
        for _ in range(OVERDUE_GRANTS + OVERDUE_INTERVAL * (len(left) + SLOTS)):
            if not left.keys() & self.waiting.keys():
                return
            self.ask(member="flood")
            ask = self.running.pop(next(iter(self.running)))
            self.now_ms += 9.0
            self.perform(self.queue.end(end_of(ask, AttemptOutcome.COMPLETED), self.now_ms))
        assert not left.keys() & self.waiting.keys(), (left, self.running)

    def no_state_is_retained(self) -> None:
        """No state is retained of customers and work that are gone."""
        for ask in [*self.waiting.values(), *self.running.values()]:
            self.queue.end(end_of(ask, AttemptOutcome.CANCELLED), self.now_ms)
        self.queue.tick(self.now_ms + LONG_WAIT_MS)
        assert not self.queue.retained_customers()


def _renewal(ask: PermitAsk) -> HeldPermit:
    return HeldPermit(
        permit_id=ask.attempt_id,
        upstream_id=ask.upstream_id,
        attempt_id=ask.attempt_id,
        service=ask.service,
        member=ask.member,
        work_class=WorkClass.ONLINE,
        priority=ask.priority,
    )


SharesMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
SharesStatefulTest = SharesMachine.TestCase
