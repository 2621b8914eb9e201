"""A node's logs and metrics about the calls that it has handled."""

import unittest

import eliot
import trio

from fescuedock.address import Address
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.ports import free_ports
from tests.builders.standins import run_async


class NodeObservabilityTest(unittest.TestCase):
    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with running_fleet(**options) as fleet:
                    await test(fleet)

        run_async(run)

    def test_tries_of_the_same_work_have_one_identity_in_the_logs(self) -> None:
        seen: list[dict] = []
        eliot.add_destinations(seen.append)
        self.addCleanup(eliot.remove_destination, seen.append)

        async def test(fleet: NodeFleet) -> None:
            tries = ((0, "first", b"case"), (1, "again", b"case"), (0, "other", b"other case"))
            for number, name, body in tries:
                headers = {"X-Request-Id": name}
                await fleet.call(fleet.nodes[number].front, "POST", "/check/1", body, headers)

        self.run_fleet(test, nodes=2)
        attempts = [line for line in seen if line["message_type"] == "call_attempt"]
        work_ids = {line["request_id"]: line["work_id"] for line in attempts}
        self.assertEqual(work_ids["first"], work_ids["again"])
        self.assertNotEqual(work_ids["first"], work_ids["other"])

    def test_metrics_are_served_once_there_are_results(self) -> None:
        [port] = free_ports(1, "127.0.0.1")

        async def test(fleet: NodeFleet) -> None:
            await fleet.call(fleet.nodes[0].front, "POST", "/check/1", b"case")
            answer = await fleet.call(Address("127.0.0.1", port), "GET", "/metrics")
            self.assertEqual(answer.status, 200)
            self.assertRegex(answer.body, rb'results_total\{code="OK",program="node".*\} 1')

        self.run_fleet(test, metrics_port=port)


if __name__ == "__main__":
    unittest.main()
