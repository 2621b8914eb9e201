"""The order of requests of one class that name customers or priorities.

Requests are ordered by priority; for batch work, then by how well its deadline allows it to wait;
then by the virtual time of fair queueing between customers.  Ties go to the customer that exceeds
its share least, and then to the request that must start soonest.

Pure: the caller passes the time.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from fescuedock.core.permits.fair_shares import FairShares
from fescuedock.core.permits.priority import OVERDUE_MS, BoundedPreference, urgency_of
from fescuedock.core.permits.queued import MemberShares, WaitingRequest
from fescuedock.core.permits.refusals import RefusedWork

__all__ = ["FairOrder", "excess_use"]

# One in this many grants goes to work that has been kept waiting by a more urgent priority.
_OVERDUE_GRANT_INTERVAL = 8
# One in this many grants goes to work that is retried after a refusal, before otherwise equal work.
_RETRIED_GRANT_INTERVAL = 2


class FairOrder(msgspec.Struct):
    """Fair-queueing state of the customers of one work class at one upstream."""

    shares: FairShares = msgspec.field(default_factory=FairShares)
    overdue: BoundedPreference = msgspec.field(
        default_factory=lambda: BoundedPreference(_OVERDUE_GRANT_INTERVAL)
    )
    retried: BoundedPreference = msgspec.field(
        default_factory=lambda: BoundedPreference(_RETRIED_GRANT_INTERVAL)
    )
    refused: RefusedWork = msgspec.field(default_factory=RefusedWork)

    def in_order(
        self,
        asks: Iterable[WaitingRequest],
        weights: MemberShares,
        running: Callable[[str], int],
        now_ms: float,
    ) -> list[WaitingRequest]:
        """Return ``asks``, next first; ``running`` gives a member's number of running attempts."""
        asks = sorted(asks, key=lambda item: (item.ask.priority, *item.sort_key(now_ms)))
        over = excess_use({item.ask.member for item in asks}, weights, running)
        overdue = self._first_overdue(asks, now_ms)
        returned = self._first_retried(asks)
        tags: dict[str, float] = {}
        ranked = []
        for position, item in enumerate(asks):
            ask = item.ask
            tag = tags.get(ask.member)
            if tag is None:
                tag = self.shares.start(ask.member)
            cost = self.shares.cost(ask.prompt_tokens, ask.max_tokens)
            tags[ask.member] = tag + cost / weights.weight(ask.member)
            urgency = urgency_of(
                ask.priority, item.waited_ms(now_ms), overdue_first=item is overdue
            )
            # Positions are unique, so the requests themselves are never compared.
            share_rank = (tag, over[ask.member], item is not returned)
            ranked.append((urgency, item.stage_group, share_rank, position, item))
        ranked.sort()
        return [rank[-1] for rank in ranked]

    def record_grant(self, waiting: WaitingRequest, weight: float, now_ms: float) -> float:
        """Record the grant of a request while others wait; return the cost charged for it."""
        ask = waiting.ask
        is_overdue = ask.priority > 0 and waiting.waited_ms(now_ms) >= OVERDUE_MS
        self.overdue.record_grant(preferred=is_overdue)
        self.retried.record_grant(preferred=ask.work_id in self.refused)
        self.refused.discard(ask.work_id)
        cost = self.shares.cost(ask.prompt_tokens, ask.max_tokens)
        self.shares.charge(ask.member, cost, weight, now_ms)
        return cost

    def _first_overdue(
        self, asks: Sequence[WaitingRequest], now_ms: float
    ) -> WaitingRequest | None:
        """Return the overdue request to grant next, or None while none is due a grant."""
        if not self.overdue.is_due:
            return None
        # Requests are sorted by priority.  Work of the most urgent waiting priority is not held up
        # by a more urgent one.
        most_urgent = asks[0].ask.priority
        waiting = [
            item
            for item in asks
            if item.ask.priority > most_urgent and item.waited_ms(now_ms) >= OVERDUE_MS
        ]
        return max(waiting, key=lambda item: item.waited_ms(now_ms), default=None)

    def _first_retried(self, asks: Iterable[WaitingRequest]) -> WaitingRequest | None:
        """Return the request to prefer because it was refused before, or None."""
        if not self.retried.is_due or not len(self.refused):
            return None
        return next((item for item in asks if item.ask.work_id in self.refused), None)


def excess_use(
    members: Iterable[str], weights: MemberShares, running: Callable[[str], int]
) -> dict[str, float]:
    """Return by how much each member exceeds its share of all running attempts."""
    used = {member: running(member) for member in members}
    total_used = sum(used.values())
    total_weight = sum(weights.weight(member) for member in used)
    return {
        member: max(count / weights.weight(member) - total_used / total_weight, 0.0)
        for member, count in used.items()
    }
