"""How a unit of work may run after upstream crashes: harmful and innocent work."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fescuedock.core.crash_log import CrashLog, receivers_of
from fescuedock.core.quarantine import FREE, Quarantine, QuarantinePolicy, Restriction
from fescuedock.core.recent_runs import AbandonedRuns
from fescuedock.schema.crashes import BrokenRun, CrashedRun, CrashReport, WorkCleared
from fescuedock.schema.view import VmRecord, VmState
from tests.builders.quarantine import record

START_MS = 1_800_000_000_000
MINUTE_MS = 60_000.0
POLICY = QuarantinePolicy()
# When all runs at an upstream that crashed at ``START_MS`` have been reported.
SETTLED_MS = START_MS + POLICY.same_crash_ms


def report(
    name: str,
    *runs: CrashedRun,
    upstream_id: str = "",
    at_ms: int = START_MS,
    crash_number: int = 1,
) -> CrashReport:
    return CrashReport(name, upstream_id or f"u-{name}", at_ms, list(runs), crash_number)


def mixed(*work_ids: str, begun: bool = False) -> list[CrashedRun]:
    return [CrashedRun(name, begun=begun) for name in work_ids]


def known_cause(quarantine: Quarantine, work_id: str) -> None:
    """Record two crashes of concurrent runs with the work and one of an isolated run."""
    for number in range(2):
        record(quarantine, report(f"{work_id}-{number}", *mixed(work_id, f"x{number}")))
    record(quarantine, report(f"{work_id}-2", CrashedRun(work_id, alone=True)))


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def restriction(self, work_id: str, now_ms: float = SETTLED_MS) -> Restriction:
        return self.quarantine.verdict(work_id, now_ms).restriction

    def test_other_work_is_not_restricted(self) -> None:
        known_cause(self.quarantine, "bad")
        self.assertEqual(self.quarantine.verdict("other", START_MS), FREE)

    def test_work_is_isolated_after_the_second_crash_and_refused_after_the_third(self) -> None:
        record(self.quarantine, report("1", *mixed("bad", "a")))
        self.assertIs(self.restriction("bad"), Restriction.FREE)
        record(self.quarantine, report("2", *mixed("bad", "b")))
        self.assertIs(self.restriction("bad"), Restriction.ALONE)
        record(self.quarantine, report("3", CrashedRun("bad", alone=True)))
        # Until then the work does not run again either.
        verdict = self.quarantine.verdict("bad", START_MS)
        self.assertEqual((verdict.restriction, verdict.crashes), (Restriction.UNSETTLED, 3))
        self.assertEqual(verdict.retry_after_ms, POLICY.same_crash_ms)
        verdict = self.quarantine.verdict("bad", SETTLED_MS)
        self.assertEqual((verdict.restriction, verdict.crashes), (Restriction.REFUSED, 3))
        self.assertEqual(verdict.retry_after_ms, POLICY.retry_pauses_ms[0] - POLICY.same_crash_ms)

    def test_innocent_work_present_in_ten_crashes_is_never_refused(self) -> None:
        for number in range(10):
            record(self.quarantine, report(str(number), *mixed("innocent", f"bad-{number}")))
            self.assertIsNot(self.restriction("innocent"), Restriction.REFUSED)

    def test_innocent_work_present_in_ten_crashes_of_one_cause_is_isolated_until_it_completes(
        self,
    ) -> None:
        for number in range(10):
            record(self.quarantine, report(str(number), *mixed("innocent", "bad")))
            self.assertIsNot(self.restriction("innocent"), Restriction.REFUSED)
        self.assertIs(self.restriction("innocent"), Restriction.ALONE)
        record(self.quarantine, report("isolated", CrashedRun("bad", alone=True)))
        self.assertIs(self.restriction("bad"), Restriction.REFUSED)
        # The same reports would be known of a second cause.
        self.assertIs(self.restriction("innocent"), Restriction.ALONE)
        reports = self.quarantine.reports_against("innocent")
        record(self.quarantine, WorkCleared("c", "innocent", reports, START_MS))
        self.assertIs(self.restriction("innocent"), Restriction.FREE)
        self.assertIs(self.restriction("bad"), Restriction.REFUSED)

    def test_a_chance_crash_during_an_isolated_run_refuses_no_work(self) -> None:
        record(self.quarantine, report("1", CrashedRun("innocent", alone=True)))
        record(self.quarantine, report("2", *mixed("innocent", "a")))
        self.assertIs(self.restriction("innocent"), Restriction.ALONE)

    def test_a_run_that_was_not_isolated_after_all_is_no_proof(self) -> None:
        """Guards against refusing innocent work until the concurrent run has been reported."""
        for number in range(2):
            record(self.quarantine, report(str(number), *mixed("innocent", f"x{number}")))
        isolated = CrashedRun("innocent", alone=True)
        record(self.quarantine, report("2", isolated, upstream_id="u"))
        self.assertIs(self.restriction("innocent", START_MS + 200), Restriction.UNSETTLED)
        # Another VM had a run there without a permit of the owner.
        late = report("3", *mixed("bad"), upstream_id="u", at_ms=START_MS + 200)
        record(self.quarantine, late)
        for now_ms in (START_MS + 200, SETTLED_MS):
            self.assertIs(self.restriction("innocent", now_ms), Restriction.ALONE)

    def test_work_with_different_concurrent_runs_in_each_isolated_crash_is_refused(self) -> None:
        """Guards against harmful work that was not refused as calls ran concurrently.

        The calls ran under local permits, and the work crashed five more upstreams.
        """
        for number in range(3):
            isolated = CrashedRun("bad", alone=True)
            runs = [isolated, *mixed(f"call-{number}", f"other-{number}")]
            self.assertIsNot(self.restriction("bad"), Restriction.REFUSED)
            record(self.quarantine, report(f"isolated-{number}", *runs))
        self.assertIs(self.restriction("bad"), Restriction.REFUSED)
        self.assertIs(self.restriction("call-0"), Restriction.FREE)
        verdict = self.quarantine.verdict("bad", START_MS)
        self.assertEqual((verdict.restriction, verdict.crashes), (Restriction.UNSETTLED, 3))
        later_ms = START_MS + POLICY.retry_pauses_ms[0]
        self.assertIs(self.restriction("bad", later_ms), Restriction.ALONE)

    def test_work_with_the_same_concurrent_run_in_each_isolated_crash_is_not_refused(self) -> None:
        for number in range(6):
            isolated = CrashedRun("innocent", alone=True)
            runs = [isolated, *mixed("bad", f"other-{number}")]
            record(self.quarantine, report(f"isolated-{number}", *runs))
        self.assertIs(self.restriction("innocent"), Restriction.ALONE)

    def test_runs_given_up_for_an_isolated_run_do_not_invalidate_its_proof(self) -> None:
        for number in range(2):
            record(self.quarantine, report(str(number), *mixed("bad", f"x{number}")))
        isolated, concurrent = CrashedRun("bad", alone=True), CrashedRun("item", given_up=True)
        record(self.quarantine, report("2", isolated, upstream_id="u"))
        record(self.quarantine, report("3", concurrent, upstream_id="u", at_ms=START_MS + 100))
        self.assertIs(self.restriction("bad"), Restriction.REFUSED)
        self.assertIs(self.restriction("item"), Restriction.FREE)

    def test_runs_that_were_well_under_way_weigh_half(self) -> None:
        for number in range(3):
            record(self.quarantine, report(str(number), *mixed("slow", begun=True)))
        self.assertIs(self.restriction("slow"), Restriction.FREE)
        record(self.quarantine, report("3", *mixed("slow", begun=True)))
        self.assertIs(self.restriction("slow"), Restriction.ALONE)

    # An upstream restarted within a second of an isolated answer that looked complete.
    def test_one_crash_of_an_isolated_run_with_output_refuses_no_work(self) -> None:
        for number in range(2):
            record(self.quarantine, report(str(number), *mixed("innocent", f"x{number}")))
        isolated = CrashedRun("innocent", alone=True, begun=True)
        record(self.quarantine, report("2", isolated))
        for now_ms in (START_MS, SETTLED_MS):
            self.assertIs(self.restriction("innocent", now_ms), Restriction.ALONE)
        record(self.quarantine, WorkCleared("c", "innocent", ["0", "1", "2"], START_MS))
        self.assertIs(self.restriction("innocent"), Restriction.FREE)

    def test_work_that_crashes_upstreams_after_its_first_output_is_refused(self) -> None:
        for number in range(2):
            record(self.quarantine, report(str(number), *mixed("bad", f"x{number}")))
        for number in (2, 3):
            self.assertIs(self.restriction("bad"), Restriction.ALONE)
            isolated = CrashedRun("bad", alone=True, begun=True)
            record(self.quarantine, report(str(number), isolated))
        verdict = self.quarantine.verdict("bad", START_MS + POLICY.retry_pauses_ms[0] - 1)
        self.assertIs(verdict.restriction, Restriction.REFUSED)
        second_ms = START_MS + POLICY.retry_pauses_ms[0]
        self.assertIs(self.restriction("bad", second_ms), Restriction.ALONE)

    def test_a_complete_run_voids_earlier_reports_and_no_later_ones(self) -> None:
        known_cause(self.quarantine, "work")
        reports = self.quarantine.reports_against("work")
        cleared = WorkCleared("c", "work", reports, START_MS)
        self.assertTrue(record(self.quarantine, cleared))
        self.assertIs(self.restriction("work"), Restriction.FREE)
        self.assertFalse(self.quarantine.is_suspected("work"))
        for number in range(2):
            record(self.quarantine, report(f"again-{number}", *mixed("work")))
        self.assertIs(self.restriction("work"), Restriction.ALONE)

    def test_a_clearance_may_arrive_before_the_reports_that_it_voids(self) -> None:
        record(self.quarantine, WorkCleared("c", "work", ["1", "2"], START_MS))
        for name in ("1", "2"):
            record(self.quarantine, report(name, *mixed("work")))
        self.assertIs(self.restriction("work"), Restriction.FREE)

    def test_reports_of_several_vms_about_one_crash_count_once(self) -> None:
        for number in range(5):
            at_ms = START_MS + 100 * number
            self.assertEqual(self.quarantine.crash_number("u", at_ms), 1)
            duplicate = report(str(number), *mixed("work"), upstream_id="u", at_ms=at_ms)
            record(self.quarantine, duplicate)
        self.assertEqual(self.quarantine.verdict("work", START_MS).crashes, 1)

    def test_crashes_of_an_upstream_that_keeps_its_identity_count_separately(self) -> None:
        for number in range(3):
            at_ms = START_MS + 1000 * number
            run = CrashedRun("work", alone=number == 2)
            crash_number = self.quarantine.crash_number("u", at_ms)
            self.assertEqual(crash_number, number + 1)
            found = report(
                str(number), run, upstream_id="u", at_ms=at_ms, crash_number=crash_number
            )
            record(self.quarantine, found)
        self.assertEqual(self.quarantine.verdict("work", START_MS + 2000).crashes, 3)
        self.assertIs(self.restriction("work", SETTLED_MS + 2000), Restriction.REFUSED)

    def test_refused_work_gets_two_more_isolated_runs_and_then_none_for_a_day(self) -> None:
        known_cause(self.quarantine, "bad")
        at_ms = START_MS
        for number, pause_ms in enumerate(POLICY.retry_pauses_ms):
            self.assertIs(self.restriction("bad", at_ms + pause_ms - 1), Restriction.REFUSED)
            self.assertIs(self.restriction("bad", at_ms + pause_ms), Restriction.ALONE)
            at_ms += int(pause_ms)
            run = CrashedRun("bad", alone=True)
            record(self.quarantine, report(f"chance-{number}", run, at_ms=at_ms))
        self.assertIs(self.restriction("bad", at_ms + 23 * 60 * MINUTE_MS), Restriction.REFUSED)

    def record_isolated_items(self, count: int) -> int:
        """Record crashes of isolated runs of the item ``item``; return the time of the last."""
        known_cause(self.quarantine, "item")
        at_ms = START_MS
        for number in range(count):
            at_ms += 10_000
            run = CrashedRun("item", alone=True, owed=True)
            record(self.quarantine, report(f"owed-{number}", run, at_ms=at_ms))
        return at_ms

    # An item was refused for 10 minutes, an hour and a day, though it is never the cause.
    def test_owed_work_is_never_refused_for_longer_than_the_longest_pause(self) -> None:
        for crashes in range(12):
            with self.subTest(crashes=crashes):
                self.setUp()
                last_ms = self.record_isolated_items(crashes)
                pauses_ms = POLICY.owed_retry_pauses_ms
                pause_ms = pauses_ms[min(crashes, len(pauses_ms) - 1)]
                early = self.quarantine.verdict("item", int(last_ms + pause_ms) - 1, owed=True)
                self.assertIs(early.restriction, Restriction.REFUSED)
                due = self.quarantine.verdict("item", int(last_ms + pause_ms), owed=True)
                self.assertIs(due.restriction, Restriction.ALONE)

    def test_crashes_of_owed_runs_refuse_calls_but_not_for_longer(self) -> None:
        last_ms = self.record_isolated_items(5)
        pause_ms = int(POLICY.retry_pauses_ms[0])
        self.assertIs(self.restriction("item", last_ms + pause_ms - 1), Restriction.REFUSED)
        self.assertIs(self.restriction("item", last_ms + pause_ms), Restriction.ALONE)

    def test_old_reports_and_reports_beyond_the_bound_are_forgotten(self) -> None:
        known_cause(self.quarantine, "bad")
        self.quarantine.forget(START_MS + POLICY.retention_ms + 1)
        self.assertTrue(self.quarantine.is_empty)
        self.assertFalse(self.quarantine.knows("bad-0"))
        small = Quarantine(QuarantinePolicy(max_reports=2))
        for number in range(4):
            record(small, report(str(number), *mixed(f"w{number}"), at_ms=START_MS + number))
        self.assertEqual(
            [small.is_suspected(f"w{number}") for number in range(4)], [False] * 2 + [True] * 2
        )

    @given(st.integers(0, 2**32), st.integers(1, 4))
    @settings(max_examples=60)
    def test_the_same_facts_give_the_same_verdicts(self, seed: int, copies: int) -> None:
        """The order and repetition of the facts make no difference."""
        rng = random.Random(seed)
        work_ids = ["a", "b", "c"]
        facts: list[CrashReport | WorkCleared] = []
        for number in range(8):
            chosen = rng.sample(work_ids, rng.randint(1, 3))
            alone = len(chosen) == 1 and rng.random() < 0.5
            runs = [CrashedRun(name, alone=alone, begun=rng.random() < 0.3) for name in chosen]
            upstream_id, crash_number = f"u{rng.randrange(3)}", rng.randrange(4)
            facts.append(CrashReport(str(number), upstream_id, START_MS, runs, crash_number))
        void = [str(rng.randrange(8)) for _ in range(2)]
        facts.append(WorkCleared("c", rng.choice(work_ids), void, START_MS))
        verdicts = []
        for _ in range(2):
            log = CrashLog(Quarantine(), boot=1)
            received = facts * copies
            rng.shuffle(received)
            for fact in received:
                log.record(fact, START_MS)
            self.assertEqual(log.length, len(facts))
            verdicts.append([log.quarantine.verdict(name, START_MS + 2000) for name in work_ids])
        self.assertEqual(verdicts[0], verdicts[1])


class CrashLogTest(unittest.TestCase):
    def test_a_program_receives_each_fact_once_and_all_facts_from_a_new_agent(self) -> None:
        log = CrashLog(Quarantine(), boot=7)
        log.record(report("1", *mixed("a")), START_MS)
        first = log.reply_after(log.known_count(0, 0), START_MS)
        self.assertEqual([item.report_id for item in first.news.crashes], ["1"])
        log.record(WorkCleared("2", "a", ["1"], START_MS), START_MS)
        second = log.reply_after(log.known_count(first.agent_boot, first.seen), START_MS)
        self.assertEqual((len(second.news.crashes), len(second.news.cleared)), (0, 1))
        self.assertEqual(log.known_count(6, second.seen), 0)


class AbandonedRunsTest(unittest.TestCase):
    def test_recently_abandoned_runs_of_an_upstream_are_returned_once(self) -> None:
        recent = AbandonedRuns()
        old, young, other = (BrokenRun(name, "w") for name in ("u", "u", "v"))
        recent.record(old, 0.0)
        recent.record(young, 900.0)
        recent.record(other, 900.0)
        self.assertEqual(recent.upstream_ids(1500.0), {"u", "v"})
        self.assertEqual(recent.pop_suspects("u", 1500.0), [young])
        self.assertEqual(recent.pop_suspects("u", 1500.0), [])
        self.assertEqual(recent.pop_suspects("v", 1500.0), [other])


class ReceiversTest(unittest.TestCase):
    def vms(self, count: int) -> list[VmRecord]:
        return [
            VmRecord(f"vm-{n}", "r", f"d-{n % 4}", f"10.0.0.{n}", VmState.ALIVE, 1, agent_port=7)
            for n in range(count)
        ]

    def test_all_vms_of_a_small_fleet_are_notified_directly(self) -> None:
        receivers = receivers_of("vm-0", "k", self.vms(20))
        self.assertEqual(len(receivers.direct), 19)
        self.assertEqual(list(receivers.relays), [])

    def test_a_large_fleet_is_notified_through_two_vms_of_each_other_failure_domain(self) -> None:
        receivers = receivers_of("vm-0", "k", self.vms(200))
        self.assertEqual({vm.failure_domain for vm in receivers.direct}, {"d-0"})
        self.assertEqual(len(receivers.direct), 49)
        domains = sorted(vm.failure_domain for vm in receivers.relays)
        self.assertEqual(domains, ["d-1", "d-1", "d-2", "d-2", "d-3", "d-3"])


class Fleet(RuleBasedStateMachine):
    """Repeated work at any node, several at once, and upstreams that run several of them.

    Harmful work crashes each upstream that starts it.  Innocent work completes unless it runs
    concurrently with harmful work.  The facts that one node finds reach the others before the next
    work is submitted, in any order, but not during the same step.  A restarted node knows the
    stored facts.
    """

    NODES = 3
    # Upstreams that start work at the same moment.
    CONCURRENT_UPSTREAMS = 3
    # The first crash makes no suspect, the second may occur at all upstreams at once, and the third
    # is that of an isolated run.
    MAX_CRASHES = POLICY.min_crashes + CONCURRENT_UPSTREAMS - 1

    @initialize(causes=st.integers(1, 4), seed=st.integers(0, 2**32))
    def begin(self, causes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.crashes = {f"bad-{number}": 0 for number in range(causes)}
        self.innocent = [f"good-{number}" for number in range(3)]
        self.nodes = [CrashLog(Quarantine(), boot=1) for _ in range(self.NODES)]
        self.facts: list[CrashReport | WorkCleared] = []
        self.now_ms = START_MS
        self.upstreams = 0

    @rule(data=st.data())
    def submit_work(self, data: st.DataObject) -> None:
        """Submit units of work at once, each to some node; suspects run in isolation."""
        self.now_ms += 1000
        work_ids = st.sampled_from([*self.crashes, *self.innocent])
        groups = st.lists(work_ids, min_size=1, max_size=4, unique=True)
        found: list[tuple[CrashLog, CrashReport | WorkCleared]] = []
        isolated: set[str] = set()
        for group in data.draw(st.lists(groups, min_size=1, max_size=self.CONCURRENT_UPSTREAMS)):
            nodes_of = {work: self.rng.choice(self.nodes) for work in group}
            restrictions = {work: self.restriction(nodes_of[work], work) for work in group}
            free = [work for work in group if restrictions[work] is Restriction.FREE]
            found += self.run_group(free, nodes_of, alone=False)
            for work in group:
                # Isolated runs of all nodes follow each other at one upstream.
                if restrictions[work] is Restriction.ALONE and work not in isolated:
                    isolated.add(work)
                    found += self.run_group([work], nodes_of, alone=True)
        self.deliver(found)

    def run_group(
        self, group: list[str], nodes_of: dict[str, CrashLog], *, alone: bool
    ) -> list[tuple[CrashLog, CrashReport | WorkCleared]]:
        """Run units of work at one upstream; return the facts that their nodes found."""
        self.upstreams += 1
        for work in group:
            if work in self.crashes:
                self.crashes[work] += 1
        if any(work in self.crashes for work in group):
            return [(nodes_of[work], self.crash_report(work, alone)) for work in group]
        return [
            (node, WorkCleared(f"{self.upstreams}-{work}", work, void, self.now_ms))
            for work in group
            if (void := (node := nodes_of[work]).quarantine.reports_against(work))
        ]

    def crash_report(self, work: str, alone: bool) -> CrashReport:
        run = CrashedRun(work, alone=alone, begun=False)
        upstream_id = f"u{self.upstreams}"
        return CrashReport(f"{upstream_id}-{work}", upstream_id, self.now_ms, [run])

    def deliver(self, found: list[tuple[CrashLog, CrashReport | WorkCleared]]) -> None:
        for node in self.nodes:
            self.rng.shuffle(found)
            for _, fact in found:
                node.record(fact, self.now_ms)
        self.facts += [fact for _, fact in found]

    @rule(number=st.integers(0, NODES - 1))
    def restart(self, number: int) -> None:
        """Restart a node with the stored facts."""
        self.nodes[number] = CrashLog(Quarantine(), boot=2)
        for fact in self.facts:
            self.nodes[number].record(fact, self.now_ms)

    @rule(work=st.integers(0, 2))
    def innocent_work_is_served(self, work: int) -> None:
        """A client repeats innocent work, which runs, and completes if it is isolated."""
        name, node = self.innocent[work], self.rng.choice(self.nodes)
        restriction = self.restriction(node, name)
        assert restriction is not Restriction.REFUSED
        self.deliver(self.run_group([name], {name: node}, alone=restriction is Restriction.ALONE))
        assert not node.quarantine.is_suspected(name)

    def restriction(self, node: CrashLog, work: str) -> Restriction:
        return node.quarantine.verdict(work, self.now_ms).restriction

    @invariant()
    def innocent_work_is_never_refused(self) -> None:
        for node in getattr(self, "nodes", ()):
            for work in self.innocent:
                assert self.restriction(node, work) is not Restriction.REFUSED, work

    @invariant()
    def harmful_work_is_bounded(self) -> None:
        for work, count in getattr(self, "crashes", {}).items():
            assert count <= self.MAX_CRASHES, f"{count} upstreams ended under {work}"


class FixedDraws:
    """Stands in for hypothesis: draws the same groups each time."""

    def __init__(self, groups: list[list[str]]) -> None:
        self._groups = groups

    def draw(self, _strategy: object) -> list[list[str]]:
        return self._groups


class SecondCauseTest(unittest.TestCase):
    def fleet(self) -> Fleet:
        fleet = Fleet()
        fleet.rng = random.Random(0)
        fleet.crashes = {"bad-0": 0, "bad-1": 0}
        fleet.innocent = []
        fleet.nodes = [CrashLog(Quarantine(), boot=1) for _ in range(Fleet.NODES)]
        fleet.facts = []
        fleet.now_ms = START_MS
        fleet.upstreams = 0
        return fleet

    # Crashes that another cause explains did not count, so that this one ran at three upstreams.
    def test_work_beside_another_cause_crashes_no_more_upstreams_than_alone(self) -> None:
        fleet = self.fleet()
        both = ["bad-0", "bad-1"]
        for groups in ([["bad-1"]], [both] * 2, [["bad-0"]], [both] * 3):
            fleet.submit_work(data=FixedDraws(groups))
        self.assertLessEqual(max(fleet.crashes.values()), Fleet.MAX_CRASHES)

    def test_work_that_crashed_only_beside_another_cause_crashes_no_more_upstreams(self) -> None:
        both = ["bad-0", "bad-1"]
        for first in ([[both] * 2], [[both] * 3], [[both], [both] * 3]):
            fleet = self.fleet()
            retries = [[["bad-1"]] * 3] * 4
            for groups in (*first, [["bad-0"]], *retries):
                fleet.submit_work(data=FixedDraws(groups))
            with self.subTest(first=first):
                self.assertLessEqual(max(fleet.crashes.values()), Fleet.MAX_CRASHES)
                self.assertIs(fleet.restriction(fleet.nodes[0], "bad-1"), Restriction.REFUSED)


Fleet.TestCase.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
FleetTest = Fleet.TestCase


if __name__ == "__main__":
    unittest.main()
