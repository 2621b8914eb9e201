"""Streams that clients resume at other nodes: which continue, which are refused, and the cost."""

import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import trio

from fescuedock.node.stream_origins import StreamOrigins
from fescuedock.schema.origins import KeepOrigins
from fescuedock.schema.result_codes import ResultCode
from tests.builders.node import (
    Answer,
    NodeFleet,
    RunningNode,
    config_document,
    running_fleet,
)
from tests.builders.online import wait_until
from tests.builders.standins import run_async
from tests.builders.versions import ResumedStream, event_numbers, resume_stream

ONE_VERSION = ("v1", "v1")
TWO_VERSIONS = ("v1", "v1", "v1.1", "v1.1")
RECORD = "fescuedock/live/version/desk-llm"
BEFORE_RELEASE_S = 0.6


class ResumeTest(unittest.TestCase):
    def run_fleet(
        self,
        test: Callable[[NodeFleet], Awaitable[None]],
        versions=TWO_VERSIONS,
        nodes: int = 3,
        **options,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with running_fleet(versions=versions, nodes=nodes, **options) as fleet:
                    await wait_until(lambda: fleet.store.state.get(RECORD) is not None)
                    await test(fleet)

        run_async(run)

    async def start_stream(
        self,
        fleet: NodeFleet,
        node: RunningNode,
        name: str,
        path: str = "/check/7",
        **headers: str,
    ) -> Answer:
        """Have a client read the first two events of a stream and lose its connection."""
        for upstream in fleet.upstreams:
            upstream.event_interval_ms = 60
        fields = {"host": "desk.example", "x-request-id": name} | headers
        answer = await self.read_two_events(fleet, node, path, fields)
        for upstream in fleet.upstreams:
            upstream.event_interval_ms = 1
        return answer

    async def read_two_events(
        self, fleet: NodeFleet, node: RunningNode, path: str, headers: dict[str, str]
    ) -> Answer:
        body = b""
        async with fleet.http.request(
            node.front, "POST", path, list(headers.items()), b"case", fresh=True
        ) as response:
            async for part in response.chunks():
                body += part
                if len(event_numbers(body)) == 2:
                    break
        return Answer(200, response.headers, body, complete=False)

    def check_complete(self, resumed: ResumedStream) -> None:
        self.assertEqual(
            (resumed.second.status, resumed.second.complete), (200, True), resumed.second
        )
        self.assertEqual(resumed.numbers, list(range(5)))
        self.assertEqual(len(resumed.versions), 1)

    def check_refused(self, answer: Answer) -> None:
        self.assertEqual(answer.status, 503, answer)
        self.assertEqual(answer.json()["error"]["code"], ResultCode.ORIGIN_UNKNOWN)
        self.assertIn("retry-after", answer.headers)

    def test_every_node_resumes_a_stream_on_its_original_version(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for number in range(6):
                name, path = f"r-first-{number}", f"/check/{number}"
                first = await self.start_stream(fleet, fleet.nodes[number % 3], name, path)
                for node in fleet.nodes:
                    self.check_complete(
                        await resume_stream(fleet, node.front, path, b"case", first, name)
                    )

        self.run_fleet(test)

    def test_a_stream_resumes_after_its_node_has_shut_down(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            started = [await self.start_stream(fleet, fleet.nodes[0], f"r-{n}") for n in range(8)]
            # All nodes that store the origins leave, one after the other, and transfer them.
            for node in fleet.nodes[:3]:
                node.stop.request()
                await node.ended.wait()
            for number, first in enumerate(started):
                other = fleet.nodes[3].front
                resumed = await resume_stream(
                    fleet, other, "/check/7", b"case", first, f"r-{number}"
                )
                self.check_complete(resumed)

        self.run_fleet(test, nodes=4)

    def test_with_one_version_streams_resume_after_the_loss_of_all_nodes(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first = await self.start_stream(fleet, fleet.nodes[0], "r-1")
            await self.restart_all(fleet)
            resumed = await resume_stream(
                fleet, fleet.nodes[1].front, "/check/7", b"case", first, "r-1"
            )
            self.check_complete(resumed)

        self.run_fleet(test, versions=ONE_VERSION)

    def test_with_two_versions_nodes_without_the_origin_refuse(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first = await self.start_stream(fleet, fleet.nodes[0], "r-1")
            await self.restart_all(fleet)
            for node in fleet.nodes:
                resumed = await resume_stream(fleet, node.front, "/check/7", b"case", first, "r-1")
                self.check_refused(resumed.second)
            again = await fleet.call(fleet.nodes[0].front, "POST", "/check/7", b"case")
            self.assertEqual((again.status, event_numbers(again.body)), (200, list(range(5))))

        self.run_fleet(test)

    def test_with_two_versions_streams_resume_after_all_nodes_and_spools_were_killed(
        self,
    ) -> None:
        async def test(fleet: NodeFleet) -> None:
            with TemporaryDirectory() as folder:
                spools = [await fleet.start_spool(n, Path(folder) / str(n)) for n in range(2)]
                spool_key = "fescuedock/live/spool/spool-1"
                await wait_until(lambda: fleet.store.state.get(spool_key) is not None)
                await trio.sleep(0.5)
                for number in range(6):
                    name, path = f"r-{number}", f"/check/{number}"
                    first = await self.start_stream(fleet, fleet.nodes[0], name, path)
                    for spool in spools:
                        spool.kill()
                    await self.restart_all(fleet)
                    spools = [await fleet.restart_spool(spool) for spool in spools]
                    other = fleet.nodes[1 + number % 2].front
                    self.check_complete(
                        await resume_stream(fleet, other, path, b"case", first, name)
                    )

        self.run_fleet(test)

    async def restart_all(self, fleet: NodeFleet) -> None:
        for node in fleet.nodes:
            node.kill()
        for node in list(fleet.nodes):
            await fleet.restart(node)
        await fleet.wait_ready()

    def test_streams_started_before_a_release_resume_at_other_nodes_after_it(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first = await self.start_stream(fleet, fleet.nodes[0], "r-1")
            for name in ("i-new-0", "i-new-1"):
                await fleet.start_upstream(name, version="v1.1")
            await trio.sleep(BEFORE_RELEASE_S)
            fleet.nodes[0].kill()
            resumed = await resume_stream(
                fleet, fleet.nodes[1].front, "/check/7", b"case", first, "r-1"
            )
            self.check_complete(resumed)
            self.assertEqual(resumed.versions, {"v1"})

        self.run_fleet(test, versions=ONE_VERSION)

    def test_no_stream_starts_on_a_version_before_the_record_names_it(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [old] = fleet.upstreams
            # A new upstream is used only once the one with open connections is full.
            old.event_interval_ms = 40
            async with trio.open_nursery() as nursery:

                async def call(number: int) -> None:
                    while True:
                        await fleet.call(fleet.nodes[number].front, "POST", "/check/1", b"a")

                for number in range(8):
                    nursery.start_soon(call, number % 2)
                await trio.sleep(0.2)
                new = await fleet.start_upstream("i-new", version="v1.1")
                await wait_until(lambda: bool(new.seen))
                self.assertIn(b"v1.1", fleet.store.state.get(RECORD).value)
                nursery.cancel_scope.cancel()
            self.assertTrue(old.seen)

        self.run_fleet(test, versions=("v1",), nodes=2)

    def test_a_version_that_no_record_names_gets_no_stream(self) -> None:
        async def never(*_args: object) -> None:
            """Write nothing."""

        async def test(fleet: NodeFleet) -> None:
            with mock.patch.object(StreamOrigins, "_write_by_rank", never):
                new = await fleet.start_upstream("i-new", version="v1.1")
                await trio.sleep(BEFORE_RELEASE_S)
                # More concurrent calls than the other upstream has slots.
                fleet.upstreams[0].event_interval_ms = 40
                async with trio.open_nursery() as nursery:
                    for number in range(8):
                        path = f"/check/{number}"
                        nursery.start_soon(fleet.call, fleet.nodes[0].front, "POST", path, b"a")
            self.assertEqual(new.seen, [])

        self.run_fleet(test, versions=("v1",), nodes=1)

    def test_new_versions_of_many_services_are_recorded_soon(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            document = config_document(version=2)
            names = [f"llm-{number}" for number in range(40)]
            [stream, *_] = document["routes"]
            document["services"] += [{"name": name, "healthPath": "/health"} for name in names]
            document["routes"] += [
                stream | {"name": name, "prefix": f"/{name}/", "service": name} for name in names
            ]
            fleet.configure(document)
            await trio.sleep(BEFORE_RELEASE_S)
            for name in names:
                fleet.register(fleet.upstreams[0], service=name)
                key = f"servers/{name}"
                entry = fleet.store.state.get(f"servers/{fleet.upstreams[0].upstream_id}")
                fleet.store.state.put(key, entry.value)
            with trio.fail_after(1.5):
                for name in names:
                    key = f"fescuedock/live/version/{name}"
                    await wait_until(lambda key=key: fleet.store.state.get(key) is not None)

        self.run_fleet(test, nodes=2)

    def test_an_identity_of_no_stream_resumes_no_other_stream(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first = await self.start_stream(fleet, fleet.nodes[0], "r-1")
            other = fleet.nodes[1].front
            for name in ("r-unknown", "", "r-1, r-2"):
                resumed = await resume_stream(fleet, other, "/check/7", b"case", first, name)
                self.check_refused(resumed.second)
            # Another request, and another route.
            for path, body in (("/check/7", b"other case"), ("/check/8", b"case")):
                resumed = await resume_stream(fleet, other, path, body, first, "r-1")
                self.check_refused(resumed.second)
            # A client without an event cannot resume, so the stream starts from the beginning.
            fresh = await fleet.call(other, "POST", "/check/7", b"case", {"resumes": "r-1"})
            self.assertEqual((fresh.status, event_numbers(fresh.body)), (200, list(range(5))))

        self.run_fleet(test)

    def test_a_restarted_stream_is_known_by_its_own_identity(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            # The first try gave no event, so the identity that its client names started no stream.
            for number in range(4):
                name = f"r-{number}"
                first = await self.start_stream(fleet, fleet.nodes[0], name, resumes="r-nothing")
                other = fleet.nodes[1].front
                self.check_complete(
                    await resume_stream(fleet, other, "/check/7", b"case", first, name)
                )

        self.run_fleet(test)

    def test_a_stream_whose_version_has_gone_is_refused_at_once(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first = await self.start_stream(fleet, fleet.nodes[0], "r-1")
            [version] = ResumedStream(first, first).versions
            for upstream in fleet.upstreams:
                if upstream.version == version:
                    fleet.store.state.delete(f"servers/{upstream.upstream_id}")
            await trio.sleep(BEFORE_RELEASE_S)
            with trio.fail_after(0.5):
                resumed = await resume_stream(
                    fleet, fleet.nodes[1].front, "/check/7", b"case", first, "r-1"
                )
            self.assertEqual(resumed.second.status, 503)
            self.assertEqual(resumed.second.json()["error"]["code"], ResultCode.NO_UPSTREAM)

        self.run_fleet(test)

    def test_a_new_version_under_the_same_key_gets_no_stream_of_the_former(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            firsts = [await self.start_stream(fleet, fleet.nodes[0], f"r-{n}") for n in range(4)]
            for upstream in fleet.upstreams:
                upstream.version = "v3"
                fleet.register(upstream)
            await trio.sleep(BEFORE_RELEASE_S)
            for number, first in enumerate(firsts):
                other = fleet.nodes[1].front
                resumed = await resume_stream(
                    fleet, other, "/check/7", b"case", first, f"r-{number}"
                )
                self.assertEqual(resumed.second.status, 503)

        self.run_fleet(test)

    def test_with_one_version_nodes_exchange_no_origins(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first = await self.start_stream(fleet, fleet.nodes[0], "r-1")
            # During an outage of the store, nodes that agree continue as before.
            fleet.store.take_down()
            await trio.sleep(1.6)
            resumed = await resume_stream(
                fleet, fleet.nodes[1].front, "/check/7", b"case", first, "r-1"
            )
            self.check_complete(resumed)

        self.run_fleet(test, versions=ONE_VERSION)

    def test_a_stream_whose_node_is_lost_early_in_an_outage_of_the_store_resumes(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for number in range(3):
                name = f"r-{number}"
                first = await self.start_stream(fleet, fleet.nodes[0], name)
                # At different phases of what nodes do once a second.
                await trio.sleep(0.33)
                fleet.store.take_down()
                await trio.sleep(1.15)
                fleet.nodes[0].kill()
                resumed = await resume_stream(
                    fleet, fleet.nodes[1].front, "/check/7", b"case", first, name
                )
                self.check_complete(resumed)
                fleet.store.bring_up()
                await fleet.restart(fleet.nodes[0])
                await fleet.wait_ready()

        self.run_fleet(test, versions=ONE_VERSION)


class OriginMessageTest(unittest.TestCase):
    def test_a_message_of_many_streams_is_small(self) -> None:
        """Bounds the bytes of a stream's origin in a message, as the design states."""
        import msgspec

        from fescuedock.schema.origins import KnownStream, StreamOrigin

        one = KeepOrigins([KnownStream("0" * 32, StreamOrigin("admision-llm", "v1.2"))])
        self.assertLess(len(msgspec.msgpack.encode(one)), 140)


if __name__ == "__main__":
    unittest.main()
