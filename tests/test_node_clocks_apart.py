"""Jobs and calls at nodes whose times of day differ by a minute."""

import unittest
from collections.abc import Awaitable, Callable, Sequence

import trio

from tests.builders.clocks import clocks_apart
from tests.builders.jobs_calls import read_page, submit
from tests.builders.node import NodeFleet, RunningNode, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async
from tests.test_node_owed_items import UnluckyUpstream, all_crashes

_APART_S = 60.0
# The rule for batch jobs allows this long for what is left at the end.
_LISTED_WITHIN_S = 18.0
_JOB = "owed-item"


async def _restart_in_turn(fleet: NodeFleet) -> None:
    for node in list(fleet.nodes):
        node.kill()
        await fleet.restart(node)


async def _set_back(fleet: NodeFleet) -> None:
    """Set back the times of day of all nodes, and restart them in turn."""
    for node in fleet.nodes:
        node.clock_ahead_s -= _APART_S
    await _restart_in_turn(fleet)


async def _lose_reporter(fleet: NodeFleet) -> None:
    _node_ahead(fleet).kill()


def _node_ahead(fleet: NodeFleet) -> RunningNode:
    return max(fleet.nodes, key=lambda node: node.clock_ahead_s)


def _another_node(fleet: NodeFleet) -> RunningNode:
    return min(fleet.nodes, key=lambda node: node.clock_ahead_s)


async def _listed(fleet: NodeFleet, count: int, within_s: float) -> list[dict]:
    """Return the listed items once there are ``count``, or after ``within_s``."""
    results: list[dict] = []
    with trio.move_on_after(within_s):
        while len(results) < count:
            answer = await read_page(fleet, _another_node(fleet).front, _JOB, after=len(results))
            if answer.status == 200:
                results += answer.json()["results"]
            await trio.sleep(0.1)
    return results


class ClocksApartTest(unittest.TestCase):
    def run_fleet(
        self, clocks_ahead_s: Sequence[float], test: Callable[[NodeFleet], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            with trio.fail_after(60), clocks_apart():
                async with running_fleet(
                    nodes=3,
                    upstreams=6,
                    upstream_type=UnluckyUpstream,
                    clocks_ahead_s=clocks_ahead_s,
                ) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.event_interval_ms = 20.0
                    await test(fleet)

        run_async(run)

    # Its pause was counted from crashes in the future of the node that ran the job next.
    def test_an_item_is_listed_though_the_reporter_of_its_crashes_was_ahead(self) -> None:
        for change in (_lose_reporter, _set_back):
            with self.subTest(change=change.__name__):

                async def test(
                    fleet: NodeFleet, change: Callable[[NodeFleet], Awaitable[None]] = change
                ) -> None:
                    await submit(fleet, _node_ahead(fleet).front, "unlucky", job_id=_JOB)
                    with trio.fail_after(_LISTED_WITHIN_S):
                        await wait_until(lambda: len(all_crashes(fleet)) >= 4)
                    # The report of a crash follows within milliseconds.
                    await trio.sleep(0.5)
                    await change(fleet)
                    listed = await _listed(fleet, 1, _LISTED_WITHIN_S)
                    self.assertEqual([item["state"] for item in listed], ["completed"])

                UnluckyUpstream.crashes_left = 4
                self.run_fleet((_APART_S, 0.0, 0.0), test)


if __name__ == "__main__":
    unittest.main()
