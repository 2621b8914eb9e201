"""Items of late jobs under an endless load of calls and more recent jobs, in virtual time.

All decisions are made by the production code: search for permits, owners, permit requests of nodes,
and choice of items.
"""

import random
import unittest
from dataclasses import dataclass, field

import trio
from trio.testing import MockClock

from fescuedock.node.online import ONLINE_ROUTING
from tests.builders.load_player import (
    BatchLoad,
    CallOutcome,
    CallTimes,
    ItemOutcome,
    PlayedFleet,
    play_calls,
    play_jobs,
)

SEEDS = (1, 2, 3)
LENGTH_S = 30.0
# Time limit in which the soak requires accepted items to be listed after its last fault.
LISTED_MS = 18_000.0
CALLS = CallTimes(first_event_ms=20.0, event_ms=20.0, events=12)


@dataclass(slots=True)
class Outcomes:
    """The outcomes of items and calls over all seeds."""

    items: list[ItemOutcome] = field(default_factory=list)
    calls: list[CallOutcome] = field(default_factory=list)
    late_items: int = 0

    @property
    def late(self) -> list[ItemOutcome]:
        """The items of the job that was late from the start."""
        return [item for item in self.items if not item.due_ms]


def young_jobs(per_s: float) -> BatchLoad:
    """Return jobs whose items take 600 ms to a first event, and whose clients leave after 4 s."""
    return BatchLoad(
        per_s=per_s,
        length_s=LENGTH_S,
        items=6,
        events=12,
        event_ms=20.0,
        first_event_ms=600.0,
        ended_after_s=4.0,
    )


def play(load: BatchLoad, calls_per_s: float) -> Outcomes:
    """Simulate one late job, and then younger ones and calls, on 16 slots."""
    outcomes = Outcomes(late_items=load.items * len(SEEDS))

    async def play_seed(seed: int) -> None:
        async with trio.open_nursery() as nursery:
            fleet = await PlayedFleet.start(
                nursery, nodes=4, upstreams=4, slots=4, routing=ONLINE_ROUTING, seed=seed
            )
            done = trio.Event()

            async def play_items() -> None:
                rng = random.Random(seed + 100)
                outcomes.items += await play_jobs(fleet, load, rng, rest_s=0.0, late_jobs=1)
                done.set()

            nursery.start_soon(play_items)
            phases = [(load.length_s, calls_per_s)]
            outcomes.calls += await play_calls(fleet, phases, random.Random(seed), CALLS)
            await done.wait()
            nursery.cancel_scope.cancel()

    for seed in SEEDS:
        trio.run(play_seed, seed, clock=MockClock(autojump_threshold=0))
    return outcomes


class LateJobTest(unittest.TestCase):
    """Jobs arrive twice as fast as they can be run, and their clients end them after 4 s."""

    def test_a_late_job_is_done_while_younger_jobs_keep_coming(self) -> None:
        """Guards against late items that got no permit requests or grants: 6 of 18 were run."""
        outcomes = play(young_jobs(per_s=6.0), calls_per_s=10.0)
        self.assertEqual(len(outcomes.late), outcomes.late_items)
        self.assertLessEqual(max(item.took_ms for item in outcomes.late), LISTED_MS)

    def test_it_is_done_where_calls_cut_off_most_runs_before_their_first_event(self) -> None:
        """Guards against late items whose every run was cut off before its first event."""
        outcomes = play(young_jobs(per_s=3.0), calls_per_s=36.0)
        self.assertEqual(len(outcomes.late), outcomes.late_items)
        self.assertLessEqual(max(item.took_ms for item in outcomes.late), LISTED_MS)
        self.assertTrue(all(call.on_time for call in outcomes.calls))


if __name__ == "__main__":
    unittest.main()
