"""Tests StreamState against an oracle under broken, late and refused attempts."""

import unittest
from dataclasses import dataclass

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from fescuedock.core.streams import AttemptEnd, NextStep, StallPolicy, StreamState
from fescuedock.schema.config import Objectives

ANSWER = [f"word{index} " for index in range(8)]


@dataclass(frozen=True, slots=True)
class Event:
    data: bytes
    text: str = ""
    finished: bool = False


def event(attempt_id: str, text: str = "", *, finished: bool = False) -> Event:
    return Event(b'{"id":"%s"}%s' % (attempt_id.encode(), text.encode()), text, finished)


class Engine:
    """An engine's stream for one attempt, which may break or send late events."""

    def __init__(self, attempt_id: str, first: int, *, opens: bool, usage: bool) -> None:
        self.events = [event(attempt_id)] if opens else []
        self.events += [event(attempt_id, text) for text in ANSWER[first:]]
        self.events.append(event(attempt_id, finished=True))
        if usage:
            self.events.append(event(attempt_id))
        self.sent = 0

    def next(self) -> Event | None:
        if self.sent == len(self.events):
            return None
        self.sent += 1
        return self.events[self.sent - 1]


class StreamMachine(RuleBasedStateMachine):
    """Attempts break, send late or lack resume support; the caller's text stays correct."""

    @initialize(usage=st.booleans(), opens=st.booleans(), accepts_resume=st.booleans())
    def start(self, usage: bool, opens: bool, accepts_resume: bool) -> None:
        self.usage = usage
        self.opens = opens
        self.accepts_resume = accepts_resume
        self.state = StreamState(wants_usage=usage)
        self.got: list[bytes] = []
        self.text = ""
        self.finishes = 0
        self.openings = 0
        self.engines: dict[str, Engine] = {}
        self.over = False
        self.begin()

    def begin(self) -> None:
        attempt_id = f"a{len(self.engines)}"
        resume = self.state.begin(attempt_id)
        if resume is not None and (not self.accepts_resume or resume.tokens == len(ANSWER)):
            self.state.end(attempt_id, AttemptEnd.BROKEN)
            self.state.replays = True
            resume = self.state.begin(attempt_id)
        first = resume.tokens if resume else 0
        if resume:
            assert resume.text == "".join(ANSWER[:first])
        self.engines[attempt_id] = Engine(attempt_id, first, opens=self.opens, usage=self.usage)
        self.current = attempt_id

    def feed(self, attempt_id: str) -> bool:
        found = self.engines[attempt_id].next()
        if found is None:
            return False
        data = self.state.receive(attempt_id, found)
        if data is not None:
            self.got.append(data)
            self.openings += not found.text and not found.finished and not self.finishes
            self.text += found.text
            self.finishes += found.finished
        return True

    @precondition(lambda self: not self.over)
    @rule(count=st.integers(1, 4))
    def deliver(self, count: int) -> None:
        for _ in range(count):
            if not self.feed(self.current):
                self.end(AttemptEnd.COMPLETE)
                return

    @precondition(lambda self: not self.over)
    @rule()
    def break_off(self) -> None:
        self.end(AttemptEnd.BROKEN)

    @rule(data=st.data())
    def deliver_late(self, data: st.DataObject) -> None:
        """An attempt that has ended sends further events."""
        old = [name for name in self.engines if name != self.current or self.over]
        if not old:
            return
        name = data.draw(st.sampled_from(old))
        before = len(self.got)
        self.feed(name)
        assert len(self.got) == before
        assert self.state.end(name, AttemptEnd.COMPLETE) is NextStep.IGNORE

    def end(self, how: AttemptEnd) -> None:
        step = self.state.end(self.current, how)
        if step is NextStep.FINISH:
            self.over = True
            assert self.text == "".join(ANSWER)
            assert self.finishes == 1
        else:
            assert step is NextStep.CONTINUE
            self.begin()

    @invariant()
    def caller_has_a_prefix_of_the_answer(self) -> None:
        assert "".join(ANSWER).startswith(self.text)
        assert self.finishes <= 1
        assert self.openings <= 1

    @invariant()
    def one_identity(self) -> None:
        assert len({data.split(b"}")[0] for data in self.got}) <= 1


StreamMachine.TestCase.settings = hypothesis_settings(max_examples=150, stateful_step_count=30)
StreamMachineTest = StreamMachine.TestCase


class StreamStateTest(unittest.TestCase):
    """Cases that the state machine does not cover."""

    def setUp(self) -> None:
        self.state = StreamState()
        self.state.begin("a")

    def test_another_software_version_gets_no_resume_point_and_must_repeat_delivered_text(self):
        state = StreamState()
        state.begin("a-1", "b1")
        state.accept_version("a-1", "b1")
        for text in ANSWER[:2]:
            state.receive("a-1", event("a-1", text))
        state.end("a-1", AttemptEnd.BROKEN)
        self.assertIsNone(state.begin("a-2", "b2"))
        self.assertTrue(state.accept_version("a-2", "b2"))
        self.assertIsNone(state.receive("a-2", event("a-2", ANSWER[0])))
        self.assertIsNone(state.receive("a-2", event("a-2", "another word")))
        self.assertTrue(state.diverged)
        self.assertIs(state.end("a-2", AttemptEnd.BROKEN), NextStep.GIVE_UP)

    def test_the_version_that_opened_an_answer_resumes_after_the_delivered_tokens(self):
        state = StreamState()
        state.begin("a-1", "b1")
        state.accept_version("a-1", "b1")
        state.receive("a-1", event("a-1", ANSWER[0]))
        state.end("a-1", AttemptEnd.BROKEN)
        self.assertEqual(state.begin("a-2", "b1").tokens, 1)
        self.assertTrue(state.accept_version("a-2", "b1"))

    def test_a_record_does_not_tell_the_version_that_wrote_or_resumes_an_answer(self) -> None:
        """Guards against an answer of two versions where an engine's record is old."""
        for listed in ("b1", ""):
            state = StreamState()
            state.begin("a-1", listed)
            state.accept_version("a-1", "b2")
            state.receive("a-1", event("a-1", ANSWER[0]))
            state.end("a-1", AttemptEnd.BROKEN)
            if listed:
                self.assertIsNone(state.begin("a-2", "b1"))
            for attempt_id, version in (("a-3", "b2"), ("a-4", "")):
                self.assertEqual(state.begin(attempt_id, version).tokens, 1)
                for named in ("b1", ""):
                    self.assertFalse(state.accept_version(attempt_id, named))
                self.assertTrue(state.accept_version(attempt_id, "b2"))

    def test_tokens_belong_to_the_version_that_wrote_them_and_not_to_the_opening_one(self) -> None:
        """Guards against an answer that resumes at the version of an opening without tokens."""
        state = StreamState()
        state.begin("a-1", "b1")
        state.accept_version("a-1", "b1")
        self.assertIsNotNone(state.receive("a-1", event("a-1")))
        state.end("a-1", AttemptEnd.BROKEN)
        state.begin("a-2", "b2")
        state.accept_version("a-2", "b2")
        state.receive("a-2", event("a-2"))
        self.assertIsNotNone(state.receive("a-2", event("a-2", ANSWER[0])))
        state.end("a-2", AttemptEnd.BROKEN)
        self.assertIsNone(state.begin("a-3", "b1"))
        self.assertEqual(state.begin("a-4", "b2").tokens, 1)

    def test_an_end_without_a_finish_reason_is_incomplete(self) -> None:
        self.state.receive("a", event("a", "x"))
        self.assertIs(self.state.end("a", AttemptEnd.COMPLETE), NextStep.CONTINUE)

    def test_an_event_without_text_makes_the_answer_unresumable(self) -> None:
        self.state.receive("a", event("a", "x"))
        self.assertIsNotNone(self.state.receive("a", event("a")))
        self.assertIs(self.state.end("a", AttemptEnd.BROKEN), NextStep.GIVE_UP)

    def test_an_answer_of_several_texts_is_abandoned_once_opened(self) -> None:
        state = StreamState(resumable=False)
        state.begin("a")
        self.assertIs(state.end("a", AttemptEnd.BROKEN), NextStep.CONTINUE)
        state.begin("b")
        state.receive("b", event("b", "x"))
        self.assertIs(state.end("b", AttemptEnd.BROKEN), NextStep.GIVE_UP)

    def test_a_replay_that_differs_is_given_up(self) -> None:
        self.state.receive("a", event("a", "x"))
        self.state.end("a", AttemptEnd.BROKEN)
        self.state.replays = True
        self.assertIsNone(self.state.begin("b"))
        self.assertIsNone(self.state.receive("b", event("b", "y")))
        self.assertTrue(self.state.diverged)
        self.assertIsNone(self.state.receive("b", event("b", "z")))
        self.assertIs(self.state.end("b", AttemptEnd.BROKEN), NextStep.GIVE_UP)

    def test_a_replay_that_ends_too_early_is_given_up(self) -> None:
        for text in "xy":
            self.state.receive("a", event("a", text))
        self.state.end("a", AttemptEnd.BROKEN)
        self.state.replays = True
        self.state.begin("b")
        self.state.receive("b", event("b", "x", finished=True))
        self.assertIs(self.state.end("b", AttemptEnd.COMPLETE), NextStep.GIVE_UP)

    def test_stall_time_follows_the_usual_time_above_a_floor(self) -> None:
        policy = StallPolicy(factor=10, floor_ms=2000)
        self.assertEqual(policy.timeout_ms(31), 2000)
        self.assertEqual(policy.timeout_ms(1000), 10000)

    def test_an_answer_of_unknown_length_may_take_the_full_bound(self) -> None:
        policy = StallPolicy(factor=10, floor_ms=2000)
        objectives = Objectives(first_token_ms=1000, inter_token_ms=30)
        self.assertEqual(policy.full_answer_timeout_ms(objectives, 0, 60_000), 60_000)
        self.assertEqual(policy.full_answer_timeout_ms(objectives, 10, 60_000), 13_000)
        self.assertEqual(policy.full_answer_timeout_ms(objectives, 1000, 60_000), 60_000)
