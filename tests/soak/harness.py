"""The processes of the soak: nodes and spools, with a store and upstreams in the soak's process.

Each node has its own proxy to the store, and each upstream has a proxy for all nodes.  The proxies
inject faults into the connections.
"""

import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import trio

from fescuedock.address import Address
from fescuedock.net.http_server import Request, Responder
from fescuedock.platform.standin.event_upstream import DEFAULT_VERSION, EventUpstream
from fescuedock.platform.standin.metadata_store import MetadataStoreService
from tests.builders.node import SERVICE, config_document, worker_entry
from tests.builders.ports import free_ports
from tests.soak.links import FIRST_SPOOL_HOST, NodeLinks
from tests.soak.proxy import FaultProxy

__all__ = [
    "HELD_PROCESS_BYTES",
    "LONG_ITEM",
    "SLOW_ITEM",
    "NodeProcess",
    "SoakProcess",
    "SoakUpstream",
    "SoakHarness",
    "loopback_network",
    "accepts_connections",
    "version_route",
]

# The time within which a node must exit after SIGTERM, passed to it as ``stop_timeout_s`` below.
STOP_TIMEOUT_S = 5
# The start time that the first process of an upstream names; later ones name later times.
_BORN_MS = 1_790_000_000_000
_HEARTBEAT_S = 0.4
_OF_SERVICE = " of "
# Three heartbeats.
_LEASE_S = 1.2
# Items whose name has this prefix take ``_SLOW_ITEM_S`` before their first event.
SLOW_ITEM = "slow-"
_SLOW_ITEM_S = 0.6
# Jobs of these have items left long after the last fault, as 16 slots run 11 a second.  The delay
# is below the 1.5 s without an event after which nodes retry a run elsewhere.
LONG_ITEM = "long-"
_LONG_ITEM_S = 1.2
# So low that a few slow clients reach it.
HELD_PROCESS_BYTES = 150_000
_INI = """\
[vm]
vm_id = {name}
host = {host}
region = caldas
failure_domain = sala-{domain}
log_file = -

[node]
front_address = {host}:{front_port}
ready_address = {host}:{ready_port}
directory_address = {host}:{directory_port}
control_address = {host}:{control_port}
store_address = {store}
store_timeout_ms = 500
seeds = {seeds}
stop_timeout_s = {stop_timeout_s}
lease_ttl_ms = 2000
held_call_bytes = 16384
held_process_bytes = {held_process_bytes}
client_buffer_bytes = 4096

[agent]
port = {agent_port}
probe_interval_ms = 200
suspicion_ms = 600
permit_valid_ms = 900

[permits]
ended_batch_ms = 2
"""
_SPOOL_INI = """\
[vm]
vm_id = {name}
host = {host}
region = caldas
failure_domain = sala-{domain}
log_file = -

[spool]
data_dir = {folder}
store_address = {store}

[agent]
port = {agent_port}
"""


def version_route(version: int) -> dict:
    """Return the route that a version of the configuration adds."""
    return {
        "name": f"version-{version}",
        "prefix": f"/version-{version}/",
        "kind": "safe",
        "maxAttempts": 2,
        "host": "desk.example",
        "service": SERVICE,
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
    }


@dataclass(slots=True, kw_only=True)
class SoakProcess:
    """One program as a process, which retains its address and disk over restarts."""

    name: str
    module: str
    settings: Path
    log: Path
    store_proxy: FaultProxy
    process: trio.Process | None = None
    paused: bool = False
    # Whether the process was sent SIGKILL.  It may still accept connections until it has exited.
    killed: bool = False
    # When it was last started or sent a signal; for promises with a time bound.
    disturbed_s: float = float("-inf")
    # Two faults may start it concurrently.
    _starting: trio.Lock = field(default_factory=trio.Lock)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process unless it is running; it appends to the same log file."""
        async with self._starting:
            if not self.is_running:
                await self._start()

    async def _start(self) -> None:
        command = [sys.executable, "-m", self.module, str(self.settings)]
        async with await trio.open_file(self.log, "ab") as log:
            self.process = await trio.lowlevel.open_process(
                command, stdin=subprocess.DEVNULL, stdout=log.wrapped, stderr=log.wrapped
            )
        self.paused = self.killed = False
        self.disturbed_s = trio.current_time()

    def signal(self, number: int) -> None:
        """Send a signal to this process if it is still running."""
        self.disturbed_s = trio.current_time()
        if self.is_running:
            self.process.send_signal(number)
            self.killed = self.killed or number == signal.SIGKILL
            self.paused = number == signal.SIGSTOP or (self.paused and number != signal.SIGCONT)

    async def end(self) -> None:
        """Kill the process if it is still running, and wait for its exit."""
        if self.is_running:
            self.process.kill()
            await self.process.wait()


@dataclass(slots=True, kw_only=True)
class NodeProcess(SoakProcess):
    """One node with the addresses for its clients."""

    front: Address
    directory: Address


@dataclass(slots=True)
class SlowItemUpstream(EventUpstream):
    """Delays the first event of some items, so that other items of their jobs wait."""

    # Not in ``handle``, where the delay would precede the start of the run.
    async def _run(self, request: Request, responder: Responder, *details: object) -> None:
        if request.path.startswith(f"/letters/{SLOW_ITEM}"):
            await trio.sleep(_SLOW_ITEM_S)
        elif request.path.startswith(f"/letters/{LONG_ITEM}"):
            await trio.sleep(_LONG_ITEM_S)
        await EventUpstream._run(self, request, responder, *details)


@dataclass(slots=True)
class SoakUpstream:
    """An upstream with its proxy; while ``registered``, heartbeats renew its entry in the store."""

    upstream: EventUpstream
    proxy: FaultProxy
    state: str = "ready"
    service: str = SERVICE
    registered: bool = True
    # When the store accepted the entry that says it is leaving; infinite until then.
    leaving_s: float = float("inf")


@dataclass(slots=True)
class SoakHarness:
    """Store, upstreams, nodes and spools of one run; ``folder`` is for settings and logs."""

    nursery: trio.Nursery
    folder: Path
    network: str
    store: MetadataStoreService = field(default_factory=MetadataStoreService)
    upstreams: list[SoakUpstream] = field(default_factory=list)
    nodes: list[NodeProcess] = field(default_factory=list)
    spools: list[SoakProcess] = field(default_factory=list)
    # The newest configuration, and when it was written to the store.
    config: dict = field(default_factory=config_document)
    config_changed_s: float = float("-inf")
    # Paths of requests that crash the upstreams that start them.
    harmful: set[str] = field(default_factory=set)
    # Parts of prompts that crash upstreams as well.
    harmful_parts: set[str] = field(default_factory=set)
    # Software version of upstreams that start from now on.
    version: str = DEFAULT_VERSION
    sequence: int = 0
    # Whether nodes reach each other and the spools through ``links``, which can be cut.
    is_linked: bool = False
    links: NodeLinks | None = None

    @property
    def upstream_host(self) -> str:
        return f"{self.network}250"

    async def start(self, nodes: int, upstreams: int, spools: int) -> None:
        """Start everything; return before the nodes accept connections."""
        await self.nursery.start(self.store.run, Address(f"{self.network}251", 0))
        self._put_configuration()
        for number in range(upstreams):
            await self.add_upstream(f"i-{number}")
        self.nursery.start_soon(self._send_heartbeats)
        # The same ports on all nodes, as each node has its own host address.
        ports = free_ports(5, f"{self.network}1")
        if self.is_linked:
            self.links = NodeLinks(self.network, ports[-1], nodes, receivers=spools)
            await self.nursery.start(self.links.run)
        for number in range(nodes):
            await self._add_node(number, ports)
        for number in range(spools):
            await self._add_spool(number, ports[-1])

    def node(self, name: str) -> NodeProcess:
        """Return the node with that name."""
        return next(node for node in self.nodes if node.name == name)

    def upstreams_of(self, service: str) -> list[SoakUpstream]:
        """Return the upstreams of one service."""
        return [item for item in self.upstreams if item.service == service]

    def configure(self, changes: dict) -> None:
        """Write a new version, with a route that only it and later versions have."""
        version = self.config["version"] + 1
        routes = [*self.config["routes"], version_route(version)]
        self.config = {**self.config, "routes": routes, **changes, "version": version}
        self._put_configuration()

    def _put_configuration(self) -> None:
        self.store.state.put("op/config", json.dumps(self.config).encode())
        self.config_changed_s = trio.current_time()

    async def add_upstream(
        self, name: str, service: str = SERVICE, version: str = ""
    ) -> SoakUpstream:
        """Start an upstream; what it sends names its version, and its service if that is another.

        Without ``version`` it is the newest one.
        """
        version = version or self.version
        upstream = SlowItemUpstream(
            name,
            event_count=12,
            event_interval_ms=15.0,
            version=version if service == SERVICE else f"{version}{_OF_SERVICE}{service}",
            born=_BORN_MS,
            unframed=len(self.upstreams) % 2 == 1,
        )
        # The system may give a port of its own range to a connection while the upstream is down.
        address = Address(self.upstream_host, free_ports(1, self.upstream_host)[0])
        await self.nursery.start(upstream.run, address)
        proxy = FaultProxy(upstream.address)
        await self.nursery.start(proxy.run, self.upstream_host)
        added = SoakUpstream(upstream, proxy, service=service)
        upstream.harmful = self.harmful
        upstream.harmful_parts = self.harmful_parts
        upstream.on_crash = lambda _upstream: self._handle_crash(added)
        upstream.on_restart = lambda _upstream: self._handle_restart(added)
        self.upstreams.append(added)
        self.register(added)
        return added

    def _handle_crash(self, item: SoakUpstream) -> None:
        """Refuse connections to a crashed upstream, and delete its entry when its lease expires."""
        item.proxy.take_down()
        item.registered = False
        key = f"servers/{item.upstream.upstream_id}"

        async def expire_entry() -> None:
            await trio.sleep(_LEASE_S)
            self.store.state.delete(key)

        self.nursery.start_soon(expire_entry)

    def _handle_restart(self, item: SoakUpstream) -> None:
        item.proxy.bring_up()
        item.upstream.version = self.version
        if item.state == "ready":
            item.registered = True
            self.register(item)

    def register(self, item: SoakUpstream) -> None:
        """Write an upstream's entry, as the upstream does with each heartbeat."""
        self.sequence += 1
        address = str(item.proxy.address)
        entry = worker_entry(
            address,
            service=item.service,
            state=item.state,
            sequence=self.sequence,
            version=item.upstream.version.partition(_OF_SERVICE)[0],
            born=item.upstream.born,
        )
        key = f"servers/{item.upstream.upstream_id}"
        self.store.state.put(key, json.dumps(entry).encode())

    def end_upstream(self, item: SoakUpstream) -> None:
        """Close all connections to an upstream and refuse new ones, as when it is killed."""
        item.upstream.listener.take_down()
        item.proxy.take_down()

    def revive_upstream(self, item: SoakUpstream) -> None:
        """Accept connections to an upstream again, whose process is another one."""
        item.upstream.born += 1
        item.upstream.listener.bring_up()
        item.proxy.bring_up()

    def unregister(self, item: SoakUpstream) -> None:
        item.registered = False
        self.store.state.delete(f"servers/{item.upstream.upstream_id}")

    async def end(self) -> None:
        """Kill all nodes and spools."""
        for process in (*self.nodes, *self.spools):
            await process.end()

    async def _send_heartbeats(self) -> None:
        while True:
            await trio.sleep(_HEARTBEAT_S)
            for item in self.upstreams:
                # An upstream cannot write while the store is down.
                if item.registered and not self.store.faults.down:
                    self.register(item)

    async def _add_node(self, number: int, ports: list[int]) -> None:
        host = f"{self.network}{number + 1}"
        proxy = await self._store_proxy()
        front, ready, directory, control, agent = ports
        name = f"node-{number}"
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            _INI.format(
                name=name,
                host=host,
                domain=number % 3,
                front_port=front,
                ready_port=ready,
                directory_port=directory,
                control_port=control,
                agent_port=agent,
                store=proxy.address,
                seeds=",".join(f"{self.network}{seed + 1}:{control}" for seed in range(2)),
                stop_timeout_s=STOP_TIMEOUT_S,
                held_process_bytes=HELD_PROCESS_BYTES,
            ),
            encoding="utf-8",
        )
        node = NodeProcess(
            name=name,
            module="tests.soak.links" if self.is_linked else "fescuedock.node.main",
            front=Address(host, front),
            directory=Address(host, directory),
            settings=settings,
            log=self.folder / f"{name}.log",
            store_proxy=proxy,
        )
        self.nodes.append(node)
        await node.start()

    async def _add_spool(self, number: int, agent_port: int) -> None:
        proxy = await self._store_proxy()
        name = f"spool-{number}"
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            _SPOOL_INI.format(
                name=name,
                host=f"{self.network}{FIRST_SPOOL_HOST + number}",
                domain=number % 3,
                folder=self.folder / f"{name}-disk",
                store=proxy.address,
                agent_port=agent_port,
            ),
            encoding="utf-8",
        )
        spool = SoakProcess(
            name=name,
            module="fescuedock.spool.main",
            settings=settings,
            log=self.folder / f"{name}.log",
            store_proxy=proxy,
        )
        self.spools.append(spool)
        await spool.start()

    async def _store_proxy(self) -> FaultProxy:
        proxy = FaultProxy(self.store.address)
        await self.nursery.start(proxy.run, f"{self.network}251")
        return proxy


async def accepts_connections(node: NodeProcess) -> bool:
    """Return whether a node accepts connections."""
    try:
        await (await trio.open_tcp_stream(node.front.host, node.front.port)).aclose()
    except OSError:
        return False
    return True


def loopback_network() -> str:
    """Return a prefix of loopback addresses that no other soak on this machine uses."""
    number = os.getpid()
    return f"127.{100 + number // 250 % 100}.{1 + number % 250}."
