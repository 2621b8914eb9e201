"""Gives orders to the engines of the upstreams that this VM's agent owns.

No lease is held and no record written while an upstream matches its placement.
"""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.agent.load_slots import LoadSlots
from fescuedock.agent.served_upstream import ServedUpstream
from fescuedock.backing.engine_control import EngineControl
from fescuedock.backing.engine_wire import EngineOrder
from fescuedock.clock import now_ms
from fescuedock.core.orders.fencing import OrderHolder, Phase
from fescuedock.core.orders.placement import (
    lacks_model,
    next_order,
    placement_of,
    uses_weight_store,
    without_unlisted,
)
from fescuedock.core.orders.steps import ReadRecord, SendOrder, SendOutcome, Wait, Write
from fescuedock.faults import Fault
from fescuedock.kv import KvStore
from fescuedock.log import log_event
from fescuedock.schema.orders import LoadSlot, OrderRecord, PlannedOrder
from fescuedock.schema.permits import LoadSnapshot
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from fescuedock.settings import Settings

if TYPE_CHECKING:
    from fescuedock.agent.link import FleetView

__all__ = ["ORDERS_PREFIX", "SLOTS_PREFIX", "OrderService"]

ORDERS_PREFIX = "orders/"
SLOTS_PREFIX = "load-slots/"
_MAX_CONCURRENT_ORDERS = 4
_ROUNDING_MS = 1.0
_OUTCOMES = {
    ResultCode.PEER_UNREACHABLE: SendOutcome.NOT_SENT,
    ResultCode.PEER_UNKNOWN: SendOutcome.UNKNOWN,
    ResultCode.SUPERSEDED_ORDER: SendOutcome.SUPERSEDED,
    ResultCode.UPSTREAM_REJECTED: SendOutcome.REJECTED,
}


class OrderService:
    """Created once by the agent, which runs ``run``; follows ``view``.

    ``load_of`` returns the load of an upstream that this VM owns, from which demand is derived.
    """

    def __init__(
        self,
        settings: Settings,
        kv: KvStore,
        view: "FleetView",
        control: EngineControl,
        load_of: Callable[[str], LoadSnapshot],
        rng: Random,
    ) -> None:
        self._settings = settings
        self._kv = kv
        self._view = view
        self._control = control
        self._load_of = load_of
        self._prefix = settings.platform.key_prefix + ORDERS_PREFIX
        self._slots = LoadSlots(kv, settings.platform.key_prefix + SLOTS_PREFIX, settings.orders)
        self._holder_id = f"{settings.vm.vm_id}/{rng.getrandbits(64):016x}"
        self._order_limiter = trio.CapacityLimiter(_MAX_CONCURRENT_ORDERS)
        self._serving: dict[str, ServedUpstream] = {}
        # Called when ``is_loading`` may have changed for an upstream.
        self.on_change: Callable[[], None] = _do_nothing

    def is_loading(self, upstream_id: str) -> bool:
        """Whether the upstream is known to lack a model that requests may need."""
        served = self._serving.get(upstream_id)
        return served is not None and served.is_loading

    async def run(self) -> None:
        """Follow the view and serve each engine that this VM owns; runs until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                version = self._view.version
                for upstream in self._owned():
                    if upstream.upstream_id not in self._serving:
                        served = self._new_served(upstream)
                        self._serving[upstream.upstream_id] = served
                        nursery.start_soon(self._serve, served)
                for served in self._serving.values():
                    served.wake.set()
                await self._view.wait_changed(version)

    def _owned(self) -> list[UpstreamRecord]:
        return [
            item
            for item in self._view.upstreams.values()
            if item.kind is UpstreamKind.ENGINE and self._owns(item.upstream_id)
        ]

    def _owns(self, upstream_id: str) -> bool:
        owner = self._view.owner_of(upstream_id)
        return owner is not None and owner.vm_id == self._settings.vm.vm_id

    def _new_served(self, upstream: UpstreamRecord) -> ServedUpstream:
        return ServedUpstream(upstream, OrderHolder(self._holder_id, False, self._settings.orders))

    async def _serve(self, served: ServedUpstream) -> None:
        """Bring one upstream to its placement and keep it there, while this VM owns it."""
        name = served.upstream.upstream_id
        while self._owns(name) or served.holder.is_holding:
            served.refresh(self._view)
            served.wake = trio.Event()
            if served.holder.phase is Phase.UNKNOWN:
                await self._read_state(served)
            elif served.has_work(self._next_order(served)):
                async with self._order_limiter:
                    wait_ms = await self._run_steps(served)
                wait_ms = min(max(wait_ms, 0), self._settings.orders.settled_poll_ms)
                with trio.move_on_after((wait_ms + _ROUNDING_MS) / 1000):
                    await served.wake.wait()
            else:
                await self._wait_and_recheck(served)
        del self._serving[name]

    async def _read_state(self, served: ServedUpstream) -> None:
        """Read the upstream's order record and the engine's own list of models."""
        await self._read(served)
        served.listed = (await self._control.models(served.upstream)).ok()
        self._update_loading(served)

    async def _wait_and_recheck(self, served: ServedUpstream) -> None:
        with trio.move_on_after(self._settings.orders.settled_poll_ms / 1000):
            await served.wake.wait()
            return
        match await self._control.models(served.upstream):
            case Ok(listed):
                served.listed = listed
                served.holder.state = without_unlisted(served.holder.state, listed)
                self._update_loading(served)

    def _update_loading(self, served: ServedUpstream) -> None:
        """Update whether requests must avoid the upstream; without information they need not."""
        loading = False
        if served.listed is not None and not served.refused_orders(now_ms()):
            placement = placement_of(self._view.configuration, served.upstream)
            loading = lacks_model(served.holder.state, served.listed, placement)
        if loading is not served.is_loading:
            served.is_loading = loading
            self.on_change()

    async def _run_steps(self, served: ServedUpstream) -> float:
        """Take steps until nothing is due while no lease is held; return the ms to wait."""
        while True:
            # A step may take as long as an order, during which the upstream may begin to leave.
            served.refresh(self._view)
            wanted = self._next_order(served)
            match served.holder.step(wanted, now_ms()):
                case ReadRecord():
                    await self._read(served)
                case Write() as write:
                    await self._write(served, write)
                case SendOrder() as command:
                    await self._send_in_slot(served, command)
                case Wait(until_ms) if served.holder.is_holding:
                    await _sleep_past(until_ms)
                case Wait(until_ms):
                    return until_ms - now_ms()

    def _next_order(self, served: ServedUpstream) -> PlannedOrder | None:
        """Return the next order; None if there is none, or the upstream is leaving or not owned."""
        if served.upstream.leaving or not self._owns(served.upstream.upstream_id):
            return None
        placement = placement_of(self._view.configuration, served.upstream)
        return next_order(served.holder.state, placement, served.refused_orders(now_ms()))

    def _has_online_demand(self, service: str) -> bool:
        loads = [
            self._load_of(item.upstream_id) for item in self._owned() if item.service == service
        ]
        return any(load.queued_online + load.in_flight_online for load in loads)

    async def _read(self, served: ServedUpstream) -> None:
        match await self._kv.get(self._key(served)):
            case Ok(None):
                served.holder.on_read(None, 0, now_ms())
            case Ok(entry):
                record = msgspec.msgpack.decode(entry.value, type=OrderRecord)
                served.holder.on_read(record, entry.mod_revision, now_ms())
            case Err(_):
                await trio.sleep(self._settings.orders.retry_ms / 1000)

    async def _write(self, served: ServedUpstream, write: Write) -> None:
        data = msgspec.msgpack.encode(write.record)
        served.holder.begin_write(write, now_ms())
        match await self._kv.put_if(self._key(served), data, write.expected_revision):
            case Ok(revision):
                served.holder.on_write(revision, True, now_ms())
            case Err(fault):
                certain = fault.code is ResultCode.KV_CONFLICT
                served.holder.on_write(None, certain, now_ms())
                await trio.sleep(self._settings.orders.retry_ms / 1000)

    def _key(self, served: ServedUpstream) -> str:
        return self._prefix + served.upstream.upstream_id

    async def _send_in_slot(self, served: ServedUpstream, command: SendOrder) -> None:
        """Give the order while renewing the lease; stop when the lease has expired.

        The scope's deadline covers sending too: after a pause of this process, trio cancels the
        scope before anything is sent.
        """
        outcome = SendOutcome.NOT_SENT
        scope = trio.CancelScope(deadline=command.until_ms / 1000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew, served, scope)
            with scope:
                async with self._slot(served.upstream, command.order):
                    outcome = SendOutcome.UNKNOWN
                    outcome = await self._send(served.upstream.upstream_id, command)
            nursery.cancel_scope.cancel()
        if outcome is SendOutcome.REJECTED:
            served.record_refusal(command.order, now_ms())
        served.holder.on_order_sent(outcome, now_ms())
        self._update_loading(served)

    def _slot(
        self, upstream: UpstreamRecord, order: PlannedOrder
    ) -> AbstractAsyncContextManager[None]:
        if not uses_weight_store(order):
            return nullcontext()
        slot = LoadSlot(self._holder_id, upstream.upstream_id, order.model)
        return self._slots.claim(slot, lambda: self._has_online_demand(upstream.service))

    async def _renew(self, served: ServedUpstream, scope: trio.CancelScope) -> None:
        holder = served.holder
        while holder.is_holding:
            scope.deadline = holder.lease_end_ms / 1000
            await _sleep_past(holder.renewal_due_ms)
            write = holder.renewal(now_ms())
            if write is not None:
                await self._write(served, write)
            else:
                await self._read(served)

    async def _send(self, upstream_id: str, command: SendOrder) -> SendOutcome:
        """Send an order to the upstream at its address in the current view.

        The order may have waited long for its slot; if the upstream has gone meanwhile, its address
        may belong to another one.
        """
        upstream = self._view.upstreams.get(upstream_id)
        if upstream is None:
            return SendOutcome.NOT_SENT
        order = command.order
        message = EngineOrder(
            command.fencing, order.kind.value, order.model, order.version, order.adapter, order.role
        )
        result: Result[None, Fault] = await self._control.order(
            upstream, message, self._settings.orders.longest_order_ms
        )
        match result:
            case Ok(_):
                outcome = SendOutcome.DONE
            case Err(fault):
                outcome = _OUTCOMES.get(fault.code, SendOutcome.UNKNOWN)
        log_event(
            "order_given",
            upstream_id=upstream.upstream_id,
            fencing=command.fencing,
            order=order.kind.value,
            model=order.model,
            version=order.version,
            adapter=order.adapter,
            outcome=outcome.value,
        )
        return outcome


def _do_nothing() -> None:
    """Ignore the change; the default of ``on_change``."""


async def _sleep_past(until_ms: float) -> None:
    """Sleep until slightly after a time, so that rounding does not end the sleep before it."""
    await trio.sleep_until((until_ms + _ROUNDING_MS) / 1000)
