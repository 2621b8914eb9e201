"""Scheduling, isolation of suspects, takeover, item sets, and result lines of batch jobs."""

import unittest

import msgspec
from hypothesis import given, strategies

from fescuedock.core.batch.answers import failed_line, rejected_line, succeeded_line
from fescuedock.core.batch.assembly import AnswerAssembly, can_stream
from fescuedock.core.batch.items import AttemptEnd, EndKind, Isolation
from fescuedock.core.batch.ranges import ItemSet, covers, to_ranges
from fescuedock.core.batch.scheduler import ItemScheduler
from fescuedock.core.batch.takeover import (
    OwnerAnswer,
    RunnerName,
    SilentOwners,
    TakeoverDecision,
    decide_takeover,
    is_scanner,
    preferred_runner,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings
from fescuedock.schema.view import VmRecord, VmState
from tests.builders.batch import DONE, BatchJobHarness, Runner, batch_settings, input_line

_NUMBERS = strategies.sets(strategies.integers(0, 199))
_SERVICE = "trip-desk"


def _vm(vm_id: str, domain: str = "gent-hal", state: VmState = VmState.ALIVE) -> VmRecord:
    return VmRecord(vm_id, "vlaanderen", domain, "127.0.0.1", 1, state, batch_port=7)


def _fleet_settings(**changes: int) -> BatchSettings:
    # No call is made once the items are loaded, so the record must stay valid for the whole test.
    return batch_settings(segment_items=200, record_age_ms=3_600_000, **changes)


class _Fleet:
    """A scheduler with jobs whose items are loaded."""

    def __init__(self) -> None:
        self.settings = _fleet_settings(max_items_in_flight=1000)
        self.scheduler = ItemScheduler(self.settings)
        self.runners: dict[str, Runner] = {}
        self.now_ms = 1000.0

    def add(self, name: str, *, member: str = "gent", items: int = 200, due_s: int = 3600) -> None:
        harness = BatchJobHarness(items, self.settings)
        record = msgspec.structs.replace(
            harness.record, job_id=name, member=member, deadline_s=due_s
        )
        harness.value = msgspec.msgpack.encode(record)
        runner = Runner(harness, f"vm/{name}")
        runner.run.job_id = name
        for _ in range(4):
            runner.step()
        self.runners[name] = runner
        self.scheduler.add(runner.run)

    def claim(self, upstream_id: str = "u1"):
        return self.scheduler.claim(_SERVICE, upstream_id, lambda _member: 1.0, self.now_ms)

    def end(self, assignment, end: AttemptEnd = DONE) -> None:
        self.scheduler.on_ended(assignment, self.now_ms)
        assignment.run.on_attempt_ended(assignment.item, end, self.now_ms)

    def served(self, count: int) -> dict[str, int]:
        """Run ``count`` items one after the other; return how many of them each job got."""
        counts = dict.fromkeys(self.runners, 0)
        for _ in range(count):
            assignment = self.claim()
            counts[assignment.run.job_id] += 1
            self.now_ms += 100.0
            self.end(assignment)
        return counts


class GoneVersionTest(unittest.TestCase):
    def test_an_item_whose_version_is_gone_begins_anew(self):
        """Guards against an item that waits forever for a version that no engine has."""
        fleet = _Fleet()
        fleet.add("a", items=1)
        generated = {"text": "begun", "tokens": 4, "software_version": "b1"}
        fleet.end(fleet.claim(), AttemptEnd(EndKind.DIED, **generated))
        tokens = []
        for number in range(4):
            fleet.now_ms += 60_000.0
            assignment = fleet.claim(f"u{number}")
            tokens.append(assignment.item.tokens)
            fleet.end(assignment, AttemptEnd(EndKind.OTHER_VERSION, **generated))
        self.assertEqual(tokens, [4, 4, 4, 0])


class SchedulerTest(unittest.TestCase):
    def test_members_share_slots_equally_when_nothing_is_urgent(self):
        fleet = _Fleet()
        fleet.add("a1", member="manizales")
        fleet.add("a2", member="manizales")
        fleet.add("b", member="vandenbroucke")
        counts = fleet.served(100)
        self.assertAlmostEqual(counts["b"], 50, delta=2)

    def test_a_job_with_little_slack_goes_first_but_not_exclusively(self):
        fleet = _Fleet()
        fleet.add("tight", member="a", due_s=26)
        fleet.add("loose", member="b")
        fleet.served(30)
        counts = fleet.served(60)
        self.assertGreaterEqual(counts["tight"], 40)
        self.assertGreaterEqual(counts["loose"], 60 // 4 - 1)

    def test_a_job_that_cannot_meet_its_deadline_does_not_delay_others(self):
        fleet = _Fleet()
        fleet.add("hopeless", member="a", due_s=6)
        fleet.add("feasible", member="b", due_s=30)
        while fleet.runners["feasible"].run.items_left:
            fleet.served(1)
        self.assertLess(fleet.now_ms, 30000.0)
        self.assertGreater(fleet.runners["hopeless"].run.items_left, 0)

    def test_a_new_member_gets_no_credit_for_the_time_before(self):
        fleet = _Fleet()
        fleet.add("old", member="a")
        fleet.served(60)
        fleet.add("new", member="b")
        counts = fleet.served(40)
        self.assertAlmostEqual(counts["new"], 20, delta=2)

    def test_nothing_starts_over_the_limit_in_flight(self):
        fleet = _Fleet()
        fleet.scheduler = ItemScheduler(batch_settings(max_items_in_flight=3))
        fleet.add("a")
        self.assertEqual(sum(fleet.claim() is not None for _ in range(9)), 3)

    def test_an_upstream_runs_one_suspect_at_a_time(self):
        fleet = _Fleet()
        fleet.add("a")
        first, second = fleet.claim(), fleet.claim()
        fleet.end(first, AttemptEnd(EndKind.DIED))
        fleet.end(second, AttemptEnd(EndKind.DIED))
        fleet.now_ms += 10000.0
        suspect = fleet.claim("u2")
        self.assertIs(suspect.isolation, Isolation.FROM_SUSPECTS)
        beside = fleet.claim("u2")
        self.assertIs(beside.isolation, Isolation.NONE, "one suspect for each upstream")
        fleet.end(suspect, AttemptEnd(EndKind.DIED))
        self.assertIs(fleet.claim("u3").isolation, Isolation.FROM_SUSPECTS)

    def test_an_item_that_received_tokens_is_suspected_less(self):
        fleet = _Fleet()
        fleet.settings = _fleet_settings(item_attempts=4)
        fleet.add("a")
        seen = []
        for number in range(1, 7):
            assignment = fleet.claim(f"u{number}")
            seen.append(assignment.isolation)
            tokens = assignment.item.tokens + 5
            fleet.end(assignment, AttemptEnd(EndKind.DIED, text="x" * tokens, tokens=tokens))
            fleet.now_ms += 60000.0
            self.assertEqual(assignment.item.tokens, 5 if number == 1 else 0)
        expected = [Isolation.NONE] * 2 + [Isolation.FROM_SUSPECTS] * 2 + [Isolation.FULL] * 2
        self.assertEqual(seen, expected)

    def test_an_isolated_item_waits_for_an_idle_upstream_and_blocks_it(self):
        fleet = _Fleet()
        fleet.settings = _fleet_settings(max_items_in_flight=99, item_attempts=4)
        fleet.add("a")
        bad = fleet.claim("u1")
        fleet.end(bad, AttemptEnd(EndKind.DIED))
        fleet.now_ms += 10000.0
        bad = fleet.claim("u2")
        fleet.end(bad, AttemptEnd(EndKind.DIED))
        other = fleet.claim("u3")
        fleet.now_ms += 20000.0
        self.assertIsNone(fleet.claim("u3"), "the upstream runs empty for the suspect")
        fleet.end(other)
        isolated = fleet.claim("u3")
        self.assertIs(isolated.item, bad.item)
        self.assertIs(isolated.isolation, Isolation.FULL)
        self.assertIsNone(fleet.claim("u3"))
        fleet.end(isolated)
        self.assertIsNotNone(fleet.claim("u3"))


class TakeoverTest(unittest.TestCase):
    ME = RunnerName("vm-1", "b")

    def _judge(self, owner, vm, answer=None, silent_ms=0.0) -> TakeoverDecision:
        return decide_takeover(owner, self.ME, vm, answer, silent_ms, 10000.0)

    def test_a_job_without_a_live_owner_is_claimed(self):
        self.assertIs(self._judge("", None), TakeoverDecision.CLAIM)
        self.assertIs(self._judge("vm-2/a", None), TakeoverDecision.CLAIM)
        self.assertIs(self._judge("vm-1/a", _vm("vm-1")), TakeoverDecision.CLAIM)

    def test_a_live_owner_is_queried_and_retains_the_jobs_it_runs(self):
        vm = _vm("vm-2")
        self.assertIs(self._judge("vm-2/a", vm), TakeoverDecision.QUERY_OWNER)
        self.assertIs(self._judge("vm-2/a", vm, OwnerAnswer.RUNNING), TakeoverDecision.LEAVE)
        self.assertIs(self._judge("vm-2/a", vm, OwnerAnswer.NOT_RUNNING), TakeoverDecision.CLAIM)

    def test_a_silent_owner_loses_the_job_after_a_while(self):
        log = SilentOwners()
        vm = _vm("vm-2")
        for now_ms, verdict in (
            (0.0, TakeoverDecision.LEAVE),
            (9999.0, TakeoverDecision.LEAVE),
            (1e4, TakeoverDecision.CLAIM),
        ):
            silent_ms = log.record_silence("job", now_ms)
            self.assertIs(self._judge("vm-2/a", vm, OwnerAnswer.SILENT, silent_ms), verdict)
        log.clear("job")
        self.assertEqual(log.record_silence("job", 2e4), 0.0)

    def test_each_domain_has_its_own_scanners(self):
        vms = [_vm(f"vm-{number}", f"domain-{number % 3}") for number in range(9)]
        chosen = [vm for vm in vms if is_scanner(vm.vm_id, vms, 1)]
        self.assertEqual({vm.failure_domain for vm in chosen}, {vm.failure_domain for vm in vms})
        self.assertEqual(len(chosen), 3)
        self.assertEqual(sum(is_scanner(vm.vm_id, vms, 2) for vm in vms), 6)

    def test_a_job_moves_only_when_its_runner_leaves(self):
        vms = [_vm(f"vm-{number}") for number in range(9)]
        for job in range(50):
            chosen = preferred_runner(f"job-{job}", vms)
            rest = [vm for vm in vms if vm is not vms[job % 9]]
            if chosen is not vms[job % 9]:
                self.assertIs(preferred_runner(f"job-{job}", rest), chosen)


class ItemSetTest(unittest.TestCase):
    @given(_NUMBERS, _NUMBERS)
    def test_it_is_a_set_of_numbers(self, first, second):
        items = ItemSet(200, to_ranges(first))
        for number in second:
            self.assertEqual(items.add(number), number not in first)
        union = first | second
        self.assertEqual(len(items), len(union))
        self.assertEqual(items.ranges(), to_ranges(union))
        for number in range(200):
            self.assertEqual(number in items, number in union)
            self.assertEqual(covers(items.ranges(), number), number in union)
            missing = next((item for item in range(number, 200) if item not in union), 200)
            self.assertEqual(items.next_missing(number), missing)


class AnswerTest(unittest.TestCase):
    def test_a_result_line_is_one_line_in_the_shape_of_openai(self):
        body = b'{"a":\n [1,\n 2]}'
        line = succeeded_line("batch_1", 3, input_line(3), 200, body)
        self.assertNotIn(b"\n", line)
        decoded = msgspec.json.decode(line)
        self.assertEqual(decoded["custom_id"], "c3")
        self.assertEqual(decoded["response"]["body"], {"a": [1, 2]})
        self.assertIsNone(decoded["error"])

    def test_an_error_line_states_its_outcome(self):
        line = failed_line("batch_1", 3, input_line(3), ResultCode.ITEM_UNKNOWN, "lost")
        error = msgspec.json.decode(line)["error"]
        self.assertEqual((error["number"], error["outcome"]), (ResultCode.ITEM_UNKNOWN, "unknown"))

    def test_a_body_that_is_not_json_becomes_text(self):
        line = rejected_line("batch_1", 3, input_line(3), 400, b"<html>\n\xff")
        self.assertEqual(msgspec.json.decode(line)["response"]["body"], "<html>\n\ufffd")

    def test_a_resumed_stream_becomes_a_complete_answer(self):
        answer = AnswerAssembly(chat=True, text="Dear ", tokens=1)
        head = {"id": "x", "created": 5, "model": "m"}
        token = {**head, "choices": [{"delta": {"content": "all"}, "finish_reason": None}]}
        end = {**head, "choices": [{"delta": {}, "finish_reason": "stop"}]}
        usage = {**head, "choices": [], "usage": {"total_tokens": 9}}
        for document, text, finished in (
            (token, "all", False),
            (end, "", True),
            (usage, "", False),
        ):
            answer.add(b"data: " + msgspec.json.encode(document) + b"\n\n", text, finished)
        body = msgspec.json.decode(answer.body())
        self.assertEqual(answer.tokens, 2)
        self.assertEqual(body["choices"][0]["message"]["content"], "Dear all")
        self.assertEqual(body["choices"][0]["finish_reason"], "stop")
        self.assertEqual(body["usage"], {"total_tokens": 9})
        self.assertEqual(body["object"], "chat.completion")

    def test_only_an_answer_of_one_text_is_streamed(self):
        self.assertTrue(can_stream({"n": 1, "prompt": ["one"], "logprobs": None}))
        for body in (
            {"n": 2},
            {"tools": [{}]},
            {"prompt": ["one", "two"]},
            {"logprobs": True},
            {"logprobs": 1},
        ):
            self.assertFalse(can_stream(body), body)


if __name__ == "__main__":
    unittest.main()
