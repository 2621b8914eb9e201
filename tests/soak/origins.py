"""Releases and moved routes whose origin of streams not all nodes know, and their clients."""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import trio

from tests.builders.node import SERVICE
from tests.soak.faults import Schedule
from tests.soak.harness import NodeProcess, SoakHarness
from tests.soak.promises import Ledger
from tests.soak.releases import ResumingClient

__all__ = ["OriginSchedule", "with_services"]

# Each of these gets a second version once; a route moves between the others.
_FIRST_RELEASES = tuple(f"first-{number}" for number in range(12))
_MOVES = ("moved-a", "moved-b")
_MOVED_PREFIX = "/moved/"
# All paths of the moved route begin with it.
_LONGER_PREFIX = "/moved/s"
_OLD, _NEW = "v1", "v1.1"
_UPSTREAMS = 3
# Streams take about half a second, so that kills find some halfway.
_EVENT_INTERVAL_MS = 40.0
_DISCONNECT_AFTER_S = (0.1, 0.5)
_CLIENTS = 16
_CALL_S = 1.5
_PAUSE_S = 0.05
# How long a service has its first version, so that every node has read the record of it.
_ONE_VERSION_S = (0.8, 1.5)
_RELEASE_AFTER_S = (0.1, 1.0)
_KILL_AFTER_RELEASE_S = (0.1, 2.0)
_KILL_AFTER_MOVE_S = (0.05, 1.0)
_MOVE_BACK_SHARE = 0.3
_MOVE_BACK_S = 0.3


def with_services(document: dict) -> dict:
    """Return the configuration with a service for each first release, and the moved route."""
    [stream] = [route for route in document["routes"] if route["name"] == "stream"]
    [service] = [item for item in document["services"] if item["name"] == SERVICE]
    names = [*_FIRST_RELEASES, *_MOVES]
    routes = [
        stream | {"name": name, "prefix": f"/{name}/", "service": name} for name in _FIRST_RELEASES
    ]
    routes.append(stream | {"name": "moved", "prefix": _MOVED_PREFIX, "service": _MOVES[0]})
    return document | {
        "routes": [*document["routes"], *routes],
        "services": [*document["services"], *(service | {"name": name} for name in names)],
    }


@dataclass(slots=True)
class OriginSchedule(Schedule):
    """Draws isolated nodes at first releases and moves of routes; nodes are killed during both.

    ``client_rng`` is for the streams, whose draws depend on the duration of calls.
    """

    client_rng: random.Random = field(default_factory=random.Random)
    unreleased: list[str] = field(default_factory=lambda: list(_FIRST_RELEASES))
    isolated: list[NodeProcess] = field(default_factory=list)

    @classmethod
    def of_seed(cls, seed: int, harness: SoakHarness, ledger: Ledger) -> "OriginSchedule":
        """Return the schedule of one seed."""
        client_rng = random.Random(f"origin-clients-{seed}")
        return cls(harness, ledger, random.Random(f"origins-{seed}"), client_rng=client_rng)

    async def run(self, duration_s: float) -> None:
        """Inject faults for ``duration_s``, in overlapping series; wait until all have ended."""
        for service in _MOVES:
            if not self.harness.upstreams_of(service):
                await self._start_upstreams(service, _OLD)
        await Schedule.run(self, duration_s)

    def _faults(self) -> list[Callable[[], Awaitable[str]]]:
        return [self._isolate, self._isolate, self._isolate, self._move, self._lengthen]

    async def _isolate(self) -> str:
        """Isolate one or two nodes, add a second version, and kill others; then resume streams."""
        nodes = [node for node in self.harness.nodes if node not in self.isolated]
        count = self.rng.choice((1, 1, 2))
        if not self.unreleased or len(nodes) < count + 2:
            return ""
        service = self.unreleased.pop()
        isolated = self.rng.sample(nodes, k=count)
        self.isolated += isolated
        others = [node for node in self.harness.nodes if node not in self.isolated]
        killed = self.rng.sample(others, k=min(len(others), self.rng.randint(1, 2)))
        await self._start_upstreams(service, _OLD)
        await trio.sleep(self.rng.uniform(*_ONE_VERSION_S))
        self._cut(isolated, True)
        release_s = self.rng.triangular(*_RELEASE_AFTER_S, _RELEASE_AFTER_S[0])
        replaces = self.rng.random() < 0.5
        await trio.sleep(release_s)
        if replaces:
            for item in self.harness.upstreams_of(service):
                item.state = "draining"
                self.harness.register(item)
        await self._start_upstreams(service, _NEW)
        # Half of the streams are resumed at isolated nodes.
        resume_at = [*isolated * len(others), *others * len(isolated)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stream, f"/{service}/", others, resume_at)
            await trio.sleep(self.rng.uniform(*_KILL_AFTER_RELEASE_S))
            for node in killed:
                nursery.start_soon(self._kill, node)
        self._cut(isolated, False)
        self.isolated = [node for node in self.isolated if node not in isolated]
        for item in self.harness.upstreams_of(service):
            self.harness.unregister(item)
            self.harness.end_upstream(item)
        names, ends = (", ".join(node.name for node in group) for group in (isolated, killed))
        return f"{names} isolated, {service} at {_NEW} {release_s:.2f} s later, {ends} killed"

    async def _move(self) -> str:
        """Move the route to the other service, at times back, and kill a node with streams."""
        victim = self._node()
        back = self.rng.random() < _MOVE_BACK_SHARE
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stream, _MOVED_PREFIX, [victim], self.harness.nodes)
            await trio.sleep(self.rng.uniform(0.1, 0.5))
            former = self._move_route()
            if back:
                await trio.sleep(_MOVE_BACK_S)
                self._move_route()
            await trio.sleep(self.rng.uniform(*_KILL_AFTER_MOVE_S))
            nursery.start_soon(self._kill, victim)
        return f"route moved from {former}{' and back' if back else ''}, {victim.name} killed"

    async def _lengthen(self) -> str:
        """Lead the route's paths elsewhere by a longer prefix for a while, and kill a node."""
        victim = self._node()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stream, _MOVED_PREFIX, [victim], self.harness.nodes)
            await trio.sleep(self.rng.uniform(0.1, 0.5))
            [moved] = [item for item in self.harness.config["routes"] if item["name"] == "moved"]
            longer = {"name": "longer", "prefix": _LONGER_PREFIX}
            self._replace_route("longer", moved | longer | {"service": _other(moved["service"])})
            await trio.sleep(self.rng.uniform(*_KILL_AFTER_MOVE_S))
            nursery.start_soon(self._kill, victim)
            await trio.sleep(self.rng.uniform(0.0, 1.0))
            self._replace_route("longer", None)
        return f"a longer prefix added and removed, {victim.name} killed"

    def _move_route(self) -> str:
        """Move the route to the other service; return the former one."""
        [moved] = [item for item in self.harness.config["routes"] if item["name"] == "moved"]
        self._replace_route("moved", moved | {"service": _other(moved["service"])})
        return moved["service"]

    def _replace_route(self, name: str, route: dict | None) -> None:
        routes = [item for item in self.harness.config["routes"] if item["name"] != name]
        self.harness.config["routes"] = [*routes, *([route] if route else [])]
        self.harness.configure({})

    async def _start_upstreams(self, service: str, version: str) -> None:
        for number in range(_UPSTREAMS):
            name = f"{service}-{version}-{number}"
            item = await self.harness.add_upstream(name, service, version)
            item.upstream.event_interval_ms = _EVENT_INTERVAL_MS

    def _cut(self, nodes: Sequence[NodeProcess], is_cut: bool) -> None:
        """Silence, or restore, the links of each node to the store, other nodes and spools."""
        groups = dict(self.harness.links.groups)
        for node in nodes:
            number = self.harness.nodes.index(node)
            groups[number] = number + 1 if is_cut else 0
            node.store_proxy.silent = is_cut
            if is_cut:
                node.store_proxy.silence_open(requests=True, answers=True)
            else:
                node.store_proxy.reset_open()
        self.harness.links.cut(groups)

    async def _stream(
        self, prefix: str, nodes: Sequence[NodeProcess], resume_at: Sequence[NodeProcess]
    ) -> None:
        """Begin streams for a while at those of the nodes that run; return when all have ended."""
        client = ResumingClient(
            self.harness,
            self.ledger,
            self.client_rng,
            prefix=prefix,
            resume_at=resume_at,
            disconnect_after_s=_DISCONNECT_AFTER_S,
        )
        until_s = trio.current_time() + _CALL_S

        async def call() -> None:
            while trio.current_time() < until_s:
                running = [node for node in nodes if node.is_running]
                if running:
                    await client.stream(self.client_rng.choice(running))
                await trio.sleep(_PAUSE_S)

        async with trio.open_nursery() as nursery:
            for _ in range(_CLIENTS):
                nursery.start_soon(call)
        await client.http.close()


def _other(service: str) -> str:
    return _MOVES[1 - _MOVES.index(service)]
