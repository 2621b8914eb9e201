"""One queued permit request, the members' weights, and the order of batch work.

Batch work has the same order at the nodes that hold it and in the queues of owners.
"""

from collections.abc import Mapping

import msgspec

from fescuedock.schema.permits import BatchStage, PermitAsk, WorkClass

__all__ = [
    "OVERDUE_GRANT_INTERVAL",
    "MemberShares",
    "WaitingRequest",
    "batch_rank",
    "is_overdue",
    "stage_group",
]

# One in this many batch grants goes to overdue work, before all other batch.
OVERDUE_GRANT_INTERVAL = 8
# Batch work is overdue once it has missed its latest start for a timely end by this much.
_OVERDUE_LATENESS_MS = 2000.0

_STAGE_RANKS = {stage: number for number, stage in enumerate(BatchStage)}
# Fair queueing between customers applies within a group.  Work that another wait would make late
# goes before the others, and work that cannot be done in time after them, whichever customer it
# belongs to.
_STAGE_GROUPS = {
    BatchStage.ENDANGERED: 0,
    BatchStage.BEGUN: 1,
    BatchStage.FRESH: 1,
    BatchStage.DOUBTFUL: 2,
    BatchStage.LATE: 3,
}


class MemberShares(msgspec.Struct, frozen=True):
    """The configured weight of each member; the default is 1."""

    weights: Mapping[str, float] = msgspec.field(default_factory=dict)

    def weight(self, member: str) -> float:
        return self.weights.get(member, 1.0)


class WaitingRequest(msgspec.Struct, frozen=True):
    """One queued request with the times by which it must be answered or becomes useless."""

    request: PermitAsk
    arrived_ms: float
    answer_by_ms: float
    due_ms: float

    def is_late(self, now_ms: float) -> bool:
        """Whether a start now is too late for a timely answer.

        Late requests go behind those that can still be on time: with more work than slots, first
        come, first served would make all of them late.
        """
        target_ms = self.request.target_ms
        return target_ms != 0 and now_ms > self.arrived_ms + target_ms

    def sort_key(self, now_ms: float) -> tuple[int, float]:
        """Return the sort key among requests of one class and member; lower goes first."""
        if self.request.work_class is WorkClass.BATCH:
            return batch_rank(self.request.stage, self.request.left_ms, self.due_ms)
        return int(self.is_late(now_ms)), self.start_by_ms

    def is_overdue(self, now_ms: float) -> bool:
        """Whether this is batch work with a reserved share of the grants, see ``is_overdue``."""
        return self.request.work_class is WorkClass.BATCH and is_overdue(
            self.request.stage, self.due_ms - now_ms
        )

    @property
    def stage_group(self) -> int:
        """Sort key within one class and priority that precedes fair queueing between customers."""
        return stage_group(self.request.stage) if self.request.work_class is WorkClass.BATCH else 0

    def waited_ms(self, now_ms: float) -> float:
        """Return how long the work has waited, including at other owners."""
        return self.request.waited_ms + now_ms - self.arrived_ms

    @property
    def needs_fair_order(self) -> bool:
        """Whether the request names a customer or a priority, which then determines the order."""
        return bool(self.request.member or self.request.priority)

    @property
    def expected_starts(self) -> float:
        """Probability that the work starts from this queue, as it may wait in several."""
        return 1.0 / max(self.request.queues, 1)

    @property
    def start_by_ms(self) -> float:
        """Time by which an online request must start.

        Until then, a request with more slack than patience is as good as any other.  Ordering by
        slack would favour the longest answers, and fewer would be complete in time.
        """
        if self.request.target_ms > 0:
            return self.arrived_ms + self.request.target_ms
        # Holders repeat a request from time to time, which must not cost a late one its position.
        return self.due_ms if self.request.target_ms else min(self.answer_by_ms, self.due_ms)


def is_overdue(stage: BatchStage, slack_ms: float) -> bool:
    """Whether batch work is so late that it must not be passed over any longer.

    Late work runs after all work that can still be on time, which may never run out.
    """
    return stage is BatchStage.LATE and slack_ms <= -_OVERDUE_LATENESS_MS


def stage_group(stage: BatchStage) -> int:
    """Return the sort key of a batch stage that precedes fair queueing; lower goes first."""
    return _STAGE_GROUPS[stage]


def batch_rank(stage: BatchStage, left_ms: float, due_ms: float) -> tuple[int, float]:
    """Return the sort key of batch work; lower is granted first and revoked last.

    Work that has begun is ordered by its remaining run time.  Work that has not is ordered by its
    due time; if it may miss that, the latest due time goes first as it has the best chance.
    """
    match stage:
        case BatchStage.FRESH:
            order = due_ms
        case BatchStage.DOUBTFUL:
            order = -due_ms
        case _:
            order = left_ms
    return _STAGE_RANKS[stage], order
