"""Clients of a node that read slowly or not at all hold no permits, and bounded memory."""

import unittest
from contextlib import AsyncExitStack

import trio

from tests.builders.net import LOOPBACK
from tests.builders.node import SLOTS, NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.slow_readers import (
    SMALL_BUFFER_BYTES,
    BigUpstream,
    SlowClient,
    big_event,
    slow_client,
)
from tests.builders.standins import run_async

EVENTS = 8
CHUNKED_END = b"0\r\n\r\n"


async def start_big_upstream(fleet: NodeFleet) -> BigUpstream:
    """Put an upstream of large answers in the place of the fleet's only one."""
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
                self.assertEqual((answer.status, answer.whole), (200, True))
                for client in clients:
                    data, whole = await client.read_to_end(CHUNKED_END)
                    self.assertTrue(whole)
                    for number in range(EVENTS):
                        self.assertIn(big_event(number, upstream.event_bytes), data)

        self.run_fleet(test)


if __name__ == "__main__":
    unittest.main()
