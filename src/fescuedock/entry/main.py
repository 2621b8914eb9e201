"""The entry program: serves HTTP to callers and operators, on every VM."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from secrets import token_hex

import trio

from fescuedock.address import Address
from fescuedock.agent.codec import open_codec
from fescuedock.agent.link import AgentLink, FleetView, open_agent_link
from fescuedock.agent.permit_client import open_permit_client
from fescuedock.backing.etcd import EtcdKv
from fescuedock.clock import now_ms, unix_clock
from fescuedock.core.entry_availability import EntryAvailability
from fescuedock.daemon import Stop, run_program
from fescuedock.entry.app import entry_handler
from fescuedock.entry.claiming import sweep_claims_forever
from fescuedock.entry.context import EntryContext
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.http_client import open_http_client
from fescuedock.net.http_server import Handler, HttpLimits, HttpServer, Request, Responder
from fescuedock.report.metrics import Metrics
from fescuedock.schema.config import Objectives, ServiceSpec
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import EntrySettings
from fescuedock.schema.view import Program
from fescuedock.settings import Settings
from fescuedock.store.client import open_store_client

__all__ = ["main", "run_entry"]

_STARTING = Fault(ResultCode.NO_CAPACITY, "this entry does not know the fleet yet", 500)


@dataclass(slots=True)
class _Entry:
    """The state of the entry program."""

    settings: Settings
    server: HttpServer = field(init=False)
    handler: Handler | None = None
    view: FleetView | None = None
    leaving: bool = False
    served: trio.Event = field(default_factory=trio.Event)
    availability: EntryAvailability = field(init=False)

    def __post_init__(self) -> None:
        settings = self.settings.entry
        self.server = HttpServer(self.handle, _limits(settings))
        self.availability = EntryAvailability(settings.leave_spread_ms + settings.answer_valid_ms)

    @property
    def joined(self) -> bool:
        """Whether this entry knows the fleet and its configuration."""
        return self.view is not None and self.view.version > 0

    @property
    def ready(self) -> bool:
        return self.joined and not self.leaving

    async def serve(self, address: Address, *, task_status: trio.TaskStatus[Address]) -> None:
        """Serve on ``address`` until the server is stopped and its last request has ended."""
        await self.server.serve(address, task_status=task_status)
        self.served.set()

    def refusal(self) -> Fault | None:
        """Return why new work is refused; a leaving entry accepts it until it closes."""
        if self.leaving:
            return None
        return self.availability.refusal(self.view.config_version, now_ms())

    async def follow_listing(self) -> None:
        """Track forever whether this VM's agent lists this entry in the fleet."""
        version = 0
        while True:
            own = self.view.vms.get(self.settings.vm.vm_id)
            self.availability.record_listing(
                own is not None and Program.ENTRY in own.ready, now_ms()
            )
            version = await self.view.wait_changed(version)

    async def handle(self, request: Request, responder: Responder) -> None:
        if self.handler is not None and self.joined:
            await self.handler(request, responder)
            return
        await responder.send_fault(_STARTING)

    def objectives(self, service: str) -> Objectives:
        spec: ServiceSpec | None = None
        if self.view is not None:
            spec = self.view.configuration.services.get(service)
        return Objectives() if spec is None else spec.objectives


async def run_entry(
    settings: Settings,
    stop: Stop,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers until ``stop`` and the graceful shutdown that follows.

    Report the bound address once requests are accepted.  The settings need the sections [entry],
    [agent] (the agent of the same VM) and [batch] (jobs are accepted under these settings).
    """
    entry = _Entry(settings)
    address = Address(settings.vm.host, settings.entry.port)
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(entry.serve, address)
        async with _open_context(entry, bound) as context:
            entry.view = context.view
            entry.handler = entry_handler(context, entry.refusal)
            nursery.start_soon(entry.follow_listing)
            nursery.start_soon(sweep_claims_forever, context)
            task_status.started(bound)
            await stop.wait()
            await _leave(entry, context.agent)
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def _open_context(entry: _Entry, bound: Address) -> AsyncIterator[EntryContext]:
    settings = entry.settings
    codec = open_codec(settings.vm)
    holder_id = f"{settings.vm.vm_id}/entry/{token_hex(8)}"
    clock = unix_clock()
    link_to_agent = open_agent_link(
        settings,
        codec,
        Program.ENTRY,
        bound.port,
        ready=lambda: entry.ready,
        in_flight=lambda: entry.server.in_flight,
    )
    async with (
        open_http_client() as http,
        link_to_agent as (agent, view),
        open_permit_client(settings, codec, view, holder_id) as permits,
        open_store_client(codec, view, settings.batch) as stores,
    ):
        kv = EtcdKv(http, settings.platform)
        metrics = Metrics(holder_id, clock, entry.objectives)
        yield EntryContext(settings, view, agent, permits, stores, kv, http, metrics, clock)


async def _leave(entry: _Entry, agent: AgentLink) -> None:
    """Shut down without interrupting callers, within ``vm.stop_timeout_ms``.

    First the other VMs must stop listing this entry, then the answers that list it must expire, and
    finally the requests in flight must end.
    """
    settings = entry.settings
    stop_at_ms = now_ms() + settings.vm.stop_timeout_ms
    entry.leaving = True
    with trio.move_on_at(stop_at_ms / 1000):
        notified = await agent.hello()
        log_event("entry_leaving", agent_told=notified, in_flight=entry.server.in_flight)
        await trio.sleep((settings.entry.leave_spread_ms + settings.entry.answer_valid_ms) / 1000)
    entry.server.stop()
    with trio.move_on_at(stop_at_ms / 1000):
        await entry.served.wait()
    log_event("entry_left", in_flight=entry.server.in_flight)


def _limits(settings: EntrySettings) -> HttpLimits:
    return HttpLimits(
        max_header_bytes=settings.max_header_bytes,
        read_timeout_ms=settings.request_read_timeout_ms,
        write_timeout_ms=settings.write_timeout_ms,
    )


def main() -> None:
    """Run ``fescuedock-entry FILE``."""
    run_program("entry", run_entry, sections=("entry", "agent", "batch"))
