"""The records of the services at which streams of a host's paths may have started."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.forwarding.route_table import Route, RouteKind, RouteTable
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.core.stream_origins import (
    UNREADABLE,
    OriginPolicy,
    RouteRecord,
    StartRecord,
    routed_services,
    stream_prefixes,
)
from fescuedock.schema.result_codes import ResultCode
from tests.builders.node import Answer, NodeFleet, config_document, running_fleet
from tests.builders.origin_nodes import OriginNodes
from tests.builders.standins import run_async
from tests.builders.versions import event_numbers, resume_stream

HOST = "desk.example"
PREFIXES = ("/a/", "/a/b/", "/a/b/c/", "/d/")
PATHS = ("/a/1", "/a/b/1", "/a/b/c/1", "/a/b/c/d/1", "/d/1", "/e/1")
SERVICES = ("desk", "other")
KEY = "stream"
BEFORE_CHANGE_S = 0.6


def table_of(services: dict[str, str], version: int = 1) -> RouteTable:
    """Return a configuration with a resumable stream route for each prefix."""
    routes = [
        Route(prefix, HOST, prefix, RouteKind.STREAM, ((service, 1.0),), resumable=True)
        for prefix, service in services.items()
    ]
    return RouteTable(version, tuple(routes))


def updated(record: RouteRecord, table: RouteTable, **due: list[str]) -> RouteRecord:
    configured = stream_prefixes(table).get(HOST, set())
    routed = routed_services(table, HOST, configured | record.prefixes.keys())
    return record.updated(routed, {f"/{name}/": names for name, names in due.items()}, configured)


class RouteRecordTest(unittest.TestCase):
    def test_a_moved_path_keeps_its_former_service_until_it_is_retired(self) -> None:
        before = updated(RouteRecord(), table_of({"/a/": "desk"}))
        moved = updated(before, table_of({"/a/": "other"}))
        self.assertEqual(moved.at("/a/1"), StartRecord(frozenset(SERVICES)))
        marked = updated(moved, table_of({"/a/": "other"}), a=["desk"])
        self.assertEqual(marked.at("/a/1").startable, {"other"})
        self.assertEqual(marked.at("/a/1").names, set(SERVICES))
        retired = updated(marked, table_of({"/a/": "other"}), a=["desk"])
        self.assertEqual(retired.at("/a/1"), StartRecord(frozenset(("other",))))

    def test_a_prefix_that_comes_and_goes_leaves_the_record(self) -> None:
        split = {"/a/": "desk", "/a/b/": "other"}
        record = updated(updated(RouteRecord(), table_of({"/a/": "desk"})), table_of(split))
        self.assertEqual(record.at("/a/b/1").names, set(SERVICES))
        for table in (table_of({"/a/": "desk"}), table_of({})):
            for _ in range(2):
                record = updated(record, table, a=list(SERVICES), **{"a/b": list(SERVICES)})
        self.assertEqual(record.prefixes, {})

    # The outer prefix may be due earlier, which would remove the service of the inner one as well.
    def test_a_prefix_whose_service_waits_to_be_removed_is_not_merged(self) -> None:
        table = table_of({"/a/": "desk"})
        marked = StartRecord(frozenset(SERVICES), frozenset(("other",)))
        kept = updated(RouteRecord({"/a/": marked, "/a/b/": marked}), table)
        self.assertEqual(kept.prefixes.keys(), {"/a/", "/a/b/"})
        settled = StartRecord(frozenset(("desk",)))
        merged = updated(RouteRecord({"/a/": settled, "/a/b/": settled}), table)
        self.assertEqual(merged.prefixes.keys(), {"/a/"})

    def test_a_path_without_a_record_may_not_start(self) -> None:
        record = updated(RouteRecord(), table_of({"/a/b/": "desk"}))
        self.assertEqual([record.at(path).names for path in ("/a/1", "/", "x", "")], [set()] * 4)

    def test_an_unreadable_record_leaves_every_path_unknown(self) -> None:
        record = updated(RouteRecord.unreadable(), table_of({"/a/": "desk"}))
        self.assertEqual(record.at("/a/1").names, {"desk", UNREADABLE})
        self.assertIn("desk", record.at("/a/1").startable)

    @given(
        st.lists(
            st.tuples(
                st.dictionaries(st.sampled_from(PREFIXES), st.sampled_from(SERVICES)),
                st.booleans(),
            ),
            max_size=8,
        )
    )
    def test_it_names_every_service_at_which_a_path_has_started_since_the_last_retirement(
        self, steps: list[tuple[dict[str, str], bool]]
    ) -> None:
        record = RouteRecord()
        started: dict[str, set[str]] = {path: set() for path in PATHS}
        for services, retires in steps:
            table = table_of(services)
            if retires:
                # Twice, as a service is marked first; all former streams have ended by then.
                prefixes = {*record.prefixes, *services}
                due = {prefix.strip("/"): list(SERVICES) for prefix in prefixes}
                for _ in range(2):
                    record = updated(record, table, **due)
                started = {path: set() for path in PATHS}
            record = updated(record, table)
            for path in PATHS:
                route = table.find(HOST, path)
                if route is not None:
                    [service] = route.drawn_services
                    self.assertIn(service, record.at(path).startable)
                    started[path].add(service)
                self.assertLessEqual(started[path], record.at(path).names)
            self.assertEqual(RouteRecord.of(record.served()), record)

    def test_a_long_host_name_has_a_key_that_the_store_takes(self) -> None:
        keys = JobKeys("fescuedock/")
        self.assertLess(len(keys.routes("h" * 250).encode()), 200)
        self.assertNotEqual(keys.routes("h" * 250), keys.routes("h" * 251))


class MaintainedRecordTest(unittest.TestCase):
    """The nodes write the record of a host when its routes change, and forget former services."""

    POLICY = OriginPolicy(retire_after_ms=3_000.0, retention_ms=1_000.0)

    def play(self, test: Callable[[OriginNodes], Awaitable[None]]) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=3, policy=self.POLICY)
                for service in SERVICES:
                    fleet.record_versions("v1", service=service)
                fleet.list_versions("v1")
                await fleet.run(nursery)
                await test(fleet)
                nursery.cancel_scope.cancel()

        run_async(run, trio.testing.MockClock(autojump_threshold=0))

    def test_no_stream_starts_at_the_new_service_before_the_record_names_it(self) -> None:
        async def test(fleet: OriginNodes) -> None:
            fleet.kv.faults.down = True
            fleet.move_route("other")
            await trio.sleep(1.0)
            self.assertEqual(fleet.startable("n-0"), frozenset())
            fleet.kv.faults.down = False
            await trio.sleep(2.0)
            self.assertEqual(fleet.startable("n-0"), {"v1"})
            self.assertEqual(fleet.recorded_services, set(SERVICES))

        self.play(test)

    def test_a_change_of_routes_is_recorded_with_one_write(self) -> None:
        async def test(fleet: OriginNodes) -> None:
            writes = fleet.kv.faults.writes_seen
            fleet.move_route("other")
            await trio.sleep(0.01)
            self.assertEqual(fleet.startable("n-2"), {"v1"})
            await trio.sleep(1.0)
            self.assertEqual(fleet.kv.faults.writes_seen, writes + 1)

        self.play(test)

    def test_a_former_service_is_forgotten_after_its_streams_have_ended(self) -> None:
        async def test(fleet: OriginNodes) -> None:
            fleet.move_route("other")
            await trio.sleep(4.0)
            found = await fleet.resume("n-1", KEY)
            self.assertEqual(found.err_value.code, ResultCode.ORIGIN_UNKNOWN)
            await trio.sleep(6.0)
            self.assertEqual(fleet.recorded_services, {"other"})
            self.assertEqual((await fleet.resume("n-1", KEY)).ok_value.service, "other")

        self.play(test)

    def test_a_stream_that_starts_after_a_move_is_known_to_other_nodes(self) -> None:
        async def test(fleet: OriginNodes) -> None:
            fleet.move_route("other")
            await trio.sleep(0.01)
            await fleet.start_stream("n-0", KEY, "v1")
            fleet.silent.add("n-0")
            self.assertEqual((await fleet.resume("n-1", KEY)).ok_value.service, "other")

        self.play(test)

    def test_streams_that_started_before_their_route_was_split_become_known_to_others(self) -> None:
        async def test(fleet: OriginNodes) -> None:
            await fleet.start_stream("n-0", KEY, "v1")
            fleet.move_route("desk", "other")
            await trio.sleep(0.5)
            fleet.silent.add("n-0")
            found = await fleet.resume("n-1", KEY)
            self.assertEqual(found.ok_value.service, "desk")

        self.play(test)

    def test_an_unreadable_record_is_replaced(self) -> None:
        async def test(fleet: OriginNodes) -> None:
            fleet.write_routes(b"\xc1")
            await trio.sleep(2.0)
            self.assertEqual(fleet.startable("n-0"), {"v1"})
            found = await fleet.resume("n-1", KEY)
            self.assertEqual(found.err_value.code, ResultCode.ORIGIN_UNKNOWN)
            await trio.sleep(8.0)
            self.assertEqual(fleet.recorded_services, {"desk"})

        self.play(test)


class MovedRouteTest(unittest.TestCase):
    """Clients of whole nodes whose route moves from one service to another."""

    def run_fleet(self, test: Callable[[NodeFleet], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with running_fleet(nodes=3, upstreams=1) as fleet:
                    other = await fleet.start_upstream("i-other", version="v1")
                    fleet.register(other, service="other-llm")
                    fleet.configure(self.moved(2, "desk-llm"))
                    await trio.sleep(BEFORE_CHANGE_S)
                    await test(fleet)

        run_async(run)

    def moved(self, version: int, service: str) -> dict:
        document = config_document(version)
        document["routes"][0]["service"] = service
        document["services"].append({"name": "other-llm", "healthPath": "/health"})
        return document

    async def start_stream(self, fleet: NodeFleet, name: str) -> Answer:
        """Have a client read the first two events of a stream and lose its connection."""
        headers = {"host": HOST, "x-request-id": name}
        body = b""
        async with fleet.http.request(
            fleet.nodes[0].front, "POST", "/check/7", list(headers.items()), b"case", fresh=True
        ) as response:
            async for part in response.chunks():
                body += part
                if len(event_numbers(body)) == 2:
                    break
        return Answer(200, response.headers, body, complete=False)

    def test_no_stream_continues_at_the_service_to_which_its_route_has_moved(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            names = [f"r-first-{number}" for number in range(4)]
            started = [(name, await self.start_stream(fleet, name)) for name in names]
            fleet.nodes[0].kill()
            fleet.configure(self.moved(3, "other-llm"))
            for number, (name, first) in enumerate(started):
                await trio.sleep(0.2 * number)
                node = fleet.nodes[1 + number % 2]
                resumed = await resume_stream(fleet, node.front, "/check/7", b"case", first, name)
                self.assertIn(resumed.second.status, (200, 503))
            self.assertEqual(fleet.upstreams[-1].seen, [])

        self.run_fleet(test)

    def test_a_new_stream_starts_at_the_service_to_which_its_route_has_moved(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            fleet.configure(self.moved(3, "other-llm"))
            with trio.fail_after(1.0):
                while not fleet.upstreams[-1].seen:
                    answer = await fleet.call(fleet.nodes[1].front, "POST", "/check/7", b"case")
                    self.assertEqual(answer.status, 200, answer)

        self.run_fleet(test)


if __name__ == "__main__":
    unittest.main()
