"""Nodes and spools that exchange stream origins in one process, over a network with given delays.

The replicas of the key-value service follow it at once; run them with ``trio.testing.MockClock``.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from unittest import mock

import msgspec
import trio
import trio.testing
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.core.forwarding.route_table import Route, RouteKind, RouteTable
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.core.stream_origins import OriginPolicy, RouteRecord, StartRecord
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvEvent
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.node.replicas import Replicas, WatchedPrefix
from fescuedock.node.stream_origins import StreamOrigins
from fescuedock.schema.origins import RoutedServices, ServedVersions, StreamOrigin
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import NodeRecord
from fescuedock.schema.view import UpstreamKind, UpstreamRecord, VmRecord, VmState
from fescuedock.spool.origins import OriginService
from tests.builders.disk import MemoryDisk
from tests.builders.kv import MemoryKv

__all__ = ["PATH", "ROUTE", "SERVICE", "OriginNodes"]

SERVICE = "desk"
ROUTE = Route("stream", "desk.example", "/", RouteKind.STREAM, ((SERVICE, 1.0),), resumable=True)
PATH = "/check/7"
_KEYS = JobKeys("t/")
_CONFIG = "op/config"
_RECORD = _KEYS.versions + SERVICE
_PORT = 1
# The beginnings of the names of nodes and spools.
_KINDS = ("n", "s")
_STORE_TIMEOUT_S = 1.5


@dataclass(frozen=True, slots=True)
class _NodeKv:
    """The key-value service as one node reaches it."""

    fleet: "OriginNodes"
    node: str

    async def get(self, key: str) -> Result[KvEntry | None, Fault]:
        return await self._reached() or await self.fleet.kv.get(key)

    async def put_if(self, key: str, value: bytes, revision: int) -> Result[int, Fault]:
        return await self._reached() or await self.fleet.kv.put_if(key, value, revision)

    async def _reached(self) -> Err[Fault] | None:
        if self.node not in self.fleet.cut_off:
            return None
        await trio.sleep(_STORE_TIMEOUT_S)
        return Err(Fault(ResultCode.KV_UNAVAILABLE, "no answer"))


def _host_of(name: str) -> str:
    """Return the IP number of a node or spool."""
    kind, _, number = name.partition("-")
    return f"10.0.{_KINDS.index(kind)}.{number}"


def _name_of(host: str) -> str:
    *_, kind, number = host.split(".")
    return f"{_KINDS[int(kind)]}-{number}"


@dataclass(slots=True)
class OriginNodes:
    """``delays_ms`` is the time to a process's reply; those in ``silent`` never reply.

    Nodes in ``stale`` get no news of the key-value service.  Those in ``cut_off`` reach neither
    that service nor other nodes and spools.
    """

    nodes: int = 6
    spools: int = 0
    policy: OriginPolicy = field(default_factory=OriginPolicy)
    delays_ms: defaultdict[str, float] = field(default_factory=lambda: defaultdict(lambda: 1.0))
    silent: set[str] = field(default_factory=set)
    stale: set[str] = field(default_factory=set)
    cut_off: set[str] = field(default_factory=set)
    kv: MemoryKv = field(default_factory=MemoryKv)
    origins: dict[str, StreamOrigins] = field(default_factory=dict)
    views: dict[str, FleetView] = field(default_factory=dict)
    configurations: dict[str, NodeConfiguration] = field(default_factory=dict)
    routes: RouteTable = field(default_factory=lambda: RouteTable(1, (ROUTE,)))
    replicas: dict[str, Replicas] = field(default_factory=dict)
    services: dict[str, OriginService] = field(default_factory=dict)
    disks: dict[str, MemoryDisk] = field(default_factory=dict)
    messages: Counter[str] = field(default_factory=Counter)
    _listed: tuple[str, ...] = ()
    _config_tables: dict[str, ReplicaTable] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for names, prefix in ((self.node_names, _KEYS.nodes), (self.spool_names, _KEYS.spools)):
            for number, name in enumerate(names):
                record = NodeRecord(name, "r", f"d-{number % 3}", _host_of(name), _PORT)
                self.kv.state.put(prefix + name, msgspec.msgpack.encode(record))
        self.record_routes()
        for name in self.spool_names:
            self.disks[name] = MemoryDisk()
            self.start_spool(name)
        for name in self.node_names:
            self.start_node(name)
        self.kv.state.listeners.append(self._show)

    @property
    def node_names(self) -> list[str]:
        return [f"n-{number}" for number in range(self.nodes)]

    @property
    def spool_names(self) -> list[str]:
        return [f"s-{number}" for number in range(self.spools)]

    @property
    def recorded(self) -> frozenset[str]:
        """The versions in the record of the service."""
        entry = self.kv.state.get(_RECORD)
        return frozenset(msgspec.msgpack.decode(entry.value, type=ServedVersions).software_versions)

    @property
    def recorded_services(self) -> frozenset[str]:
        """The services in the record of the host, for the path of the route."""
        entry = self.kv.state.get(_KEYS.routes(ROUTE.host))
        record = RouteRecord.of(msgspec.msgpack.decode(entry.value, type=RoutedServices))
        return record.at(PATH).names

    def start_spool(self, name: str) -> None:
        """Start a spool on its disk, in the place of the process of before."""
        service = OriginService(self.disks[name], Path("/origins"), self.policy)
        service.open()
        self.services[name] = service

    def start_node(self, name: str) -> None:
        """Start a node that knows the key-value service, in the place of the one of before."""
        view = self.views[name] = FleetView(name)
        kv, call = _NodeKv(self, name), partial(self._call, name)
        replicas = self.replicas[name] = Replicas(
            kv,
            [WatchedPrefix(_KEYS.live, 900, 300)],
            call,
            tuple,
            mock.Mock(vm_id=name),
            random.Random(1),
        )
        page = self.kv.state.page(_KEYS.live, _KEYS.live + "\x7f", 1000)
        replicas.tables[_KEYS.live].replace(page.entries, page.revision, 0.0)
        table = self._config_tables[name] = ReplicaTable(_CONFIG)
        self.configurations[name] = NodeConfiguration(
            table, _CONFIG, lambda _value: Ok(self.routes)
        )
        self._configure(name)
        self.origins[name] = StreamOrigins(
            view,
            kv,
            replicas,
            _KEYS,
            self.configurations[name],
            call,
            random.Random(name),
            self.policy,
        )
        self._replace_view(view)

    def list_versions(self, *versions: str) -> None:
        """Let every node see one upstream of each of these versions, and no others."""
        self._listed = versions
        for view in self.views.values():
            self._replace_view(view)

    def record_versions(self, *versions: str, service: str = SERVICE) -> None:
        """Write the record of a service."""
        self.write_record(msgspec.msgpack.encode(ServedVersions(sorted(versions))), service)

    def record_routes(self) -> None:
        """Write the record of the host, as it is while its routes lead where they always did."""
        services = {route.prefix: StartRecord(route.drawn_services) for route in self.routes.routes}
        value = msgspec.msgpack.encode(RouteRecord(services).served())
        self.write_routes(value)

    def write_routes(self, value: bytes) -> None:
        self.kv.state.put(_KEYS.routes(ROUTE.host), value)

    def move_route(self, *services: str) -> None:
        """Let the route lead to other services, at all nodes that are not cut off."""
        route = msgspec.structs.replace(ROUTE, services=tuple((name, 1.0) for name in services))
        self.routes = RouteTable(self.routes.version + 1, (route,))
        for name in set(self.node_names) - self.cut_off:
            self._configure(name)

    def _configure(self, name: str) -> None:
        entry = KvEntry(_CONFIG, b"", self.routes.version)
        self._config_tables[name].replace([entry], entry.mod_revision, 0.0)
        self.configurations[name].refresh()

    def write_record(self, value: bytes, service: str = SERVICE) -> None:
        self.kv.state.put(_KEYS.versions + service, value)

    def lose_power(self) -> None:
        """Start all nodes and spools anew, with what the disks of the spools have synced."""
        for number, name in enumerate(self.spool_names):
            self.disks[name].lose_power(number)
            self.start_spool(name)
        for name in self.node_names:
            self.start_node(name)

    def catch_up(self, name: str) -> None:
        """Let a node in ``stale`` know the key-value service again."""
        self.stale.discard(name)
        for entry in self.kv.state.page(_KEYS.live, _KEYS.live + "\x7f", 1000).entries:
            self.replicas[name].record_entry(_KEYS.live, entry)

    async def run(self, nursery: trio.Nursery) -> None:
        """Run all nodes in ``nursery``."""
        for origins in self.origins.values():
            nursery.start_soon(origins.run)
        await trio.testing.wait_all_tasks_blocked()

    async def start_stream(self, name: str, key: str, version: str) -> float:
        """Begin a stream at a node; return for how many milliseconds its first event waits."""
        started_s = trio.current_time()
        route = self.configurations[name].routes.find(ROUTE.host, PATH)
        [service] = route.drawn_services
        origin = StreamOrigin(service, version)
        await self.origins[name].record_start(key, origin, route, PATH)
        return (trio.current_time() - started_s) * 1000

    async def resume(self, name: str, key: str) -> Result[StreamOrigin, Fault]:
        route = self.configurations[name].routes.find(ROUTE.host, PATH)
        return await self.origins[name].origin_of(key, route, PATH)

    def startable(self, name: str) -> frozenset[str]:
        """Return the versions at which streams of the route may start at a node."""
        route = self.configurations[name].routes.find(ROUTE.host, PATH)
        [service] = route.drawn_services
        return self.origins[name].startable_versions(service, route, PATH)

    def _replace_view(self, view: FleetView) -> None:
        vms = [
            VmRecord(
                name, "r", f"d-{number % 3}", _host_of(name), 0, VmState.ALIVE, agent_port=_PORT
            )
            for number, name in enumerate(self.node_names)
        ]
        upstreams = [
            UpstreamRecord(
                version, "r", "d", "h", 1, UpstreamKind.ENGINE, SERVICE, software_version=version
            )
            for version in self._listed
        ]
        view.replace(view.version + 1, vms, upstreams, 0.0)

    def _show(self, event: KvEvent) -> None:
        for name, replicas in self.replicas.items():
            if event.entry is not None and name not in self.stale | self.cut_off:
                replicas.record_entry(
                    _KEYS.live, KvEntry(event.key, event.entry.value, event.revision)
                )

    async def _call(
        self, caller: str, address: Address, message: msgspec.Struct, timeout_ms: float
    ) -> Result[msgspec.Struct, Fault]:
        name = _name_of(address.host)
        self.messages[name] += 1
        with trio.move_on_after(timeout_ms / 1000):
            if name in self.silent or self.cut_off & {name, caller}:
                await trio.sleep_forever()
            handlers: dict[type, Callable] = (
                self.services.get(name) or self.origins[name]
            ).handlers()
            await trio.sleep(self.delays_ms[name] / 1000)
            return Ok(await handlers[type(message)](message, None))
        return Err(Fault(ResultCode.PEER_UNREACHABLE, "no reply"))
