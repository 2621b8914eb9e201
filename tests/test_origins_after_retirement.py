"""Names that were removed from the records start no stream, at any node."""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import msgspec
import trio
import trio.testing

from fescuedock.core.forwarding.route_table import Route, RouteKind, RouteTable
from fescuedock.core.stream_origins import OriginPolicy, routed_services, stream_prefixes
from fescuedock.schema.origins import StreamOrigin
from tests.builders.origin_nodes import PATH, ROUTE, OriginNodes
from tests.builders.standins import run_async

KEY = "stream"
SERVICES = ("desk", "other")


class RetiredNameTest(unittest.TestCase):
    POLICY = OriginPolicy(retire_after_ms=3_000.0, retention_ms=1_000.0)

    def play(self, test: Callable[[OriginNodes], Awaitable[None]], **fields: object) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=3, policy=self.POLICY, **fields)
                for service in SERVICES:
                    fleet.record_versions("v1", service=service)
                fleet.list_versions("v1")
                await fleet.run(nursery)
                await test(fleet)
                nursery.cancel_scope.cancel()

        run_async(run, trio.testing.MockClock(autojump_threshold=0))

    async def check_not_joined(self, fleet: OriginNodes, name: str) -> None:
        """Start a stream at ``name`` if it allows one, and have the client resume it at n-1."""
        route = fleet.configurations[name].routes.find(ROUTE.host, PATH)
        [service] = route.drawn_services
        for version in fleet.startable(name):
            origin = StreamOrigin(service, version)
            if not await fleet.origins[name].record_start(KEY, origin, route, PATH):
                continue
            fleet.silent.add(name)
            found = await fleet.resume("n-1", KEY)
            if found.is_ok():
                resumed = found.ok_value
                self.assertEqual((resumed.service, resumed.software_version), (service, version))

    def test_a_node_that_was_cut_off_starts_no_stream_at_a_removed_service(self) -> None:
        async def test(fleet: OriginNodes) -> None:
            fleet.cut_off.add("n-0")
            fleet.move_route("other")
            await trio.sleep(10.0)
            self.assertEqual(fleet.recorded_services, {"other"})
            await self.check_not_joined(fleet, "n-0")

        self.play(test)

    def test_a_node_that_was_cut_off_starts_no_stream_at_a_removed_version(self) -> None:
        async def test(fleet: OriginNodes) -> None:
            fleet.cut_off.add("n-0")
            cut_off_view = fleet.views.pop("n-0")
            fleet.list_versions("v2")
            await trio.sleep(10.0)
            self.assertEqual(fleet.recorded, {"v2"})
            fleet.views["n-0"] = cut_off_view
            await self.check_not_joined(fleet, "n-0")

        self.play(test)

    def test_a_stream_that_began_before_its_route_was_resumable_is_not_joined(self) -> None:
        async def test(fleet: OriginNodes) -> None:
            # A stream starts at "desk", as the route leads there until the next configuration.
            fleet.move_route("other")
            await trio.sleep(1.0)
            found = await fleet.resume("n-1", KEY)
            self.assertTrue(found.is_err(), found)

        fixed = msgspec.structs.replace(ROUTE, resumable=False)
        with mock.patch.object(OriginNodes, "record_routes"):
            self.play(test, routes=RouteTable(1, (fixed,)))


class HostNameTest(unittest.TestCase):
    def test_the_streams_of_a_host_given_as_an_address_may_start(self) -> None:
        route = Route(
            "stream", "[::1]:8080", "/", RouteKind.STREAM, (("desk", 1.0),), resumable=True
        )
        table = RouteTable(1, (route,))
        self.assertEqual(table.find("[::1]:8080", "/1"), route)
        [(host, prefixes)] = stream_prefixes(table).items()
        self.assertEqual(routed_services(table, host, prefixes), {"/": {"desk"}})


if __name__ == "__main__":
    unittest.main()
