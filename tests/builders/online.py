"""Builders for online tests: entries over stand-in engines, with a real owner of permits.

The agent is replaced by a hand-made fleet view; everything else is production code.
"""

import functools
import random
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractContextManager, asynccontextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from unittest import mock

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.engine_checks import engine_checks
from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import open_permit_client
from fescuedock.agent.permit_service import PermitService
from fescuedock.backing.etcd import EtcdKv
from fescuedock.clock import unix_clock
from fescuedock.core.route_learning import RequestTimeout
from fescuedock.entry.app import entry_handler
from fescuedock.entry.context import EntryContext
from fescuedock.net.channel import serve_channel
from fescuedock.net.codec import Codec
from fescuedock.net.http_client import HttpClient
from fescuedock.net.http_server import HttpLimits, HttpServer
from fescuedock.report.metrics import Metrics
from fescuedock.schema import permits
from fescuedock.schema.config import (
    Configuration,
    MemberSpec,
    ModelSpec,
    ServiceKind,
    ServiceSpec,
)
from fescuedock.schema.settings import (
    AgentSettings,
    BatchSettings,
    EntrySettings,
    PermitSettings,
    StandinSettings,
    VmSettings,
)
from fescuedock.schema.view import Program, UpstreamKind, UpstreamRecord, VmRecord, VmState
from fescuedock.settings import Settings
from fescuedock.standin.platform import Standins, run_standins
from fescuedock.standin.token_text import answer_text
from fescuedock.store.client import open_store_client

__all__ = [
    "MODEL",
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "OnlineFleet",
    "ReadStream",
    "chat_body",
    "open_fleet",
    "oracle_text",
    "long_permit_timeout",
    "read_stream",
    "record",
    "run",
    "wait_until",
    "with_fleet",
]

HOST = "127.0.0.1"
MODEL = "demo-model"
MODEL_SERVICE = "demo-llm"
PLAIN_SERVICE = "demo-plain"
MEMBER_KEY = "key-of-escuela"
_DOMAIN = "hall-a"


@dataclass(slots=True)
class Owner:
    """The only owner of all upstreams.

    With ``silent`` it accepts permit requests but never replies; ``delay_ms`` delays its replies.
    """

    service: PermitService
    address: Address
    silent: bool = False
    delay_ms: float = 0.0
    permit_requests: int = 0


@dataclass(slots=True)
class OnlineFleet:
    """Entries that share the stand-ins and the fleet view."""

    standins: Standins
    view: FleetView
    owner: Owner | None = None
    entries: list[Address] = field(default_factory=list)
    contexts: list[EntryContext] = field(default_factory=list)
    http: HttpClient = field(default_factory=HttpClient)
    _version: int = 1

    @property
    def entry(self) -> Address:
        return self.entries[0]

    def update_view(self, *more: UpstreamRecord, leaving: tuple[str, ...] = ()) -> None:
        """Replace the view: all stand-ins, those in ``leaving`` as leaving, and ``more``."""
        self._version += 1
        vm = VmRecord("vm1", "local", _DOMAIN, HOST, 1, VmState.ALIVE)
        if self.owner is not None:
            vm.agent_port = self.owner.address.port
            vm.ready = [Program.AGENT]
        upstreams = [
            record(name, item.address, UpstreamKind.ENGINE, MODEL_SERVICE, name in leaving)
            for name, item in self.standins.engines.items()
        ]
        upstreams += [
            record(name, item.address, UpstreamKind.PLAIN, PLAIN_SERVICE, name in leaving)
            for name, item in self.standins.plain.items()
        ]
        self.view.replace(self._version, [vm], [*upstreams, *more], 0.0)

    async def post(
        self,
        path: str,
        body: object,
        headers: dict[str, str] | None = None,
        entry: int = 0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a POST to an entry; return status, headers and body."""
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        fields = list((headers or {}).items())
        async with self.http.request(self.entries[entry], "POST", path, fields, data) as response:
            return response.status, dict(response.headers), await response.read()


def record(
    name: str, address: Address, kind: UpstreamKind, service: str, leaving: bool = False
) -> UpstreamRecord:
    return UpstreamRecord(
        name, "local", _DOMAIN, address.host, address.port, kind, service, leaving
    )


def configuration(**plain: object) -> Configuration:
    """Return a model service, a plain service with the fields ``plain``, and one member."""
    plain_fields = {"non_idempotent": ["POST /bookings"], **plain}
    return Configuration(
        services={
            MODEL_SERVICE: ServiceSpec(ServiceKind.MODEL, models={MODEL: ModelSpec("1")}),
            PLAIN_SERVICE: ServiceSpec(ServiceKind.PLAIN, **plain_fields),
        },
        members={"escuela": MemberSpec([sha256(MEMBER_KEY.encode()).hexdigest()])},
    )


@asynccontextmanager
async def open_fleet(
    *,
    entries: int = 1,
    engines: int = 2,
    plain_services: int = 1,
    step_ms: float = 2.0,
    entry_changes: dict[str, object] | None = None,
    plain_changes: dict[str, object] | None = None,
    permit_changes: dict[str, object] | None = None,
    engine_changes: dict[str, object] | None = None,
) -> AsyncIterator[OnlineFleet]:
    """Run the stand-ins, one owner and some entries while the block runs."""
    standin_settings = StandinSettings(
        engines=engines,
        plain_services=plain_services,
        step_ms=step_ms,
        **(engine_changes or {}),
    )
    async with trio.open_nursery() as nursery:
        standins = await nursery.start(run_standins, standin_settings)
        settings = Settings(
            vm=VmSettings("vm1", HOST, "local", _DOMAIN),
            platform=standins.platform_settings(),
            entry=EntrySettings(0, **(entry_changes or {})),
            agent=AgentSettings(0),
            batch=BatchSettings(0),
            permits=PermitSettings(**(permit_changes or {})),
        )
        view = FleetView("vm1")
        fleet = OnlineFleet(standins, view)
        view.replace_configuration(1, 1, configuration(**(plain_changes or {})), 0.0)
        fleet.update_view()
        fleet.owner = await nursery.start(_serve_owner, settings, view)
        fleet.update_view()
        for number in range(entries):
            await nursery.start(_serve_entry, settings, fleet, number)
        try:
            yield fleet
        finally:
            for http in (fleet.http, *(context.http for context in fleet.contexts)):
                await http.close()
            nursery.cancel_scope.cancel()


async def _serve_owner(
    settings: Settings, view: FleetView, *, task_status: trio.TaskStatus[Owner]
) -> None:
    http = HttpClient()
    service = PermitService(settings, view, engine_checks(http, random.Random(1)), random.Random(1))
    handlers = service.handlers()
    owner = Owner(service, Address(HOST, 0))

    async def handle(message: object, peer: object) -> object:
        owner.permit_requests += isinstance(message, permits.PermitAsk)
        if owner.silent:
            await trio.sleep_forever()
        await trio.sleep(owner.delay_ms / 1000)
        return await handlers[type(message)](message, peer)

    async with trio.open_nursery() as nursery:
        codec = Codec([permits])
        owner.address = await nursery.start(serve_channel, Address(HOST, 0), codec, handle)
        nursery.start_soon(service.run)
        task_status.started(owner)
        try:
            await trio.sleep_forever()
        finally:
            with trio.CancelScope(shield=True):
                await http.close()


async def _serve_entry(
    settings: Settings, fleet: OnlineFleet, number: int, *, task_status: trio.TaskStatus[None]
) -> None:
    codec = Codec([permits])
    http = HttpClient()
    clock = unix_clock()
    async with (
        open_permit_client(settings, codec, fleet.view, f"entry-{number}") as client,
        open_store_client(codec, fleet.view, settings.batch) as stores,
        trio.open_nursery() as nursery,
    ):
        context = EntryContext(
            settings,
            fleet.view,
            None,
            client,
            stores,
            EtcdKv(http, settings.platform),
            http,
            Metrics(f"entry-{number}", clock),
            clock,
        )
        limits = HttpLimits(write_timeout_ms=settings.entry.write_timeout_ms)
        server = HttpServer(entry_handler(context, lambda: None), limits)
        fleet.entries.append(await nursery.start(server.serve, Address(HOST, 0)))
        fleet.contexts.append(context)
        task_status.started()


def chat_body(text: str = "who is entitled?", **changes: object) -> dict[str, object]:
    """Return a streamed chat of one message."""
    body: dict[str, object] = {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 12,
        "stream": True,
    }
    return {**body, **changes}


def oracle_text(body: dict[str, object]) -> str:
    """Return the expected text of a chat."""
    messages = body["messages"]
    prompt = "".join(f"<{item['role']}>{item['content']}\n" for item in messages)
    return answer_text(prompt, body["max_tokens"])


@dataclass(slots=True)
class ReadStream:
    """A streamed answer as its caller reads it."""

    text: str = ""
    done: bool = False
    finish_reasons: list[str] = field(default_factory=list)
    identities: set[str] = field(default_factory=set)
    error: dict[str, object] | None = None
    usage: dict[str, object] | None = None


def read_stream(data: bytes) -> ReadStream:
    """Parse server-sent events; raise ``ValueError`` for an event after ``[DONE]``."""
    stream = ReadStream()
    for event in data.decode().split("\n\n"):
        if not event:
            continue
        if stream.done:
            raise ValueError(f"event after [DONE]: {event!r}")
        payload = event.removeprefix("data: ")
        if payload == "[DONE]":
            stream.done = True
            continue
        _read_event(stream, msgspec.json.decode(payload))
    return stream


def _read_event(stream: ReadStream, document: dict) -> None:
    if "error" in document:
        stream.error = document["error"]
        return
    stream.identities.add(document["id"])
    stream.usage = document.get("usage") or stream.usage
    for choice in document["choices"]:
        stream.text += choice.get("delta", {}).get("content") or choice.get("text") or ""
        if choice["finish_reason"]:
            stream.finish_reasons.append(choice["finish_reason"])


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until ``condition`` holds; the timeout of ``run`` bounds the wait."""
    while not condition():  # noqa: ASYNC110
        await trio.sleep(0.002)


def long_permit_timeout() -> AbstractContextManager[object]:
    """Let programs wait two seconds for a permit owner that would normally reply at once.

    All programs of such a test share one event loop.  On a busy machine the owner replies later
    than a permit request waits; it then counts as silent, and calls bypass its slots instead of
    waiting for them.
    """
    return mock.patch.object(RequestTimeout, "timeout_ms", property(lambda _: 2000.0))


def with_fleet(**changes: object) -> Callable:
    """Run an ``async`` test method with its own fleet, opened with ``changes``."""

    def decorate(method: Callable) -> Callable:
        @functools.wraps(method)
        def test(self: object) -> None:
            async def body() -> None:
                async with open_fleet(**changes) as fleet:
                    await method(self, fleet)

            run(body)

        return test

    return decorate


def run(body: Callable, guard_s: float = 30.0) -> None:
    """Run a test's coroutine function, with a real-time limit against hanging."""

    async def guarded() -> None:
        with trio.fail_after(guard_s):
            await body()

    trio.run(guarded)
