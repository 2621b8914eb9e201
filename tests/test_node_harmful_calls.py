"""Calls that crash each upstream that begins them, and come again at any node."""

import unittest

import trio

from tests.builders.node import Answer, NodeFleet, running_fleet
from tests.builders.standins import run_async

HARMFUL = "/rights/harmful"
# Three crashes are enough to know a piece of work by.
ENOUGH = 3
# Between the tries of a client: nodes hear of each other's knowledge well within it.
PAUSE_S = 0.4


def crash_count(fleet: NodeFleet) -> int:
    return sum(len(upstream.crashes) for upstream in fleet.upstreams)


class HarmfulCallsTest(unittest.TestCase):
    """Users saw twelve upstreams end under one request on one day.

    A call to a stream route crashed the upstream that began it, with all that ran there.  Its client
    came again, as a call of its own, at another node, which began from nothing: another upstream.
    Logs showed one call that had just begun at each end, all at different nodes, each the first
    attempt of its call; what they had in common was the path and the body.  Nothing that is known
    against a piece of work outlived its call.
    """

    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(**options) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.harmful.add(HARMFUL)
                    await test(fleet)

        run_async(run)

    async def try_harmful(self, fleet: NodeFleet, number: int) -> Answer | None:
        """Make one try of the harmful call; None when its connection broke before an answer."""
        node = fleet.nodes[number % len(fleet.nodes)]
        headers = {"X-Request-Id": f"try-{number}", "X-Deadline-Ms": "3000"}
        return await fleet.call(node.front, "POST", HARMFUL, b"case", headers)

    def test_a_call_that_comes_again_at_any_node_ends_three_upstreams_at_most(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for number in range(8):
                answer = await self.try_harmful(fleet, number)
                self.assertNotEqual(answer.status, 200)
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(crash_count(fleet), ENOUGH)
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/rights/other", b"case")
            self.assertEqual((answer.status, answer.whole), (200, True))

        self.run_fleet(test, nodes=3, upstreams=4)


if __name__ == "__main__":
    unittest.main()
