"""Calls about batch jobs at a node that currently knows no upstream."""

import unittest

import trio

from tests.builders.jobs_calls import JOB, submit
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.standins import run_async


class NoUpstreamsTest(unittest.TestCase):
    """All upstreams were removed for a while, and a client ended its job.

    A node without upstreams considered itself not started and refused the end, although it needs
    no upstream.  When upstreams returned, items of the job started.
    """

    def status_of(self, method: str, target: str) -> int:
        """Return the status of a call made a second after the last upstream was removed."""
        statuses: list[int] = []

        async def test(fleet: NodeFleet) -> None:
            node = fleet.nodes[0]
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 1000.0
            self.assertEqual((await submit(fleet, node.front, "a", "b")).status, 202)
            fleet.store.state.delete(f"servers/{fleet.upstreams[0].upstream_id}")
            await trio.sleep(1.0)
            statuses.append((await fleet.call(node.front, method, target)).status)

        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=1, upstreams=1) as fleet:
                    await test(fleet)

        run_async(run)
        return statuses[0]

    def test_a_job_can_be_ended(self) -> None:
        self.assertEqual(self.status_of("DELETE", f"/api/lots/{JOB}"), 200)

    def test_a_job_can_be_read(self) -> None:
        self.assertEqual(self.status_of("GET", f"/api/lots/{JOB}?after=0"), 200)


if __name__ == "__main__":
    unittest.main()
