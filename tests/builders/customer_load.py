"""Replays calls of customers of very different sizes on a fleet, with outcomes per customer."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import trio
from trio.testing import MockClock

from fescuedock.core.routing import RoutingPolicy
from fescuedock.node.online import ONLINE_ROUTING
from tests.builders.load_player import CallOutcome, CallTimes, PlayedFleet, play_calls

__all__ = ["CustomerLoad", "CustomerPlay", "play_customers"]

# Those of the deployment with competing customers: 19 events, the first within 308 ms.
TIMES = CallTimes(target_ms=308.0, deadline_ms=5100.0, patience_ms=2400.0, events=19)
_SLOTS = 8
_CALM_SHARE = 0.39
_SAMPLE_S = 0.005
# A step begins with idle slots, which fill up within this time; measurements start after it.
_SETTLE_S = 0.3


@dataclass(frozen=True, slots=True)
class CustomerLoad:
    """Customers whose rates follow Zipf's law.

    The customer of rank ``busy`` sends ``busy_factor`` times its usual rate.  For ``step_s`` all
    customers together send ``step`` times the capacity of the slots.
    """

    customers: int = 74
    zipf: float = 1.2
    busy: int = 2
    busy_factor: float = 8.0
    step: float = 1.9
    step_s: float = 2.4
    nodes: int = 18
    upstreams: int = 10

    @property
    def capacity_per_s(self) -> float:
        """The calls per second that all slots can serve."""
        run_ms = TIMES.first_event_ms + TIMES.event_ms * (TIMES.events - 1)
        return self.upstreams * _SLOTS * 1000 / run_ms

    def rates_per_s(self) -> dict[str, float]:
        """Return each customer's calls per second in the step."""
        weights = [(rank + 1) ** -self.zipf for rank in range(self.customers)]
        weights[self.busy] *= self.busy_factor
        scale = self.step * self.capacity_per_s / sum(weights)
        return {f"customer-{rank}": weight * scale for rank, weight in enumerate(weights)}

    def below_share(self) -> set[str]:
        """Return the customers whose demand is below their max-min fair share."""
        left = self.capacity_per_s
        rates = sorted(self.rates_per_s().items(), key=lambda item: item[1])
        below: set[str] = set()
        for position, (name, rate) in enumerate(rates):
            if rate > left / (len(rates) - position):
                break
            below.add(name)
            left -= rate
        return below


@dataclass(frozen=True, slots=True)
class CustomerPlay:
    """The outcomes of the calls of the step, and the fraction of idle slots during it."""

    load: CustomerLoad
    outcomes: list[CallOutcome]
    idle_share: float

    def on_time(self, members: Iterable[str]) -> tuple[int, int]:
        """Return the number of calls of ``members`` on time, and of all their calls."""
        members = set(members)
        selected = [item for item in self.outcomes if item.member in members]
        return sum(item.on_time for item in selected), len(selected)

    def count(self, members: Iterable[str]) -> str:
        """Return a text with the number of calls of ``members`` by outcome."""
        members = set(members)
        kinds = Counter(
            (
                "on time"
                if item.on_time
                else "late" if item.first_event_ms >= 0 else "refused" if item.refused else "left"
            )
            for item in self.outcomes
            if item.member in members
        )
        return ", ".join(f"{kinds[kind]} {kind}" for kind in ("on time", "late", "refused", "left"))


def play_customers(
    load: CustomerLoad,
    seed: int,
    *,
    named: bool = True,
    disturb: Callable[[PlayedFleet], Awaitable[None]] | None = None,
    routing: RoutingPolicy = ONLINE_ROUTING,
) -> CustomerPlay:
    """Replay one step between phases of low load.

    Without ``named`` all calls request permits under one name.  ``disturb`` runs during the step.
    """

    async def play() -> CustomerPlay:
        rng = random.Random(seed)
        rates = load.rates_per_s()
        names, weights = list(rates), list(rates.values())
        used: list[int] = []
        async with trio.open_nursery() as nursery:
            fleet = await PlayedFleet.start(
                nursery,
                nodes=load.nodes,
                upstreams=load.upstreams,
                slots=_SLOTS,
                routing=routing,
                seed=seed,
            )
            fleet.distinguishes_customers = named
            calm = (1.2, _CALM_SHARE * load.capacity_per_s)
            phases = (calm, (load.step_s, load.step * load.capacity_per_s), calm)
            begin_s = trio.current_time() + calm[0]

            async def watch() -> None:
                await trio.sleep_until(begin_s + _SETTLE_S)
                while trio.current_time() < begin_s + load.step_s:
                    used.append(sum(fleet.running.values()))
                    await trio.sleep(_SAMPLE_S)

            async def disturb_step() -> None:
                await trio.sleep_until(begin_s + _SETTLE_S)
                await disturb(fleet)

            nursery.start_soon(watch)
            if disturb is not None:
                nursery.start_soon(disturb_step)
            outcomes = await play_calls(
                fleet, phases, rng, TIMES, lambda: rng.choices(names, weights)[0]
            )
            nursery.cancel_scope.cancel()
        in_step = [
            item
            for item in outcomes
            if begin_s * 1000 <= item.arrived_ms < (begin_s + load.step_s) * 1000
        ]
        idle = 1.0 - sum(used) / (len(used) * load.upstreams * _SLOTS)
        return CustomerPlay(load, in_step, idle)

    return trio.run(play, clock=MockClock(autojump_threshold=0))
