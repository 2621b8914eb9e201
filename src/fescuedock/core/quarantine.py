"""Whether a piece of work may run, by the upstreams that ended while they ran it or its like.

What ends an upstream may be one piece of work, or a part of the prompt that works share which are
no two alike.  Both are traits of a run.  When an upstream ends, each trait of what ran there may be
the cause, and most are not.  What comes again and is there again becomes a suspect, and works that
have it run alone; what then ends an upstream is the cause and is refused.  A trait of a run that
became whole is not.

Evidence is a set of facts about incarnations of upstreams, so it may be heard of in any order, more
than once and from anywhere: all who know the same facts decide the same.

Pure: the caller passes the time, which is Unix time, as reports outlive processes.
"""

import enum
from collections import defaultdict
from collections.abc import Collection, Iterable
from itertools import groupby

import msgspec

from fescuedock.core.work_identity import is_part
from fescuedock.schema.crashes import CrashedRun, CrashReport, WorkCleared

__all__ = ["FREE", "Quarantine", "QuarantinePolicy", "Restriction", "Verdict", "traits_of"]


class Restriction(enum.Enum):
    """How a piece of work may run."""

    FREE = "beside others"
    ALONE = "alone"
    # It would be refused, but for what others may still report of the same end.
    UNSETTLED = "not yet"
    REFUSED = "not at all"


class QuarantinePolicy(msgspec.Struct, frozen=True):
    """Bounds of the decision.

    A crash weighs 1 against a work whose run had given nothing yet, and ``begun_weight`` against
    one that was well under way: what ends an upstream mostly does so at its start.  From
    ``isolation_weight`` on a work runs alone, so that it ends nobody else's runs and its innocence
    shows. One that has been there in ``min_crashes`` crashes, and was alone in one, is refused.  A
    part of prompts weighs 1 whatever had come, as it is known to be sound from other runs where it
    is, and needs crashes of ``part_min_units_of_work`` works alone, as one work says nothing of its
    parts.

    A refused work gets another chance, alone, when the next of ``retry_pauses_ms`` has passed since
    its last crash, as that may have been chance; after these it is refused until it is forgotten.
    What has a refused part gets it after ``part_retry_pauses_ms``, as sound callers may be among
    those. Evidence is forgotten after ``retention_ms``, and the oldest first beyond
    ``max_reports``.

    Reports of one upstream within ``same_crash_ms`` are about the same end: an upstream may keep
    its identity over restarts, and takes longer to come back.  As long a work that seems to have
    been alone is neither run nor refused: others that ran there may be reported in the meantime.
    """

    begun_weight: float = 0.5
    isolation_weight: float = 2.0
    min_crashes: int = 3
    part_min_units_of_work: int = 2
    retry_pauses_ms: tuple[float, ...] = (600_000.0, 3_600_000.0)
    part_retry_pauses_ms: tuple[float, ...] = (60_000.0, 600_000.0, 3_600_000.0)
    retention_ms: float = 86_400_000.0
    max_reports: int = 4000
    same_crash_ms: float = 500.0


class Verdict(msgspec.Struct, frozen=True):
    """How a work may run.

    ``retry_after_ms`` is the time until a refused one may come again, or until it is settled.
    ``trait`` is what speaks against it: its own identity, or that of a part of its prompt.
    """

    restriction: Restriction
    crashes: int = 0
    retry_after_ms: float = 0.0
    trait: str = ""


FREE = Verdict(Restriction.FREE)
_SEVERITY = list(Restriction)


def traits_of(run: CrashedRun) -> tuple[str, ...]:
    """Return the traits that a run may have ended its upstream by."""
    return (run.work_id, *run.parts)


class Quarantine:
    """What is known of the traits of runs that were under way when upstreams ended."""

    __slots__ = (
        "_by_trait",
        "_by_upstream",
        "_causes",
        "_cleared",
        "_isolated_run_reports",
        "_known_facts",
        "_policy",
        "_reports",
    )

    def __init__(self, policy: QuarantinePolicy | None = None) -> None:
        self._policy = policy or QuarantinePolicy()
        self._reports: dict[str, CrashReport] = {}
        # Identities of reports, by upstream; and by trait, those that speak against it.
        self._by_upstream: defaultdict[str, set[str]] = defaultdict(set)
        self._by_trait: defaultdict[str, set[str]] = defaultdict(set)
        # Those of runs alone.
        self._isolated_run_reports: set[str] = set()
        # Traits known as causes; None when they have to be found anew.
        self._causes: set[str] | None = set()
        # Traits and reports that say nothing against them, with when that was found out.
        self._cleared: dict[tuple[str, str], float] = {}
        # Whatever was taken, with its time.
        self._known_facts: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known against any work."""
        return not self._by_trait

    def record(self, fact: CrashReport | WorkCleared) -> bool:
        """Take a fact; False for one that is known."""
        return (
            self.record_crash(fact) if isinstance(fact, CrashReport) else self.record_cleared(fact)
        )

    def record_crash(self, report: CrashReport) -> bool:
        """Take a report of an upstream's end; False for one that is known."""
        if report.report_id in self._known_facts:
            return False
        self._known_facts[report.report_id] = report.at_ms
        self._reports[report.report_id] = report
        self._by_upstream[report.upstream_id].add(report.report_id)
        for run in report.runs:
            for trait in traits_of(run):
                if (trait, report.report_id) not in self._cleared:
                    self._by_trait[trait].add(report.report_id)
            if run.alone:
                self._isolated_run_reports.add(report.report_id)
        self._causes = None
        while len(self._reports) > self._policy.max_reports:
            self._drop(min(self._reports, key=lambda name: self._reports[name].at_ms))
        return True

    def record_cleared(self, cleared: WorkCleared) -> bool:
        """Take word that a trait was not the cause of some ends; False when that is known."""
        if cleared.report_id in self._known_facts:
            return False
        self._known_facts[cleared.report_id] = cleared.at_ms
        for report_id in cleared.void_report_ids:
            self._cleared[cleared.work_id, report_id] = cleared.at_ms
            _discard(self._by_trait, cleared.work_id, report_id)
        self._causes = None
        return True

    def knows(self, report_id: str) -> bool:
        """Whether a report was taken and has not been forgotten."""
        return report_id in self._known_facts

    def has_crashed_since(self, upstream_id: str, since_ms: float) -> bool:
        """Whether an upstream is known to have ended after ``since_ms``."""
        names = self._by_upstream.get(upstream_id, ())
        return any(self._reports[name].at_ms >= since_ms for name in names)

    def is_suspected(self, trait: str) -> bool:
        """Whether anything is known against a trait."""
        return trait in self._by_trait

    def suspected_among(self, traits: Collection[str]) -> set[str]:
        """Return those of ``traits``, keys of a mapping, against which anything is known."""
        return self._by_trait.keys() & traits

    def counts(self) -> tuple[int, int, int]:
        """Return how many traits are under suspicion, known as causes, and have been cleared."""
        cleared = len({trait for trait, _ in self._cleared})
        return len(self._by_trait), len(self._known_causes()), cleared

    def reports_against(self, trait: str) -> list[str]:
        """Return the identities of the reports that speak against a trait."""
        return sorted(self._by_trait.get(trait, ()))

    def verdict(self, work_id: str, now_ms: float, parts: Collection[str] = ()) -> Verdict:
        """Return how a work may run now that has ``parts`` in its prompt; the strictest counts."""
        by_trait = self._by_trait
        if not by_trait:
            return FREE
        traits = (work_id, *parts)
        found = [self._verdict_on(trait, traits, now_ms) for trait in traits if trait in by_trait]
        return max(found, key=lambda item: _SEVERITY.index(item.restriction), default=FREE)

    def is_expired(self, at_ms: float, now_ms: float) -> bool:
        """Whether what was found out at ``at_ms`` is too old to count."""
        return at_ms < now_ms - self._policy.retention_ms

    def forget(self, now_ms: float) -> None:
        """Drop what is too old to count."""
        reports = list(self._reports.items())
        for name in [name for name, report in reports if self.is_expired(report.at_ms, now_ms)]:
            self._drop(name)
        for known in (self._cleared, self._known_facts):
            for key in [key for key, at_ms in known.items() if self.is_expired(at_ms, now_ms)]:
                del known[key]

    def _verdict_on(self, trait: str, traits: Collection[str], now_ms: float) -> Verdict:
        reports = self._reports_against(trait)
        crashes = self._count_crashes(reports)
        if trait in self._known_causes():
            verdict = self._verdict_on_cause(trait, reports, crashes, now_ms)
            if verdict.restriction is Restriction.REFUSED and not self._is_proven(trait, traits):
                # Something else that was there may be the cause; alone, this one shows it.
                return Verdict(Restriction.ALONE, crashes, trait=trait)
            return verdict
        weight = sum(
            self._weight(trait, report) for report in reports if not self._is_explained(report)
        )
        standing = (
            Restriction.ALONE if weight >= self._policy.isolation_weight else Restriction.FREE
        )
        return Verdict(standing, crashes, trait=trait)

    def _verdict_on_cause(
        self, trait: str, reports: list[CrashReport], crashes: int, now_ms: float
    ) -> Verdict:
        policy = self._policy
        pauses_ms = policy.part_retry_pauses_ms if is_part(trait) else policy.retry_pauses_ms
        by_itself = [item for item in reports if self._was_isolated(trait, item)]
        shown_by = by_itself or [
            item for item in reports if self._was_meant_to_be_isolated(trait, item)
        ]
        unsettled_ms = max(item.at_ms for item in shown_by) + policy.same_crash_ms - now_ms
        if unsettled_ms > 0:
            return Verdict(Restriction.UNSETTLED, crashes, unsettled_ms, trait)
        chances = max(self._count_crashes(by_itself) - self._min_units_of_work(trait), 0) + 1
        pause_ms = pauses_ms[chances - 1] if chances <= len(pauses_ms) else policy.retention_ms
        left_ms = max(report.at_ms for report in reports) + pause_ms - now_ms
        if left_ms <= 0:
            return Verdict(Restriction.ALONE, crashes, trait=trait)
        return Verdict(Restriction.REFUSED, crashes, left_ms, trait)

    def _known_causes(self) -> set[str]:
        if self._causes is None:
            self._causes = self._find_causes()
        return self._causes

    def _find_causes(self) -> set[str]:
        """Find the traits that have ended upstreams often enough, certainly by themselves.

        A part that most prompts have is there whenever a rarer one is that ends upstreams.  So the
        parts of the fewest runs are looked at first, and ends that they explain speak against no
        other.  Were the common part the cause, there would be ends without the rarer one.  Works
        come last: one that has a harmful part is there again and again as well.
        """
        min_crashes = self._policy.min_crashes
        suspects = {
            trait
            for name in self._isolated_run_reports
            for run in self._reports[name].runs
            for trait in traits_of(run)
            if run.alone and len(self._by_trait.get(trait, ())) >= min_crashes
        }
        if not suspects:
            return set()
        ranks = {trait: (not is_part(trait), len(self._runs_with(trait))) for trait in suspects}
        causes: set[str] = set()
        explained: set[str] = set()
        for _, rare in groupby(sorted(suspects, key=ranks.get), key=ranks.get):
            found = [trait for trait in rare if self._is_cause(trait, explained)]
            causes.update(found)
            explained.update(
                item.report_id
                for trait in found
                for report in self._reports_against(trait)
                for item in self._reports_of_same_crash(report)
            )
        return causes

    def _is_cause(self, trait: str, explained: Collection[str]) -> bool:
        """Whether a trait has ended upstreams by itself, beside the ends that others explain."""
        reports = [item for item in self._reports_against(trait) if item.report_id not in explained]
        if self._count_crashes(reports) < self._policy.min_crashes:
            return False
        work_ids = {
            run.work_id
            for report in reports
            if self._was_isolated(trait, report)
            for run in report.runs
            if trait in traits_of(run)
        }
        return len(work_ids) >= self._min_units_of_work(trait) or self._has_varying_concurrent_runs(
            trait, reports
        )

    def _has_varying_concurrent_runs(self, trait: str, reports: list[CrashReport]) -> bool:
        """Whether runs that were to be alone ended upstreams beside others that had none in common.

        Where owners are silent, calls run without their permits beside a run alone.
        """
        seen_concurrent: set[str] = set()
        work_ids: set[str] = set()
        ends = 0
        for report in sorted(reports, key=lambda item: (item.at_ms, item.report_id)):
            if not self._was_meant_to_be_isolated(trait, report):
                continue
            concurrent = self._concurrent_traits(trait, report)
            if seen_concurrent.isdisjoint(concurrent):
                ends += 1
                seen_concurrent.update(concurrent)
                work_ids.update(run.work_id for run in report.runs if trait in traits_of(run))
        return ends >= self._policy.min_crashes and len(work_ids) >= self._min_units_of_work(trait)

    def _min_units_of_work(self, trait: str) -> int:
        return self._policy.part_min_units_of_work if is_part(trait) else 1

    def _is_proven(self, trait: str, traits: Collection[str]) -> bool:
        """Whether works that ended upstreams alone show that a trait is harmful in ``traits``.

        Of a part they show little where another suspected one was there that ``traits`` lack, and
        more if it was another one each time.
        """
        if not is_part(trait):
            return True
        work_ids: set[str] = set()
        distinct_other_suspects: set[frozenset[str]] = set()
        for name, run in self._runs_with(trait):
            if not run.alone or not self._was_isolated(trait, self._reports[name]):
                continue
            suspected = (other for other in run.parts if self._is_suspect(other, name))
            other_suspects = frozenset(suspected).difference(traits)
            if other_suspects:
                distinct_other_suspects.add(other_suspects)
            else:
                work_ids.add(run.work_id)
        min_work_ids = self._policy.part_min_units_of_work
        if (
            len(work_ids) >= min_work_ids
            or len(work_ids) + len(distinct_other_suspects) > min_work_ids
        ):
            return True
        reports = [
            report
            for report in self._reports_against(trait)
            if not self._suspected_parts_with(trait, report).difference(traits)
        ]
        return self._has_varying_concurrent_runs(trait, reports)

    def _suspected_parts_with(self, trait: str, report: CrashReport) -> set[str]:
        """Return the suspected parts that runs with ``trait`` had in a report."""
        runs = (run for run in report.runs if trait in traits_of(run))
        parts = {part for run in runs for part in run.parts if part != trait}
        return {part for part in parts if self._is_suspect(part, report.report_id)}

    def _is_suspect(self, trait: str, report_id: str) -> bool:
        """Whether a report speaks against a trait, and not it alone."""
        reports = self._by_trait.get(trait, ())
        return report_id in reports and len(reports) > 1

    def _runs_with(self, trait: str) -> list[tuple[str, CrashedRun]]:
        """Return the runs with a trait, each with its report's identity."""
        return [
            (report.report_id, run)
            for report in self._reports_against(trait)
            for run in report.runs
            if trait in traits_of(run)
        ]

    def _is_explained(self, report: CrashReport) -> bool:
        """Whether a trait took part in an end that is known to be a cause."""
        causes = self._known_causes()
        if not causes:
            return False
        runs: Iterable[CrashedRun] = (
            run for item in self._reports_of_same_crash(report) for run in item.runs
        )
        return any(trait in causes for run in runs for trait in traits_of(run))

    def _was_isolated(self, trait: str, report: CrashReport) -> bool:
        """Whether only runs with a trait were at the upstream, by all that is known of its end.

        What others had given up does not count: an upstream is emptied for a run alone, so there
        always is some, and with it no cause would ever be known for certain.
        """
        return self._was_meant_to_be_isolated(trait, report) and not self._concurrent_traits(
            trait, report
        )

    def _was_meant_to_be_isolated(self, trait: str, report: CrashReport) -> bool:
        """Whether all runs with a trait were to be alone at the upstream."""
        return all(run.alone for run in self._runs_at(report) if trait in traits_of(run))

    def _concurrent_traits(self, trait: str, report: CrashReport) -> set[str]:
        """Return the traits of runs without ``trait`` that were at the upstream as it ended."""
        others = (run for run in self._runs_at(report) if trait not in traits_of(run))
        return {name for run in others if not run.given_up for name in traits_of(run)}

    def _runs_at(self, report: CrashReport) -> list[CrashedRun]:
        return [run for item in self._reports_of_same_crash(report) for run in item.runs]

    def _weight(self, trait: str, report: CrashReport) -> float:
        begun = all(run.begun for run in report.runs if trait in traits_of(run))
        return self._policy.begun_weight if begun and not is_part(trait) else 1.0

    def _reports_against(self, trait: str) -> list[CrashReport]:
        return [self._reports[name] for name in self._by_trait.get(trait, ())]

    def _reports_of_same_crash(self, report: CrashReport) -> list[CrashReport]:
        """Return the reports of the end that ``report`` is about, itself among them."""
        others = (self._reports[name] for name in self._by_upstream[report.upstream_id])
        window_ms = self._policy.same_crash_ms
        return [item for item in others if abs(item.at_ms - report.at_ms) <= window_ms]

    def _count_crashes(self, reports: list[CrashReport]) -> int:
        """Count the ends of upstreams that the reports are about."""
        count = 0
        last: CrashReport | None = None
        for report in sorted(reports, key=lambda item: (item.upstream_id, item.at_ms)):
            is_new = last is None or last.upstream_id != report.upstream_id
            if is_new or report.at_ms - last.at_ms > self._policy.same_crash_ms:
                count += 1
            last = report
        return count

    def _drop(self, report_id: str) -> None:
        report = self._reports.pop(report_id)
        _discard(self._by_upstream, report.upstream_id, report_id)
        self._isolated_run_reports.discard(report_id)
        for run in report.runs:
            for trait in traits_of(run):
                _discard(self._by_trait, trait, report_id)
        self._causes = None


def _discard(sets: dict[str, set[str]], key: str, value: str) -> None:
    """Take a value out of a set, and out of ``sets`` a set that is empty by it."""
    found = sets.get(key)
    if found is None:
        return
    found.discard(value)
    if not found:
        del sets[key]
