"""Which item of all jobs runs next, and how urgent it is among the items of other nodes.

More work than slots makes every job late when what is due first always goes first: all items get
on, none gets done.  So what has begun is finished first, the least that is left before more, and
new items begin only where they can still be done at the pace that items really make: online takes
slots away in between, and an item waits as long as it runs.

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
    """An item that may run next, and how it stands against the time when its job is due.

    ``slack_ms`` is the time it may still wait if nothing interrupts it, below 0 when it is late
    anyway; ``left_ms`` how long it still has to run.
    """

    job: StoredJob
    run: ItemRun
    stage: BatchStage
    slack_ms: float
    left_ms: float
    # Since the item last ran, or since its job came.
    waited_ms: float = 0.0

    @property
    def is_overdue(self) -> bool:
        """Whether it has turns of its own in the queues of owners."""
        return is_overdue(self.stage, self.slack_ms)

    def rank(self) -> tuple[int, float]:
        """Return what this item is ordered by among items; the lower goes first."""
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

    Items go back to an upstream that failed them only when no other may start.  With the
    upstream's ``software_version``, what would begin anew there has all of its run left.
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
    goes_on = software_version is None or run.accepts_version(software_version)
    events_done = run.last_event + 1 if goes_on else 0
    left_ms = estimate.left_ms(events_done)
    time_ms = job.due_ms - now_ms
    stage = stage_of(time_ms, left_ms, run_share.share, begun=events_done > 0)
    since_ms = run.ended_ms or job.due_ms - job.record.due_in_ms
    return ItemChoice(job, run, stage, time_ms - left_ms, left_ms, now_ms - since_ms)


def stage_of(time_ms: float, left_ms: float, run_share: float, *, begun: bool) -> BatchStage:
    """Return how an item stands that is due in ``time_ms`` and has to run for ``left_ms``.

    ``run_share`` is the share of the time that items run once they have begun.
    """
    if time_ms < left_ms:
        return BatchStage.LATE
    is_safe = time_ms * run_share >= left_ms
    if begun:
        return BatchStage.BEGUN if is_safe else BatchStage.ENDANGERED
    return BatchStage.FRESH if is_safe else BatchStage.DOUBTFUL
