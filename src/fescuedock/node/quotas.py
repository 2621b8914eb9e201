"""Asks for each call of a customer with a limit, and answers for those that this node keeps."""

import random
from collections.abc import Awaitable, Callable, Collection
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import UnixClock, now_ms
from fescuedock.core.customers import Customer, CustomerIndex
from fescuedock.core.quotas import LocalAllowance, QuotaOwner, QuotaPolicy, QuotaRoute
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.route_learning import SilentOwners
from fescuedock.faults import Fault
from fescuedock.kv import KvStore
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.node.replicas import CallNeighbour
from fescuedock.schema.permits import QuotaAsk, QuotaReply
from fescuedock.schema.report import CustomerStatus
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import NodeSettings
from fescuedock.schema.view import VmRecord

if TYPE_CHECKING:
    from fescuedock.node.quota_windows import WindowLimits

__all__ = ["Confirm", "Quotas"]

# To be called right before a call is sent that was let in; fails when it may not be sent any more.
Confirm = Callable[[], Awaitable[Result[None, Fault]]]

# An owner answers in 1 to 4 ms; a process that is busy itself reads answers later.
_ASK_TIMEOUT_MS = 60.0
# Without an owner nobody knows when there is room again.
_NO_OWNER_RETRY_MS = 500
# Another node may let the call in at once.
_UNKNOWN_RETRY_MS = 100


class CustomerUse(msgspec.Struct):
    """What became of a customer's calls at this node since it started."""

    admitted: int = 0
    refused: int = 0


class _BucketLimits:
    """Answers of a node where no window is set."""

    def __init__(self, slack_calls: float, present_share: Callable[[], float]) -> None:
        self._owner = QuotaOwner(QuotaPolicy(slack_calls=slack_calls))
        self._allowance = LocalAllowance()
        self._present_share = present_share

    def answer(self, customer: Customer, ask: QuotaAsk) -> QuotaReply:
        if not self._owner.may_grant(self._present_share()):
            return QuotaReply(ResultCode.NOT_OWNER)
        retry_ms = self._owner.ask(customer, now_ms())
        if retry_ms is None:
            return QuotaReply(ResultCode.OK)
        return QuotaReply(ResultCode.OVER_LIMIT, int(retry_ms))

    def take_locally(self, customer: Customer, fleet_size: int) -> bool:
        return self._allowance.take(customer, fleet_size, now_ms())

    def keep(self, names: Collection[str]) -> None:
        self._owner.keep(names)
        self._allowance.keep(names)


class Quotas:
    """``registered`` gives the names of the nodes that have a record.

    ``fleet_size`` counts the nodes that belong to the fleet, whether or not they are reached.
    """

    def __init__(
        self,
        view: FleetView,
        customers: Callable[[], CustomerIndex],
        call_neighbour: CallNeighbour,
        fleet_size: Callable[[], int],
        registered: Callable[[], Collection[str]],
        settings: NodeSettings,
        kv: KvStore,
        live: ReplicaTable,
        records_prefix: str,
        clock: UnixClock,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._customers = customers
        self._call_neighbour = call_neighbour
        self._fleet_size = fleet_size
        self._buckets = _BucketLimits(settings.quota_slack_calls, self._present_share)
        # None where no window is set.
        self._windows: WindowLimits | None = None
        if settings.quota_window_ms > 0:
            # Loaded here, as each module that a start loads costs all restarts of a fleet.
            from fescuedock.node import quota_records, quota_windows

            self._windows = quota_windows.WindowLimits(
                settings,
                view,
                self._live_nodes,
                registered,
                fleet_size,
                call_neighbour,
                quota_records.QuotaRecords(kv, live, records_prefix, clock),
                clock,
                rng,
            )
        self._route = QuotaRoute()
        self._silent = SilentOwners()
        self._use: dict[str, CustomerUse] = {}
        self._followed: CustomerIndex | None = None
        self._nodes: dict[str, VmRecord] = {}
        self._nodes_version = -1

    async def run(self) -> None:
        """Follow the fleet and write records until cancelled; returns where no window is set."""
        if self._windows is not None:
            await self._windows.run()

    def status(self) -> list[CustomerStatus]:
        """Return the customers in force, with their use at this node."""
        index = self._follow()
        return [self._status_of(customer) for customer in index.by_name.values()]

    def _status_of(self, customer: Customer) -> CustomerStatus:
        use = self._use.get(customer.name, CustomerUse())
        limited = customer.rate_per_s > 0
        owners = self._route.owners(customer.name, self._live_nodes().keys()) if limited else ()
        return CustomerStatus(
            customer.name,
            customer.rate_per_s,
            customer.burst,
            use.admitted,
            use.refused,
            owners[0] if owners else "",
        )

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Handlers by message type, to be merged with those of other services."""
        return {QuotaAsk: self._on_ask}

    async def admit(self, name: str) -> Result[Confirm | None, Fault]:
        """Let a call of a customer in, or tell when to come back.

        ``Ok`` holds what has to be called before the call is sent, where that is needed.
        """
        index = self._follow()
        customer = index.by_name.get(name)
        if customer is None:
            return Ok(None)
        use = self._use.setdefault(name, CustomerUse())
        if customer.rate_per_s <= 0:
            use.admitted += 1
            return Ok(None)
        asked_ms = now_ms()
        admitted = await self._ask(customer)
        if isinstance(admitted, Err):
            use.refused += 1
            return admitted
        use.admitted += 1
        if self._windows is None:
            return Ok(None)
        return Ok(self._confirmation(name, asked_ms, self._windows.unsent_ms))

    def _confirmation(self, name: str, asked_ms: float, unsent_ms: float) -> Confirm:
        """Return what asks anew for a call that waited, since it counts when it is sent."""
        granted_ms = now_ms()

        async def confirm() -> Result[None, Fault]:
            nonlocal asked_ms, granted_ms
            customer = self._follow().by_name.get(name)
            began_ms = now_ms()
            if began_ms - asked_ms <= unsent_ms or customer is None:
                return Ok(None)
            confirmed = await self._ask(customer, waited_ms=began_ms - granted_ms)
            asked_ms, granted_ms = began_ms, now_ms()
            if isinstance(confirmed, Err):
                self._use.setdefault(name, CustomerUse()).refused += 1
            return confirmed

        return confirm

    async def _ask(self, customer: Customer, waited_ms: float = 0.0) -> Result[None, Fault]:
        if customer.rate_per_s <= 0:
            return Ok(None)
        admitted = await self._ask_owners(customer.name, waited_ms)
        if admitted is not None:
            return admitted
        if self._windows is not None:
            taken = self._windows.take_part(customer)
            return Ok(None) if taken else _unknown_use(customer.name)
        taken = self._buckets.take_locally(customer, self._fleet_size())
        return Ok(None) if taken else _over_limit(customer.name, _NO_OWNER_RETRY_MS)

    async def _ask_owners(self, name: str, waited_ms: float) -> Result[None, Fault] | None:
        """Ask the owner, or the node that stands in for it; None when neither answers."""
        nodes = self._live_nodes()
        owners = self._route.owners(name, nodes.keys())
        for rank, vm_id in enumerate(owners):
            ask = QuotaAsk(name, rank > 0, waited_ms, self._view.vm_id)
            if vm_id == self._view.vm_id:
                reply = await self._answer(ask)
            elif self._silent.is_silent(vm_id, now_ms()):
                continue
            else:
                vm = nodes[vm_id]
                called = await self._call_neighbour(
                    Address(vm.host, vm.agent_port), ask, _ASK_TIMEOUT_MS
                )
                if isinstance(called, Err):
                    self._silent.note_silent(vm_id, now_ms())
                    log_event("quota_owner_silent", customer=name, about=vm_id)
                    continue
                reply = called.ok_value
                self._note_contact(vm_id)
            if reply.code == ResultCode.OK:
                return Ok(None)
            if reply.code == ResultCode.OVER_LIMIT:
                return _over_limit(name, reply.retry_after_ms)
        return None

    async def _on_ask(self, ask: QuotaAsk, _peer: ServerPeer) -> QuotaReply:
        self._note_contact(ask.node)
        return await self._answer(ask)

    def _note_contact(self, vm_id: str) -> None:
        if self._windows is not None and vm_id:
            self._windows.contacts.note(vm_id, now_ms())

    async def _answer(self, ask: QuotaAsk) -> QuotaReply:
        customer = self._follow().by_name.get(ask.customer)
        if customer is None:
            return QuotaReply(ResultCode.NOT_OWNER)
        if customer.rate_per_s <= 0:
            return QuotaReply(ResultCode.OK)
        if self._windows is not None:
            return await self._windows.answer(customer, ask)
        return self._buckets.answer(customer, ask)

    def _live_nodes(self) -> dict[str, VmRecord]:
        if self._view.version != self._nodes_version:
            self._nodes_version = self._view.version
            self._nodes = {vm.vm_id: vm for vm in self._view.live_vms() if vm.agent_port}
        return self._nodes

    def _present_share(self) -> float:
        live = len(self._live_nodes())
        return live / max(self._fleet_size(), live, 1)

    def _follow(self) -> CustomerIndex:
        """Return the customers of the version in force, forgetting those that are in it no more."""
        index = self._customers()
        if index is not self._followed:
            self._followed = index
            names = index.by_name.keys()
            self._buckets.keep(names)
            if self._windows is not None:
                self._windows.keep(names)
            self._use = {name: use for name, use in self._use.items() if name in names}
        return index


def _unknown_use(name: str) -> Err[Fault]:
    """Refuse a call that may be within its customer's limit; another node may know."""
    text = f"no node that is reached knows what customer {name!r} uses of its limit"
    return Err(Fault(ResultCode.QUOTA_UNKNOWN, text, _UNKNOWN_RETRY_MS))


def _over_limit(name: str, retry_after_ms: int) -> Err[Fault]:
    text = f"customer {name!r} is over its limit of calls"
    return Err(Fault(ResultCode.OVER_LIMIT, text, retry_after_ms))
