"""Whether a piece of work may run, by the upstreams that ended while they ran it.

When an upstream ends, each work that ran there may be the cause, and most are not.  What comes
again and is there again becomes a suspect and runs alone; what then ends an upstream is the cause
and is refused.  A work that has run to its end is not.

Evidence is a set of facts about incarnations of upstreams, so it may be heard of in any order, more
than once and from anywhere: all who know the same facts decide the same.

Pure: the caller passes the time, which is Unix time, as reports outlive processes.
"""

import enum
from collections import defaultdict

import msgspec

from fescuedock.schema.crashes import CrashReport, WorkCleared

__all__ = ["FREE", "Quarantine", "QuarantinePolicy", "Standing", "Verdict"]


class Standing(enum.Enum):
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
    ``alone_from`` on a work runs alone, so that it ends nobody else's runs and its innocence shows.
    One that has been there in ``enough`` crashes, and was alone in one, is refused.

    A refused work gets another chance, alone, when the next of ``pauses_ms`` has passed since its
    last crash, as that may have been chance; after these it is refused until it is forgotten.
    Evidence is forgotten after ``kept_ms``, and the oldest first beyond ``most_reports``.

    Reports of one upstream within ``same_end_ms`` are about the same end: an upstream may keep its
    identity over restarts, and takes longer to come back.  As long a work that seems to have been
    alone is neither run nor refused: others that ran there may be reported in the meantime.
    """

    begun_weight: float = 0.5
    alone_from: float = 2.0
    enough: int = 3
    pauses_ms: tuple[float, ...] = (600_000.0, 3_600_000.0)
    kept_ms: float = 86_400_000.0
    most_reports: int = 4000
    same_end_ms: float = 500.0


class Verdict(msgspec.Struct, frozen=True):
    """How a work may run.

    ``retry_after_ms`` is the time until a refused one may come again, or until it is settled.
    """

    standing: Standing
    crashes: int = 0
    retry_after_ms: float = 0.0


FREE = Verdict(Standing.FREE)


class Quarantine:
    """What is known of works that were running when upstreams ended."""

    __slots__ = ("_by_upstream", "_by_work", "_cleared", "_policy", "_reports", "_seen")

    def __init__(self, policy: QuarantinePolicy | None = None) -> None:
        self._policy = policy or QuarantinePolicy()
        self._reports: dict[str, CrashReport] = {}
        # Identities of reports, by upstream; and by work, those that speak against it.
        self._by_upstream: defaultdict[str, set[str]] = defaultdict(set)
        self._by_work: defaultdict[str, set[str]] = defaultdict(set)
        # Works and reports that say nothing against them, with when that was found out.
        self._cleared: dict[tuple[str, str], float] = {}
        # Whatever was taken, with its time.
        self._seen: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known against any work."""
        return not self._by_work

    def note(self, fact: CrashReport | WorkCleared) -> bool:
        """Take a fact; False for one that is known."""
        return self.note_crash(fact) if isinstance(fact, CrashReport) else self.note_cleared(fact)

    def note_crash(self, report: CrashReport) -> bool:
        """Take a report of an upstream's end; False for one that is known."""
        if report.report_id in self._seen:
            return False
        self._seen[report.report_id] = report.at_ms
        self._reports[report.report_id] = report
        self._by_upstream[report.upstream_id].add(report.report_id)
        for run in report.runs:
            if (run.work_id, report.report_id) not in self._cleared:
                self._by_work[run.work_id].add(report.report_id)
        while len(self._reports) > self._policy.most_reports:
            self._drop(min(self._reports, key=lambda name: self._reports[name].at_ms))
        return True

    def note_cleared(self, cleared: WorkCleared) -> bool:
        """Take word that a work was not the cause of some ends; False when that is known."""
        if cleared.report_id in self._seen:
            return False
        self._seen[cleared.report_id] = cleared.at_ms
        for report_id in cleared.void_report_ids:
            self._cleared[cleared.work_id, report_id] = cleared.at_ms
            _discard(self._by_work, cleared.work_id, report_id)
        return True

    def knows(self, report_id: str) -> bool:
        """Whether a report was taken and has not been forgotten."""
        return report_id in self._seen

    def has_ended_since(self, upstream_id: str, since_ms: float) -> bool:
        """Whether an upstream is known to have ended after ``since_ms``."""
        names = self._by_upstream.get(upstream_id, ())
        return any(self._reports[name].at_ms >= since_ms for name in names)

    def suspects(self, work_id: str) -> bool:
        """Whether anything is known against a work."""
        return work_id in self._by_work

    def reports_against(self, work_id: str) -> list[str]:
        """Return the identities of the reports that speak against a work."""
        return sorted(self._by_work.get(work_id, ()))

    def verdict(self, work_id: str, now_ms: float) -> Verdict:
        """Return how a work may run now."""
        if work_id not in self._by_work:
            return FREE
        reports = self._reports_against(work_id)
        crashes = self._count_ends(reports)
        if self._is_cause(work_id):
            return self._verdict_on_cause(work_id, reports, crashes, now_ms)
        weight = sum(
            self._weight(work_id, report) for report in reports if not self._is_explained(report)
        )
        standing = Standing.ALONE if weight >= self._policy.alone_from else Standing.FREE
        return Verdict(standing, crashes)

    def is_forgotten(self, at_ms: float, now_ms: float) -> bool:
        """Whether what was found out at ``at_ms`` is too old to count."""
        return at_ms < now_ms - self._policy.kept_ms

    def forget(self, now_ms: float) -> None:
        """Drop what is too old to count."""
        reports = list(self._reports.items())
        for name in [name for name, report in reports if self.is_forgotten(report.at_ms, now_ms)]:
            self._drop(name)
        for known in (self._cleared, self._seen):
            for key in [key for key, at_ms in known.items() if self.is_forgotten(at_ms, now_ms)]:
                del known[key]

    def _verdict_on_cause(
        self, work_id: str, reports: list[CrashReport], crashes: int, now_ms: float
    ) -> Verdict:
        pauses_ms = self._policy.pauses_ms
        by_itself = [item for item in reports if self._was_alone(work_id, item)]
        unsettled_ms = max(item.at_ms for item in by_itself) + self._policy.same_end_ms - now_ms
        if unsettled_ms > 0:
            return Verdict(Standing.UNSETTLED, crashes, unsettled_ms)
        chances = self._count_ends(by_itself)
        pause_ms = pauses_ms[chances - 1] if chances <= len(pauses_ms) else self._policy.kept_ms
        left_ms = max(report.at_ms for report in reports) + pause_ms - now_ms
        if left_ms <= 0:
            return Verdict(Standing.ALONE, crashes)
        return Verdict(Standing.REFUSED, crashes, left_ms)

    def _is_cause(self, work_id: str) -> bool:
        """Whether a work has ended upstreams often enough, one of them certainly by itself."""
        if len(self._by_work.get(work_id, ())) < self._policy.enough:
            return False
        reports = self._reports_against(work_id)
        if self._count_ends(reports) < self._policy.enough:
            return False
        return any(self._was_alone(work_id, report) for report in reports)

    def _is_explained(self, report: CrashReport) -> bool:
        """Whether a work took part in an end that is known to be a cause."""
        works = {run.work_id for item in self._same_end(report) for run in item.runs}
        return any(self._is_cause(work_id) for work_id in works)

    def _was_alone(self, work_id: str, report: CrashReport) -> bool:
        """Whether nothing else ran at the upstream, by all that is known of its end.

        What others had given up does not count: an upstream is emptied for a run alone, so there
        always is some, and with it no cause would ever be known for certain.
        """
        runs = [run for item in self._same_end(report) for run in item.runs]
        own = [run for run in runs if run.work_id == work_id]
        others = [run for run in runs if run.work_id != work_id]
        return all(run.alone for run in own) and all(run.given_up for run in others)

    def _weight(self, work_id: str, report: CrashReport) -> float:
        begun = all(run.begun for run in report.runs if run.work_id == work_id)
        return self._policy.begun_weight if begun else 1.0

    def _reports_against(self, work_id: str) -> list[CrashReport]:
        return [self._reports[name] for name in self._by_work.get(work_id, ())]

    def _same_end(self, report: CrashReport) -> list[CrashReport]:
        """Return the reports of the end that ``report`` is about, itself among them."""
        others = (self._reports[name] for name in self._by_upstream[report.upstream_id])
        window_ms = self._policy.same_end_ms
        return [item for item in others if abs(item.at_ms - report.at_ms) <= window_ms]

    def _count_ends(self, reports: list[CrashReport]) -> int:
        """Count the ends of upstreams that the reports are about."""
        count = 0
        last: CrashReport | None = None
        for report in sorted(reports, key=lambda item: (item.upstream_id, item.at_ms)):
            is_new = last is None or last.upstream_id != report.upstream_id
            if is_new or report.at_ms - last.at_ms > self._policy.same_end_ms:
                count += 1
            last = report
        return count

    def _drop(self, report_id: str) -> None:
        report = self._reports.pop(report_id)
        _discard(self._by_upstream, report.upstream_id, report_id)
        for run in report.runs:
            _discard(self._by_work, run.work_id, report_id)


def _discard(sets: dict[str, set[str]], key: str, value: str) -> None:
    """Take a value out of a set, and out of ``sets`` a set that is empty by it."""
    found = sets.get(key)
    if found is None:
        return
    found.discard(value)
    if not found:
        del sets[key]
