"""How a piece of work may run after upstreams ended under it: causes, and innocent work."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fescuedock.core.crash_log import CrashLog, audience_of
from fescuedock.core.quarantine import FREE, Quarantine, QuarantinePolicy, Standing
from fescuedock.core.recent_runs import RecentRuns
from fescuedock.schema.crashes import BrokenRun, CrashedRun, CrashReport, WorkCleared
from fescuedock.schema.view import VmRecord, VmState

START_MS = 1_800_000_000_000
MINUTE_MS = 60_000.0
POLICY = QuarantinePolicy()
# When all that ran at an upstream which ended at ``START_MS`` has been reported.
SETTLED_MS = START_MS + POLICY.same_end_ms


def report(name: str, *runs: CrashedRun, upstream_id: str = "", at_ms: int = START_MS):
    return CrashReport(name, upstream_id or f"u-{name}", at_ms, list(runs))


def mixed(*work_ids: str, begun: bool = False) -> list[CrashedRun]:
    return [CrashedRun(name, begun=begun) for name in work_ids]


def known_cause(quarantine: Quarantine, work_id: str) -> None:
    """Have a work be in two crashes beside others, and alone in a third."""
    for number in range(2):
        quarantine.note_crash(report(f"{work_id}-{number}", *mixed(work_id, f"x{number}")))
    quarantine.note_crash(report(f"{work_id}-2", CrashedRun(work_id, alone=True)))


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def standing(self, work_id: str, now_ms: float = SETTLED_MS) -> Standing:
        return self.quarantine.verdict(work_id, now_ms).standing

    def test_nothing_is_known_of_other_work(self) -> None:
        known_cause(self.quarantine, "bad")
        self.assertEqual(self.quarantine.verdict("other", START_MS), FREE)

    def test_it_runs_alone_from_the_second_crash_and_is_refused_from_the_third_on(self) -> None:
        self.quarantine.note_crash(report("1", *mixed("bad", "a")))
        self.assertIs(self.standing("bad"), Standing.FREE)
        self.quarantine.note_crash(report("2", *mixed("bad", "b")))
        self.assertIs(self.standing("bad"), Standing.ALONE)
        self.quarantine.note_crash(report("3", CrashedRun("bad", alone=True)))
        # It does not run again meanwhile either.
        verdict = self.quarantine.verdict("bad", START_MS)
        self.assertEqual((verdict.standing, verdict.crashes), (Standing.UNSETTLED, 3))
        self.assertEqual(verdict.retry_after_ms, POLICY.same_end_ms)
        verdict = self.quarantine.verdict("bad", SETTLED_MS)
        self.assertEqual((verdict.standing, verdict.crashes), (Standing.REFUSED, 3))
        self.assertEqual(verdict.retry_after_ms, POLICY.pauses_ms[0] - POLICY.same_end_ms)

    def test_an_innocent_work_beside_ten_crashes_is_never_refused(self) -> None:
        for number in range(10):
            self.quarantine.note_crash(report(str(number), *mixed("innocent", f"bad-{number}")))
            self.assertIsNot(self.standing("innocent"), Standing.REFUSED)

    def test_an_innocent_work_beside_ten_crashes_of_one_cause_runs_as_before_it(self) -> None:
        for number in range(10):
            self.quarantine.note_crash(report(str(number), *mixed("innocent", "bad")))
        self.assertIs(self.standing("innocent"), Standing.ALONE)
        self.quarantine.note_crash(report("lone", CrashedRun("bad", alone=True)))
        self.assertIs(self.standing("bad"), Standing.REFUSED)
        self.assertIs(self.standing("innocent"), Standing.FREE)

    def test_an_upstream_that_ends_by_chance_under_a_lone_work_refuses_nobody(self) -> None:
        self.quarantine.note_crash(report("1", CrashedRun("innocent", alone=True)))
        self.quarantine.note_crash(report("2", *mixed("innocent", "a")))
        self.assertIs(self.standing("innocent"), Standing.ALONE)

    def test_a_run_that_was_not_alone_after_all_is_no_proof(self) -> None:
        """Guards against refusing innocent work until the other run has been reported."""
        for number in range(2):
            self.quarantine.note_crash(report(str(number), *mixed("innocent", f"x{number}")))
        lone = CrashedRun("innocent", alone=True)
        self.quarantine.note_crash(report("2", lone, upstream_id="u"))
        self.assertIs(self.standing("innocent", START_MS + 200), Standing.UNSETTLED)
        # Another VM had something there without a permit of the owner.
        late = report("3", *mixed("bad"), upstream_id="u", at_ms=START_MS + 200)
        self.quarantine.note_crash(late)
        for now_ms in (START_MS + 200, SETTLED_MS):
            self.assertIs(self.standing("innocent", now_ms), Standing.ALONE)

    def test_a_work_whose_runs_alone_had_other_company_each_time_is_refused(self) -> None:
        """Calls ran beside them under local permits, and it ended five upstreams more."""
        for number in range(3):
            lone = CrashedRun("bad", alone=True)
            runs = [lone, *mixed(f"call-{number}", f"other-{number}")]
            self.assertIsNot(self.standing("bad"), Standing.REFUSED)
            self.quarantine.note_crash(report(f"lone-{number}", *runs))
        self.assertIs(self.standing("bad"), Standing.REFUSED)
        self.assertIs(self.standing("call-0"), Standing.FREE)
        verdict = self.quarantine.verdict("bad", START_MS)
        self.assertEqual((verdict.standing, verdict.crashes), (Standing.UNSETTLED, 3))
        later_ms = START_MS + POLICY.pauses_ms[0]
        self.assertIs(self.standing("bad", later_ms), Standing.ALONE)

    def test_a_work_whose_runs_alone_had_the_same_company_is_not_refused(self) -> None:
        for number in range(6):
            lone = CrashedRun("innocent", alone=True)
            runs = [lone, *mixed("bad", f"other-{number}")]
            self.quarantine.note_crash(report(f"lone-{number}", *runs))
        self.assertIs(self.standing("innocent"), Standing.ALONE)

    def test_runs_that_were_given_up_for_a_run_alone_do_not_void_its_proof(self) -> None:
        for number in range(2):
            self.quarantine.note_crash(report(str(number), *mixed("bad", f"x{number}")))
        lone, beside = CrashedRun("bad", alone=True), CrashedRun("item", given_up=True)
        self.quarantine.note_crash(report("2", lone, upstream_id="u"))
        self.quarantine.note_crash(report("3", beside, upstream_id="u", at_ms=START_MS + 100))
        self.assertIs(self.standing("bad"), Standing.REFUSED)
        self.assertIs(self.standing("item"), Standing.FREE)

    def test_runs_that_were_well_under_way_weigh_half(self) -> None:
        for number in range(3):
            self.quarantine.note_crash(report(str(number), *mixed("slow", begun=True)))
        self.assertIs(self.standing("slow"), Standing.FREE)
        self.quarantine.note_crash(report("3", *mixed("slow", begun=True)))
        self.assertIs(self.standing("slow"), Standing.ALONE)

    def test_a_whole_run_voids_what_was_known_and_nothing_later(self) -> None:
        known_cause(self.quarantine, "work")
        reports = self.quarantine.reports_against("work")
        cleared = WorkCleared("c", "work", reports, START_MS)
        self.assertTrue(self.quarantine.note_cleared(cleared))
        self.assertIs(self.standing("work"), Standing.FREE)
        self.assertFalse(self.quarantine.suspects("work"))
        for number in range(2):
            self.quarantine.note_crash(report(f"again-{number}", *mixed("work")))
        self.assertIs(self.standing("work"), Standing.ALONE)

    def test_word_of_a_whole_run_may_come_before_the_reports_that_it_voids(self) -> None:
        self.quarantine.note_cleared(WorkCleared("c", "work", ["1", "2"], START_MS))
        for name in ("1", "2"):
            self.quarantine.note_crash(report(name, *mixed("work")))
        self.assertIs(self.standing("work"), Standing.FREE)

    def test_reports_of_several_vms_about_one_end_count_once(self) -> None:
        for number in range(5):
            at_ms = START_MS + 100 * number
            told = report(str(number), *mixed("work"), upstream_id="u", at_ms=at_ms)
            self.quarantine.note_crash(told)
        self.assertEqual(self.quarantine.verdict("work", START_MS).crashes, 1)

    def test_an_upstream_that_keeps_its_identity_ends_more_than_once(self) -> None:
        for number in range(3):
            at_ms = START_MS + 1000 * number
            run = CrashedRun("work", alone=number == 2)
            self.quarantine.note_crash(report(str(number), run, upstream_id="u", at_ms=at_ms))
        self.assertEqual(self.quarantine.verdict("work", START_MS + 2000).crashes, 3)
        self.assertIs(self.standing("work", SETTLED_MS + 2000), Standing.REFUSED)

    def test_it_gets_two_more_chances_alone_and_then_none_for_a_day(self) -> None:
        known_cause(self.quarantine, "bad")
        at_ms = START_MS
        for number, pause_ms in enumerate(POLICY.pauses_ms):
            self.assertIs(self.standing("bad", at_ms + pause_ms - 1), Standing.REFUSED)
            self.assertIs(self.standing("bad", at_ms + pause_ms), Standing.ALONE)
            at_ms += int(pause_ms)
            run = CrashedRun("bad", alone=True)
            self.quarantine.note_crash(report(f"chance-{number}", run, at_ms=at_ms))
        self.assertIs(self.standing("bad", at_ms + 23 * 60 * MINUTE_MS), Standing.REFUSED)

    def test_what_is_old_is_forgotten_and_what_is_more_than_can_be_kept(self) -> None:
        known_cause(self.quarantine, "bad")
        self.quarantine.forget(START_MS + POLICY.kept_ms + 1)
        self.assertTrue(self.quarantine.is_empty)
        self.assertFalse(self.quarantine.knows("bad-0"))
        small = Quarantine(QuarantinePolicy(most_reports=2))
        for number in range(4):
            small.note_crash(report(str(number), *mixed(f"w{number}"), at_ms=START_MS + number))
        self.assertEqual(
            [small.suspects(f"w{number}") for number in range(4)], [False] * 2 + [True] * 2
        )

    @given(st.integers(0, 2**32), st.integers(1, 4))
    @settings(max_examples=60)
    def test_whoever_knows_the_same_decides_the_same(self, seed: int, copies: int) -> None:
        """In any order and however often it is heard."""
        rng = random.Random(seed)
        works = ["a", "b", "c"]
        facts: list[CrashReport | WorkCleared] = []
        for number in range(8):
            chosen = rng.sample(works, rng.randint(1, 3))
            alone = len(chosen) == 1 and rng.random() < 0.5
            runs = [CrashedRun(name, alone=alone, begun=rng.random() < 0.3) for name in chosen]
            upstream_id, at_ms = f"u{rng.randrange(3)}", START_MS + rng.randrange(4) * 300
            facts.append(CrashReport(str(number), upstream_id, at_ms, runs))
        void = [str(rng.randrange(8)) for _ in range(2)]
        facts.append(WorkCleared("c", rng.choice(works), void, START_MS))
        verdicts = []
        for _ in range(2):
            log = CrashLog(Quarantine(), boot=1)
            heard = facts * copies
            rng.shuffle(heard)
            for fact in heard:
                log.note(fact)
            self.assertEqual(log.length, len(facts))
            verdicts.append([log.quarantine.verdict(name, START_MS + 2000) for name in works])
        self.assertEqual(verdicts[0], verdicts[1])


class CrashLogTest(unittest.TestCase):
    def test_a_program_is_told_each_fact_once_and_all_by_a_new_agent(self) -> None:
        log = CrashLog(Quarantine(), boot=7)
        log.note(report("1", *mixed("a")))
        first = log.reply_after(log.seen_of(0, 0))
        self.assertEqual([item.report_id for item in first.news.crashes], ["1"])
        log.note(WorkCleared("2", "a", ["1"], START_MS))
        second = log.reply_after(log.seen_of(first.agent_boot, first.seen))
        self.assertEqual((len(second.news.crashes), len(second.news.cleared)), (0, 1))
        self.assertEqual(log.seen_of(6, second.seen), 0)


class RecentRunsTest(unittest.TestCase):
    def test_what_was_given_up_lately_at_an_upstream_is_taken_once(self) -> None:
        recent = RecentRuns()
        old, young, other = (BrokenRun(name, "w") for name in ("u", "u", "v"))
        recent.note(old, 0.0)
        recent.note(young, 900.0)
        recent.note(other, 900.0)
        self.assertEqual(recent.upstream_ids(1500.0), {"u", "v"})
        self.assertEqual(recent.take("u", 1500.0), [young])
        self.assertEqual(recent.take("u", 1500.0), [])
        self.assertEqual(recent.take("v", 1500.0), [other])


class AudienceTest(unittest.TestCase):
    def vms(self, count: int) -> list[VmRecord]:
        return [
            VmRecord(f"vm-{n}", "r", f"d-{n % 4}", f"10.0.0.{n}", VmState.ALIVE, 1, agent_port=7)
            for n in range(count)
        ]

    def test_all_of_a_small_fleet_are_told_directly(self) -> None:
        audience = audience_of("vm-0", "k", self.vms(20))
        self.assertEqual(len(audience.direct), 19)
        self.assertEqual(list(audience.relays), [])

    def test_a_large_fleet_is_told_through_two_vms_of_each_other_failure_domain(self) -> None:
        audience = audience_of("vm-0", "k", self.vms(200))
        self.assertEqual({vm.failure_domain for vm in audience.direct}, {"d-0"})
        self.assertEqual(len(audience.direct), 49)
        domains = sorted(vm.failure_domain for vm in audience.relays)
        self.assertEqual(domains, ["d-1", "d-1", "d-2", "d-2", "d-3", "d-3"])


class Fleet(RuleBasedStateMachine):
    """Works that come again at any node, a few at once, and upstreams that run several of them.

    Causes end each upstream that begins them; innocent works run to their end unless beside one.
    What one node finds the others hear before the next works come, in any order, but not what
    comes at the same moment; a node that starts anew knows what was kept.
    """

    NODES = 3
    # Upstreams that begin work at the same moment.
    AT_ONCE = 3
    # The first crash makes no suspect, the next may come at all upstreams at once, then one alone.
    MOST_ENDS = POLICY.enough + AT_ONCE - 1

    @initialize(causes=st.integers(1, 4), seed=st.integers(0, 2**32))
    def begin(self, causes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ends = {f"bad-{number}": 0 for number in range(causes)}
        self.innocent = [f"good-{number}" for number in range(3)]
        self.nodes = [CrashLog(Quarantine(), boot=1) for _ in range(self.NODES)]
        self.facts: list[CrashReport | WorkCleared] = []
        self.now_ms = START_MS
        self.upstreams = 0

    @rule(data=st.data())
    def works_come(self, data: st.DataObject) -> None:
        """Let works come at once, each at some node; what may run alone does so."""
        self.now_ms += 1000
        works = st.sampled_from([*self.ends, *self.innocent])
        groups = st.lists(works, min_size=1, max_size=4, unique=True)
        found: list[tuple[CrashLog, CrashReport | WorkCleared]] = []
        lone: set[str] = set()
        for group in data.draw(st.lists(groups, min_size=1, max_size=self.AT_ONCE)):
            senders = {work: self.rng.choice(self.nodes) for work in group}
            standings = {work: self.standing(senders[work], work) for work in group}
            free = [work for work in group if standings[work] is Standing.FREE]
            found += self.run_group(free, senders, alone=False)
            for work in group:
                # Such runs of all nodes take turns at one upstream.
                if standings[work] is Standing.ALONE and work not in lone:
                    lone.add(work)
                    found += self.run_group([work], senders, alone=True)
        self.hear(found)

    def run_group(
        self, group: list[str], senders: dict[str, CrashLog], *, alone: bool
    ) -> list[tuple[CrashLog, CrashReport | WorkCleared]]:
        """Run works at one upstream; return what their nodes found."""
        self.upstreams += 1
        for work in group:
            if work in self.ends:
                self.ends[work] += 1
        if any(work in self.ends for work in group):
            return [(senders[work], self.crash_report(work, alone)) for work in group]
        return [
            (node, WorkCleared(f"{self.upstreams}-{work}", work, void, self.now_ms))
            for work in group
            if (void := (node := senders[work]).quarantine.reports_against(work))
        ]

    def crash_report(self, work: str, alone: bool) -> CrashReport:
        run = CrashedRun(work, alone=alone, begun=False)
        upstream_id = f"u{self.upstreams}"
        return CrashReport(f"{upstream_id}-{work}", upstream_id, self.now_ms, [run])

    def hear(self, found: list[tuple[CrashLog, CrashReport | WorkCleared]]) -> None:
        for node in self.nodes:
            self.rng.shuffle(found)
            for _, fact in found:
                node.note(fact)
        self.facts += [fact for _, fact in found]

    @rule(number=st.integers(0, NODES - 1))
    def restart(self, number: int) -> None:
        """Start a node anew, with what was kept."""
        self.nodes[number] = CrashLog(Quarantine(), boot=2)
        for fact in self.facts:
            self.nodes[number].note(fact)

    @rule(work=st.integers(0, 2))
    def innocent_work_is_served(self, work: int) -> None:
        """A client comes again with innocent work: it runs, and to its end where it is alone."""
        name, node = self.innocent[work], self.rng.choice(self.nodes)
        standing = self.standing(node, name)
        assert standing is not Standing.REFUSED
        self.hear(self.run_group([name], {name: node}, alone=standing is Standing.ALONE))
        assert not node.quarantine.suspects(name)

    def standing(self, node: CrashLog, work: str) -> Standing:
        return node.quarantine.verdict(work, self.now_ms).standing

    @invariant()
    def innocent_work_is_never_refused(self) -> None:
        for node in getattr(self, "nodes", ()):
            for work in self.innocent:
                assert self.standing(node, work) is not Standing.REFUSED, work

    @invariant()
    def harm_ends(self) -> None:
        for work, count in getattr(self, "ends", {}).items():
            assert count <= self.MOST_ENDS, f"{count} upstreams ended under {work}"


Fleet.TestCase.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
FleetTest = Fleet.TestCase


if __name__ == "__main__":
    unittest.main()
