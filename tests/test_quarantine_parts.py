"""Parts of prompts that end upstreams, told from the parts that come with them."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.part_ways import Scenario, play
from fescuedock.core.quarantine import FREE, Quarantine, QuarantinePolicy, Standing
from fescuedock.core.recent_runs import SoundParts
from fescuedock.core.work_identity import message_parts, part_identities
from fescuedock.schema.crashes import CrashedRun, CrashReport, WorkCleared

START_MS = 1_800_000_000_000
POLICY = QuarantinePolicy()
FIRST, BAD, TOPIC = part_identities(["first", "bad", "topic"])
# The most that parts may cost before they are refused, and what is bounded for a decision.
MOST_ENDS = 8


def end(number: int, *runs: CrashedRun, at_ms: int = START_MS) -> CrashReport:
    return CrashReport(f"r{number}", f"u{number}", at_ms + 1000 * number, list(runs))


def crashed(number: int, *parts: str, alone: bool = False, begun: bool = False) -> CrashedRun:
    return CrashedRun(f"work-{number}", alone, begun, parts=list(parts))


def known_bad(quarantine: Quarantine, *company: str) -> None:
    """Have a part, and whatever always came with it, end four upstreams, two of them alone."""
    for number in range(4):
        run = crashed(number, *company, BAD, alone=number >= 2)
        quarantine.note_crash(end(number, run))


class PartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()
        self.later_ms = START_MS + 10_000

    def standing(self, *parts: str, work_id: str = "new") -> Standing:
        return self.quarantine.verdict(work_id, self.later_ms, parts).standing

    def test_works_with_a_part_run_alone_after_two_ends_and_are_refused_after_two_alone(
        self,
    ) -> None:
        seen = []
        for number in range(4):
            self.quarantine.note_crash(end(number, crashed(number, BAD, alone=number >= 2)))
            seen.append(self.standing(BAD))
        alone = Standing.ALONE
        self.assertEqual(seen, [Standing.FREE, alone, alone, Standing.REFUSED])
        verdict = self.quarantine.verdict("new", self.later_ms, (FIRST, BAD))
        self.assertEqual((verdict.trait, verdict.crashes), (BAD, 4))
        self.assertEqual(verdict.retry_after_ms, POLICY.part_pauses_ms[0] - 7000)
        self.assertEqual(self.quarantine.verdict("new", self.later_ms, (FIRST, TOPIC)), FREE)

    def test_a_part_whose_runs_alone_had_other_company_each_time_is_refused(self) -> None:
        """Calls under local permits ran beside each of them, and upstreams went on ending."""
        for number in range(5):
            self.assertIsNot(self.standing(FIRST, BAD), Standing.REFUSED)
            beside = [] if number < 2 else [CrashedRun(f"sound-{number}", parts=[f"part-{number}"])]
            run = crashed(number, FIRST, BAD, alone=number >= 2)
            self.quarantine.note_crash(end(number, run, *beside))
        self.assertIs(self.standing(FIRST, BAD), Standing.REFUSED)
        # The other part always came with it, and works without the harmful one try it.
        self.assertIs(self.standing(FIRST, TOPIC), Standing.ALONE)
        self.assertIs(self.standing("part-3"), Standing.FREE)

    def test_a_part_whose_runs_alone_had_the_harmful_one_beside_them_is_not_refused(self) -> None:
        for number in range(6):
            beside = crashed(10 + number, FIRST, BAD)
            run = crashed(number, FIRST, TOPIC, alone=True)
            self.quarantine.note_crash(end(number, run, beside))
            self.assertIsNot(self.standing(FIRST, TOPIC), Standing.REFUSED)

    def test_one_work_whose_runs_alone_had_company_says_nothing_of_its_parts(self) -> None:
        for number in range(6):
            run = CrashedRun("work", alone=True, parts=[BAD])
            self.quarantine.note_crash(end(number, run, CrashedRun(f"sound-{number}")))
        self.assertIs(self.standing(BAD, work_id="work"), Standing.REFUSED)
        self.assertIsNot(self.standing(BAD), Standing.REFUSED)

    def test_an_answer_that_had_begun_speaks_no_less_against_a_part(self) -> None:
        for number in range(2):
            self.quarantine.note_crash(end(number, crashed(number, BAD, begun=True)))
        self.assertIs(self.standing(BAD), Standing.ALONE)

    def test_a_part_that_always_came_with_it_is_tried_alone_and_never_refused(self) -> None:
        known_bad(self.quarantine, FIRST)
        self.assertIs(self.standing(FIRST, BAD), Standing.REFUSED)
        self.assertIs(self.standing(FIRST, TOPIC), Standing.ALONE)
        clear = WorkCleared("c", FIRST, self.quarantine.reports_against(FIRST), START_MS)
        self.quarantine.note_cleared(clear)
        self.assertIs(self.standing(FIRST, TOPIC), Standing.FREE)
        self.assertIs(self.standing(BAD), Standing.REFUSED)

    def test_ends_that_a_rarer_part_explains_do_not_speak_against_a_common_one(self) -> None:
        for number in range(4):
            beside = [] if number >= 2 else [crashed(10 + number, FIRST)]
            run = crashed(number, FIRST, BAD, alone=number >= 2)
            self.quarantine.note_crash(end(number, run, *beside))
        self.assertIs(self.standing(FIRST, BAD), Standing.REFUSED)
        self.assertIs(self.standing(FIRST), Standing.FREE)

    def test_a_common_part_that_ends_upstreams_without_the_rarer_one_is_found(self) -> None:
        known_bad(self.quarantine, FIRST)
        for number in range(4, 8):
            self.quarantine.note_crash(end(number, crashed(number, FIRST, alone=number >= 6)))
        self.assertIs(self.standing(FIRST, TOPIC), Standing.REFUSED)

    def test_an_end_by_chance_alone_does_not_have_a_common_part_refused(self) -> None:
        """Sound calls were refused: one alone with the harmful part, one alone ended by chance."""
        for number in range(2):
            run = crashed(number, FIRST, BAD)
            self.quarantine.note_crash(end(number, run, crashed(10 + number, FIRST)))
        self.quarantine.note_crash(end(2, crashed(2, FIRST, BAD, alone=True)))
        self.quarantine.note_crash(end(3, crashed(3, FIRST, TOPIC, alone=True)))
        self.assertIs(self.standing(FIRST, TOPIC), Standing.ALONE)
        self.assertIs(self.standing(FIRST), Standing.ALONE)
        self.quarantine.note_crash(end(4, crashed(4, FIRST, BAD, alone=True)))
        self.assertIs(self.standing(FIRST, BAD), Standing.REFUSED)
        self.assertIsNot(self.standing(FIRST, TOPIC), Standing.REFUSED)

    def test_a_common_part_is_found_whatever_other_came_with_it(self) -> None:
        others = part_identities(f"other-{number}" for number in range(3))
        for number, other in enumerate([*others, *others]):
            self.quarantine.note_crash(end(number, crashed(number, BAD, other, alone=number >= 3)))
        self.assertIs(self.standing(BAD, TOPIC), Standing.REFUSED)

    def test_one_work_that_comes_again_is_refused_and_its_parts_run_on(self) -> None:
        for number in range(3):
            run = CrashedRun("same", alone=number == 2, parts=[FIRST])
            self.quarantine.note_crash(end(number, run))
        self.assertIs(self.standing(FIRST, work_id="same"), Standing.REFUSED)
        self.assertIsNot(self.standing(FIRST), Standing.REFUSED)

    @given(st.permutations(range(6)), st.lists(st.integers(0, 5)), st.sets(st.integers(0, 5)))
    def test_reports_in_any_order_twice_or_not_at_all_decide_the_same(
        self, order: list[int], again: list[int], missing: set[int]
    ) -> None:
        reports = [
            (
                end(number, crashed(number, FIRST, BAD, alone=number >= 3), crashed(9, TOPIC))
                if number < 3
                else end(number, crashed(number, FIRST, BAD, alone=True))
            )
            for number in range(6)
            if number not in missing
        ]
        one, other = Quarantine(), Quarantine()
        for report in reports:
            one.note_crash(report)
        by_name = {report.report_id: report for report in reports}
        for number in [*order, *again]:
            if f"r{number}" in by_name:
                other.note_crash(by_name[f"r{number}"])
        for parts in ((FIRST, BAD), (FIRST,), (BAD,), (TOPIC,), (FIRST, TOPIC)):
            verdicts = [item.verdict("new", self.later_ms, parts) for item in (one, other)]
            self.assertEqual(*verdicts)
        self.assertIsNot(
            one.verdict("new", self.later_ms, (FIRST, TOPIC)).standing, Standing.REFUSED
        )

    @settings(max_examples=20, deadline=None)
    @given(
        st.integers(0, 10**6),
        st.sampled_from([1, 8, 40]),
        st.sampled_from([8, 168, 5000]),
        st.sampled_from([0.0, 0.3]),
    )
    def test_a_part_ends_few_upstreams_and_no_sound_work_is_refused(
        self, seed: int, first_parts: int, other_parts: int, other_ends_per_s: float
    ) -> None:
        scenario = Scenario(
            20.0,
            first_parts=first_parts,
            other_parts=other_parts,
            other_ends_per_s=other_ends_per_s,
        )
        outcome = play("run alone", scenario, seed)
        self.assertEqual(outcome.sound_refused, 0)
        self.assertLessEqual(outcome.ends, MOST_ENDS)
        self.assertLessEqual(outcome.late_harmful_runs, 3)


class SoundPartsTest(unittest.TestCase):
    def test_it_forgets_the_oldest_first_and_what_was_long_ago(self) -> None:
        sound = SoundParts()
        sound.note([FIRST], 0.0)
        self.assertEqual(sound.unknown_among([FIRST, BAD], 60_000.0), [BAD])
        self.assertEqual(sound.unknown_among([FIRST, BAD], 60_001.0), [FIRST, BAD])
        sound.note((f"part-{number}" for number in range(5000)), 0.0)
        self.assertEqual(len(sound.parts), 4096)
        self.assertNotIn(FIRST, sound.parts)

    def test_identities_of_parts_are_short_and_few_whatever_callers_make_up(self) -> None:
        found = part_identities(f"{number}" * 9000 for number in range(100))
        self.assertEqual((len(found), {len(name) for name in found}), (16, {25}))

    def test_leading_messages_are_parts_and_the_last_is_not(self) -> None:
        system = {"role": "system", "content": "be brief"}
        bodies = [{"messages": [system, {"role": "user", "content": text}]} for text in "ab"]
        self.assertEqual(message_parts(bodies[0]), message_parts(bodies[1]))
        self.assertEqual(len(message_parts(bodies[0])), 1)
        self.assertEqual(message_parts({"messages": [system]}), ())
        self.assertEqual(message_parts({"prompt": "x"}), ())


if __name__ == "__main__":
    unittest.main()
