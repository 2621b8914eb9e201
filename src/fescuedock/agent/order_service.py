"""Gives orders to the engines of the upstreams that this VM's agent owns.

Nothing is held and nothing written while an upstream has what it has to have.
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
_MAX_AT_ONCE = 4
_ROUNDING_MS = 1.0
_OUTCOMES = {
    ResultCode.PEER_UNREACHABLE: SendOutcome.NOT_SENT,
    ResultCode.PEER_UNKNOWN: SendOutcome.UNKNOWN,
    ResultCode.SUPERSEDED_ORDER: SendOutcome.SUPERSEDED,
    ResultCode.UPSTREAM_REJECTED: SendOutcome.REJECTED,
}


class OrderService:
    """Made once by the agent, which runs ``run``; follows ``view``.

    ``load_of`` gives the load of an upstream that this VM owns, as evidence of demand.
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
        self._turns = trio.CapacityLimiter(_MAX_AT_ONCE)
        self._serving: dict[str, ServedUpstream] = {}
        # Called when ``is_loading`` may have changed for an upstream.
        self.on_change: Callable[[], None] = _ignore

    def is_loading(self, upstream_id: str) -> bool:
        """Whether the upstream is known to lack a model that requests may ask it for."""
        part = self._serving.get(upstream_id)
        return part is not None and part.is_loading

    async def run(self) -> None:
        """Follow the view and serve each engine that this VM owns, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                version = self._view.version
                for upstream in self._owned():
                    if upstream.upstream_id not in self._serving:
                        part = self._new_part(upstream)
                        self._serving[upstream.upstream_id] = part
                        nursery.start_soon(self._serve, part)
                for part in self._serving.values():
                    part.wake.set()
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

    def _new_part(self, upstream: UpstreamRecord) -> ServedUpstream:
        return ServedUpstream(upstream, OrderHolder(self._holder_id, False, self._settings.orders))

    async def _serve(self, part: ServedUpstream) -> None:
        """Bring one upstream to what it has to have, and keep it there, while it is ours."""
        name = part.upstream.upstream_id
        while self._owns(name) or part.holder.is_holding:
            part.refresh(self._view)
            part.wake = trio.Event()
            if part.holder.phase is Phase.UNKNOWN:
                await self._learn(part)
            elif part.has_work(self._wanted(part)):
                async with self._turns:
                    wait_ms = await self._work(part)
                wait_ms = min(max(wait_ms, 0), self._settings.orders.settled_poll_ms)
                with trio.move_on_after((wait_ms + _ROUNDING_MS) / 1000):
                    await part.wake.wait()
            else:
                await self._rest(part)
        del self._serving[name]

    async def _learn(self, part: ServedUpstream) -> None:
        """Read what the record and the engine itself say of the upstream."""
        await self._read(part)
        part.listed = (await self._control.models(part.upstream)).ok()
        self._judge(part)

    async def _rest(self, part: ServedUpstream) -> None:
        with trio.move_on_after(self._settings.orders.settled_poll_ms / 1000):
            await part.wake.wait()
            return
        match await self._control.models(part.upstream):
            case Ok(listed):
                part.listed = listed
                part.holder.state = without_unlisted(part.holder.state, listed)
                self._judge(part)

    def _judge(self, part: ServedUpstream) -> None:
        """Judge whether requests have to stay away; without knowledge they need not."""
        loading = False
        if part.listed is not None and not part.refused(now_ms()):
            placement = placement_of(self._view.configuration, part.upstream)
            loading = lacks_model(part.holder.state, part.listed, placement)
        if loading is not part.is_loading:
            part.is_loading = loading
            self.on_change()

    async def _work(self, part: ServedUpstream) -> float:
        """Take steps until there is nothing to do or a wait without holding; returns the wait."""
        while True:
            # Each step may take as long as an order, in which the upstream may begin to leave.
            part.refresh(self._view)
            wanted = self._wanted(part)
            match part.holder.step(wanted, now_ms()):
                case ReadRecord():
                    await self._read(part)
                case Write() as write:
                    await self._write(part, write)
                case SendOrder() as give:
                    await self._give(part, give)
                case Wait(until_ms) if part.holder.is_holding:
                    await _sleep_past(until_ms)
                case Wait(until_ms):
                    return until_ms - now_ms()

    def _wanted(self, part: ServedUpstream) -> PlannedOrder | None:
        """Return the next order; None too when the upstream is no longer ours or is leaving."""
        if part.upstream.leaving or not self._owns(part.upstream.upstream_id):
            return None
        placement = placement_of(self._view.configuration, part.upstream)
        return next_order(part.holder.state, placement, part.refused(now_ms()))

    def _has_online_demand(self, service: str) -> bool:
        loads = [
            self._load_of(item.upstream_id) for item in self._owned() if item.service == service
        ]
        return any(load.queued_online + load.in_flight_online for load in loads)

    async def _read(self, part: ServedUpstream) -> None:
        match await self._kv.get(self._key(part)):
            case Ok(None):
                part.holder.on_read(None, 0, now_ms())
            case Ok(entry):
                record = msgspec.msgpack.decode(entry.value, type=OrderRecord)
                part.holder.on_read(record, entry.mod_revision, now_ms())
            case Err(_):
                await trio.sleep(self._settings.orders.retry_ms / 1000)

    async def _write(self, part: ServedUpstream, write: Write) -> None:
        data = msgspec.msgpack.encode(write.record)
        part.holder.begin_write(write, now_ms())
        match await self._kv.put_if(self._key(part), data, write.expected_revision):
            case Ok(revision):
                part.holder.on_write(revision, True, now_ms())
            case Err(fault):
                certain = fault.code is ResultCode.KV_CONFLICT
                part.holder.on_write(None, certain, now_ms())
                await trio.sleep(self._settings.orders.retry_ms / 1000)

    def _key(self, part: ServedUpstream) -> str:
        return self._prefix + part.upstream.upstream_id

    async def _give(self, part: ServedUpstream, give: SendOrder) -> None:
        """Give the order, renewing the lease meanwhile; stop when the lease has run out.

        The scope's deadline covers the sending too: after a pause of this process the loop sees
        that it has passed before it lets anything be sent.
        """
        outcome = SendOutcome.NOT_SENT
        scope = trio.CancelScope(deadline=give.until_ms / 1000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew, part, scope)
            with scope:
                async with self._slot(part.upstream, give.order):
                    outcome = SendOutcome.UNKNOWN
                    outcome = await self._send(part.upstream.upstream_id, give)
            nursery.cancel_scope.cancel()
        if outcome is SendOutcome.REJECTED:
            part.refuse(give.order, now_ms())
        part.holder.on_order_sent(outcome, now_ms())
        self._judge(part)

    def _slot(
        self, upstream: UpstreamRecord, order: PlannedOrder
    ) -> AbstractAsyncContextManager[None]:
        if not uses_weight_store(order):
            return nullcontext()
        slot = LoadSlot(self._holder_id, upstream.upstream_id, order.model)
        return self._slots.claim(slot, lambda: self._has_online_demand(upstream.service))

    async def _renew(self, part: ServedUpstream, scope: trio.CancelScope) -> None:
        holder = part.holder
        while holder.is_holding:
            scope.deadline = holder.lease_end_ms / 1000
            await _sleep_past(holder.renewal_due_ms)
            write = holder.renewal(now_ms())
            if write is not None:
                await self._write(part, write)
            else:
                await self._read(part)

    async def _send(self, upstream_id: str, give: SendOrder) -> SendOutcome:
        """Send an order to the upstream as the view has it now.

        The order may have waited long for its slot; the address of an upstream that has gone
        meanwhile may be another one's.
        """
        upstream = self._view.upstreams.get(upstream_id)
        if upstream is None:
            return SendOutcome.NOT_SENT
        order = give.order
        message = EngineOrder(
            give.fencing, order.kind.value, order.model, order.version, order.adapter, order.role
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
            fencing=give.fencing,
            order=order.kind.value,
            model=order.model,
            version=order.version,
            adapter=order.adapter,
            outcome=outcome.value,
        )
        return outcome


def _ignore() -> None:
    """Stand for nobody who wants to know."""


async def _sleep_past(until_ms: float) -> None:
    """Sleep until a little after a time, so that rounding does not wake us before it."""
    await trio.sleep_until((until_ms + _ROUNDING_MS) / 1000)
