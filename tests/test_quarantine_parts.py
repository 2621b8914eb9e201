"""Prompt parts that crash upstreams, distinguished from the parts that occur with them."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.part_ways import Scenario, simulate
from fescuedock.core.quarantine import FREE, Quarantine, QuarantinePolicy, Restriction
from fescuedock.core.recent_runs import SoundParts
from fescuedock.core.work_identity import message_parts, part_identities
from fescuedock.schema.crashes import CrashedRun, CrashReport, WorkCleared
from tests.builders.quarantine import record

START_MS = 1_800_000_000_000
POLICY = QuarantinePolicy()
FIRST, BAD, TOPIC = part_identities(["first", "bad", "topic"])
# Maximum number of crashes before a harmful part is refused, with any scenario drawn below.
MAX_CRASHES = 8


def crash_report(number: int, *runs: CrashedRun, at_ms: int = START_MS) -> CrashReport:
    return CrashReport(f"r{number}", f"u{number}", at_ms + 1000 * number, list(runs))


def crashed_run(number: int, *parts: str, alone: bool = False, begun: bool = False) -> CrashedRun:
    return CrashedRun(f"work-{number}", alone, begun, parts=list(parts))


def record_bad_part(quarantine: Quarantine, *other_parts: str) -> None:
    """Record four crashes of runs with a part and ``other_parts``, the last two isolated."""
    for number in range(4):
        run = crashed_run(number, *other_parts, BAD, alone=number >= 2)
        record(quarantine, crash_report(number, run))


class PartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()
        self.later_ms = START_MS + 10_000

    def restriction(self, *parts: str, work_id: str = "new") -> Restriction:
        return self.quarantine.verdict(work_id, self.later_ms, parts).restriction

    def test_a_part_is_isolated_after_two_crashes_and_refused_after_two_isolated_ones(
        self,
    ) -> None:
        seen = []
        for number in range(4):
            record(
                self.quarantine, crash_report(number, crashed_run(number, BAD, alone=number >= 2))
            )
            seen.append(self.restriction(BAD))
        alone = Restriction.ALONE
        self.assertEqual(seen, [Restriction.FREE, alone, alone, Restriction.REFUSED])
        verdict = self.quarantine.verdict("new", self.later_ms, (FIRST, BAD))
        self.assertEqual((verdict.trait, verdict.crashes), (BAD, 4))
        self.assertEqual(verdict.retry_after_ms, POLICY.part_retry_pauses_ms[0] - 7000)
        self.assertEqual(self.quarantine.verdict("new", self.later_ms, (FIRST, TOPIC)), FREE)

    def test_a_part_with_different_concurrent_runs_in_each_isolated_crash_is_refused(self) -> None:
        """Guards against calls under local permits that prevented a proof during more crashes."""
        for number in range(5):
            self.assertIsNot(self.restriction(FIRST, BAD), Restriction.REFUSED)
            concurrent = (
                [] if number < 2 else [CrashedRun(f"sound-{number}", parts=[f"part-{number}"])]
            )
            run = crashed_run(number, FIRST, BAD, alone=number >= 2)
            record(self.quarantine, crash_report(number, run, *concurrent))
        self.assertIs(self.restriction(FIRST, BAD), Restriction.REFUSED)
        # The other part always occurred with the harmful one; work without that one tests it.
        self.assertIs(self.restriction(FIRST, TOPIC), Restriction.ALONE)
        self.assertIs(self.restriction("part-3"), Restriction.FREE)

    def test_a_part_whose_isolated_runs_had_the_harmful_part_run_concurrently_is_not_refused(
        self,
    ) -> None:
        for number in range(6):
            concurrent = crashed_run(10 + number, FIRST, BAD)
            run = crashed_run(number, FIRST, TOPIC, alone=True)
            record(self.quarantine, crash_report(number, run, concurrent))
            self.assertIsNot(self.restriction(FIRST, TOPIC), Restriction.REFUSED)

    def test_one_unit_of_work_with_concurrent_runs_does_not_incriminate_its_parts(self) -> None:
        for number in range(6):
            run = CrashedRun("work", alone=True, parts=[BAD])
            record(self.quarantine, crash_report(number, run, CrashedRun(f"sound-{number}")))
        self.assertIs(self.restriction(BAD, work_id="work"), Restriction.REFUSED)
        self.assertIsNot(self.restriction(BAD), Restriction.REFUSED)

    def test_a_response_that_had_begun_weighs_the_same_against_a_part(self) -> None:
        for number in range(2):
            record(self.quarantine, crash_report(number, crashed_run(number, BAD, begun=True)))
        self.assertIs(self.restriction(BAD), Restriction.ALONE)

    def test_a_part_that_always_occurred_with_the_harmful_one_is_isolated_and_not_refused(
        self,
    ) -> None:
        record_bad_part(self.quarantine, FIRST)
        self.assertIs(self.restriction(FIRST, BAD), Restriction.REFUSED)
        self.assertIs(self.restriction(FIRST, TOPIC), Restriction.ALONE)
        clear = WorkCleared("c", FIRST, self.quarantine.reports_against(FIRST), START_MS)
        record(self.quarantine, clear)
        self.assertIs(self.restriction(FIRST, TOPIC), Restriction.FREE)
        self.assertIs(self.restriction(BAD), Restriction.REFUSED)

    def test_crashes_explained_by_a_rarer_part_do_not_count_against_a_common_one(self) -> None:
        for number in range(4):
            concurrent = [] if number >= 2 else [crashed_run(10 + number, FIRST)]
            run = crashed_run(number, FIRST, BAD, alone=number >= 2)
            record(self.quarantine, crash_report(number, run, *concurrent))
        self.assertIs(self.restriction(FIRST, BAD), Restriction.REFUSED)
        self.assertIs(self.restriction(FIRST), Restriction.FREE)

    def test_a_common_part_that_crashes_upstreams_without_the_rarer_one_is_found(self) -> None:
        record_bad_part(self.quarantine, FIRST)
        for number in range(4, 8):
            record(
                self.quarantine, crash_report(number, crashed_run(number, FIRST, alone=number >= 6))
            )
        self.assertIs(self.restriction(FIRST, TOPIC), Restriction.REFUSED)

    def test_a_chance_crash_of_an_isolated_run_does_not_refuse_a_common_part(self) -> None:
        """Guards against refusing sound calls by one harmful and one unrelated isolated crash."""
        for number in range(2):
            run = crashed_run(number, FIRST, BAD)
            record(self.quarantine, crash_report(number, run, crashed_run(10 + number, FIRST)))
        record(self.quarantine, crash_report(2, crashed_run(2, FIRST, BAD, alone=True)))
        record(self.quarantine, crash_report(3, crashed_run(3, FIRST, TOPIC, alone=True)))
        self.assertIs(self.restriction(FIRST, TOPIC), Restriction.ALONE)
        self.assertIs(self.restriction(FIRST), Restriction.ALONE)
        record(self.quarantine, crash_report(4, crashed_run(4, FIRST, BAD, alone=True)))
        self.assertIs(self.restriction(FIRST, BAD), Restriction.REFUSED)
        self.assertIsNot(self.restriction(FIRST, TOPIC), Restriction.REFUSED)

    def test_a_common_part_is_found_whichever_other_part_occurs_with_it(self) -> None:
        others = part_identities(f"other-{number}" for number in range(3))
        for number, other in enumerate([*others, *others]):
            record(
                self.quarantine,
                crash_report(number, crashed_run(number, BAD, other, alone=number >= 3)),
            )
        self.assertIs(self.restriction(BAD, TOPIC), Restriction.REFUSED)

    def test_a_repeated_unit_of_work_is_refused_and_its_parts_are_not(self) -> None:
        for number in range(3):
            run = CrashedRun("same", alone=number == 2, parts=[FIRST])
            record(self.quarantine, crash_report(number, run))
        self.assertIs(self.restriction(FIRST, work_id="same"), Restriction.REFUSED)
        self.assertIsNot(self.restriction(FIRST), Restriction.REFUSED)

    @given(st.permutations(range(6)), st.lists(st.integers(0, 5)), st.sets(st.integers(0, 5)))
    def test_the_order_and_repetition_of_reports_do_not_change_the_verdict(
        self, order: list[int], again: list[int], missing: set[int]
    ) -> None:
        reports = [
            (
                crash_report(
                    number,
                    crashed_run(number, FIRST, BAD, alone=number >= 3),
                    crashed_run(9, TOPIC),
                )
                if number < 3
                else crash_report(number, crashed_run(number, FIRST, BAD, alone=True))
            )
            for number in range(6)
            if number not in missing
        ]
        one, other = Quarantine(), Quarantine()
        for report in reports:
            record(one, report)
        by_name = {report.report_id: report for report in reports}
        for number in [*order, *again]:
            if f"r{number}" in by_name:
                record(other, by_name[f"r{number}"])
        for parts in ((FIRST, BAD), (FIRST,), (BAD,), (TOPIC,), (FIRST, TOPIC)):
            verdicts = [item.verdict("new", self.later_ms, parts) for item in (one, other)]
            self.assertEqual(*verdicts)
        self.assertIsNot(
            one.verdict("new", self.later_ms, (FIRST, TOPIC)).restriction, Restriction.REFUSED
        )

    @settings(max_examples=20, deadline=None)
    @given(
        st.integers(0, 10**6),
        st.sampled_from([1, 8, 40]),
        st.sampled_from([8, 168, 5000]),
        st.sampled_from([0.0, 0.3]),
    )
    def test_a_part_crashes_few_upstreams_and_no_sound_work_is_refused(
        self, seed: int, first_parts: int, other_parts: int, other_ends_per_s: float
    ) -> None:
        scenario = Scenario(
            20.0,
            first_parts=first_parts,
            other_parts=other_parts,
            other_ends_per_s=other_ends_per_s,
        )
        outcome = simulate("run alone", scenario, seed)
        self.assertEqual(outcome.sound_refused, 0)
        self.assertLessEqual(outcome.ends, MAX_CRASHES)
        self.assertLessEqual(outcome.late_harmful_runs, 3)


class SoundPartsTest(unittest.TestCase):
    def test_the_oldest_and_the_expired_parts_are_forgotten(self) -> None:
        sound = SoundParts()
        sound.record([FIRST], 0.0)
        self.assertEqual(sound.unknown_among([FIRST, BAD], 60_000.0), [BAD])
        self.assertEqual(sound.unknown_among([FIRST, BAD], 60_001.0), [FIRST, BAD])
        sound.record((f"part-{number}" for number in range(5000)), 0.0)
        self.assertEqual(len(sound.parts), 4096)
        self.assertNotIn(FIRST, sound.parts)

    def test_identities_of_parts_are_bounded_in_length_and_number(self) -> None:
        found = part_identities(f"{number}" * 9000 for number in range(100))
        self.assertEqual((len(found), {len(name) for name in found}), (16, {25}))

    def test_leading_messages_are_parts_and_the_last_one_is_not(self) -> None:
        system = {"role": "system", "content": "be brief"}
        bodies = [{"messages": [system, {"role": "user", "content": text}]} for text in "ab"]
        self.assertEqual(message_parts(bodies[0]), message_parts(bodies[1]))
        self.assertEqual(len(message_parts(bodies[0])), 1)
        self.assertEqual(message_parts({"messages": [system]}), ())
        self.assertEqual(message_parts({"prompt": "x"}), ())


if __name__ == "__main__":
    unittest.main()
