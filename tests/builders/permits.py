"""Builders for tests of permits: requests, ends, queues, and an owner served on a real socket."""

import itertools
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.engine_checks import engine_checks
from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import PermitClient, open_permit_client
from fescuedock.agent.permit_service import PermitService
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.net.channel import serve_channel
from fescuedock.net.codec import Codec
from fescuedock.net.http_client import HttpClient
from fescuedock.schema import permits
from fescuedock.schema.config import Configuration, Objectives
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, PermitAsk, WorkClass
from fescuedock.schema.settings import AgentSettings, PermitSettings, PlatformSettings, VmSettings
from fescuedock.schema.view import Program, UpstreamKind, UpstreamRecord, VmRecord, VmState
from fescuedock.settings import Settings

__all__ = [
    "SERVICE",
    "VALID_MS",
    "ServedOwner",
    "ask_for",
    "end_of",
    "new_queue",
    "served_owner",
    "settings_for",
    "upstream_record",
]

VALID_MS = 600
SERVICE = "admision-llm"
_numbers = itertools.count()


def ask_for(work_class: WorkClass = WorkClass.ONLINE, **changes: object) -> PermitAsk:
    """Return a request for a new attempt; by default online, of one holder, not to be queued."""
    fields: dict = {
        "upstream_id": "u1",
        "attempt_id": f"attempt-{next(_numbers)}",
        "holder_id": "h1",
        "service": SERVICE,
        "member": "m1",
        "work_class": work_class,
        "slack_ms": 10_000 if work_class is WorkClass.ONLINE else 3_600_000,
        "prompt_tokens": 100,
        "wait_ms": 0 if work_class is WorkClass.ONLINE else 60_000,
    }
    return PermitAsk(**{**fields, **changes})


def end_of(ask: PermitAsk, outcome: AttemptOutcome, **changes: object) -> EndedPermit:
    return EndedPermit(ask.attempt_id, ask.upstream_id, outcome, ask.work_class, **changes)


def new_queue(
    settings: PermitSettings | None = None,
    terms: UpstreamTerms | None = None,
    rebuild_ms: float = 0.0,
) -> UpstreamQueue:
    """Return the queue of upstream "u1" at time 0."""
    return UpstreamQueue(
        "u1",
        settings or PermitSettings(),
        terms or UpstreamTerms(Objectives(online_weight=0.0)),
        VALID_MS,
        rebuild_ms,
        0.0,
    )


def settings_for(vm_id: str = "vm1") -> Settings:
    return Settings(
        vm=VmSettings(vm_id, "127.0.0.1", "r1", "d1"),
        platform=PlatformSettings("127.0.0.1:1", "127.0.0.1:1"),
        agent=AgentSettings(0, permit_valid_ms=VALID_MS),
        permits=PermitSettings(load_poll_ms=50),
    )


def upstream_record(port: int = 9, **changes: object) -> UpstreamRecord:
    fields: dict = {
        "upstream_id": "u1",
        "region": "r1",
        "failure_domain": "d1",
        "host": "127.0.0.1",
        "port": port,
        "kind": UpstreamKind.PLAIN,
        "service": SERVICE,
    }
    return UpstreamRecord(**{**fields, **changes})


@dataclass(slots=True)
class ServedOwner:
    """An agent that owns "u1", one holder's client, and the fleet view that each follows."""

    service: PermitService
    owner_view: FleetView
    view: FleetView
    client: PermitClient
    address: Address
    _version: int = 1

    def show(self, upstream: UpstreamRecord, address: Address | None = None) -> None:
        """Publish ``upstream``, and the owner at ``address`` (the real one by default), to both."""
        self._version += 1
        self._show(self.owner_view, upstream, address)
        self._show(self.view, upstream, address)

    def show_holder(self, upstream: UpstreamRecord) -> None:
        """Publish ``upstream`` to the holder only, so that the owner does not know of it yet."""
        self._version += 1
        self._show(self.view, upstream, None)

    def _show(self, view: FleetView, upstream: UpstreamRecord, address: Address | None) -> None:
        port = (address or self.address).port
        vm = VmRecord("vm1", "r1", "d1", "127.0.0.1", 1, VmState.ALIVE, agent_port=port)
        vm.ready = [Program.AGENT]
        view.replace(self._version, [vm], [upstream], 0.0)


@asynccontextmanager
async def served_owner(
    upstream: UpstreamRecord | None = None, *, same_process: bool = False
) -> AsyncIterator[ServedOwner]:
    """Serve a permit service on a free port and open a client to it.

    With ``same_process`` the client knows that the owner is its own node.
    """
    settings = settings_for()
    codec = Codec([permits])
    owner_view, view = FleetView("vm1"), FleetView("vm1")
    for each in (owner_view, view):
        each.replace_configuration(1, 1, Configuration(), 0.0)
    async with trio.open_nursery() as nursery:
        service = PermitService(
            settings, owner_view, engine_checks(HttpClient(), random.Random(1)), random.Random(1)
        )
        handlers = service.handlers()

        async def handle(message: object, peer: object) -> object:
            return await handlers[type(message)](message, peer)

        address = await nursery.start(serve_channel, Address("127.0.0.1", 0), codec, handle)
        nursery.start_soon(service.run)
        own = {}
        if same_process:
            agent = msgspec.structs.replace(settings.agent, port=address.port)
            vm = msgspec.structs.replace(settings.vm, host=address.host)
            settings = msgspec.structs.replace(settings, agent=agent, vm=vm)
            own = {"handlers": handlers}
        async with open_permit_client(settings, codec, view, "h1", **own) as client:
            owner = ServedOwner(service, owner_view, view, client, address)
            owner.show(upstream or upstream_record())
            yield owner
        nursery.cancel_scope.cancel()
