"""Items of jobs beside bursts of crashed upstreams, and beside calls with a harmful part."""

import itertools
import random
import unittest
from collections.abc import Sequence

import trio

from fescuedock.net.http_client import NotSentError, ResponseLostError
from tests.builders.clocks import clocks_apart
from tests.builders.jobs_calls import item_entry, read_page, submission_of
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.standins import run_async

_JOB = "burst-items"
_ITEMS = 60
# The rule for batch jobs allows this long for what is left at the end.
_LISTED_WITHIN_S = 18.0
# The first part is that of the sound items too.
_FIRST_PART = "9c2e41:30"
_HARMFUL_PART = "badbad"
_BURSTS = 4
_ROUNDS = 5
_ROUND_S = 0.4
_PAUSE_S = 2.5


async def _submit(fleet: NodeFleet) -> None:
    items = [item_entry(f"item-{number}", b"%d" % number) for number in range(_ITEMS)]
    for number, item in enumerate(items):
        item["headers"]["X-Prompt-Prefix"] = f"{_FIRST_PART},own-{number}:40"
    headers = {"X-Request-Id": _JOB, "X-Deadline-Ms": "3000"}
    front = fleet.nodes[0].front
    answer = await fleet.call(front, "POST", "/letters/new", submission_of(items), headers)
    assert answer.status == 202, answer


async def _crash_in_bursts(fleet: NodeFleet, rng: random.Random) -> None:
    for _ in range(_BURSTS):
        await trio.sleep(_PAUSE_S)
        for _ in range(_ROUNDS):
            for upstream in rng.sample(fleet.upstreams, 2):
                upstream.crash()
            await trio.sleep(_ROUND_S)


async def _call_harmfully(fleet: NodeFleet) -> None:
    """Make two calls a second with the harmful part, no two alike, until cancelled."""
    for number in itertools.count():
        front = fleet.nodes[number % len(fleet.nodes)].front
        headers = {
            "X-Prompt-Prefix": f"{_FIRST_PART},{_HARMFUL_PART}:40,call-{number}:50",
            "X-Deadline-Ms": "2000",
        }
        with trio.move_on_after(0.5):
            try:
                await fleet.call(front, "POST", f"/rights/{number}", b"%d" % number, headers)
            except (NotSentError, ResponseLostError):
                continue
            await trio.sleep_forever()


async def _restart_in_turn(fleet: NodeFleet) -> None:
    for node in list(fleet.nodes):
        await trio.sleep(1.5)
        node.kill()
        await fleet.restart(node)


async def _listed(fleet: NodeFleet, within_s: float) -> dict[str, str]:
    states: dict[str, str] = {}
    with trio.move_on_after(within_s):
        while len(states) < _ITEMS:
            front = fleet.nodes[-1].front
            answer = await read_page(fleet, front, _JOB, after=len(states))
            if answer.status == 200:
                states |= {item["id"]: item["state"] for item in answer.json()["results"]}
            await trio.sleep(0.2)
    return states


class CrashBurstsTest(unittest.TestCase):
    def states(
        self,
        seed: int,
        clocks_ahead_s: Sequence[float] = (),
        *,
        harmful_calls: bool = False,
        restarts: bool = False,
    ) -> dict[str, str]:
        """Return the states of the items that are listed in time after the bursts."""
        states: dict[str, str] = {}

        async def run() -> None:
            with trio.fail_after(90), clocks_apart():
                async with running_fleet(
                    nodes=4, upstreams=6, clocks_ahead_s=clocks_ahead_s
                ) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.event_interval_ms = 400.0
                        upstream.harmful_parts.add(_HARMFUL_PART)
                    await _submit(fleet)
                    async with trio.open_nursery() as nursery:
                        if harmful_calls:
                            nursery.start_soon(_call_harmfully, fleet)
                        async with trio.open_nursery() as disturbances:
                            disturbances.start_soon(_crash_in_bursts, fleet, random.Random(seed))
                            if restarts:
                                disturbances.start_soon(_restart_in_turn, fleet)
                        nursery.cancel_scope.cancel()
                    states.update(await _listed(fleet, _LISTED_WITHIN_S))

        run_async(run)
        return states

    def assert_all_completed(self, states: dict[str, str]) -> None:
        names = {f"item-{number}": "completed" for number in range(_ITEMS)}
        self.assertEqual(states, names)

    # Items were refused for minutes once upstreams had crashed under them in isolation.
    def test_items_are_listed_after_bursts_beside_harmful_calls(self) -> None:
        self.assert_all_completed(self.states(3, harmful_calls=True))

    # The pauses of items were counted by the clocks of other nodes.
    def test_items_are_listed_after_bursts_at_nodes_whose_clocks_differ(self) -> None:
        clocks_ahead_s = (0.0, 60.0, -60.0, 20.0)
        self.assert_all_completed(self.states(3, clocks_ahead_s, harmful_calls=True, restarts=True))


if __name__ == "__main__":
    unittest.main()
