"""Answers of a node for customers' limits by a sliding window; see ``core.quota_windows``."""

from collections.abc import Callable, Collection

import trio
from result import Ok

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import UnixClock, now_ms
from fescuedock.core.customers import Customer
from fescuedock.core.quota_windows import (
    Answer,
    Contacts,
    Leadership,
    NodeParts,
    Outcome,
    Roster,
    WindowOwner,
    WindowPolicy,
    needed_contacts,
)
from fescuedock.log import log_event
from fescuedock.node.quota_records import QuotaRecords
from fescuedock.node.replicas import CallNeighbour
from fescuedock.schema.permits import QuotaAsk, QuotaReply
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import VmRecord

__all__ = ["WindowLimits"]

# How long the others may take to say that they are there.
_LOOK_TIMEOUT_MS = 60.0
# Between two looks, so that a node which is cut off does not wait at each ask.
_LOOK_PAUSE_MS = 1000.0


class WindowLimits:
    """``registered`` gives the names of all nodes with a record, ``nodes`` the live ones."""

    def __init__(
        self,
        policy: WindowPolicy,
        view: FleetView,
        nodes: Callable[[], dict[str, VmRecord]],
        registered: Callable[[], Collection[str]],
        fleet_size: Callable[[], int],
        call_neighbour: CallNeighbour,
        records: QuotaRecords,
        clock: UnixClock,
    ) -> None:
        self._policy = policy
        self._view = view
        self._nodes = nodes
        self._registered = registered
        self._fleet_size = fleet_size
        self._call_neighbour = call_neighbour
        self._records = records
        self._clock = clock
        self._started_ms = now_ms()
        self._leadership = Leadership(view.vm_id)
        self._owner = WindowOwner(policy)
        self._parts = NodeParts(policy, self._started_ms)
        self._roster = Roster(view.vm_id)
        self.contacts = Contacts()
        self._looked_ms = float("-inf")

    async def run(self) -> None:
        """Follow the fleet, so that no time passes unseen in which another node led."""
        version = 0
        while True:
            with trio.move_on_after(self._roster.keep_ms / 2000):
                version = await self._view.wait_changed(version)
            self._note_fleet()
            self.contacts.keep(now_ms() - self._policy.heard_ms)

    def _note_fleet(self) -> None:
        now = now_ms()
        self._leadership.note(self._nodes().keys(), self._fleet_size(), now)
        self._roster.note([*self._registered(), *self._view.vms], now)

    def keep(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for part in (self._owner, self._parts, self._leadership):
            part.keep(names)

    async def answer(self, customer: Customer, ask: QuotaAsk) -> QuotaReply:
        """Answer for one call, whoever asks."""
        answer = self._ask(customer, ask.waited_ms)
        if answer.outcome is Outcome.UNHEARD and await self._look_around():
            answer = self._ask(customer, ask.waited_ms)
        if answer.outcome is Outcome.OVER_LIMIT:
            return QuotaReply(ResultCode.OVER_LIMIT, int(answer.retry_ms))
        if answer.outcome is Outcome.GRANTED or self.take_part(customer):
            return QuotaReply(ResultCode.OK)
        return QuotaReply(ResultCode.NOT_OWNER)

    def take_part(self, customer: Customer) -> bool:
        """Whether a call may run out of this node's own part."""
        rank = self._roster.rank(customer.name)
        return self._parts.take(customer, rank, self._roster.size, now_ms())

    def _ask(self, customer: Customer, waited_ms: float) -> Answer:
        now, name = now_ms(), customer.name
        self._leadership.note(self._nodes().keys(), self._fleet_size(), now)
        since_ms = self._leadership.since_ms(name)
        heard = self.contacts.count(now - self._policy.heard_ms)
        answer = self._owner.ask(
            customer,
            since_ms,
            self._records.read(name),
            now,
            restarted=self._has_restarted(now),
            waited_ms=waited_ms,
            heard_share=self._policy.heard_share(heard, self._fleet_size()),
        )
        if self._owner.record_due(name, now):
            lasts_ms = self._owner.used_until_ms(now) - now
            self._records.request(
                name,
                lasts_ms,
                lambda began_ms: self._owner.note_record(name, since_ms, began_ms),
            )
        return answer

    def _has_restarted(self, now: float) -> bool:
        """Whether most of the fleet has just started, as it does when all lose power.

        An incarnation begins with the Unix time in milliseconds at which its process started.
        """
        if now - self._started_ms > self._policy.restart_ms:
            return False
        since_unix_ms = self._clock() * 1000.0 - self._policy.restart_ms
        young = sum(vm.incarnation >= since_unix_ms for vm in self._nodes().values())
        return 2 * young > self._fleet_size()

    async def _look_around(self) -> bool:
        """Ask some nodes whether they are there; return whether any was asked."""
        if now_ms() - self._looked_ms < _LOOK_PAUSE_MS:
            return False
        self._looked_ms = now_ms()
        others = [vm for vm in self._nodes().values() if vm.vm_id != self._view.vm_id]
        asked = others[: needed_contacts(self._fleet_size())]
        async with trio.open_nursery() as nursery:
            for vm in asked:
                nursery.start_soon(self._look_at, vm)
        heard = self.contacts.count(self._looked_ms)
        log_event("quota_looked_around", asked=len(asked), heard=heard)
        return bool(asked)

    async def _look_at(self, vm: VmRecord) -> None:
        ask = QuotaAsk("", node=self._view.vm_id)
        called = await self._call_neighbour(Address(vm.host, vm.agent_port), ask, _LOOK_TIMEOUT_MS)
        if isinstance(called, Ok):
            self.contacts.note(vm.vm_id, now_ms())
