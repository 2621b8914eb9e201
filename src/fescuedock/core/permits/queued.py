"""One ask that waits in the queue of an upstream, the weights of members, and the order of batch.

The order of batch work is the same at the nodes that hold it and in the queues of owners.
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

# One batch grant in so many goes to overdue work, before all other batch.
OVERDUE_GRANT_INTERVAL = 8
# By so much has work missed its last chance to be on time when it counts as overdue.
_OVERDUE_LATENESS_MS = 2000.0

_STAGE_RANKS = {stage: number for number, stage in enumerate(BatchStage)}
# Customers take turns among work that can wait equally well: what another wait would make late goes
# before it, and what cannot be done in time behind it, whoever's it is.
_STAGE_GROUPS = {
    BatchStage.ENDANGERED: 0,
    BatchStage.BEGUN: 1,
    BatchStage.FRESH: 1,
    BatchStage.DOUBTFUL: 2,
    BatchStage.LATE: 3,
}


class MemberShares(msgspec.Struct, frozen=True):
    """The configured weight of each member; one that is not named weighs 1."""

    weights: Mapping[str, float] = msgspec.field(default_factory=dict)

    def weight(self, member: str) -> float:
        return self.weights.get(member, 1.0)


class WaitingRequest(msgspec.Struct, frozen=True):
    """One queued ask and the times by which it must be answered or becomes useless."""

    ask: PermitAsk
    arrived_ms: float
    answer_by_ms: float
    due_ms: float

    def is_late(self, now_ms: float) -> bool:
        """Whether starting it now no longer makes its answer good in time.

        Late asks go behind those that still can make it: first come, first served makes all of
        them late once there is more work than slots.
        """
        target_ms = self.ask.target_ms
        return target_ms != 0 and now_ms > self.arrived_ms + target_ms

    def sort_key(self, now_ms: float) -> tuple[int, float]:
        """Return what asks of one class and member are ordered by; the lower goes first."""
        if self.ask.work_class is WorkClass.BATCH:
            return batch_rank(self.ask.stage, self.ask.left_ms, self.due_ms)
        return int(self.is_late(now_ms)), self.start_by_ms

    def is_overdue(self, now_ms: float) -> bool:
        """Whether this is batch work that has turns of its own, see ``is_overdue``."""
        return self.ask.work_class is WorkClass.BATCH and is_overdue(
            self.ask.stage, self.due_ms - now_ms
        )

    @property
    def stage_group(self) -> int:
        """Return what asks of one class and priority are ordered by before customers take turns."""
        return stage_group(self.ask.stage) if self.ask.work_class is WorkClass.BATCH else 0

    def waited_ms(self, now_ms: float) -> float:
        """Return how long the work has waited, at other owners too."""
        return self.ask.waited_ms + now_ms - self.arrived_ms

    @property
    def needs_fair_order(self) -> bool:
        """Whether the ask names a customer or a priority, by which the order must go."""
        return bool(self.ask.member or self.ask.priority)

    @property
    def expected_starts(self) -> float:
        """Return the chance that this queue is the one that starts the work."""
        return 1.0 / max(self.ask.queues, 1)

    @property
    def start_by_ms(self) -> float:
        """Return the time by which an online ask has to start, or is lost.

        An online ask that has more slack than patience is as good as any other until then; putting
        the least slack first would put the longest answers first, and fewer would be whole in time.
        """
        if self.ask.target_ms > 0:
            return self.arrived_ms + self.ask.target_ms
        # An ask is made anew now and then, which must not cost a late one its place.
        return self.due_ms if self.ask.target_ms else min(self.answer_by_ms, self.due_ms)


def is_overdue(stage: BatchStage, slack_ms: float) -> bool:
    """Whether batch work is so late that it is not to be passed over any longer.

    What is late runs after all that can still be on time, which may never end.
    """
    return stage is BatchStage.LATE and slack_ms <= -_OVERDUE_LATENESS_MS


def stage_group(stage: BatchStage) -> int:
    """Return by what batch work is ordered before customers take turns; the lower goes first."""
    return _STAGE_GROUPS[stage]


def batch_rank(stage: BatchStage, left_ms: float, due_ms: float) -> tuple[int, float]:
    """Return what batch work is ordered by; the lower goes first and gives way last.

    Of what has begun the least that is left goes first.  Of what has not, the one that is due
    first; or, where that is doubtful, the one that is due last, which has the best chance.
    """
    match stage:
        case BatchStage.FRESH:
            order = due_ms
        case BatchStage.DOUBTFUL:
            order = -due_ms
        case _:
            order = left_ms
    return _STAGE_RANKS[stage], order
