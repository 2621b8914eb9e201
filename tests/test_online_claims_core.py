"""Claims: at most one execution despite lost answers, outages, crashes and several entries."""

import unittest

import msgspec
import trio
import trio.testing
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err, Ok, Result

from fescuedock.backing.kv_writes import put_resolved
from fescuedock.core.claims import (
    Claim,
    Dispatch,
    PutRecord,
    ReadRecord,
    Refuse,
    Replay,
    claim_key,
    is_expired,
    is_non_idempotent,
    request_hash,
)
from fescuedock.faults import Fault
from fescuedock.schema.claims import ClaimRecord, RecordedAnswer
from fescuedock.schema.result_codes import ResultCode
from fescuedock.standin.kv_faults import LostAnswer
from tests.builders.kv import MemoryKv

KEY = claim_key("/p/", "m", "s", "k")
HASH = request_hash("POST", "/bookings", b"{}")
OTHER_HASH = request_hash("POST", "/bookings", b"{1}")
ANSWER = RecordedAnswer(200, "text/plain", b"booked")


def encode(record: ClaimRecord) -> bytes:
    return msgspec.json.encode(record)


def is_ours(token: str):
    return lambda value: msgspec.json.decode(value, type=ClaimRecord).token == token


async def run_claim(claim: Claim, kv: MemoryKv) -> Dispatch | Replay | Refuse:
    """Carry out the claim's steps as an entry does."""
    step = claim.start()
    while True:
        match step:
            case PutRecord(key, record, revision):
                written = await put_resolved(
                    kv, key, encode(record), revision, is_ours(record.token), attempts=2
                )
                step = claim.on_write(written)
            case ReadRecord(key):
                step = claim.on_read(await kv.get(key))
            case _:
                return step


async def put_once(kv: MemoryKv, step: PutRecord) -> None:
    await kv.put_if(step.key, encode(step.record), step.expected_revision)


class SimulatedEntry:
    """One entry with its own faults of calls to the shared key-value service."""

    def __init__(self, kv: MemoryKv) -> None:
        self.kv = kv
        self.unsent: set[str] = set()


class ClaimMachine(RuleBasedStateMachine):
    """Resends of one call through two entries, with all known faults in between."""

    @initialize()
    def start(self) -> None:
        shared = MemoryKv()
        self.entries = [SimulatedEntry(shared), SimulatedEntry(MemoryKv(shared.state))]
        self.executions = 0
        self.tokens = 0

    @rule(
        entry=st.integers(0, 1),
        lost=st.lists(st.sampled_from(list(LostAnswer)), max_size=3),
        down=st.sampled_from([False, False, False, True]),
        fate=st.sampled_from(["answered", "lost", "not_sent", "entry_dies"]),
    )
    def send(self, entry: int, lost: list[LostAnswer], down: bool, fate: str) -> None:
        simulated_entry = self.entries[entry]
        simulated_entry.kv.faults.down = down
        for nth, when in enumerate(lost, start=1):
            simulated_entry.kv.faults.lose_answer(when, nth)
        trio.run(
            self._send, simulated_entry, fate, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        simulated_entry.kv.faults.clear()

    async def _send(self, simulated_entry: SimulatedEntry, fate: str) -> None:
        self.tokens += 1
        token = f"token-{self.tokens}"
        claim = Claim(KEY, token, HASH, 0, frozenset(simulated_entry.unsent))
        simulated_entry.unsent.add(token)
        outcome = await run_claim(claim, simulated_entry.kv)
        if isinstance(outcome, Replay):
            assert outcome.answer == ANSWER
            assert self.executions == 1
        if not isinstance(outcome, Dispatch):
            return
        simulated_entry.unsent.discard(token)
        await self._dispatch(simulated_entry, claim, fate)

    async def _dispatch(self, simulated_entry: SimulatedEntry, claim: Claim, fate: str) -> None:
        if fate == "entry_dies":
            return
        if fate == "not_sent":
            await put_once(simulated_entry.kv, claim.record_not_sent())
            return
        self.executions += 1
        if fate == "answered":
            await put_once(simulated_entry.kv, claim.record_answer(ANSWER))

    @rule(entry=st.integers(0, 1))
    def land_late_writes(self, entry: int) -> None:
        self.entries[entry].kv.apply_late_writes()

    @rule(entry=st.integers(0, 1))
    def entry_restarts(self, entry: int) -> None:
        self.entries[entry].unsent.clear()

    @invariant()
    def at_most_once(self) -> None:
        assert getattr(self, "executions", 0) <= 1


ClaimMachine.TestCase.settings = hypothesis_settings(max_examples=150, stateful_step_count=12)
ClaimMachineTest = ClaimMachine.TestCase


class ClaimTest(unittest.TestCase):
    """Single decisions."""

    def claim(self, token: str = "t2", hash_: str = HASH, unsent: tuple[str, ...] = ()) -> Claim:
        return Claim(KEY, token, hash_, 0, frozenset(unsent))

    def written_by(self, token: str = "t1") -> MemoryKv:
        """Return a service in which ``token`` holds the claim."""
        kv = MemoryKv()
        self.assertIsInstance(self.run_claim(self.claim(token), kv), Dispatch)
        return kv

    def run_claim(self, claim: Claim, kv: MemoryKv) -> Dispatch | Replay | Refuse:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(run_claim, claim, kv, clock=clock)

    def refusal(self, claim: Claim, kv: MemoryKv) -> ResultCode:
        outcome = self.run_claim(claim, kv)
        self.assertIsInstance(outcome, Refuse)
        return outcome.fault.code

    def test_a_second_writer_is_refused(self) -> None:
        self.assertIs(self.refusal(self.claim(), self.written_by()), ResultCode.ALREADY_CLAIMED)

    def test_other_content_under_the_key_is_refused(self) -> None:
        claim = self.claim(hash_=OTHER_HASH)
        self.assertIs(self.refusal(claim, self.written_by()), ResultCode.KEY_REUSED)

    def test_an_own_claim_that_was_never_sent_is_taken_over(self) -> None:
        claim = self.claim(unsent=("t1",))
        self.assertIsInstance(self.run_claim(claim, self.written_by("t1")), Dispatch)

    def test_an_outage_refuses_the_call_with_a_retry_time(self) -> None:
        kv = MemoryKv()
        kv.faults.down = True
        outcome = self.run_claim(self.claim(), kv)
        self.assertIs(outcome.fault.code, ResultCode.CLAIM_UNAVAILABLE)
        self.assertGreater(outcome.fault.retry_after_ms, 0)

    def test_a_lost_answer_is_resolved_by_the_token(self) -> None:
        kv = MemoryKv()
        kv.faults.lose_answer(LostAnswer.AFTER_EFFECT)
        self.assertIsInstance(self.run_claim(self.claim(), kv), Dispatch)

    def test_a_claim_dispatches_only_once(self) -> None:
        claim = self.claim()
        claim.start()
        self.assertIsInstance(claim.on_write(Ok(1)), Dispatch)
        with self.assertRaises(RuntimeError):
            claim.on_write(Ok(2))

    def test_an_answer_over_the_bound_is_not_stored(self) -> None:
        claim = self.claim()
        claim.start()
        claim.on_write(Ok(1))
        step = claim.record_answer(RecordedAnswer(200, "", b"x" * (33 * 1024)))
        self.assertEqual(step.record.answer, b"")

    def test_a_removed_claim_does_not_permit_sending(self) -> None:
        claim = self.claim()
        claim.start()
        conflict: Result[int, Fault] = Err(Fault(ResultCode.KV_CONFLICT, ""))
        self.assertIsInstance(claim.on_write(conflict), ReadRecord)
        outcome = claim.on_read(Ok(None))
        self.assertIs(outcome.fault.code, ResultCode.CLAIM_UNAVAILABLE)

    def test_members_have_keys_of_their_own(self) -> None:
        names = {claim_key("/p/", *parts) for parts in [("a", "b", "c"), ("ab", "", "c")]}
        self.assertEqual(len(names), 2)

    def test_an_unreadable_claim_never_expires(self) -> None:
        kv = self.written_by()
        entry = trio.run(kv.get, KEY).unwrap()
        self.assertFalse(is_expired(entry, 60, 60))
        self.assertTrue(is_expired(entry, 60, 61))
        bad = type(entry)(entry.key, b"?", entry.mod_revision)
        self.assertFalse(is_expired(bad, 60, 10**9))


class RuleTest(unittest.TestCase):
    """Which calls the configuration marks as non-idempotent."""

    RULES = ("POST /bookings", "* /payments/")

    def test_method_and_prefix(self) -> None:
        for method, path, expected in [
            ("POST", "bookings", True),
            ("POST", "bookings/7", True),
            ("GET", "bookings", False),
            ("DELETE", "payments/7", True),
            ("POST", "queries", False),
            ("POST", "//bookings", True),
            ("POST", "x/../bookings", True),
            ("POST", "./bookings", True),
        ]:
            with self.subTest(method=method, path=path):
                self.assertIs(is_non_idempotent(self.RULES, method, path), expected)
