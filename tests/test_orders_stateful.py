"""Orders to one engine by agents that pause at any step, with an oracle at the engine."""

import itertools
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from fescuedock.core.orders.fencing import OrderHolder
from fescuedock.core.orders.placement import Placement, next_order
from fescuedock.core.orders.steps import ReadRecord, SendOrder, SendOutcome, Wait, Write
from fescuedock.schema.config import ModelSpec
from fescuedock.schema.orders import OrderRecord
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import OrderSettings
from tests.builders.config import CallOutcome, KvCell

SETTINGS = OrderSettings(lease_ms=10000, margin_ms=1000, longest_order_ms=15000, retry_ms=100)
AGENTS = st.integers(0, 1)
CALL_OUTCOMES = st.sampled_from([*[CallOutcome.ANSWERED] * 6, *CallOutcome])
# Clock drift within margin_ms over one lease.
CLOCK_RATES = (0.95, 1.05)
TRANSIT_TIMES_MS = st.sampled_from([0, 200, 9000, 14000])
PAUSES_MS = st.sampled_from([1, 500, 1000, 2000, 9000, 11500, 14300])


@dataclass
class Agent:
    """One agent: its holder, a decided step not yet executed, and the order it waits for."""

    name: str
    clock_rate: float
    holder: OrderHolder
    decided: object = None
    answer: Callable[[], None] | None = None
    awaited: "Sent | None" = None


@dataclass
class Sent:
    """An order in transit to the engine."""

    fencing: int
    sequence: int
    tenure: int
    arrives_by_ms: float
    executed: bool | None = None


@dataclass
class Engine:
    """Records the orders that it executed."""

    checks: bool
    highest: int = 0
    executed: list[Sent] = field(default_factory=list)

    def receive(self, sent):
        sent.executed = not self.checks or sent.fencing >= self.highest
        self.highest = max(self.highest, sent.fencing)
        if sent.executed:
            self.executed.append(sent)


class OrdersMachine(RuleBasedStateMachine):
    """Checks that the engine never executes an order of an earlier holder or sequence number."""

    @initialize(checks=st.booleans())
    def begin(self, checks):
        self.cell = KvCell()
        self.engine = Engine(checks)
        self.now_ms = 0.0
        self.version = 1
        self.runs = 0
        self.in_transit = []
        self.tenures = {}
        self.agents = [self._new_agent(index) for index in range(len(CLOCK_RATES))]

    def _new_agent(self, index):
        self.runs += 1
        name = f"agent-{index}/{self.runs}"
        holder = OrderHolder(name, self.engine.checks, SETTINGS)
        return Agent(name, CLOCK_RATES[index], holder)

    def _clock(self, agent):
        return self.now_ms * agent.clock_rate

    # --- the agents ----------------------------------------------------------------------------

    @rule(index=AGENTS)
    def decide(self, index):
        agent = self.agents[index]
        if agent.decided or agent.answer:
            return
        now_ms = self._clock(agent)
        if agent.awaited is not None:
            decided = agent.holder.renewal(now_ms)
        else:
            wanted = Placement({"model": ModelSpec(version=str(self.version))})
            decided = agent.holder.step(next_order(agent.holder.state, wanted), now_ms)
        if isinstance(decided, Write):
            agent.holder.begin_write(decided, now_ms)
        agent.decided = decided

    @rule(index=AGENTS, call_outcome=CALL_OUTCOMES, transit_ms=TRANSIT_TIMES_MS)
    def perform(self, index, call_outcome, transit_ms):
        """Execute the decided step, perhaps long after; its answer is delivered later."""
        agent = self.agents[index]
        decided, agent.decided = agent.decided, None
        match decided:
            case ReadRecord() if call_outcome is CallOutcome.ANSWERED:
                value, revision = self.cell.value, self.cell.revision
                record = msgspec.msgpack.decode(value, type=OrderRecord) if value else None
                agent.answer = lambda: agent.holder.on_read(record, revision, self._clock(agent))
            case Write(record, expected_revision):
                self._put(agent, record, expected_revision, call_outcome)
            case SendOrder():
                self._give(agent, decided, transit_ms)

    def _put(self, agent, record, expected_revision, call_outcome):
        result = self.cell.put(msgspec.msgpack.encode(record), expected_revision, call_outcome)
        certain = result.is_err() and result.err_value.code is ResultCode.KV_CONFLICT
        agent.answer = lambda: agent.holder.on_write(result.ok(), certain, self._clock(agent))

    @rule(index=AGENTS)
    def deliver_answer(self, index):
        agent = self.agents[index]
        if agent.answer is not None:
            answer, agent.answer = agent.answer, None
            answer()

    def _give(self, agent, give, transit_ms):
        if self._clock(agent) >= give.until_ms:
            agent.holder.on_order_sent(SendOutcome.NOT_SENT, self._clock(agent))
            return
        sequence, tenure = self._origin(agent.name, give.fencing)
        agent.awaited = Sent(give.fencing, sequence, tenure, self.now_ms + transit_ms)
        self.in_transit.append(agent.awaited)

    def _origin(self, name, fencing):
        """Return an order's sequence and its holder's ordinal, from the writes so far."""
        tenure, previous = 0, ""
        for value in self.cell.writes:
            record = msgspec.msgpack.decode(value, type=OrderRecord)
            if record.holder and record.holder != previous:
                tenure += 1
            previous = record.holder or previous
            if record.holder == name and record.fencing == fencing:
                return record.sequence, tenure
        raise AssertionError(f"{name} sends orders with {fencing}, which was never written")

    @rule(index=AGENTS, answer_lost=st.booleans())
    def end_order(self, index, answer_lost):
        agent = self.agents[index]
        if agent.awaited is None:
            return
        outcome = SendOutcome.UNKNOWN
        if agent.awaited.executed is not None and not answer_lost:
            outcome = SendOutcome.DONE if agent.awaited.executed else SendOutcome.SUPERSEDED
        agent.awaited = None
        agent.holder.on_order_sent(outcome, self._clock(agent))

    @rule(index=AGENTS)
    def restart(self, index):
        self.agents[index] = self._new_agent(index)

    # --- environment ---------------------------------------------------------------------------

    @rule(pause_ms=PAUSES_MS)
    def pass_time(self, pause_ms):
        self.now_ms += pause_ms
        self._arrive(lambda sent: sent.arrives_by_ms < self.now_ms)

    @rule()
    def arrive_early(self):
        self._arrive(lambda sent: True)

    def _arrive(self, is_due):
        due = sorted(filter(is_due, self.in_transit), key=lambda sent: sent.arrives_by_ms)
        self.in_transit = [sent for sent in self.in_transit if sent not in due]
        for sent in due:
            self.engine.receive(sent)

    @rule()
    def change_configuration(self):
        self.version += 1

    @precondition(lambda self: self.cell.late)
    @rule()
    def land_late_writes(self):
        late, self.cell.late = self.cell.late, []
        for write in late:
            write()

    @rule(
        index=AGENTS,
        duration_ms=st.sampled_from([0, 1000, 12000, 40000]),
        transit_ms=TRANSIT_TIMES_MS,
    )
    def run_without_faults(self, index, duration_ms, transit_ms):
        """Run one agent without faults while the other is paused at its current step."""
        agent = self.agents[index]
        ends_ms = self.now_ms + duration_ms
        for _ in range(100):
            self.deliver_answer(index)
            self.decide(index)
            if agent.awaited is not None and agent.awaited.executed is not None:
                self.end_order(index, False)
            elif isinstance(agent.decided, Wait) or agent.decided is None:
                agent.decided = None
                if self.now_ms >= ends_ms:
                    return
                self.pass_time(min(1000, ends_ms - self.now_ms))
            else:
                self.perform(index, CallOutcome.ANSWERED, transit_ms)

    # --- invariants ----------------------------------------------------------------------------

    @invariant()
    def never_regresses(self):
        executed = self.engine.executed if hasattr(self, "engine") else []
        for previous, later in itertools.pairwise(executed):
            assert previous.tenure <= later.tenure, (previous, later)
            assert previous.sequence <= later.sequence, (previous, later)


class PausedHolderTest(unittest.TestCase):
    """One agent is paused after each of its steps, around every bound, while another runs."""

    PAUSES_MS = (1000, 6000, 8800, 9200, 10200, 11300, 14000, 26000)
    STEPS = 20
    ANSWERS_MS = (50, 2500)
    TRANSIT_TIMES_MS = (300, 14000)

    def test_a_holder_paused_at_any_step_sends_no_stale_order(self):
        takeovers = 0
        cases = itertools.product(
            (False, True),
            range(1, self.STEPS),
            self.PAUSES_MS,
            self.ANSWERS_MS,
            self.TRANSIT_TIMES_MS,
        )
        for case in cases:
            with self.subTest(case):
                takeovers += self._run(*case)
        self.assertGreater(takeovers, 50)

    def _run(self, checks, steps, pause_ms, answer_ms, transit_ms):
        machine = OrdersMachine()
        machine.begin(checks)
        for _ in range(steps):
            self._step_slowly(machine, answer_ms, transit_ms)
        machine.change_configuration()
        machine.run_without_faults(1, pause_ms, 0)
        for _ in range(45):
            machine.perform(0, CallOutcome.ANSWERED, 14000)
            machine.deliver_answer(0)
            machine.run_without_faults(0, 0, 14000)
            machine.run_without_faults(1, 1000, 0)
            machine.never_regresses()
        return len({sent.tenure for sent in machine.engine.executed}) > 1

    def _step_slowly(self, machine, answer_ms, transit_ms):
        """Execute one step of the first agent, with delayed answers and orders."""
        agent = machine.agents[0]
        if agent.answer is not None:
            machine.pass_time(answer_ms)
            machine.deliver_answer(0)
        elif agent.decided is None or isinstance(agent.decided, Wait):
            agent.decided = None
            machine.pass_time(answer_ms)
            if agent.awaited is not None and agent.awaited.executed is not None:
                machine.end_order(0, False)
                machine.change_configuration()
            machine.decide(0)
        else:
            machine.perform(0, CallOutcome.ANSWERED, transit_ms)


OrdersMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=60, derandomize=True, deadline=None, database=None
)
OrdersTest = OrdersMachine.TestCase
