"""The asks that wait for one upstream, ordered by class, member share and slack."""

from collections.abc import Callable, Iterator, Mapping

import msgspec

from fescuedock.core.permits.batch_order import batch_rank
from fescuedock.schema.permits import PermitAsk, WorkClass

__all__ = ["MemberShares", "Waiting", "WaitingAsks"]


class MemberShares(msgspec.Struct, frozen=True):
    """The configured weight of each member; one that is not named weighs 1."""

    weights: Mapping[str, float] = msgspec.field(default_factory=dict)

    def weight(self, member: str) -> float:
        return self.weights.get(member, 1.0)


class Waiting(msgspec.Struct, frozen=True):
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

    def order(self, now_ms: float) -> tuple[int, float]:
        """Return what asks of one class and member are ordered by; the lower goes first."""
        if self.ask.work_class is WorkClass.BATCH:
            return batch_rank(self.ask.stage, self.ask.left_ms, self.due_ms)
        return int(self.is_late(now_ms)), self.start_by_ms

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


class WaitingAsks(msgspec.Struct):
    """A queue of one upstream.  Online always goes before batch.

    Within a class, members that run less than their share go first, so that one member's backlog
    cannot hold up another's; among those, what must start soonest goes first.
    """

    shares: MemberShares
    # Of them, those that are to run with nothing beside them.
    alone: int = 0
    _by_attempt: dict[str, Waiting] = msgspec.field(default_factory=dict)
    _counts: dict[WorkClass, int] = msgspec.field(
        default_factory=lambda: dict.fromkeys(WorkClass, 0)
    )

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._by_attempt

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self._by_attempt.values())

    def count(self, work_class: WorkClass) -> int:
        return self._counts[work_class]

    def alone_in_order(self) -> list[Waiting]:
        """Return the asks to run alone, next first: online before batch, as they came."""
        asks = [item for item in self._by_attempt.values() if item.ask.alone]
        asks.sort(key=lambda item: (item.ask.work_class is WorkClass.BATCH, item.arrived_ms))
        return asks

    def online_share(self) -> float:
        """Return how many of the online asks will start here, as some wait elsewhere too."""
        return sum(
            item.expected_starts
            for item in self._by_attempt.values()
            if item.ask.work_class is WorkClass.ONLINE
        )

    def add(self, waiting: Waiting) -> None:
        self._by_attempt[waiting.ask.attempt_id] = waiting
        self._counts[waiting.ask.work_class] += 1
        self.alone += waiting.ask.alone

    def remove(self, attempt_id: str) -> Waiting | None:
        waiting = self._by_attempt.pop(attempt_id, None)
        if waiting is not None:
            self._counts[waiting.ask.work_class] -= 1
            self.alone -= waiting.ask.alone
        return waiting

    def in_order(
        self, work_class: WorkClass, running: Callable[[str], int], now_ms: float
    ) -> list[Waiting]:
        """Return the asks of ``work_class``, next first.

        ``running`` gives the attempts of a member that run now.
        """
        asks = [item for item in self._by_attempt.values() if item.ask.work_class is work_class]
        used = {member: running(member) for member in {item.ask.member for item in asks}}
        total_used = sum(used.values())
        total_weight = sum(self.shares.weight(member) for member in used)

        def rank(item: Waiting) -> tuple[float, int, float]:
            member = item.ask.member
            fair = total_used * self.shares.weight(member) / total_weight
            over = max(used[member] - fair, 0.0)
            return (over / self.shares.weight(member), *item.order(now_ms))

        return sorted(asks, key=rank)

    def over_share(self, member: str, running: Callable[[str], int]) -> bool:
        """Whether ``member`` runs more than its share while another member waits."""
        members = {item.ask.member for item in self._by_attempt.values()} | {member}
        if len(members) < 2:
            return False
        total = sum(running(name) for name in members)
        weight = sum(self.shares.weight(name) for name in members)
        return running(member) > total * self.shares.weight(member) / weight
