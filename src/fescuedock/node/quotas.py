"""Asks for each call of a customer with a limit, and answers for those that this node keeps."""

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import now_ms
from fescuedock.core.customers import Customer, CustomerIndex
from fescuedock.core.quotas import LocalAllowance, QuotaOwner, QuotaPolicy, QuotaRoute
from fescuedock.core.route_learning import SilentOwners
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.node.replicas import CallNeighbour
from fescuedock.schema.permits import QuotaAsk, QuotaReply
from fescuedock.schema.report import CustomerStatus
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import VmRecord

__all__ = ["Quotas"]

# An owner answers in 1 to 4 ms; a process that is busy itself reads answers later.
_ASK_TIMEOUT_MS = 60.0
# Without an owner nobody knows when there is room again.
_NO_OWNER_RETRY_MS = 500


class CustomerUse(msgspec.Struct):
    """What became of a customer's calls at this node since it started."""

    admitted: int = 0
    refused: int = 0


class Quotas:
    """``fleet_size`` counts the nodes that belong to the fleet, whether or not they are reached."""

    def __init__(
        self,
        view: FleetView,
        customers: Callable[[], CustomerIndex],
        call_neighbour: CallNeighbour,
        fleet_size: Callable[[], int],
        slack_calls: float,
    ) -> None:
        self._view = view
        self._customers = customers
        self._call_neighbour = call_neighbour
        self._fleet_size = fleet_size
        self._owner = QuotaOwner(QuotaPolicy(slack_calls=slack_calls))
        self._route = QuotaRoute()
        self._silent = SilentOwners()
        self._allowance = LocalAllowance()
        self._use: dict[str, CustomerUse] = {}
        self._followed: CustomerIndex | None = None
        self._nodes: dict[str, VmRecord] = {}
        self._nodes_version = -1

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

    async def admit(self, name: str) -> Result[None, Fault]:
        """Let a call of a customer in, or tell when to come back."""
        index = self._follow()
        customer = index.by_name.get(name)
        if customer is None:
            return Ok(None)
        use = self._use.setdefault(name, CustomerUse())
        if customer.rate_per_s <= 0:
            use.admitted += 1
            return Ok(None)
        admitted = await self._ask_owners(name)
        if admitted is None:
            taken = self._allowance.take(customer, self._fleet_size(), now_ms())
            admitted = Ok(None) if taken else _over_limit(name, _NO_OWNER_RETRY_MS)
        if isinstance(admitted, Ok):
            use.admitted += 1
        else:
            use.refused += 1
        return admitted

    async def _ask_owners(self, name: str) -> Result[None, Fault] | None:
        """Ask the owner, or the node that stands in for it; None when neither answers."""
        nodes = self._live_nodes()
        owners = self._route.owners(name, nodes.keys())
        for rank, vm_id in enumerate(owners):
            ask = QuotaAsk(name, stands_in=rank > 0)
            if vm_id == self._view.vm_id:
                reply = self._answer(ask)
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
            if reply.code == ResultCode.OK:
                return Ok(None)
            if reply.code == ResultCode.OVER_LIMIT:
                return _over_limit(name, reply.retry_after_ms)
        return None

    async def _on_ask(self, ask: QuotaAsk, _peer: ServerPeer) -> QuotaReply:
        return self._answer(ask)

    def _answer(self, ask: QuotaAsk) -> QuotaReply:
        customer = self._follow().by_name.get(ask.customer)
        if customer is None or not self._owner.may_grant(self._present_share()):
            return QuotaReply(ResultCode.NOT_OWNER)
        if customer.rate_per_s <= 0:
            return QuotaReply(ResultCode.OK)
        retry_ms = self._owner.ask(customer, now_ms(), stands_in=ask.stands_in)
        if retry_ms is None:
            return QuotaReply(ResultCode.OK)
        return QuotaReply(ResultCode.OVER_LIMIT, int(retry_ms))

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
            self._owner.keep(names)
            self._allowance.keep(names)
            self._use = {name: use for name, use in self._use.items() if name in names}
        return index


def _over_limit(name: str, retry_after_ms: int) -> Err[Fault]:
    text = f"customer {name!r} is over its limit of calls"
    return Err(Fault(ResultCode.OVER_LIMIT, text, retry_after_ms))
