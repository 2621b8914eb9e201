"""Enforces customers' call limits: requests calls from share owners, and answers for own shares.

A limit is split into shares, each owned by one node.
"""

import random
from collections.abc import Awaitable, Callable, Collection

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import now_ms
from fescuedock.core.customers import Customer, CustomerIndex
from fescuedock.core.quotas import (
    QuotaOwner,
    QuotaPolicy,
    Roster,
    ShareDirectory,
    query_order,
)
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.route_learning import SilentOwners
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.node.replicas import CallNeighbour
from fescuedock.schema.permits import QuotaAsk, QuotaReply
from fescuedock.schema.report import CustomerStatus
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import NodeSettings
from fescuedock.schema.view import VmRecord

__all__ = ["Confirm", "Quotas"]

# To be called right before an admitted call is sent; fails when it must not be sent any more.
Confirm = Callable[[], Awaitable[Result[None, Fault]]]

# An owner answers in 1 to 4 ms, but a busy requester reads answers later.
_REPLY_TIMEOUT_MS = 60.0
# For how long after its start a node waits for share owners that may be starting as well, the
# longest such wait of one call, and the interval of its requests.
_STARTUP_MS = 3000.0
_MAX_STARTUP_WAIT_MS = 1000.0
_STARTUP_RETRY_S = 0.1
# Minimum interval between two reads of the registered nodes while calls arrive, and the interval
# at all times.
_MIN_ROSTER_INTERVAL_MS = 200.0
_ROSTER_INTERVAL_S = 1.0
# Short, as another node may admit the call at once.
_UNKNOWN_RETRY_MS = 100


class CustomerUse(msgspec.Struct):
    """The numbers of a customer's calls admitted and refused at this node since it started."""

    admitted: int = 0
    refused: int = 0


class _ShareLimits:
    """Finds the owners of shares, and grants calls from this node's shares by token buckets.

    ``registered`` returns the names of the nodes that have a record; they may have changed when
    the version of ``live`` has.  ``since_previous_ms`` is that of ``NodeLease``.
    """

    def __init__(
        self,
        settings: NodeSettings,
        vm_id: str,
        live: ReplicaTable,
        registered: Callable[[], Collection[str]],
        since_previous_ms: Callable[[], float | None],
        rng: random.Random,
    ) -> None:
        self.policy = QuotaPolicy(
            settings.quota_slack_calls, settings.quota_over_share, settings.quota_bound_s * 1000
        )
        self._owner = QuotaOwner(self.policy)
        self._vm_id = vm_id
        self._route = ShareDirectory(Roster(vm_id), now_ms())
        self._live = live
        self._registered = registered
        self._since_previous_ms = since_previous_ms
        self._rng = rng
        self._roster_updated_ms = float("-inf")
        self._roster_version = -1

    async def run(self) -> None:
        """Follow the registered nodes, also while no call arrives; never return."""
        while True:
            self._update_roster()
            await trio.sleep(_ROSTER_INTERVAL_S)

    def _update_roster(self) -> None:
        now = now_ms()
        is_stale = now - self._roster_updated_ms >= self._route.roster.retention_ms / 4
        has_changed = self._live.version != self._roster_version
        if not self._live.is_known or not (
            is_stale or (has_changed and now - self._roster_updated_ms >= _MIN_ROSTER_INTERVAL_MS)
        ):
            return
        self._roster_updated_ms, self._roster_version = now, self._live.version
        self._route.update(self._registered(), now)

    def share_owners(self, customer: Customer) -> list[str | None]:
        """Return the owner of each share of a limit; None for a share without one."""
        self._update_roster()
        count = self.policy.share_count(customer)
        return [self._route.owner_of(customer.name, number) for number in range(count)]

    def request_order(self, owners: list[str | None], last_share: int | None) -> list[int]:
        """Return the shares in the order of requests; ``last_share`` gave the last grant."""
        return query_order(owners, self._vm_id, self._rng, last_share)

    def reply_to(self, customer: Customer, request: QuotaAsk) -> QuotaReply:
        self._update_roster()
        share_state = self._route.owned(customer.name, request.share)
        if share_state is None or not 0 <= request.share < self.policy.share_count(customer):
            return QuotaReply(ResultCode.NOT_OWNER)
        retry_ms = self._owner.request(
            customer,
            share_state,
            now_ms(),
            start_credit=self.policy.has_start_credit(self._since_previous_ms()),
            waited_ms=request.waited_ms,
        )
        if retry_ms is None:
            return QuotaReply(ResultCode.OK)
        return QuotaReply(ResultCode.OVER_LIMIT, int(retry_ms))

    def retain(self, names: Collection[str]) -> None:
        self._owner.retain(names)
        self._route.retain(names)


class Quotas:
    """Admits calls of customers with a limit, at one node.

    ``registered`` returns the names of the nodes that have a record, and ``record_address`` the
    address in a node's record.
    """

    def __init__(
        self,
        view: FleetView,
        customers: Callable[[], CustomerIndex],
        call_neighbour: CallNeighbour,
        registered: Callable[[], Collection[str]],
        record_address: Callable[[str], Address | None],
        settings: NodeSettings,
        live: ReplicaTable,
        since_previous_ms: Callable[[], float | None],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._customers = customers
        self._call_neighbour = call_neighbour
        self._shares = _ShareLimits(settings, view.vm_id, live, registered, since_previous_ms, rng)
        # How long after its grant was requested a call may be sent without another request.
        self._max_unsent_ms = self._shares.policy.max_unsent_ms
        self._silent_nodes = SilentOwners()
        self._usage: dict[str, CustomerUse] = {}
        self._last_index: CustomerIndex | None = None
        self._nodes: dict[str, VmRecord] = {}
        self._nodes_version = -1
        self._record_address = record_address
        self._started_ms = now_ms()
        # Nodes that membership has shown since this process started.
        self._seen_members: set[str] = set()

    async def run(self) -> None:
        """Follow the fleet until cancelled."""
        await self._shares.run()

    def status(self) -> list[CustomerStatus]:
        """Return the customers of the current configuration, with their usage at this node."""
        index = self._current_index()
        return [self._status_of(customer) for customer in index.by_name.values()]

    def _status_of(self, customer: Customer) -> CustomerStatus:
        use = self._usage.get(customer.name, CustomerUse())
        return CustomerStatus(
            customer.name,
            customer.rate_per_s,
            customer.burst,
            use.admitted,
            use.refused,
            self._owner_of(customer),
        )

    def _owner_of(self, customer: Customer) -> str:
        """Return the owners of the shares of the customer's limit, separated by spaces."""
        if customer.rate_per_s <= 0:
            return ""
        return " ".join(sorted({name for name in self._shares.share_owners(customer) if name}))

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers by message type, to be merged with those of other services."""
        return {QuotaAsk: self._on_request}

    async def admit(self, name: str) -> Result[Confirm | None, Fault]:
        """Admit a call of a customer, or refuse it with the time to retry.

        ``Ok`` holds the confirmation to call before the call is sent, or None if none is needed.
        """
        index = self._current_index()
        customer = index.by_name.get(name)
        if customer is None:
            return Ok(None)
        use = self._usage.setdefault(name, CustomerUse())
        if customer.rate_per_s <= 0:
            use.admitted += 1
            return Ok(None)
        requested_ms = now_ms()
        granted = await self._request_call(customer)
        if isinstance(granted, Err):
            use.refused += 1
            return granted
        use.admitted += 1
        return Ok(self._confirmation(name, requested_ms, granted.ok_value))

    def _confirmation(self, name: str, requested_ms: float, share: int | None) -> Confirm:
        """Return a function that requests a call again if it waited for long.

        A call counts toward the limit when it is sent, not when it arrives.
        """
        granted_ms = now_ms()

        async def confirm() -> Result[None, Fault]:
            nonlocal requested_ms, granted_ms, share
            customer = self._current_index().by_name.get(name)
            began_ms = now_ms()
            if began_ms - requested_ms <= self._max_unsent_ms or customer is None:
                return Ok(None)
            confirmed = await self._request_call(customer, began_ms - granted_ms, share)
            requested_ms, granted_ms = began_ms, now_ms()
            if isinstance(confirmed, Err):
                self._usage.setdefault(name, CustomerUse()).refused += 1
                return confirmed
            share = confirmed.ok_value
            return Ok(None)

        return confirm

    async def _request_call(
        self, customer: Customer, waited_ms: float = 0.0, share: int | None = None
    ) -> Result[int | None, Fault]:
        """Request one call; return the share that granted it, None without a limit.

        ``waited_ms`` and ``share`` describe an earlier grant for the call that was not used.
        """
        if customer.rate_per_s <= 0:
            return Ok(None)
        return await self._request_until_known(customer, waited_ms, share)

    async def _request_until_known(
        self, customer: Customer, waited_ms: float, share: int | None
    ) -> Result[int | None, Fault]:
        """Request one call; retry for a while at start-up, as share owners may be starting too."""
        began_ms = now_ms()
        while True:
            granted = await self._request_from_shares(customer, waited_ms, share)
            is_known = granted.is_ok() or granted.err_value.code != ResultCode.QUOTA_UNKNOWN
            has_waited = now_ms() - began_ms >= _MAX_STARTUP_WAIT_MS
            if is_known or has_waited or not self._is_starting():
                return granted
            await trio.sleep(_STARTUP_RETRY_S)

    def _is_starting(self) -> bool:
        return now_ms() - self._started_ms < _STARTUP_MS

    async def _request_from_shares(
        self, customer: Customer, waited_ms: float, last_share: int | None
    ) -> Result[int | None, Fault]:
        """Send requests to the share owners until one grants the call."""
        owners = self._shares.share_owners(customer)
        refused: list[int] = []
        for share in self._shares.request_order(owners, last_share):
            unused_ms = waited_ms if share == last_share else 0.0
            request = QuotaAsk(customer.name, False, unused_ms, self._view.vm_id, share)
            reply = await self._request_from_node(owners[share], request)
            if reply is None or reply.code == ResultCode.NOT_OWNER:
                continue
            if reply.code == ResultCode.OK:
                return Ok(share)
            refused.append(reply.retry_after_ms)
        # While this node starts, other share owners may be starting too, so only a majority can
        # refuse.  Later, waiting for a token of a reachable share is faster than finding a node
        # that reaches more shares.
        needed = len(owners) // 2 + 1 if self._is_starting() else 1
        if len(refused) < needed:
            return _unknown_use(customer.name)
        return _over_limit(customer.name, min(refused))

    async def _request_from_node(self, vm_id: str | None, request: QuotaAsk) -> QuotaReply | None:
        """Return a node's answer; None when it is unknown, silent now, or was silent lately."""
        if vm_id == self._view.vm_id:
            return await self._reply_to(request)
        address = self._address_of(vm_id)
        if address is None or self._silent_nodes.is_silent(vm_id, now_ms()):
            return None
        called = await self._call_neighbour(address, request, _REPLY_TIMEOUT_MS)
        if isinstance(called, Err):
            self._silent_nodes.record_silence(vm_id, now_ms())
            log_event("quota_owner_silent", customer=request.customer, about=vm_id)
            return None
        return called.ok_value

    def _address_of(self, vm_id: str | None) -> Address | None:
        """Return a node's address; None for a node that membership has removed.

        After a restart of the entire fleet nodes can answer before membership has found them; the
        address in the record is used until then.
        """
        vm = self._live_nodes().get(vm_id)
        if vm is not None:
            return Address(vm.host, vm.agent_port)
        return None if vm_id is None or vm_id in self._seen_members else self._record_address(vm_id)

    async def _on_request(self, request: QuotaAsk, _peer: ServerPeer) -> QuotaReply:
        self._silent_nodes.record_answer(request.node)
        return await self._reply_to(request)

    async def _reply_to(self, request: QuotaAsk) -> QuotaReply:
        customer = self._current_index().by_name.get(request.customer)
        if customer is None:
            return QuotaReply(ResultCode.NOT_OWNER)
        if customer.rate_per_s <= 0:
            return QuotaReply(ResultCode.OK)
        return self._shares.reply_to(customer, request)

    def _live_nodes(self) -> dict[str, VmRecord]:
        if self._view.version != self._nodes_version:
            self._nodes_version = self._view.version
            before = self._nodes
            self._nodes = {vm.vm_id: vm for vm in self._view.live_vms() if vm.agent_port}
            self._seen_members.update(self._nodes)
            for name in self._nodes.keys() - before.keys():
                self._silent_nodes.record_answer(name)
        return self._nodes

    def _current_index(self) -> CustomerIndex:
        """Return the customers of the current configuration, and drop the state of removed ones."""
        index = self._customers()
        if index is not self._last_index:
            self._last_index = index
            names = index.by_name.keys()
            self._shares.retain(names)
            self._usage = {name: use for name, use in self._usage.items() if name in names}
        return index


def _unknown_use(name: str) -> Err[Fault]:
    """Refuse a call that may be within its customer's limit; another node may admit it."""
    text = f"no reachable node knows how much of its limit customer {name!r} uses"
    return Err(Fault(ResultCode.QUOTA_UNKNOWN, text, _UNKNOWN_RETRY_MS))


def _over_limit(name: str, retry_after_ms: int) -> Err[Fault]:
    text = f"customer {name!r} is over its limit of calls"
    return Err(Fault(ResultCode.OVER_LIMIT, text, retry_after_ms))
