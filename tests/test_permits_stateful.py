"""Permits under failures and pauses of owners and holders, and loss of their messages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fescuedock.core.permits.actions import Granted
from fescuedock.schema.permits import AttemptOutcome, WorkClass
from tests.builders.permit_harness import HOLDERS, LIMIT, PermitHarness
from tests.builders.permits import VALID_MS

holders = st.sampled_from(HOLDERS)


class PermitMachine(RuleBasedStateMachine):
    """Two holders, and owners that pause, die and overlap.

    ``handovers`` holds the times of changes of owner whose old permits may still be in use.  Each
    may add attempts up to the limit for one validity period, and nothing else may.
    """

    def __init__(self) -> None:
        super().__init__()
        self.harness = PermitHarness()
        self.handovers: list[float] = []

    @rule(holder_id=holders, reply_lost=st.booleans())
    def ask_online(self, holder_id: str, reply_lost: bool) -> None:
        number = self.harness.owner_of[holder_id]
        before = self.harness.load(number)
        actions = self.harness.ask(holder_id, WorkClass.ONLINE, reply_lost)
        if number in self.harness.paused or not before.accepting:
            return
        granted = any(isinstance(action, Granted) for action in actions)
        # Batch never keeps online from starting; only other online attempts do.
        assert granted == (before.in_flight_online < LIMIT), (before, actions)

    @rule(holder_id=holders, reply_lost=st.booleans())
    def ask_batch(self, holder_id: str, reply_lost: bool) -> None:
        before = self.harness.load(self.harness.owner_of[holder_id])
        actions = self.harness.ask(holder_id, WorkClass.BATCH, reply_lost)
        if any(isinstance(action, Granted) for action in actions):
            assert before.in_flight_online + before.in_flight_batch < LIMIT, before
            assert not before.queued_online, before

    @rule(data=st.data(), cut=st.booleans())
    @precondition(lambda self: self.harness.running)
    def finish(self, data: st.DataObject, cut: bool) -> None:
        attempt_id = data.draw(st.sampled_from(sorted(self.harness.running)))
        self.harness.end(attempt_id, AttemptOutcome.CANCELLED if cut else AttemptOutcome.COMPLETED)

    @rule()
    def deliver_revocations(self) -> None:
        self.harness.deliver_revocations()

    @rule(holder_id=holders, lost=st.booleans())
    def report(self, holder_id: str, lost: bool) -> None:
        self.harness.report(holder_id, lost)

    @rule(holder_id=holders, lost=st.booleans())
    def renew(self, holder_id: str, lost: bool) -> None:
        self.harness.renew(holder_id, lost)

    @rule(by_ms=st.sampled_from([1, 50, VALID_MS // 3, VALID_MS]))
    def advance(self, by_ms: int) -> None:
        self.harness.advance(by_ms)

    @rule()
    def pause_owner(self) -> None:
        self.harness.paused.add(self.harness.owner_of[HOLDERS[0]])

    @rule()
    def resume_owners(self) -> None:
        self.harness.paused.clear()
        self.harness.advance(1)

    @rule()
    def lose_owner(self) -> None:
        """The owner dies; its successor has no state."""
        old = set(self.harness.owner_of.values())
        self.harness.owner_of = dict.fromkeys(HOLDERS, self.harness.add_owner())
        self.harness.retired |= old
        self.handovers.append(self.harness.now_ms)

    @rule()
    def two_owners(self) -> None:
        """One holder learns of a new owner before the other does."""
        self.harness.owner_of[HOLDERS[0]] = self.harness.add_owner()
        self.handovers.append(self.harness.now_ms)

    @rule()
    def agree(self) -> None:
        """All participants learn who the owner is."""
        newest = len(self.harness.owners) - 1
        for number in set(range(newest)) - self.harness.retired:
            self.harness.retire(number)
        self.harness.owner_of = dict.fromkeys(HOLDERS, newest)

    @invariant()
    def limits_hold(self) -> None:
        revoking = sum(permit_id in self.harness.running for permit_id in self.harness.revoking)
        split = len(set(self.harness.owner_of.values())) > 1
        recent = sum(at_ms > self.harness.now_ms - 2 * VALID_MS for at_ms in self.handovers)
        # An owner that lost contact with an online attempt no longer counts it.  Otherwise the
        # limit may be exceeded only after a change of owner and by permits being revoked.
        uncounted = self._uncounted_online()
        allowed = LIMIT * (1 + recent + split) + revoking + uncounted
        assert len(self.harness.running) <= allowed, (self.harness.running, allowed)

    @invariant()
    def batch_has_not_passed_its_validity(self) -> None:
        for book in self.harness.books.values():
            assert not book.lapsed(self.harness.now_ms)

    def teardown(self) -> None:
        """Without further renewals every permit ends."""
        self.harness.paused.clear()
        for _ in range(4):
            self.harness.advance(VALID_MS)
        for number in set(range(len(self.harness.owners))) - self.harness.retired:
            load = self.harness.load(number)
            assert load.in_flight_online == load.in_flight_batch == 0, load
        assert not self.harness.count(WorkClass.BATCH)

    def _uncounted_online(self) -> int:
        counted = max(self.harness.load(n).in_flight_online for n in self.harness.owner_of.values())
        return max(self.harness.count(WorkClass.ONLINE) - counted, 0)


PermitMachine.TestCase.settings = settings(max_examples=250, stateful_step_count=30)
PermitsStatefulTest = PermitMachine.TestCase
