"""Requests waiting for one upstream, ordered by class, priority, customer share and slack."""

from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

import msgspec

from fescuedock.core.permits.outstanding import OutstandingPermit
from fescuedock.core.permits.queued import OVERDUE_GRANT_INTERVAL, MemberShares, WaitingRequest
from fescuedock.schema.permits import WorkClass

if TYPE_CHECKING:
    from fescuedock.core.permits.fair_order import FairOrder

__all__ = ["MemberShares", "WaitingRequest", "WaitingRequests"]

# One in this many isolated runs goes to a batch item, before calls that may never stop.
_ISOLATED_BATCH_INTERVAL = 4


class WaitingRequests(msgspec.Struct):
    """The queued requests of one upstream.  Online always goes before batch.

    Within a class, ``FairOrder`` decides between customers and priorities, so that one customer's
    backlog cannot hold up another's.  Among one customer's requests, the one that must start
    soonest goes first.  A share of the batch grants is reserved for overdue work, whichever
    customer it belongs to.
    """

    shares: MemberShares
    # Number of queued requests for an isolated run.
    isolated: int = 0
    _by_attempt: dict[str, WaitingRequest] = msgspec.field(default_factory=dict)
    _counts: dict[WorkClass, int] = msgspec.field(
        default_factory=lambda: dict.fromkeys(WorkClass, 0)
    )
    # Number of queued requests that name a customer or a priority; without any, no state of
    # customers is stored.
    _fair_order_count: int = 0
    _orders: dict[WorkClass, "FairOrder"] = msgspec.field(default_factory=dict)
    # Batch grants since the last one reserved for overdue work.
    _grants_since_overdue: int = 0
    # Isolated runs granted to calls since the last one of a batch item.
    _isolated_calls: int = 0

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._by_attempt

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._by_attempt.values())

    def count(self, work_class: WorkClass) -> int:
        return self._counts[work_class]

    def isolated_in_order(self) -> list[WaitingRequest]:
        """Return the requests for isolated runs, next first: by class and total wait.

        A refused request that is repeated keeps its place, as more may wait than are granted.
        Online goes before batch, but for one in ``_ISOLATED_BATCH_INTERVAL``.
        """
        first = WorkClass.ONLINE
        if self._isolated_calls >= _ISOLATED_BATCH_INTERVAL - 1:
            first = WorkClass.BATCH
        requests = [item for item in self._by_attempt.values() if item.request.alone]
        requests.sort(
            key=lambda item: (
                item.request.work_class is not first,
                item.arrived_ms - item.request.waited_ms,
            )
        )
        return requests

    def expected_online_starts(self) -> float:
        """Return how many online requests will probably start here, as some wait elsewhere too."""
        return sum(
            item.expected_starts
            for item in self._by_attempt.values()
            if item.request.work_class is WorkClass.ONLINE
        )

    def add(self, waiting: WaitingRequest) -> None:
        self._by_attempt[waiting.request.attempt_id] = waiting
        self._counts[waiting.request.work_class] += 1
        self.isolated += waiting.request.alone
        self._fair_order_count += waiting.needs_fair_order

    def remove(self, attempt_id: str) -> WaitingRequest | None:
        waiting = self._by_attempt.pop(attempt_id, None)
        if waiting is not None:
            self._counts[waiting.request.work_class] -= 1
            self.isolated -= waiting.request.alone
            self._fair_order_count -= waiting.needs_fair_order
        return waiting

    def in_order(
        self, work_class: WorkClass, running: Callable[[str], int], now_ms: float
    ) -> list[WaitingRequest]:
        """Return the requests of ``work_class``, next first.

        ``running`` gives the number of running attempts of a member.
        """
        requests = [
            item for item in self._by_attempt.values() if item.request.work_class is work_class
        ]
        if not self._fair_order_count or len(requests) < 2:
            requests.sort(key=lambda item: item.sort_key(now_ms))
        else:
            requests = self._order(work_class).in_order(requests, self.shares, running, now_ms)
        if work_class is WorkClass.BATCH and self._is_overdue_grant_due:
            _put_longest_overdue_first(requests, now_ms)
        return requests

    @property
    def _is_overdue_grant_due(self) -> bool:
        return self._grants_since_overdue >= OVERDUE_GRANT_INTERVAL - 1

    def record_grant(self, waiting: WaitingRequest, now_ms: float) -> bool:
        """Record a grant; return whether it was the one reserved for overdue work."""
        if waiting.request.alone:
            is_call = waiting.request.work_class is WorkClass.ONLINE
            self._isolated_calls = self._isolated_calls + 1 if is_call else 0
        if waiting.request.work_class is not WorkClass.BATCH:
            return False
        is_reserved_grant = self._is_overdue_grant_due and waiting.is_overdue(now_ms)
        self._grants_since_overdue = 0 if is_reserved_grant else self._grants_since_overdue + 1
        return is_reserved_grant

    def _order(self, work_class: WorkClass) -> "FairOrder":
        order = self._orders.get(work_class)
        if order is None:
            # Imported with the first customer: a start without customers loads three modules less.
            from fescuedock.core.permits.fair_order import FairOrder

            order = self._orders[work_class] = FairOrder()
        return order

    def charge(self, waiting: WaitingRequest, now_ms: float) -> float:
        """Charge the customer of a request that was removed for its grant; return the cost."""
        request = waiting.request
        if not waiting.needs_fair_order or not self._counts[request.work_class]:
            return 0.0
        order = self._order(request.work_class)
        return order.record_grant(waiting, self.shares.weight(request.member), now_ms)

    def correct_charge(self, held: OutstandingPermit, generated_tokens: int, now_ms: float) -> None:
        """Correct a customer's charge by the tokens that an attempt has generated."""
        if not held.member:
            return
        shares = self._order(held.work_class).shares
        if generated_tokens:
            shares.observe_tokens(generated_tokens)
        if held.charged_tokens:
            cost = shares.cost(held.prompt_tokens, 0) - shares.cost(0, 0) + generated_tokens
            weight = self.shares.weight(held.member)
            shares.correct(held.member, cost - held.charged_tokens, weight, now_ms)

    def record_refusal(self, waiting: WaitingRequest, now_ms: float) -> None:
        """Record that work is finally refused, so that its retry goes before other work."""
        if waiting.needs_fair_order:
            self._order(waiting.request.work_class).refused.add(waiting.request.work_id, now_ms)

    def forget(self, running: Mapping[str, int], now_ms: float) -> None:
        """Drop state of customers that no longer affects the order."""
        for work_class, order in self._orders.items():
            has_waiting = bool(self._counts[work_class])
            order.shares.forget(now_ms, running, has_waiting=has_waiting)
            order.refused.forget(now_ms)

    def retained_customers(self) -> int:
        """Return the number of customers and refused units of work with stored state."""
        orders = self._orders.values()
        return sum(len(order.shares) + len(order.refused) for order in orders)

    def is_over_share(self, member: str, running: Callable[[str], int]) -> bool:
        """Whether ``member`` runs more than its share while another member waits."""
        members = {item.request.member for item in self._by_attempt.values()} | {member}
        if len(members) < 2:
            return False
        total = sum(running(name) for name in members)
        weight = sum(self.shares.weight(name) for name in members)
        return running(member) > total * self.shares.weight(member) / weight


def _put_longest_overdue_first(requests: list[WaitingRequest], now_ms: float) -> None:
    overdue = (item for item in requests if item.is_overdue(now_ms))
    longest = min(overdue, key=lambda item: item.due_ms, default=None)
    if longest is not None:
        requests.remove(longest)
        requests.insert(0, longest)
