"""Clients that read slowly or not at all hold no permits and only bounded memory at a node."""

import unittest
from contextlib import AsyncExitStack

import trio

from fescuedock.address import Address
from tests.builders.jobs_calls import item_entry, submission_of
from tests.builders.net import LOOPBACK
from tests.builders.node import SLOTS, NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.ports import free_ports
from tests.builders.slow_readers import (
    SMALL_BUFFER_BYTES,
    BigUpstream,
    SlowClient,
    big_event,
    slow_client,
)
from tests.builders.standins import run_async

EVENTS = 8
# One of four responses of 131 KB fits, apart from the part in the kernel's buffers.
BOUND_BYTES = 200_000
CHUNKED_END = b"0\r\n\r\n"


async def start_big_upstream(fleet: NodeFleet) -> BigUpstream:
    """Replace the fleet's only upstream with one that gives large answers."""
    upstream = BigUpstream("i-big", event_count=EVENTS)
    await fleet.nursery.start(upstream.run, LOOPBACK)
    fleet.register(upstream)
    fleet.store.state.delete(f"servers/{fleet.upstreams[0].upstream_id}")
    await trio.sleep(0.5)
    return upstream


class NodeSlowReadersTest(unittest.TestCase):
    def run_fleet(self, test, **changes: object) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                changes.setdefault("client_buffer_bytes", SMALL_BUFFER_BYTES)
                async with running_fleet(upstreams=1, **changes) as fleet:
                    await test(fleet)

        run_async(run)

    async def stalled_calls(
        self, fleet: NodeFleet, stack: AsyncExitStack, path: str, count: int
    ) -> list[SlowClient]:
        clients = []
        for number in range(count):
            client = await stack.enter_async_context(slow_client(fleet.nodes[0].front))
            fields = {"x-request-id": f"slow-{number}", "x-deadline-ms": "9000"}
            await client.send("POST", path, fields)
            clients.append(client)
        return clients

    def test_callers_that_do_not_read_hold_no_permits_and_get_the_rest_later(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            upstream = await start_big_upstream(fleet)
            async with AsyncExitStack() as stack:
                clients = await self.stalled_calls(fleet, stack, "/rights/slow", SLOTS)
                await wait_until(lambda: sum(upstream.runs.values()) == SLOTS)
                headers = {"x-deadline-ms": "1500"}
                answer = await fleet.call(fleet.nodes[0].front, "POST", "/rights/1", b"", headers)
                self.assertEqual((answer.status, answer.complete), (200, True))
                for client in clients:
                    data, whole = await client.read_to_end(CHUNKED_END)
                    self.assertTrue(whole)
                    for number in range(EVENTS):
                        self.assertIn(big_event(number, upstream.event_bytes), data)

        self.run_fleet(test)

    def test_a_client_that_pauses_is_no_stall_of_its_upstream(self) -> None:
        """Guards against a second run: the wait for the client counted as an upstream stall."""

        async def test(fleet: NodeFleet) -> None:
            upstream = await start_big_upstream(fleet)
            async with AsyncExitStack() as stack:
                [client] = await self.stalled_calls(fleet, stack, "/check/slow", 1)
                # Twice the time that the route allows between two events.
                await trio.sleep(1.3)
                data, whole = await client.read_to_end(CHUNKED_END)
                self.assertTrue(whole)
                self.assertEqual(data.count(b"data: "), EVENTS)
            self.assertEqual(fleet.upstream_runs("slow-0") + upstream.runs["slow-0"], 1)

        self.run_fleet(test, held_call_bytes=20_000)

    def test_beyond_the_bound_of_the_process_the_oldest_stalled_are_cut_and_counted(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await start_big_upstream(fleet)
            async with AsyncExitStack() as stack:
                clients = await self.stalled_calls(fleet, stack, "/rights/slow", SLOTS)
                status = await self.wait_cut_off(fleet, 3)
                self.assertLessEqual(status["held_bytes"], BOUND_BYTES)
                results = [await client.read_to_end(CHUNKED_END) for client in clients]
                self.assertEqual(sum(whole for _, whole in results), 1)
            self.assertEqual((await self.wait_cut_off(fleet, 3))["cut_off_callers"], 3)

        port = free_ports(1)[0]
        self.run_fleet(test, held_process_bytes=BOUND_BYTES, metrics_port=port)

    def test_a_stopping_node_lets_its_slow_clients_have_the_rest(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            upstream = await start_big_upstream(fleet)
            async with AsyncExitStack() as stack:
                [client] = await self.stalled_calls(fleet, stack, "/rights/slow", 1)
                await wait_until(lambda: upstream.runs["slow-0"] and not upstream.running)
                fleet.nodes[0].stop.request()
                data, whole = await client.read_to_end(CHUNKED_END, pause_s=0.002)
                self.assertTrue(whole)
                self.assertEqual(data.count(b"data: "), EVENTS)
            await fleet.nodes[0].ended.wait()

        self.run_fleet(test)

    def test_unread_bodies_of_items_are_bounded(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            front, body = fleet.nodes[0].front, b"x" * 60_000 + b"end"
            headers = {"x-request-id": "job", "x-deadline-ms": "3000"}
            job = submission_of([item_entry("a", body)])
            answer = await fleet.call(front, "POST", "/letters/new", job, headers)
            self.assertEqual(answer.status, 202)
            target = "/api/items/job?id=a"
            async with AsyncExitStack() as stack:
                for _ in range(10):
                    client = await stack.enter_async_context(slow_client(front))
                    await client.send("GET", target, {})
                status = await self.wait_cut_off(fleet, 5)
                self.assertLessEqual(status["held_bytes"], BOUND_BYTES)
                answer = await fleet.call(front, "GET", target)
                self.assertEqual((answer.status, answer.body), (200, body))
                self.assertTrue(answer.complete)

        port = free_ports(1)[0]
        self.run_fleet(test, held_process_bytes=BOUND_BYTES, metrics_port=port)

    async def wait_cut_off(self, fleet: NodeFleet, count: int) -> dict:
        settings = fleet.nodes[0].settings
        address = Address(settings.vm.host, settings.node.metrics_port)
        while True:
            status = (await fleet.call(address, "GET", "/admin/status")).json()
            if status["cut_off_callers"] >= count:
                return status
            await trio.sleep(0.02)


if __name__ == "__main__":
    unittest.main()
