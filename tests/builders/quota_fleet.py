"""A simulated fleet that enforces limits of customers: decisions, views, faults and sends.

Nodes are in groups that cannot reach each other, and restart without any memory.  Each node detects
a loss after ``LOSS_DETECTION_MS`` and a return after ``RETURN_DETECTION_MS``.  A node in a group
that is too small for membership to judge by detects no losses, only that it has too few contacts.
Time only advances.
"""

import heapq
import random
from bisect import bisect_right
from collections.abc import Callable, Iterable

import msgspec

from fescuedock.core.customers import Customer
from fescuedock.core.quotas import (
    QuotaOwner,
    QuotaPolicy,
    Roster,
    ShareDirectory,
    query_order,
)

__all__ = ["AdmissionResult", "BucketFleet", "Change", "FleetSimulation", "busiest_window"]

LOSS_DETECTION_MS = (1000.0, 2000.0)
RETURN_DETECTION_MS = (20.0, 300.0)
# When a node that is cut off detects that it has too few contacts: the age of the last messages and
# a poll.
CONTACT_LOSS_MS = (1500.0, 1900.0)
# Maximum age of the records known to a node: a delayed watch and the pause after it.
RECORDS_AGE_MS = 1200.0
# Minimum time between two incarnations of a node.
_DOWN_MS = 1000.0
_CONTACTS = 8
_CONTACTS_OF_FLEET = 4
# Start time of nodes that run since before the trace.
_LONG_AGO_MS = -1e6


def _needed_contacts(fleet_size: int) -> int:
    """Return how many other nodes a node must be in contact with to judge which are lost."""
    return max(min(_CONTACTS, fleet_size // _CONTACTS_OF_FLEET), min(fleet_size - 1, 1))


class Change(msgspec.Struct, frozen=True):
    """At ``at_ms`` nodes change to ``groups`` (by node; all others to group 0), or die.

    Those in ``down`` are dead until a change that does not name them; those in ``cut_from_store``
    cannot reach the key-value service.
    """

    at_ms: float
    groups: dict[int, int] = {}
    down: frozenset[int] = frozenset()
    cut_from_store: frozenset[int] = frozenset()


class FleetSimulation:
    """Which nodes are up, reach each other, and see each other."""

    def __init__(self, size: int, changes: Iterable[Change], rng: random.Random) -> None:
        self.names = [f"node-{number}" for number in range(size)]
        self.rng = rng
        self.now = Change(0.0)
        self.started_ms = [float("-inf")] * size
        # The nodes that each node sees; replaced as a whole, so that a change alters the identity.
        self.views = [frozenset(self.names) for _ in range(size)]
        # Which nodes have enough contacts; a node remembers its contacts for a while.
        self.has_contact = [True] * size
        self.on_view: Callable[[int, float], None] = lambda node, now_ms: None
        self.on_start: Callable[[int, float], None] = lambda node, now_ms: None
        self._events: list[tuple[float, int, object]] = []
        self._count = 0
        for change in sorted(changes, key=lambda change: change.at_ms):
            self._push(change.at_ms, change)

    def _push(self, at_ms: float, event: object) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_ms, self._count, event))

    def advance(self, now_ms: float) -> None:
        """Process all events up to ``now_ms``."""
        while self._events and self._events[0][0] <= now_ms:
            at_ms, _, event = heapq.heappop(self._events)
            if isinstance(event, Change):
                self._change(event)
            elif isinstance(event, int):
                self._check_contact(at_ms, event)
            else:
                self._update_view(at_ms, *event)

    def is_up(self, node: int) -> bool:
        return node not in self.now.down

    def reaches(self, node: int, other: int) -> bool:
        groups = self.now.groups
        both_up = self.is_up(node) and self.is_up(other)
        return both_up and groups.get(node, 0) == groups.get(other, 0)

    def reaches_store(self, node: int) -> bool:
        return node not in self.now.cut_from_store

    def _change(self, change: Change) -> None:
        before, self.now = self.now, change
        for node in before.down - change.down:
            self.started_ms[node] = change.at_ms
            self.views[node] = frozenset([self.names[node]])
            self.has_contact[node] = False
            self.on_start(node, change.at_ms)
        size = len(self.names)
        for node in range(size):
            notices = self._has_enough_contacts(node)
            low_ms, high_ms = RETURN_DETECTION_MS if notices else CONTACT_LOSS_MS
            self._push(change.at_ms + self.rng.uniform(low_ms, high_ms), node)
            for other in range(size):
                if not notices and not self.reaches(node, other):
                    continue
                low_ms, high_ms = (
                    RETURN_DETECTION_MS if self.reaches(node, other) else LOSS_DETECTION_MS
                )
                due_ms = change.at_ms + self.rng.uniform(low_ms, high_ms)
                is_seen = self.names[other] in self.views[node]
                if node != other and is_seen != self.reaches(node, other):
                    self._push(due_ms, (node, other, change))

    def _has_enough_contacts(self, node: int) -> bool:
        size = len(self.names)
        others = sum(self.reaches(node, other) for other in range(size)) - 1
        return others >= _needed_contacts(size)

    def _check_contact(self, at_ms: float, node: int) -> None:
        if not self.is_up(node) or at_ms < self._contact_lost_ms(node, at_ms):
            return
        if self.has_contact[node] != self._has_enough_contacts(node):
            self.has_contact[node] = not self.has_contact[node]
            self.on_view(node, at_ms)

    def _contact_lost_ms(self, node: int, at_ms: float) -> float:
        """Return until when a node that is cut off still remembers its contacts."""
        if self._has_enough_contacts(node):
            return at_ms
        return self.now.at_ms + CONTACT_LOSS_MS[0]

    def _update_view(self, at_ms: float, node: int, other: int, change: Change) -> None:
        # A later change that leaves this pair as it was does not delay its detection.
        del change
        if not self.is_up(node):
            return
        name, reached = self.names[other], self.reaches(node, other)
        if reached != (name in self.views[node]):
            view = self.views[node]
            self.views[node] = view | {name} if reached else view - {name}
            self.on_view(node, at_ms)


class AdmissionResult(msgspec.Struct, frozen=True):
    """Whether a call was admitted, and the number of messages needed."""

    admitted: bool
    messages: int


class BucketFleet:
    """Shares of limits, each a token bucket at one node."""

    def __init__(self, simulation: FleetSimulation, policy: QuotaPolicy | None = None) -> None:
        self._simulation = simulation
        self.policy = policy or QuotaPolicy()
        size = len(simulation.names)
        self._numbers = {name: number for number, name in enumerate(simulation.names)}
        self._owners = [QuotaOwner(self.policy) for _ in range(size)]
        self._routes = [self._new_route(node, _LONG_AGO_MS) for node in range(size)]
        self._start_credit = [False] * size
        self._previous_start_ms = [_LONG_AGO_MS] * size
        # By call: the share that granted it.
        self._granted: dict[tuple[str, int, float], int] = {}
        # Its own generator, so that compared policies see the same trace.
        self._rng = random.Random(size)
        simulation.on_start = self._start

    def _new_route(self, node: int, now_ms: float) -> ShareDirectory:
        route = ShareDirectory(Roster(self._simulation.names[node]), now_ms)
        route.update(self._simulation.names, now_ms)
        return route

    def _start(self, node: int, now_ms: float) -> None:
        self._owners[node] = QuotaOwner(self.policy)
        self._routes[node] = self._new_route(node, now_ms)
        self._start_credit[node] = self.policy.has_start_credit(
            now_ms - self._previous_start_ms[node]
        )
        self._previous_start_ms[node] = now_ms

    def share_owners(self, customer: Customer) -> list[int]:
        """Return the nodes that own the shares of a customer, by share."""
        count = self.policy.share_count(customer)
        route = self._routes[0]
        return [self._numbers[route.owner_of(customer.name, number)] for number in range(count)]

    def admit(
        self, customer: Customer, node: int, now_ms: float, waited_ms: float = 0.0
    ) -> AdmissionResult:
        """Request a grant as ``node`` does; ``waited_ms`` is the time since an unused grant."""
        owners = self.share_owners(customer)
        key = (customer.name, node, round(now_ms - waited_ms, 3))
        last = self._granted.pop(key, None) if waited_ms else None
        order = query_order(
            [self._simulation.names[owner] for owner in owners],
            self._simulation.names[node],
            self._rng,
            last,
        )
        messages = 0
        for share in order:
            owner = owners[share]
            messages += 2 * (owner != node)
            if owner != node and not self._simulation.reaches(node, owner):
                continue
            moved_ms = waited_ms if share == last else 0.0
            if self._ask(customer, owner, share, now_ms, moved_ms):
                self._granted[(customer.name, node, round(now_ms, 3))] = share
                return AdmissionResult(True, messages)
        return AdmissionResult(False, messages)

    def _ask(
        self, customer: Customer, owner: int, share: int, now_ms: float, waited_ms: float
    ) -> bool:
        owned = self._routes[owner].owned(customer.name, share)
        start_credit = self._start_credit[owner]
        wait_ms = self._owners[owner].request(
            customer, owned, now_ms, start_credit=start_credit, waited_ms=waited_ms
        )
        return wait_ms is None


def busiest_window(times_ms: list[float], window_ms: float) -> tuple[int, float]:
    """Return the maximum count in any window, open at its end, and where that window begins."""
    times_ms = sorted(times_ms)
    return max(
        (
            (bisect_right(times_ms, first_ms + window_ms - 1e-6) - position, first_ms)
            for position, first_ms in enumerate(times_ms)
        ),
        default=(0, 0.0),
    )
