"""Builders for order tests: an engine that records its orders, a view of upstreams, an agent."""

from dataclasses import dataclass, field
from random import Random

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.agent.link import FleetView
from fescuedock.agent.order_service import OrderService
from fescuedock.backing.engine_wire import EngineOrder
from fescuedock.faults import Fault
from fescuedock.schema.config import Configuration
from fescuedock.schema.permits import LoadSnapshot
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import AgentSettings, OrderSettings, PlatformSettings, VmSettings
from fescuedock.schema.view import Program, UpstreamKind, UpstreamRecord
from fescuedock.settings import Settings
from tests.builders.config import vm_record
from tests.builders.kv import MemoryKv

__all__ = [
    "LoggedEngine",
    "configuration",
    "order_service",
    "order_view",
    "show_upstreams",
    "upstream",
]


@dataclass
class LoggedEngine:
    """Fake of ``EngineControl``; orders take ``order_s`` and end with the next of ``faults``."""

    order_s: float = 30.0
    started: list[EngineOrder] = field(default_factory=list)
    done: list[EngineOrder] = field(default_factory=list)
    # The upstream of each order received.
    ordered_upstreams: list[str] = field(default_factory=list)
    faults: list[ResultCode | None] = field(default_factory=list)
    max_concurrent: int = 0
    _running: int = 0
    _changed: trio.Event = field(default_factory=trio.Event)

    async def wait_started(self, count: int) -> None:
        """Return when ``count`` orders have started."""
        while len(self.started) < count:
            await self._changed.wait()

    async def order(
        self, upstream: UpstreamRecord, order: EngineOrder, _timeout_ms: float
    ) -> Result[None, Fault]:
        self.ordered_upstreams.append(upstream.upstream_id)
        self.started.append(order)
        self._changed.set()
        self._changed = trio.Event()
        self._running += 1
        self.max_concurrent = max(self.max_concurrent, self._running)
        try:
            await trio.sleep(self.order_s)
        finally:
            self._running -= 1
        code = self.faults.pop(0) if self.faults else None
        if code is not None:
            return Err(Fault(code, "on command"))
        self.done.append(order)
        return Ok(None)

    async def models(self, _upstream: UpstreamRecord) -> Result[frozenset[str], Fault]:
        return Ok(frozenset(order.adapter or order.model for order in self.done))


def configuration(order_check: str = "ignored", version: str = "1") -> Configuration:
    """Return a configuration of one model with an adapter."""
    model = {"version": version, "adapters": ["letters"]}
    service = {"kind": "model", "models": {"chat": model}, "order_check": order_check}
    return msgspec.convert({"services": {"desk": service}}, Configuration)


def upstream(name: str = "worker-1") -> UpstreamRecord:
    """Return the record of an engine of the service in ``configuration``."""
    return UpstreamRecord(name, "caldas", "hall", "127.0.0.1", 1, UpstreamKind.ENGINE, "desk")


def order_view(
    vm_id: str, owners: list[str], names: tuple[str, ...], config: Configuration
) -> FleetView:
    """Return the view of ``vm_id`` when the VMs ``owners`` are alive."""
    view = FleetView(vm_id)
    vms = [msgspec.structs.replace(vm_record(o, "hall"), ready=[Program.AGENT]) for o in owners]
    view.replace_configuration(0, 1, config, 0.0)
    view.replace(1, vms, [upstream(name) for name in names], 0.0)
    return view


def show_upstreams(view: FleetView, *upstreams: UpstreamRecord) -> None:
    """Replace the upstreams in ``view``."""
    view.replace(view.version + 1, list(view.vms.values()), list(upstreams), 0.0)


def order_service(kv: MemoryKv, engine: LoggedEngine, view: FleetView) -> OrderService:
    """Return the order service of one agent whose upstreams have no online requests."""
    settings = Settings(
        vm=VmSettings(view.vm_id, "127.0.0.1", "caldas", "hall"),
        platform=PlatformSettings("127.0.0.1:1", "127.0.0.1:1"),
        agent=AgentSettings(port=0),
        orders=OrderSettings(load_slots=3, loads_per_model=2),
    )

    def no_load(name: str) -> LoadSnapshot:
        return LoadSnapshot(name, 0, 0, 0, 0, 0.0, True)

    return OrderService(settings, kv, view, engine, no_load, Random(view.vm_id))
