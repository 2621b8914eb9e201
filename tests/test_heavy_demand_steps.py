"""Items beside a steady rhythm of online demand, played in virtual time."""

import random
import unittest

import trio
from trio.testing import MockClock

from fescuedock.node.online import ONLINE_ROUTING
from tests.builders.load_player import (
    BatchLoad,
    CallOutcome,
    ItemOutcome,
    PlayedFleet,
    play_calls,
    play_jobs,
)

SEED = 1
# Calls of 0.745 s on 48 slots take half of them on the average, 0.39 and 1.91 times that in turn.
MEAN_PER_S = 0.5 * 48 / 0.745
STEPS = ((3.6, 0.39 * MEAN_PER_S), (2.4, 1.91 * MEAN_PER_S)) * 12
# By then the rhythm was seen four times.
JOBS_FROM_S = 24.0
JOBS = BatchLoad(per_s=0.26, length_s=30.0, events=161)


class DemandStepsTest(unittest.TestCase):
    """Items take 4.5 s, of which at most 3.6 s are between two peaks."""

    def play(self) -> tuple[list[CallOutcome], list[ItemOutcome], PlayedFleet]:
        async def play() -> tuple[list[CallOutcome], list[ItemOutcome], PlayedFleet]:
            items: list[ItemOutcome] = []

            async def add_jobs() -> None:
                await trio.sleep(JOBS_FROM_S)
                items.extend(await play_jobs(fleet, JOBS, random.Random(SEED), rest_s=18.0))

            async with trio.open_nursery() as nursery:
                fleet = await PlayedFleet.start(
                    nursery, nodes=8, upstreams=6, slots=8, routing=ONLINE_ROUTING, seed=SEED
                )
                async with trio.open_nursery() as loads:
                    loads.start_soon(add_jobs)
                    calls = await play_calls(fleet, STEPS, random.Random(SEED))
                nursery.cancel_scope.cancel()
            return calls, items, fleet

        return trio.run(play, clock=MockClock(autojump_threshold=0))

    def test_items_are_seldom_cut_off_and_nothing_is_late(self) -> None:
        """269 runs were cut for 130 items; 378 where items began in any free slot."""
        calls, items, fleet = self.play()
        self.assertEqual(sum(item.on_time for item in items), 130)
        self.assertGreater(sum(call.on_time for call in calls) / len(calls), 0.985)
        self.assertLess(fleet.cut_runs / len(items), 2.4, fleet.cut_runs)


if __name__ == "__main__":
    unittest.main()
