"""Streams of nodes that are cut off and restart, while routes move and versions come and go."""

import random
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio
import trio.testing
from result import Err, Result

from fescuedock.core.forwarding.route_table import RouteTable
from fescuedock.core.stream_origins import OriginPolicy
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry
from fescuedock.schema.origins import StreamOrigin
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamKind, UpstreamRecord, VmRecord, VmState
from tests.builders.origin_nodes import PATH, ROUTE, SERVICE, OriginNodes

OTHER_SERVICE = "other"
# In the proportion of the default policy.  No node is cut off for longer than the time by which a
# name outlives its last streams in a record.
POLICY = OriginPolicy(retire_after_ms=6_000.0, retention_ms=3_000.0)
MAX_CUT_S = 3.0
# Names that have gone are retired between two rounds of events.
ROUNDS = 5
EVENTS = 14
SEEDS = 40


@dataclass(frozen=True, slots=True)
class UnreliableKv:
    """Refuses calls at random; a write without an answer may take effect seconds later."""

    play: "Play"
    kv: object

    async def get(self, key: str) -> Result[KvEntry | None, Fault]:
        await trio.sleep(self.play.rng.uniform(0.0, 0.1))
        if self.play.rng.random() < 0.1:
            return Err(Fault(ResultCode.KV_UNAVAILABLE, "refused"))
        return await self.kv.get(key)

    async def put_if(self, key: str, value: bytes, revision: int) -> Result[int, Fault]:
        rng = self.play.rng
        await trio.sleep(rng.uniform(0.0, 0.05))
        if rng.random() < 0.2:
            self.play.nursery.start_soon(self._put_late, key, value, revision)
            return Err(Fault(ResultCode.KV_UNKNOWN, "no answer"))
        return await self.kv.put_if(key, value, revision)

    async def _put_late(self, key: str, value: bytes, revision: int) -> None:
        await trio.sleep(self.play.rng.uniform(0.0, 8.0))
        await self.kv.put_if(key, value, revision)


@dataclass(slots=True)
class Play:
    """One random course of events."""

    rng: random.Random
    nursery: trio.Nursery
    fleet: OriginNodes
    listed: dict[str, tuple[str, ...]] = field(
        default_factory=lambda: {SERVICE: ("v1",), OTHER_SERVICE: ("v1",)}
    )
    gone: set[str] = field(default_factory=set)
    counts: Counter[str] = field(default_factory=Counter)
    joined: list[tuple[StreamOrigin, StreamOrigin]] = field(default_factory=list)

    async def run(self) -> None:
        for name in self.fleet.node_names:
            self.show_upstreams(name)
            origins = self.fleet.origins[name]
            origins._kv = UnreliableKv(self, origins._kv)
        await self.fleet.run(self.nursery)
        for number in range(ROUNDS * EVENTS):
            if number % EVENTS == 0:
                await trio.sleep(self.rng.uniform(2.0, 2.5) * POLICY.retire_after_ms / 1000)
            self.nursery.start_soon(self.rng.choices(self.events, (60, 20, 15, 12))[0], number)
            await trio.sleep(self.rng.choice((0.0, 0.01, 0.05, 0.2, 0.5, 1.0)))
        await trio.sleep(POLICY.retention_ms / 1000)

    @property
    def events(self) -> tuple:
        return self.stream, self.cut_off, self.move_route, self.replace_versions

    async def move_route(self, number: int) -> None:
        service = (SERVICE, OTHER_SERVICE)[number % 2]
        route = msgspec.structs.replace(ROUTE, services=((service, 1.0),))
        self.fleet.routes = RouteTable(self.fleet.routes.version + 1, (route,))
        await self.tell_nodes(self.fleet._configure)

    async def replace_versions(self, _number: int) -> None:
        for service in self.listed:
            self.listed[service] = self.rng.choice((("v1",), ("v2",), ("v1", "v2")))
        await self.tell_nodes(self.show_upstreams)

    async def tell_nodes(self, learn: Callable[[str], None]) -> None:
        """Let the nodes learn news one after the other."""
        for name in self.rng.sample(self.fleet.node_names, len(self.fleet.node_names)):
            await trio.sleep(self.rng.choice((0.0, 0.05, 0.2)))
            if name not in self.fleet.cut_off:
                learn(name)

    async def cut_off(self, _number: int) -> None:
        name = self.rng.choice(self.fleet.node_names)
        if name in self.fleet.cut_off:
            return
        self.fleet.cut_off.add(name)
        await trio.sleep(self.rng.uniform(0.0, MAX_CUT_S))
        self.fleet.cut_off.discard(name)
        news = [self.fleet.catch_up, self.fleet._configure, self.show_upstreams]
        self.rng.shuffle(news)
        for learn in news:
            learn(name)
            await trio.sleep(self.rng.choice((0.0, 0.01, 0.2)))

    def show_upstreams(self, name: str) -> None:
        vms = [
            VmRecord(vm_id, "r", f"d-{number % 3}", vm_id, 0, VmState.ALIVE, agent_port=1)
            for number, vm_id in enumerate(self.fleet.node_names)
        ]
        upstreams = [
            UpstreamRecord(
                service + version,
                "r",
                "d",
                "h",
                1,
                UpstreamKind.ENGINE,
                service,
                software_version=version,
            )
            for service, versions in self.listed.items()
            for version in versions
        ]
        view = self.fleet.views[name]
        view.replace(view.version + 1, vms, upstreams, 0.0)

    async def stream(self, number: int) -> None:
        """Start a stream at a node that may restart without its memory, and resume it."""
        name = self.rng.choice(self.fleet.node_names)
        route = self.fleet.configurations[name].routes.find(ROUTE.host, PATH)
        [service] = route.drawn_services
        origins, view = self.fleet.origins[name], self.fleet.views[name]
        await origins.wait_startable(service, route, PATH)
        listed = {item.software_version for item in view.upstreams_of(service)}
        startable = origins.startable_versions(service, route, PATH) & listed
        if name in self.gone or not startable:
            return
        origin = StreamOrigin(service, self.rng.choice(sorted(startable)))
        # Until the first event of the upstream.
        await trio.sleep(self.rng.choice((0.0, 0.05, 0.3)))
        await origins.record_start(str(number), origin, route, PATH)
        if self.rng.random() < 0.5:
            self.gone.add(name)
            self.fleet.silent.add(name)
        latest_s = POLICY.retention_ms / 1000 - 0.6
        await trio.sleep(self.rng.choice((0.0, 0.05, self.rng.uniform(0.0, latest_s))))
        if self.rng.random() < 0.6:
            for other in self.fleet.origins.values():
                other.memory._origins.clear()
        present = [other for other in self.fleet.node_names if other not in self.gone]
        if present:
            await self.resume(self.rng.choice(present), str(number), origin)
        self.gone.discard(name)
        self.fleet.silent.discard(name)

    async def resume(self, name: str, key: str, origin: StreamOrigin) -> None:
        found = await self.fleet.resume(name, key)
        if found.is_err():
            self.counts["unknown"] += 1
            return
        resumed = found.ok_value
        self.counts[resumed.known_by] += 1
        if (resumed.service, resumed.software_version) != (origin.service, origin.software_version):
            self.joined.append((origin, resumed))


class OriginInterleavingTest(unittest.TestCase):
    def play(self, seed: int) -> Play:
        plays: list[Play] = []

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=5, policy=POLICY)
                for service in (SERVICE, OTHER_SERVICE):
                    fleet.record_versions("v1", service=service)
                plays.append(Play(random.Random(seed), nursery, fleet))
                await plays[0].run()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return plays[0]

    def test_no_stream_continues_at_another_service_or_version(self) -> None:
        counts: Counter[str] = Counter()
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                play = self.play(seed)
                self.assertEqual(play.joined, [])
                counts += play.counts
        # The courses of events put the records to the test.
        self.assertGreater(counts["record"], SEEDS)


if __name__ == "__main__":
    unittest.main()
