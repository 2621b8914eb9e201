"""Tells what keeps the items of jobs from running, since when, and what will end that.

Pure: the caller passes the time.
"""

import enum
import math
from collections import Counter
from collections.abc import Iterable

import msgspec

from fescuedock.core.quarantine import Restriction, Verdict
from fescuedock.core.stored_jobs.job import ItemRun
from fescuedock.core.stored_jobs.work_gate import WorkRefusal

__all__ = ["HeldGroup", "HeldItem", "HeldItems", "Hold", "hold_of"]

# Wait of a group's item before its first line; each further line needs twice the wait.
_FIRST_REPORT_MS = 5000.0
# The same for a run, which ends by itself when its events stop.
_FIRST_RUN_REPORT_MS = 60_000.0
# Lines of one update; the groups that have waited longest come first, the others next time.
_MAX_REPORTS = 16


class Hold(enum.Enum):
    """What an item without a listed result waits for."""

    OWNER = "a node that claims its job"
    LOAD = "its job's data from the key-value service"
    JOB = "permission to begin work of its job"
    PAUSE = "the end of a pause after a run"
    CRASHES = "the end of a pause after crashes"
    ISOLATION = "an upstream without other runs"
    UPSTREAM = "an upstream of its service"
    PERMIT = "a permit of an upstream's owner"
    RUN = "the end of its run"
    COMMIT = "the commit of its result"


class HeldItem(msgspec.Struct, frozen=True):
    """An item, or a whole job with ``count`` items, and what it waits for.

    ``since_ms`` is when it last ran, or when its job started at this node.  ``ends_in_ms`` is
    infinite when the wait ends with an event and not at a known time.
    """

    job_id: str
    item_id: str
    hold: Hold
    since_ms: float
    reason: str = ""
    ends_in_ms: float = math.inf
    count: int = 1


class HeldGroup(msgspec.Struct, frozen=True):
    """The items of a job that wait for the same; ``item`` is the one that has waited longest.

    ``waited_ms`` is the time since it last ran, ``held_ms`` how long it has waited for this.
    """

    item: HeldItem
    count: int
    waited_ms: float
    held_ms: float


def hold_of(
    job_id: str,
    run: ItemRun,
    started_ms: float,
    now_ms: float,
    *,
    refusal: WorkRefusal | None,
    verdict: Verdict,
    has_upstream: bool,
) -> HeldItem:
    """Return what an open item of a job that started here at ``started_ms`` waits for."""
    since_ms = run.ended_ms or started_ms
    hold, reason, ends_in_ms = Hold.PERMIT, "", math.inf
    if run.running:
        hold, since_ms = Hold.RUN, run.started_ms
    elif refusal is not None:
        hold, reason = Hold.JOB, refusal.value
    elif not has_upstream:
        hold = Hold.UPSTREAM
    elif verdict.restriction in (Restriction.REFUSED, Restriction.UNSETTLED):
        hold, reason, ends_in_ms = Hold.CRASHES, verdict.trait, verdict.retry_after_ms
    elif run.not_before_ms > now_ms:
        hold, ends_in_ms = Hold.PAUSE, run.not_before_ms - now_ms
    elif verdict.restriction is Restriction.ALONE:
        hold, reason = Hold.ISOLATION, verdict.trait
    return HeldItem(job_id, run.item.item_id, hold, since_ms, reason, ends_in_ms)


class HeldItems:
    """The held items of a node's jobs, as of the last update."""

    __slots__ = ("_held_since_ms", "_reported_ms", "counts", "longest_ms")

    def __init__(self) -> None:
        self.counts: Counter[Hold] = Counter()
        # Longest wait of an item by what it waits for now.
        self.longest_ms: dict[Hold, float] = {}
        # By job and item, what it waits for and since when.
        self._held_since_ms: dict[tuple[str, str], tuple[Hold, float]] = {}
        # By job and hold, the wait at the last line.
        self._reported_ms: dict[tuple[str, Hold], float] = {}

    def update(self, items: Iterable[HeldItem], now_ms: float) -> list[HeldGroup]:
        """Replace the held items; return the groups that are worth a line now."""
        held_since_ms: dict[tuple[str, str], tuple[Hold, float]] = {}
        longest: dict[tuple[str, Hold], HeldItem] = {}
        counts: Counter[tuple[str, Hold]] = Counter()
        for item in items:
            name, group = (item.job_id, item.item_id), (item.job_id, item.hold)
            hold, _ = known = self._held_since_ms.get(name, (item.hold, now_ms))
            held_since_ms[name] = known if hold is item.hold else (item.hold, now_ms)
            counts[group] += item.count
            if group not in longest or item.since_ms < longest[group].since_ms:
                longest[group] = item
        self._held_since_ms = held_since_ms
        groups = [
            HeldGroup(
                item,
                counts[group],
                now_ms - item.since_ms,
                now_ms - held_since_ms[item.job_id, item.item_id][1],
            )
            for group, item in longest.items()
        ]
        self._count(groups)
        return self._worth_reporting(groups)

    def _count(self, groups: list[HeldGroup]) -> None:
        self.counts = Counter()
        self.longest_ms = {}
        for group in groups:
            hold = group.item.hold
            self.counts[hold] += group.count
            self.longest_ms[hold] = max(self.longest_ms.get(hold, 0.0), group.waited_ms)

    def _worth_reporting(self, groups: list[HeldGroup]) -> list[HeldGroup]:
        """Return the groups whose wait has reached the next limit, the longest first."""
        former, self._reported_ms = self._reported_ms, {}
        due: list[HeldGroup] = []
        for group in groups:
            name = (group.item.job_id, group.item.hold)
            reported_ms = former.get(name, 0.0)
            if reported_ms <= group.waited_ms:
                self._reported_ms[name] = reported_ms
            is_run = group.item.hold is Hold.RUN
            first_ms = _FIRST_RUN_REPORT_MS if is_run else _FIRST_REPORT_MS
            if group.waited_ms >= max(first_ms, 2 * self._reported_ms.get(name, 0.0)):
                due.append(group)
        due.sort(key=lambda group: -group.waited_ms)
        for group in due[:_MAX_REPORTS]:
            self._reported_ms[group.item.job_id, group.item.hold] = group.waited_ms
        return due[:_MAX_REPORTS]
