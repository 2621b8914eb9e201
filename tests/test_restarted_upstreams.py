"""Upstreams that restart under their ID at another software version, with entries that are late.

Until its entry is updated, a restarted upstream looks like its former process.
"""

import unittest
from collections.abc import Awaitable, Callable

import trio

from fescuedock.platform.standin.event_upstream import UpstreamFault
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.standins import run_async

STARTED_MS = 1_790_000_000_000
STREAMS = 24


class FleetTestCase(unittest.TestCase):
    def run_fleet(
        self,
        test: Callable[[NodeFleet], Awaitable[None]],
        versions: tuple[str, ...] = ("v1", "v1"),
        nodes: int = 2,
        started_ms: int = STARTED_MS,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=nodes, versions=versions) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.born = started_ms
                        fleet.register(upstream)
                    if started_ms:
                        # Nodes know the entries by now.
                        await trio.sleep(0.4)
                    await test(fleet)

        run_async(run)


class IdentificationTest(FleetTestCase):
    """The cost of telling processes apart, and what happens where that fails."""

    def test_streams_on_an_open_connection_ask_for_no_further_report(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for number in range(STREAMS):
                answer = await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"a")
                self.assertEqual((answer.status, answer.complete), (200, True))
            asked = sum(upstream.reports for upstream in fleet.upstreams)
            self.assertLessEqual(asked, len(fleet.upstreams))
            self.assertGreater(asked, 0)

        self.run_fleet(test, nodes=1)

    def test_entries_without_a_start_time_and_calls_of_one_run_ask_for_no_report(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for number in range(8):
                await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"a")
            self.assertEqual(sum(upstream.reports for upstream in fleet.upstreams), 0)

        async def test_single_run(fleet: NodeFleet) -> None:
            for number in range(8):
                await fleet.call(fleet.nodes[0].front, "POST", f"/rights/{number}", b"a")
                await fleet.call(fleet.nodes[0].front, "GET", f"/safe/{number}")
            self.assertEqual(sum(upstream.reports for upstream in fleet.upstreams), 0)

        self.run_fleet(test, started_ms=0)
        self.run_fleet(test_single_run)

    def test_calls_are_answered_elsewhere_if_an_upstream_gives_no_report(self) -> None:
        faults = (
            UpstreamFault(lose=True),
            UpstreamFault(hang_after=0),
            UpstreamFault(fail_status=500),
        )
        for fault in faults:
            with self.subTest(fault=fault):

                async def test(fleet: NodeFleet, fault: UpstreamFault = fault) -> None:
                    broken, _ = fleet.upstreams
                    broken.report_faults = [fault] * 100
                    for number in range(8):
                        answer = await fleet.call(
                            fleet.nodes[0].front, "POST", f"/check/{number}", b"a"
                        )
                        self.assertEqual((answer.status, answer.complete), (200, True))
                    self.assertEqual(broken.seen, [])

                self.run_fleet(test)

    def test_an_upstream_whose_report_names_no_start_serves(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream] = fleet.upstreams
            upstream.born = 0
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/check/1", b"a")
            self.assertEqual((answer.status, answer.complete), (200, True))

        self.run_fleet(test, versions=("v1",))


if __name__ == "__main__":
    unittest.main()
