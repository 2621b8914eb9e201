"""No node begins work of a job whose end it could have known, whichever way it comes to the job."""

import unittest

import eliot
import trio

from tests.builders.jobs_calls import JOB, submit
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.standins import run_async

# Longer than the node takes to hear of an end, and than it goes on by what it knows.
HEARD_S = 0.7
NAMES = ("a", "b", "c")


class EndedJobsTest(unittest.TestCase):
    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(**options) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.event_interval_ms = 100.0
                    await test(fleet)

        run_async(run)

    async def end(self, fleet: NodeFleet, number: int) -> None:
        """End the job at a node, and wait until all nodes have heard of it."""
        answer = await fleet.call(fleet.nodes[number].front, "DELETE", f"/api/lots/{JOB}")
        self.assertEqual(answer.status, 200)
        await trio.sleep(HEARD_S)

    def test_logs_tell_by_which_way_and_with_what_knowledge_items_run(self) -> None:
        lines: list[dict] = []

        async def test(fleet: NodeFleet) -> None:
            await submit(fleet, fleet.nodes[0].front, *NAMES)
            await trio.sleep(0.1)
            await self.end(fleet, 1)

        eliot.add_destinations(lines.append)
        try:
            self.run_fleet(test, nodes=2)
        finally:
            eliot.remove_destination(lines.append)
        [started] = [line for line in lines if line["message_type"] == "job_started"]
        self.assertEqual((started["way"], started["ended"]), ("submitted", False))
        self.assertLess(started["records_age_ms"], 1000)
        [ended] = [line for line in lines if line["message_type"] == "job_ended"]
        self.assertEqual((ended["owner"], ended["epoch"]), ("node-0", 0))
        self.assertGreater(ended["revision"], started["revision"])
        runs = [line for line in lines if line["message_type"] == "item_run"]
        self.assertEqual(len(runs), len(NAMES))
        self.assertLess(max(line["records_age_ms"] for line in runs), 1000)


if __name__ == "__main__":
    unittest.main()
