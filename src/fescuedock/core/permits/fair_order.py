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

# One in this many grants goes to work that waits behind a more urgent priority.
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
        requests: Iterable[WaitingRequest],
        weights: MemberShares,
        running: Callable[[str], int],
        now_ms: float,
    ) -> list[WaitingRequest]:
        """Return ``requests``, next first; ``running`` gives a member's running attempts."""
        requests = sorted(
            requests, key=lambda item: (item.request.priority, *item.sort_key(now_ms))
        )
        over = excess_use({item.request.member for item in requests}, weights, running)
        overdue = self._first_overdue(requests, now_ms)
        retried = self._first_retried(requests)
        tags: dict[str, float] = {}
        ranked = []
        for position, item in enumerate(requests):
            request = item.request
            tag = tags.get(request.member)
            if tag is None:
                tag = self.shares.start(request.member)
            cost = self.shares.cost(request.prompt_tokens, request.max_tokens)
            tags[request.member] = tag + cost / weights.weight(request.member)
            urgency = urgency_of(
                request.priority, item.waited_ms(now_ms), overdue_first=item is overdue
            )
            # Positions are unique, so the requests themselves are never compared.
            share_rank = (tag, over[request.member], item is not retried)
            ranked.append((urgency, item.stage_group, share_rank, position, item))
        ranked.sort()
        return [rank[-1] for rank in ranked]

    def record_grant(self, waiting: WaitingRequest, weight: float, now_ms: float) -> float:
        """Record the grant of a request while others wait; return the cost charged for it."""
        request = waiting.request
        is_overdue = request.priority > 0 and waiting.waited_ms(now_ms) >= OVERDUE_MS
        self.overdue.record_grant(preferred=is_overdue)
        self.retried.record_grant(preferred=request.work_id in self.refused)
        self.refused.discard(request.work_id)
        cost = self.shares.cost(request.prompt_tokens, request.max_tokens)
        self.shares.charge(request.member, cost, weight, now_ms)
        return cost

    def _first_overdue(
        self, requests: Sequence[WaitingRequest], now_ms: float
    ) -> WaitingRequest | None:
        """Return the overdue request to grant next, or None while none is due a grant."""
        if not self.overdue.is_due:
            return None
        # Requests are sorted by priority.  Work of the most urgent waiting priority is not held up
        # by a more urgent one.
        most_urgent = requests[0].request.priority
        waiting = [
            item
            for item in requests
            if item.request.priority > most_urgent and item.waited_ms(now_ms) >= OVERDUE_MS
        ]
        return max(waiting, key=lambda item: item.waited_ms(now_ms), default=None)

    def _first_retried(self, requests: Iterable[WaitingRequest]) -> WaitingRequest | None:
        """Return the request to prefer because it was refused before, or None."""
        if not self.retried.is_due or not len(self.refused):
            return None
        return next((item for item in requests if item.request.work_id in self.refused), None)


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
