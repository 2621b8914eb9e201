"""Decides whether a unit of work may run, from the upstream crashes during its runs.

An upstream may crash because of one unit of work, or because of a prompt part that otherwise
different work shares.  Both are traits of a run.  When an upstream crashes, each trait of the runs
there may be the cause, and most are not.  A trait that was present in several crashes is a suspect,
and work with it runs in isolation.  If an upstream crashes then, the trait is the cause and is
refused.  A trait of a run that completed is not the cause.

The evidence is a set of facts about incarnations of upstreams.  Facts may arrive in any order,
repeatedly and from any VM: all VMs that know the same facts reach the same decision.

A fact's time is the latest at which it can have happened, by the clock of this process: when the
fact was received, less the age that its sender stated.  Clocks of two VMs are never compared, so a
wrong time of day neither lengthens a pause nor makes one crash look like several.

Pure: the caller passes the time.
"""

import enum
import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from itertools import groupby

import msgspec

from fescuedock.core.work_identity import is_part
from fescuedock.schema.crashes import CrashedRun, CrashReport, WorkCleared

__all__ = ["FREE", "Quarantine", "QuarantinePolicy", "Restriction", "Verdict", "traits_of"]


class Restriction(enum.Enum):
    """How a unit of work may run."""

    FREE = "unrestricted"
    ALONE = "isolated"
    # To be refused, unless other VMs report further runs of the same crash in time.
    UNSETTLED = "undecided"
    REFUSED = "refused"


class QuarantinePolicy(msgspec.Struct, frozen=True):
    """Bounds of the decision.

    A crash counts with weight 1 against work whose run had produced no output yet, and with
    ``begun_weight`` against work that was well under way, as most crashes happen at the start of
    the run that causes them.  From a weight of ``isolation_weight`` on, work runs in isolation, so
    that it can crash no other runs and can be shown to be harmless.  Work that was present in
    ``min_crashes`` crashes, in one of them isolated, is refused.  If its isolated runs had all
    produced output, their crashes must have a weight of 1 in total, as one may have had another
    reason.  A part of prompts always counts with weight 1, as a harmless part is known from other
    runs that completed with it.  It is refused after isolated crashes of
    ``part_min_units_of_work`` different units of work, as a single one does not show which trait is
    the cause.

    Refused work gets another isolated run when the next of ``retry_pauses_ms`` has passed since its
    last crash, as that may have been a coincidence.  After the last pause it is refused until its
    evidence expires.  Work with a refused part uses ``part_retry_pauses_ms`` instead, as harmless
    work may share the part.  Batch items are owed: they get another isolated run after each of
    ``owed_retry_pauses_ms``, the last of which repeats without end.  Crashes of such runs do not
    lengthen the pauses of other work.  Evidence expires after ``retention_ms``; beyond
    ``max_reports`` the oldest is dropped first.

    An upstream may keep its identity over restarts, which take longer than ``same_crash_ms``: a
    crash that a VM finds later than that after a known one is another crash.  For as long, work
    that appears to have been isolated is neither run nor refused, as other VMs may still report
    runs that were there.
    """

    begun_weight: float = 0.5
    isolation_weight: float = 2.0
    min_crashes: int = 3
    part_min_units_of_work: int = 2
    retry_pauses_ms: tuple[float, ...] = (600_000.0, 3_600_000.0)
    part_retry_pauses_ms: tuple[float, ...] = (60_000.0, 600_000.0, 3_600_000.0)
    owed_retry_pauses_ms: tuple[float, ...] = (2000.0, 4000.0)
    retention_ms: float = 86_400_000.0
    max_reports: int = 4000
    same_crash_ms: float = 500.0


class Verdict(msgspec.Struct, frozen=True):
    """How a unit of work may run.

    ``retry_after_ms`` is the time until refused work may be retried, or until the verdict is
    settled.  ``trait`` is the trait that causes the restriction: the identity of the work or of a
    part of its prompt.
    """

    restriction: Restriction
    crashes: int = 0
    retry_after_ms: float = 0.0
    trait: str = ""


FREE = Verdict(Restriction.FREE)
_SEVERITY = list(Restriction)


def traits_of(run: CrashedRun) -> tuple[str, ...]:
    """Return the traits of a run that may have crashed its upstream."""
    return (run.work_id, *run.parts)


class Quarantine:
    """Known facts about the traits of runs that were in progress when upstreams crashed."""

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
        # Identities of reports by upstream, and by each trait that they count against.
        self._by_upstream: defaultdict[str, set[str]] = defaultdict(set)
        self._by_trait: defaultdict[str, set[str]] = defaultdict(set)
        # Identities of reports with isolated runs.
        self._isolated_run_reports: set[str] = set()
        # Traits known as causes; None when they must be determined again.
        self._causes: set[str] | None = set()
        # Pairs of a trait and a report that does not count against it, with the fact that says so.
        self._cleared: dict[tuple[str, str], str] = {}
        # All recorded facts, with the latest times at which they can have happened.
        self._known_facts: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence against any work."""
        return not self._by_trait

    def record(self, fact: CrashReport | WorkCleared, at_ms: float) -> bool:
        """Record a fact that happened at ``at_ms`` or before; return False if it is known already.

        Of several times of a fact the earliest counts.
        """
        known_ms = self._known_facts.get(fact.report_id)
        self._known_facts[fact.report_id] = at_ms if known_ms is None else min(known_ms, at_ms)
        if known_ms is not None:
            return False
        if isinstance(fact, CrashReport):
            self._record_crash(fact)
        else:
            self._record_cleared(fact)
        return True

    def _record_crash(self, report: CrashReport) -> None:
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
            self._drop(min(self._reports, key=lambda name: (self._known_facts[name], name)))

    def _record_cleared(self, cleared: WorkCleared) -> None:
        for report_id in cleared.void_report_ids:
            self._cleared[cleared.work_id, report_id] = cleared.report_id
            _discard(self._by_trait, cleared.work_id, report_id)
        self._causes = None

    def knows(self, report_id: str) -> bool:
        """Whether a fact was recorded and has not expired."""
        return report_id in self._known_facts

    def age_ms(self, report_id: str, now_ms: float) -> float:
        """Return how old a fact is at least; 0 for an unknown one."""
        return max(now_ms - self._known_facts.get(report_id, now_ms), 0.0)

    def crash_number(self, upstream_id: str, now_ms: float, *, found_late: bool = False) -> int:
        """Return the number of the crash of an upstream that was found now, 1 for the first.

        Reports with the same number are about the same crash.  One that is ``found_late``, when a
        new process serves already, is the last known one, however old that is.
        """
        reports = [self._reports[name] for name in self._by_upstream.get(upstream_id, ())]
        last = max(map(_number_of, reports), default=0)
        if found_late:
            return max(last, 1)
        since_ms = now_ms - self._policy.same_crash_ms
        is_last = any(
            _number_of(report) == last and self._at_ms(report) >= since_ms for report in reports
        )
        return last if is_last else last + 1

    def has_crashed_since(self, upstream_id: str, since_ms: float) -> bool:
        """Whether an upstream may have crashed after ``since_ms``."""
        names = self._by_upstream.get(upstream_id, ())
        return any(self._known_facts[name] >= since_ms for name in names)

    def is_suspected(self, trait: str) -> bool:
        """Whether there is evidence against a trait."""
        return trait in self._by_trait

    def suspected_among(self, traits: Collection[str]) -> set[str]:
        """Return those of ``traits``, keys of a mapping, against which there is evidence."""
        return self._by_trait.keys() & traits

    def counts(self) -> tuple[int, int, int]:
        """Return the numbers of suspected traits, of known causes and of cleared traits."""
        cleared = len({trait for trait, _ in self._cleared})
        return len(self._by_trait), len(self._known_causes()), cleared

    def reports_against(self, trait: str) -> list[str]:
        """Return the identities of the reports that count against a trait."""
        return sorted(self._by_trait.get(trait, ()))

    def verdict(
        self, work_id: str, now_ms: float, parts: Collection[str] = (), *, owed: bool = False
    ) -> Verdict:
        """Return how work with ``parts`` in its prompt may run; the strictest trait decides.

        ``owed`` work is refused only for a pause after the last crash.
        """
        by_trait = self._by_trait
        if not by_trait:
            return FREE
        traits = (work_id, *parts)
        found = [
            self._verdict_on(trait, traits, now_ms, owed=owed)
            for trait in traits
            if trait in by_trait
        ]
        return max(found, key=lambda item: _SEVERITY.index(item.restriction), default=FREE)

    def is_expired(self, at_ms: float, now_ms: float) -> bool:
        """Whether a fact of ``at_ms`` is too old to count."""
        return at_ms < now_ms - self._policy.retention_ms

    def forget(self, now_ms: float) -> None:
        """Drop expired facts."""
        expired = {
            name for name, at_ms in self._known_facts.items() if self.is_expired(at_ms, now_ms)
        }
        for name in expired & self._reports.keys():
            self._drop(name)
        for key in [key for key, name in self._cleared.items() if name in expired]:
            del self._cleared[key]
        for name in expired:
            del self._known_facts[name]

    def _verdict_on(
        self, trait: str, traits: Collection[str], now_ms: float, *, owed: bool
    ) -> Verdict:
        """Return how work with ``traits`` may run as far as one of them is concerned."""
        reports = self._reports_against(trait)
        crashes = self._count_crashes(reports)
        if trait in self._known_causes():
            verdict = self._verdict_on_cause(trait, reports, crashes, now_ms, owed=owed)
            if verdict.restriction is Restriction.REFUSED and not self._is_proven(trait, traits):
                # Another trait of those runs may be the cause; an isolated run shows whether this
                # one is.
                return Verdict(Restriction.ALONE, crashes, trait=trait)
            return verdict
        causes = self._known_causes()
        weight = sum(
            self._weight(trait, report)
            for report in reports
            if not self._is_explained(trait, report, causes)
        )
        restriction = (
            Restriction.ALONE if weight >= self._policy.isolation_weight else Restriction.FREE
        )
        return Verdict(restriction, crashes, trait=trait)

    def _verdict_on_cause(
        self, trait: str, reports: list[CrashReport], crashes: int, now_ms: float, *, owed: bool
    ) -> Verdict:
        """Return the verdict on a known cause, which depends on the time since its crashes."""
        policy = self._policy
        isolated_reports = [item for item in reports if self._was_isolated(trait, item)]
        proofs = isolated_reports or [
            item for item in reports if self._was_meant_to_be_isolated(trait, item)
        ]
        unsettled_ms = max(map(self._at_ms, proofs)) + policy.same_crash_ms - now_ms
        if unsettled_ms > 0:
            return Verdict(Restriction.UNSETTLED, crashes, unsettled_ms, trait)
        if owed:
            pauses_ms = policy.owed_retry_pauses_ms
            pause_ms = pauses_ms[min(max(crashes - policy.min_crashes, 0), len(pauses_ms) - 1)]
        else:
            pause_ms = self._refusal_pause_ms(trait, isolated_reports)
        left_ms = max(map(self._at_ms, reports)) + pause_ms - now_ms
        if left_ms <= 0:
            return Verdict(Restriction.ALONE, crashes, trait=trait)
        return Verdict(Restriction.REFUSED, crashes, left_ms, trait)

    def _refusal_pause_ms(self, trait: str, isolated_reports: list[CrashReport]) -> float:
        """Return how long a cause is refused after its last crash, unless the work is owed."""
        policy = self._policy
        pauses_ms = policy.part_retry_pauses_ms if is_part(trait) else policy.retry_pauses_ms
        counted = [
            report
            for report in isolated_reports
            if not all(run.owed for run in report.runs if trait in traits_of(run))
        ]
        min_crashes = self._min_isolated_crashes(trait, isolated_reports)
        chances = max(self._count_crashes(counted) - min_crashes, 0) + 1
        return pauses_ms[chances - 1] if chances <= len(pauses_ms) else policy.retention_ms

    def _known_causes(self) -> set[str]:
        if self._causes is None:
            self._causes = self._find_causes()
        return self._causes

    def _find_causes(self) -> set[str]:
        """Find the traits that crashed upstreams often enough, and certainly by themselves.

        A part that most prompts have is also present when a rare harmful part crashes an upstream.
        Parts with the fewest runs are therefore examined first, and the crashes that they explain
        count against no other part.  If the common part were the cause, there would be crashes
        without the rare one.  Units of work come last, as work with a harmful part is repeatedly
        present as well.
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
        for _, rare in groupby(sorted(suspects, key=ranks.get), key=ranks.get):
            causes.update([trait for trait in rare if self._is_cause(trait, causes)])
        return causes

    def _is_cause(self, trait: str, causes: Collection[str]) -> bool:
        """Whether a trait crashed upstreams by itself, apart from crashes explained by others."""
        reports = [
            report
            for report in self._reports_against(trait)
            if not self._is_explained(trait, report, causes)
        ]
        if self._count_crashes(reports) < self._policy.min_crashes:
            return False
        isolated_reports = [item for item in reports if self._was_isolated(trait, item)]
        return self._is_shown_by(trait, isolated_reports) or self._has_varying_concurrent_runs(
            trait, reports
        )

    def _is_shown_by(self, trait: str, isolated_reports: list[CrashReport]) -> bool:
        """Whether isolated crashes are enough to show that a trait is the cause."""
        if is_part(trait):
            runs = (run for report in isolated_reports for run in report.runs)
            work_ids = {run.work_id for run in runs if trait in traits_of(run)}
            return len(work_ids) >= self._policy.part_min_units_of_work
        count = self._count_crashes(isolated_reports)
        return count >= self._min_isolated_crashes(trait, isolated_reports)

    def _min_isolated_crashes(self, trait: str, isolated_reports: list[CrashReport]) -> int:
        """Return how many isolated crashes show that a trait is the cause."""
        if is_part(trait):
            return self._policy.part_min_units_of_work
        # A run under which its upstream crashes for another reason has mostly begun to produce
        # output, as it takes much longer than the time to its first output.
        weights = (self._weight(trait, report) for report in isolated_reports)
        return math.ceil(1 / max(weights, default=1.0))

    def _has_varying_concurrent_runs(self, trait: str, reports: list[CrashReport]) -> bool:
        """Whether runs meant to be isolated crashed upstreams with different concurrent runs.

        A crash counts if its other runs share no trait with those of the crashes counted before.
        Where owners do not respond, calls run without their permits, concurrently with isolated
        runs.
        """
        seen_concurrent: set[str] = set()
        work_ids: set[str] = set()
        crashes = 0
        found = [
            (self._concurrent_traits(trait, report), report)
            for report in reports
            if self._was_meant_to_be_isolated(trait, report)
        ]
        # The fewest first, which counts the most; the times of reports differ among VMs.
        found.sort(key=lambda item: (len(item[0]), item[1].report_id))
        for concurrent, report in found:
            if seen_concurrent.isdisjoint(concurrent):
                crashes += 1
                seen_concurrent.update(concurrent)
                work_ids.update(run.work_id for run in report.runs if trait in traits_of(run))
        return crashes >= self._policy.min_crashes and len(work_ids) >= self._min_units_of_work(
            trait
        )

    def _min_units_of_work(self, trait: str) -> int:
        return self._policy.part_min_units_of_work if is_part(trait) else 1

    def _is_proven(self, trait: str, traits: Collection[str]) -> bool:
        """Whether isolated crashes show that a trait is harmful in work with ``traits``.

        For a part, a crash is weak evidence if another suspected part was present that ``traits``
        lack; it is stronger if that was a different part each time.
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
        """Return the other suspected parts of runs with ``trait`` in a report."""
        runs = (run for run in report.runs if trait in traits_of(run))
        parts = {part for run in runs for part in run.parts if part != trait}
        return {part for part in parts if self._is_suspect(part, report.report_id)}

    def _is_suspect(self, trait: str, report_id: str) -> bool:
        """Whether a report counts against a trait, and is not the only one."""
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

    def _is_explained(self, trait: str, report: CrashReport, causes: Collection[str]) -> bool:
        """Whether a crash says nothing about a trait as one of ``causes`` was present.

        That concurrent work was harmful does not make a unit of work harmless: a completed run
        does.  Only a harmful part of its own explains a crash under it.
        """
        if not causes:
            return False
        runs: Iterable[CrashedRun] = self._runs_at(report)
        if not is_part(trait):
            runs = (run for run in runs if run.work_id == trait)
        return any(other in causes for run in runs for other in traits_of(run))

    def _was_isolated(self, trait: str, report: CrashReport) -> bool:
        """Whether only runs with a trait were at the upstream, by all reports of its crash.

        Runs that others had given up do not count: an upstream is emptied for an isolated run, so
        there are always some, and no cause would ever be certain.
        """
        return self._was_meant_to_be_isolated(trait, report) and not self._concurrent_traits(
            trait, report
        )

    def _was_meant_to_be_isolated(self, trait: str, report: CrashReport) -> bool:
        """Whether all runs with a trait were permitted as isolated runs."""
        return all(run.alone for run in self._runs_at(report) if trait in traits_of(run))

    def _concurrent_traits(self, trait: str, report: CrashReport) -> set[str]:
        """Return the traits of runs without ``trait`` that were at the upstream when it crashed."""
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
        """Return the reports about the crash that ``report`` is about, including itself."""
        others = (self._reports[name] for name in self._by_upstream[report.upstream_id])
        return [item for item in others if _number_of(item) == _number_of(report)]

    def _count_crashes(self, reports: list[CrashReport]) -> int:
        """Return the number of different crashes that the reports are about."""
        return len({(report.upstream_id, _number_of(report)) for report in reports})

    def _at_ms(self, report: CrashReport) -> float:
        return self._known_facts[report.report_id]

    def _drop(self, report_id: str) -> None:
        report = self._reports.pop(report_id)
        _discard(self._by_upstream, report.upstream_id, report_id)
        self._isolated_run_reports.discard(report_id)
        for run in report.runs:
            for trait in traits_of(run):
                _discard(self._by_trait, trait, report_id)
        self._causes = None


def _number_of(report: CrashReport) -> int:
    """Return the number of a report's crash; reports of earlier versions have none."""
    return max(report.crash_number, 1)


def _discard(sets: dict[str, set[str]], key: str, value: str) -> None:
    """Remove a value from a set in ``sets``, and the set itself once it is empty."""
    found = sets.get(key)
    if found is None:
        return
    found.discard(value)
    if not found:
        del sets[key]
