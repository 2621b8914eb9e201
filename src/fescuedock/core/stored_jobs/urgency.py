"""Ranks the items of all jobs by urgency, at their node and in the queues of owners.

Under overload, earliest-deadline-first makes every job late: all items progress and none completes.
Therefore begun items are finished first, those with the least time left before others, and new
items start only if they can still complete in time at the measured run share: online calls preempt
slots, and an item may wait as long as it runs.

Pure: the caller passes the time.
"""

from collections.abc import Iterable

import msgspec

from fescuedock.core.permits.queued import batch_rank, is_overdue
from fescuedock.core.stored_jobs.job import ItemRun, StoredJob
from fescuedock.core.stored_jobs.run_estimates import RunEstimate, RunShare
from fescuedock.schema.permits import BatchStage

__all__ = ["ItemChoice", "rank_items", "stage_of"]


class ItemChoice(msgspec.Struct, frozen=True):
    """An item that may run next, and its urgency relative to its job's due time.

    ``slack_ms`` is the time for which the item may still wait if its run is not interrupted, below
    0 when it will be late in any case; ``left_ms`` is its remaining run time.
    """

    job: StoredJob
    run: ItemRun
    stage: BatchStage
    slack_ms: float
    left_ms: float
    # Since the item's last run, or since its job was submitted.
    waited_ms: float = 0.0

    @property
    def is_overdue(self) -> bool:
        """Whether it gets the slots reserved for overdue items in the queues of owners."""
        return is_overdue(self.stage, self.slack_ms)

    def rank(self) -> tuple[int, float]:
        """Return the sort key of this item; lower keys run first."""
        return batch_rank(self.stage, self.left_ms, self.job.due_ms)


def rank_items(
    jobs: Iterable[StoredJob],
    upstream_id: str,
    estimate: RunEstimate,
    run_share: RunShare,
    now_ms: float,
    software_version: str | None = None,
) -> list[ItemChoice]:
    """Return the items that could start at an upstream now, the next one first.

    Items that failed at the upstream come last.  If the upstream's ``software_version`` is given,
    items that would restart there from the beginning count with their full run time.
    """
    choices = [
        _choice(job, run, estimate, run_share, now_ms, software_version)
        for job in jobs
        for run in job.ready_items(now_ms)
    ]
    choices.sort(key=lambda choice: (upstream_id in choice.run.avoided, *choice.rank()))
    return choices


def _choice(
    job: StoredJob,
    run: ItemRun,
    estimate: RunEstimate,
    run_share: RunShare,
    now_ms: float,
    software_version: str | None,
) -> ItemChoice:
    resumes = software_version is None or run.accepts_version(software_version)
    events_done = run.last_event + 1 if resumes else 0
    left_ms = estimate.left_ms(events_done)
    until_due_ms = job.due_ms - now_ms
    stage = stage_of(until_due_ms, left_ms, run_share.share, begun=events_done > 0)
    since_ms = run.ended_ms or job.due_ms - job.record.due_in_ms
    return ItemChoice(job, run, stage, until_due_ms - left_ms, left_ms, now_ms - since_ms)


def stage_of(until_due_ms: float, left_ms: float, run_share: float, *, begun: bool) -> BatchStage:
    """Return the stage of an item from the time until it is due and its remaining run time.

    ``run_share`` is the share of time that items are running once they have begun.
    """
    if until_due_ms < left_ms:
        return BatchStage.LATE
    is_safe = until_due_ms * run_share >= left_ms
    if begun:
        return BatchStage.BEGUN if is_safe else BatchStage.ENDANGERED
    return BatchStage.FRESH if is_safe else BatchStage.DOUBTFUL
