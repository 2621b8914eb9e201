"""The order of asks of one class that come from several customers or have priorities.

What is most urgent by priority goes first; among those, batch work that can wait less; then
customers take turns by virtual time; where these are equal, a customer that runs less goes first,
and then what must start soonest.

Pure: the caller passes the time.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from fescuedock.core.permits.fair_shares import FairShares
from fescuedock.core.permits.priority import OVERDUE_MS, BoundedPreference, urgency_of
from fescuedock.core.permits.queued import MemberShares, WaitingRequest
from fescuedock.core.permits.refusals import RefusedWork

__all__ = ["FairOrder", "excess_use"]

# One grant in so many goes to work that a more urgent priority has kept waiting.
_OVERDUE_GRANT_INTERVAL = 8
# One grant in so many goes to work that returns after a refusal, before other work that is equal.
_RETRIED_GRANT_INTERVAL = 2


class FairOrder(msgspec.Struct):
    """What is kept of the customers of one class of work at one upstream."""

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
        """Return ``asks``, next first; ``running`` gives what a member runs now."""
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
            # Positions differ, so that asks themselves are never compared.
            share_rank = (tag, over[ask.member], item is not returned)
            ranked.append((urgency, item.stage_group, share_rank, position, item))
        ranked.sort()
        return [rank[-1] for rank in ranked]

    def record_grant(self, waiting: WaitingRequest, weight: float, now_ms: float) -> float:
        """Take in that an ask is granted while others wait; return the cost it is charged."""
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
        """Return the ask whose turn it is after it has waited too long."""
        if not self.overdue.is_due:
            return None
        # Asks are in the order of priorities.  Among equals nobody is kept waiting by another.
        most_urgent = asks[0].ask.priority
        waiting = [
            item
            for item in asks
            if item.ask.priority > most_urgent and item.waited_ms(now_ms) >= OVERDUE_MS
        ]
        return max(waiting, key=lambda item: item.waited_ms(now_ms), default=None)

    def _first_retried(self, asks: Iterable[WaitingRequest]) -> WaitingRequest | None:
        """Return the ask whose turn it is as it came back after a refusal."""
        if not self.retried.is_due or not len(self.refused):
            return None
        return next((item for item in asks if item.ask.work_id in self.refused), None)


def excess_use(
    members: Iterable[str], weights: MemberShares, running: Callable[[str], int]
) -> dict[str, float]:
    """Return by how much each member runs more than its share of what all of them run."""
    used = {member: running(member) for member in members}
    total_used = sum(used.values())
    total_weight = sum(weights.weight(member) for member in used)
    return {
        member: max(count / weights.weight(member) - total_used / total_weight, 0.0)
        for member, count in used.items()
    }
