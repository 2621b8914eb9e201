"""Runs a fleet of nodes in one process, with stand-ins of the users' store and upstreams."""

import itertools
import json
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

from fescuedock.address import Address
from fescuedock.daemon import Stop
from fescuedock.net.http_client import ClientResponse, HttpClient
from fescuedock.node.main import run_node
from fescuedock.platform.standin.event_upstream import DEFAULT_VERSION, EventUpstream
from fescuedock.platform.standin.metadata_store import MetadataStoreService
from fescuedock.schema.settings import (
    AgentSettings,
    NodeSettings,
    PermitSettings,
    SpoolSettings,
    VmSettings,
)
from fescuedock.settings import Settings
from fescuedock.spool.main import run_spool
from tests.builders.clocks import AHEAD_S
from tests.builders.net import LOOPBACK
from tests.builders.ports import free_ports, wait_released

__all__ = ["Answer", "NodeFleet", "RunningNode", "config_document", "running_fleet"]

HOST = "desk.example"
SERVICE = "desk-llm"
SLOTS = 4
# Time from an upstream's crash until the store removes its entry.
UPSTREAM_LEASE_S = 0.6
_request_numbers = itertools.count(1)


def worker_entry(address: str, **changes: object) -> dict[str, object]:
    """Return the entry that a worker registers; ``changes`` replace or add fields."""
    entry = {
        "service": SERVICE,
        "address": address,
        "zone": "sala-1",
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    return entry | changes


def config_document(version: int = 1, **changes: object) -> dict:
    """Return a configuration with a route of each kind to one service."""
    common = {"host": HOST, "service": SERVICE, "timeoutMs": 4000, "targetLatencyMs": 1000}
    routes = [
        {"name": "stream", "prefix": "/check/", "kind": "stream", "maxAttempts": 2}
        | {"resumable": True, "gapTargetMs": 1000},
        {"name": "once", "prefix": "/rights/", "kind": "stream", "maxAttempts": 1},
        {"name": "safe", "prefix": "/safe/", "kind": "safe", "maxAttempts": 2},
        {"name": "batch", "prefix": "/letters/", "kind": "batch", "maxAttempts": 3}
        | {"dueMs": 18000, "retentionS": 60, "timeoutMs": 15000},
    ]
    services = [{"name": SERVICE, "healthPath": "/health", "engine": {"slots": SLOTS}}]
    limits = {"maxHeaderBytes": 8192, "maxBodyBytes": 100_000}
    limits |= {"headerTimeoutMs": 1000, "idleTimeoutMs": 5000}
    document = {"version": version, "routes": [common | item for item in routes]}
    return document | {"services": services, "limits": limits} | changes


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer, or the received part of one that was cut off; ``complete`` tells which."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    complete: bool = True

    def json(self) -> dict:
        return json.loads(self.body)


@dataclass(slots=True)
class RunningNode:
    """One node; ``kill`` ends it at once, ``stop`` requests a graceful shutdown."""

    settings: Settings
    # With ``clocks_apart``: how far its time of day is ahead.
    clock_ahead_s: float = 0.0
    stop: Stop = field(default_factory=Stop)
    ended: trio.Event = field(default_factory=trio.Event)
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def front(self) -> Address:
        return Address.parse(self.settings.node.front_address)

    @property
    def ready(self) -> Address:
        return Address.parse(self.settings.node.ready_address)

    @property
    def directory(self) -> Address:
        return Address.parse(self.settings.node.directory_address)

    def kill(self) -> None:
        self._scope.cancel()

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        AHEAD_S.set(self.clock_ahead_s)
        with self._scope:
            await run_node(self.settings, self.stop, task_status=task_status)
        await wait_released(_agent_address(self.settings))
        self.ended.set()


@dataclass(slots=True)
class RunningSpool:
    """One spool program, which stores jobs on disk; ``kill`` ends it at once."""

    settings: Settings
    ended: trio.Event = field(default_factory=trio.Event)
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def vm_id(self) -> str:
        return self.settings.vm.vm_id

    def kill(self) -> None:
        self._scope.cancel()

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        with self._scope:
            await run_spool(self.settings, Stop(), task_status=task_status)
        await wait_released(_agent_address(self.settings))
        self.ended.set()


@dataclass(slots=True)
class NodeFleet:
    """The nodes, their store and upstreams, and a client."""

    store: MetadataStoreService
    upstreams: list[EventUpstream]
    nursery: trio.Nursery
    http: HttpClient = field(default_factory=HttpClient)
    nodes: list[RunningNode] = field(default_factory=list)
    # The same on all nodes, as seeds name hosts only; each node has its own loopback address.
    agent_port: int = field(default_factory=lambda: free_ports(1)[0])
    upstream_type: type[EventUpstream] = EventUpstream
    # With ``clocks_apart``: how far the time of day of each node is ahead, by its number.
    clocks_ahead_s: Sequence[float] = ()

    async def start_node(self, number: int, **changes: object) -> RunningNode:
        """Start a node at free ports and wait until it serves."""
        ahead_s = self.clocks_ahead_s[number] if number < len(self.clocks_ahead_s) else 0.0
        settings = _node_settings(number, self.agent_port, self.store.address, changes)
        node = RunningNode(settings, ahead_s)
        await self.nursery.start(node.run)
        self.nodes.append(node)
        return node

    async def start_spool(self, number: int, folder: Path, **changes: object) -> "RunningSpool":
        """Start a spool in its own failure domain, and wait until it serves."""
        host = f"127.0.1.{number + 1}"
        settings = Settings(
            vm=VmSettings(f"spool-{number}", host, "caldas", f"sala-{number}"),
            agent=AgentSettings(port=self.agent_port),
            spool=SpoolSettings(
                str(folder), str(self.store.address), **({"store_timeout_ms": 200} | changes)
            ),
        )
        spool = RunningSpool(settings)
        await self.nursery.start(spool.run)
        return spool

    async def restart(self, node: RunningNode) -> RunningNode:
        """Restart a node with its former settings."""
        await node.ended.wait()
        again = RunningNode(node.settings, node.clock_ahead_s)
        await self.nursery.start(again.run)
        self.nodes[self.nodes.index(node)] = again
        return again

    async def restart_spool(self, spool: RunningSpool) -> RunningSpool:
        """Restart a killed spool on the same folder."""
        await spool.ended.wait()
        again = RunningSpool(spool.settings)
        await self.nursery.start(again.run)
        return again

    async def start_upstream(self, name: str, **fields: object) -> EventUpstream:
        """Start an upstream and register it."""
        upstream = self.upstream_type(name, **fields)
        # The system may give a port of its own range to a connection while the upstream is down.
        address = Address(LOOPBACK.host, free_ports(1)[0])
        await self.nursery.start(upstream.run, address)
        self.upstreams.append(upstream)
        self.register(upstream)
        upstream.on_crash = self._lapse_soon
        upstream.on_restart = self.register
        return upstream

    async def restart_upstream(
        self, upstream: EventUpstream, version: str = "", entry_after_s: float = 0.0
    ) -> None:
        """Restart an upstream under its ID; its entry is updated ``entry_after_s`` later."""
        await upstream.restart(version)

        async def register(entry: EventUpstream) -> None:
            await trio.sleep(entry_after_s)
            self.register(entry)

        self.nursery.start_soon(register, upstream)

    def _lapse_soon(self, upstream: EventUpstream) -> None:
        """Remove the entry of a crashed upstream after a while, as its lease would."""
        key = f"servers/{upstream.upstream_id}"

        async def lapse() -> None:
            await trio.sleep(UPSTREAM_LEASE_S)
            self.store.state.delete(key)

        self.nursery.start_soon(lapse)

    def register(self, upstream: EventUpstream, state: str = "ready", **changes: object) -> None:
        fields = {"state": state, "version": upstream.version} | changes
        if upstream.born:
            fields = {"born": upstream.born} | fields
        entry = worker_entry(str(upstream.address), **fields)
        self.store.state.put(f"servers/{upstream.upstream_id}", json.dumps(entry).encode())

    def configure(self, document: dict) -> None:
        """Store a configuration, as the operator does."""
        self.store.state.put("op/config", json.dumps(document).encode())

    async def wait_status(self, address: Address, target: str, status: int) -> Answer:
        """Call until the answer has ``status``."""
        while True:
            answer = await self.call(address, "GET", target)
            if answer.status == status:
                return answer
            await trio.sleep(0.02)

    async def wait_ready(self) -> None:
        """Wait until every node is ready and knows all others."""
        for node in self.nodes:
            while True:
                answer = await self.call(node.directory, "GET", "/api/resolve?name=x")
                if answer.status == 200 and len(answer.json()["addresses"]) == len(self.nodes):
                    break
                await trio.sleep(0.02)

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Make one call on a new connection and read its answer until the end or a cut-off."""
        fields = {"host": HOST, "x-request-id": f"r-{next(_request_numbers)}"} | dict(headers or {})
        async with self.http.request(
            address, method, target, list(fields.items()), body, fresh=True
        ) as response:
            return await _read(response)

    def upstream_runs(self, request_id: str) -> int:
        """Return how many times a request has run at all upstreams together."""
        return sum(upstream.runs[request_id] for upstream in self.upstreams)


async def _read(response: ClientResponse) -> Answer:
    parts: list[bytes] = []
    try:
        async for part in response.chunks():
            parts.append(part)
    except Exception:
        return Answer(response.status, response.headers, b"".join(parts), complete=False)
    return Answer(response.status, response.headers, b"".join(parts))


def _agent_address(settings: Settings) -> Address:
    return Address(settings.vm.host, settings.agent.port)


def _node_settings(
    number: int, agent_port: int, store: Address, changes: Mapping[str, object]
) -> Settings:
    host = f"127.0.0.{number + 1}"
    names = ("front_address", "ready_address", "directory_address")
    addresses = {
        name: f"{host}:{port}"
        for name, port in zip(names, free_ports(len(names), host), strict=True)
    }
    node = {
        "store_address": str(store),
        "store_timeout_ms": 300,
        "watch_wait_ms": 300,
        "watch_pause_ms": 20,
        "commit_interval_ms": 50,
        "directory_leave_ms": 150,
        "stop_timeout_s": 3,
        "lease_ttl_ms": 2000,
        "seeds": f"127.0.0.1:{agent_port},127.0.0.2:{agent_port}",
    }
    return Settings(
        vm=VmSettings(f"node-{number}", host, "caldas", "sala-1"),
        agent=AgentSettings(
            port=agent_port, probe_interval_ms=100, suspicion_ms=300, permit_valid_ms=300
        ),
        permits=PermitSettings(ended_batch_ms=2),
        node=NodeSettings(**(addresses | node | dict(changes))),
    )


@asynccontextmanager
async def running_fleet(
    nodes: int = 1,
    upstreams: int = 2,
    versions: Sequence[str] = (),
    upstream_type: type[EventUpstream] = EventUpstream,
    clocks_ahead_s: Sequence[float] = (),
    **changes: object,
) -> AsyncIterator[NodeFleet]:
    """Run a fleet while the block runs; the fleet has applied its configuration.

    With ``versions``, it has one upstream for each of these software versions.
    """
    store = MetadataStoreService()
    async with trio.open_nursery() as nursery:
        await nursery.start(store.run, LOOPBACK)
        fleet = NodeFleet(
            store, [], nursery, upstream_type=upstream_type, clocks_ahead_s=clocks_ahead_s
        )
        fleet.configure(config_document())
        for number, version in enumerate(versions or [DEFAULT_VERSION] * upstreams):
            await fleet.start_upstream(f"i-{number}", version=version)
        async with trio.open_nursery() as starting:
            for number in range(nodes):
                starting.start_soon(partial(fleet.start_node, number, **changes))
        await fleet.wait_ready()
        try:
            yield fleet
        finally:
            await fleet.http.close()
        nursery.cancel_scope.cancel()
