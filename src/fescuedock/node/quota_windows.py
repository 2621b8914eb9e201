"""Answers of a node for customers' limits by a sliding window; see ``core.quota_windows``."""

import random
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
from fescuedock.schema.settings import NodeSettings
from fescuedock.schema.view import VmRecord

__all__ = ["WindowLimits"]

# How long others may take to say that they are there; a busy process answers late.
_LOOK_TIMEOUT_MS = 300.0
# How long an ask waits for a read of a customer's record.
_LOOKUP_MS = 30.0
# A node that could not look for so long may have been taken for gone: others notice in 1 s at the
# least.
_PAUSED_MS = 1000.0


class WindowLimits:
    """``registered`` gives the names of all nodes with a record, ``nodes`` the live ones."""

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        nodes: Callable[[], dict[str, VmRecord]],
        registered: Callable[[], Collection[str]],
        fleet_size: Callable[[], int],
        call_neighbour: CallNeighbour,
        records: QuotaRecords,
        clock: UnixClock,
        rng: random.Random,
    ) -> None:
        policy = WindowPolicy(
            settings.quota_window_ms, settings.quota_over_share, settings.quota_slack_calls
        )
        self._policy = policy
        # How long after its ask a call may be sent without another one.
        self.unsent_ms = policy.unsent_ms
        self._view = view
        self._nodes = nodes
        self._registered = registered
        self._fleet_size = fleet_size
        self._call_neighbour = call_neighbour
        self._records = records
        self._clock = clock
        self._rng = rng
        self._started_ms = now_ms()
        self._leadership = Leadership(view.vm_id)
        self._owner = WindowOwner(policy)
        self._parts = NodeParts(policy, self._started_ms)
        self._roster = Roster(view.vm_id)
        self.contacts = Contacts()
        self._noted_ms = float("-inf")
        self._version = -1

    async def run(self) -> None:
        """Follow the fleet and write records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._records.run)
            nursery.start_soon(self._follow)

    async def _follow(self) -> None:
        """See each change, so that no time passes unseen in which another node led."""
        noted_ms = float("-inf")
        version = 0
        while True:
            with trio.move_on_after(self._policy.look_ms / 1000):
                version = await self._view.wait_changed(version)
            self._note_fleet()
            if now_ms() - noted_ms > self._roster.keep_ms / 4 or version != self._version:
                noted_ms, self._version = now_ms(), version
                self._roster.note([*self._registered(), *self._view.vms], noted_ms)
            await self._look_around()

    def _note_fleet(self) -> None:
        now = now_ms()
        if now - self._noted_ms > _PAUSED_MS:
            self._leadership.interrupt(now)
            log_event("quota_leads_anew", paused_ms=round(min(now - self._noted_ms, 1e9)))
        self._noted_ms = now
        heard = self.contacts.count(now - self._policy.heard_ms)
        self._leadership.note(self._nodes().keys(), self._fleet_size(), heard, now)

    def keep(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for part in (self._owner, self._parts, self._leadership, self._records):
            part.keep(names)

    async def answer(self, customer: Customer, ask: QuotaAsk) -> QuotaReply:
        """Answer for one call, whoever asks."""
        answer = self._ask(customer, ask.waited_ms)
        if self._owner.lookup_due(customer.name, now_ms()):
            with trio.move_on_after(_LOOKUP_MS / 1000):
                await self._records.look_up(customer.name)
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
        self._note_fleet()
        since_ms = self._leadership.since_ms(name)
        answer = self._owner.ask(
            customer,
            since_ms,
            self._records.read(name),
            now,
            restarted=self._has_restarted(now),
            waited_ms=waited_ms,
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

    async def _look_around(self) -> None:
        """Ask some nodes whether they are there, when too few have been heard of.

        Those that were heard of in the first half of the time are asked for again in good time.
        """
        needed = needed_contacts(self._fleet_size())
        missing = needed - self.contacts.count(now_ms() - self._policy.heard_ms / 2)
        if missing <= 0:
            return
        others = [vm for vm in self._nodes().values() if vm.vm_id != self._view.vm_id]
        # One more for each, as one that has gone does not answer.
        asked = self._rng.sample(others, min(2 * missing, len(others)))
        async with trio.open_nursery() as nursery:
            for vm in asked:
                nursery.start_soon(self._look_at, vm)
        self._note_fleet()

    async def _look_at(self, vm: VmRecord) -> None:
        ask = QuotaAsk("", node=self._view.vm_id)
        called = await self._call_neighbour(Address(vm.host, vm.agent_port), ask, _LOOK_TIMEOUT_MS)
        if isinstance(called, Ok):
            self.contacts.note(vm.vm_id, now_ms())
