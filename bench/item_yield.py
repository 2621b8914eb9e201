"""Simulate batch items during steps of online demand: runs cut, work on time, free slots.

python -m bench.item_yield --load rhythm --jobs_per_s 0.48 --seeds 1,2,3
"""

import random
from dataclasses import dataclass

import fire
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

UPSTREAMS = 6
SLOTS = 8
NODES = 8
CALL_S = 0.745
SIMULATED_S = 48.0
LOW, HIGH = 0.39, 1.91
MEAN_PER_S = 0.5 * UPSTREAMS * SLOTS / CALL_S


def phases(load: str, length_s: float, rng: random.Random) -> list[tuple[float, float]]:
    """Return the phases of one simulation as length in seconds and calls per second.

    ``load`` is "rhythm" for periodic steps, "random" for steps of random length and height, or
    "even" for a constant rate.
    """
    if load == "even":
        return [(length_s, MEAN_PER_S)]
    steps: list[tuple[float, float]] = []
    while sum(length_s for length_s, _ in steps) < length_s:
        if load == "rhythm":
            steps += [(3.6, LOW * MEAN_PER_S), (2.4, HIGH * MEAN_PER_S)]
        else:
            low_s, high_s = rng.expovariate(1 / 3.6), rng.expovariate(1 / 2.4)
            steps += [
                (max(low_s, 0.3), rng.uniform(0.2, 0.8) * MEAN_PER_S),
                (max(high_s, 0.3), rng.uniform(1.2, 1.91) * MEAN_PER_S),
            ]
    return steps


@dataclass(slots=True)
class Figures:
    """Sums over one or more simulations."""

    calls: int = 0
    calls_on_time: int = 0
    items: int = 0
    items_on_time: int = 0
    ended_early: int = 0
    idle_slot_s: float = 0.0
    wasted_slot_s: float = 0.0

    def add(self, calls: list[CallOutcome], items: list[ItemOutcome], fleet: PlayedFleet) -> None:
        self.calls += len(calls)
        self.calls_on_time += sum(call.on_time for call in calls)
        self.items += len(items)
        self.items_on_time += sum(item.on_time for item in items)
        self.ended_early += fleet.cut_runs
        self.idle_slot_s += fleet.idle_slot_s
        self.wasted_slot_s += fleet.wasted_slot_s

    def __str__(self) -> str:
        return (
            f"cut {self.ended_early} for {self.items} "
            f"({self.ended_early / max(self.items, 1):.2f}); "
            f"items on time {self.items_on_time}; online {self.calls_on_time} of {self.calls} "
            f"({self.calls_on_time / self.calls:.4f}); idle {self.idle_slot_s:.0f}, "
            f"with items waiting {self.wasted_slot_s:.0f} slot-s"
        )


async def _simulate(
    load: str, jobs_per_s: float, warm_s: float, seed: int, figures: Figures
) -> None:
    items: list[ItemOutcome] = []
    batch = BatchLoad(per_s=jobs_per_s, length_s=SIMULATED_S - 18.0, events=161)

    async def add_jobs(fleet: PlayedFleet) -> None:
        await trio.sleep(warm_s)
        items.extend(await play_jobs(fleet, batch, random.Random(seed), rest_s=18.0))

    async with trio.open_nursery() as nursery:
        fleet = await PlayedFleet.start(
            nursery,
            nodes=NODES,
            upstreams=UPSTREAMS,
            slots=SLOTS,
            routing=ONLINE_ROUTING,
            seed=seed,
        )
        async with trio.open_nursery() as loads:
            loads.start_soon(add_jobs, fleet)
            rng = random.Random(seed)
            calls = await play_calls(fleet, phases(load, warm_s + SIMULATED_S, rng), rng)
        nursery.cancel_scope.cancel()
    figures.add(calls, items, fleet)


def main(
    load: str = "rhythm",
    jobs_per_s: float = 0.48,
    warm_s: float = 0.0,
    seeds: tuple[int, ...] = (1, 2, 3),
) -> None:
    """Simulate each seed and print the sums over all of them."""
    figures = Figures()
    for seed in seeds if isinstance(seeds, (tuple, list)) else (seeds,):
        trio.run(
            _simulate,
            load,
            jobs_per_s,
            warm_s,
            seed,
            figures,
            clock=MockClock(autojump_threshold=0),
        )
    print(f"{load} {jobs_per_s} jobs/s, seeds {seeds}: {figures}", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
