"""A node whose permit requests reach no owner must not run jobs."""

import unittest
from unittest import mock

import trio

from fescuedock.agent.permit_client import PermitClient
from fescuedock.core.route_learning import UnansweredRequests
from tests.builders.jobs_calls import read_page, submit
from tests.builders.node import running_fleet
from tests.builders.standins import run_async


class UnansweredAsksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.asks = UnansweredRequests()

    def test_a_few_unanswered_requests_or_a_short_silence_do_not_count(self) -> None:
        for number in range(7):
            self.asks.record_silence(number * 1000.0)
        self.assertFalse(self.asks.is_persistent(7000.0))
        self.setUp()
        for number in range(20):
            self.asks.record_silence(number * 100.0)
        self.assertFalse(self.asks.is_persistent(2000.0))

    def test_a_long_silence_counts_until_an_answer_or_until_the_next_try(self) -> None:
        for number in range(12):
            self.asks.record_silence(number * 500.0)
        self.assertTrue(self.asks.is_persistent(6000.0))
        self.assertFalse(self.asks.is_persistent(16_000.0))
        self.asks.record_answer()
        self.assertFalse(self.asks.is_persistent(6000.0))


class UnansweredNodeTest(unittest.TestCase):
    def test_its_jobs_move_to_a_node_that_owners_answer(self) -> None:
        """Otherwise a restarted node accepts and claims jobs for 38 s without running any item."""
        channel_of, own_handler = PermitClient._channel_of, PermitClient._own_handler

        async def no_channel(client: PermitClient, upstream_id: str):
            if client.holder_id.startswith("node-0/"):
                return None
            return await channel_of(client, upstream_id)

        def no_handler(client: PermitClient, upstream_id: str):
            if client.holder_id.startswith("node-0/"):
                return None
            return own_handler(client, upstream_id)

        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=2, upstreams=2) as fleet:
                    front = fleet.nodes[0].front
                    self.assertEqual((await submit(fleet, front, "a", "b", "c")).status, 202)
                    done = set()
                    while len(done) < 3:
                        page = (await read_page(fleet, front, wait_ms=500)).json()
                        done = {item["id"] for item in page["results"]}

        with (
            mock.patch.object(PermitClient, "_channel_of", no_channel),
            mock.patch.object(PermitClient, "_own_handler", no_handler),
        ):
            run_async(run)


if __name__ == "__main__":
    unittest.main()
