"""Heavy loads replayed in virtual time against the production policies."""

import random
import unittest

import trio
from msgspec.structs import replace
from trio.testing import MockClock

from fescuedock.core.routing import RoutingPolicy
from fescuedock.node.online import ONLINE_ROUTING
from tests.builders.customer_load import CustomerLoad, CustomerPlay, play_customers
from tests.builders.load_player import (
    BatchLoad,
    CallOutcome,
    ItemOutcome,
    PlayedFleet,
    play_calls,
    play_jobs,
)

SEEDS = (1, 2, 3)
# Calls of 0.75 s on 40 slots, whose capacity is thus 53 calls per second.  The load has two steps
# of 2.4 s with 54 calls per second, between phases of low load.
PEAKS = ((3.4, 10.0), (2.4, 54.0), (3.4, 10.0), (2.4, 54.0), (2.0, 5.0))


class OnlinePeakTest(unittest.TestCase):
    """Peaks of online calls that just exceed the capacity of all slots."""

    def play(self, routing: RoutingPolicy, seed: int) -> tuple[list[CallOutcome], PlayedFleet]:
        async def play() -> tuple[list[CallOutcome], PlayedFleet]:
            async with trio.open_nursery() as nursery:
                fleet = await PlayedFleet.start(
                    nursery, nodes=7, upstreams=5, slots=8, routing=routing, seed=seed
                )
                outcomes = await play_calls(fleet, PEAKS, random.Random(seed))
                nursery.cancel_scope.cancel()
            return outcomes, fleet

        return trio.run(play, clock=MockClock(autojump_threshold=0))

    def test_nearly_all_calls_of_a_peak_are_on_time(self) -> None:
        """With one queue at a time 91 to 93 % of calls are on time, with three 98 to 99 %."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcomes, fleet = self.play(ONLINE_ROUTING, seed)
                on_time = sum(outcome.on_time for outcome in outcomes)
                self.assertGreater(on_time / len(outcomes), 0.96)
                self.assertLessEqual(fleet.max_running, fleet.slots)

    def test_no_caller_is_refused_or_starved(self) -> None:
        outcomes, _fleet = self.play(ONLINE_ROUTING, SEEDS[0])
        waits_ms = [outcome.first_event_ms for outcome in outcomes]
        self.assertGreater(min(waits_ms), 0)
        self.assertLess(max(waits_ms), 2000)

    def test_load_is_heavy_enough_to_distinguish_policies(self) -> None:
        outcomes, _fleet = self.play(replace(ONLINE_ROUTING, max_queues=1), SEEDS[0])
        on_time = sum(outcome.on_time for outcome in outcomes)
        self.assertLess(on_time / len(outcomes), 0.95)


class OnlineShortageTest(unittest.TestCase):
    """The remaining upstreams can serve two thirds of the calls; callers wait up to 2 s."""

    def test_callers_that_cannot_be_served_are_refused_early(self) -> None:
        """Without early refusal 108 of 519 calls waited until their callers left; 45 were late.

        With it no call does, 32 to 37 are late, and 120 are refused, after 0.8 s on average.
        """

        async def play(seed: int) -> list[CallOutcome]:
            async with trio.open_nursery() as nursery:
                fleet = await PlayedFleet.start(
                    nursery, nodes=7, upstreams=2, slots=8, routing=ONLINE_ROUTING, seed=seed
                )
                phases = ((8.0, 30.0), (3.0, 5.0))
                outcomes = await play_calls(fleet, phases, random.Random(seed))
                nursery.cancel_scope.cancel()
            return outcomes

        clock = MockClock(autojump_threshold=0)
        outcomes = [item for seed in SEEDS[:2] for item in trio.run(play, seed, clock=clock)]
        refused = [item for item in outcomes if item.refused]
        unanswered = [item for item in outcomes if item.first_event_ms < 0 and not item.refused]
        self.assertEqual(len(unanswered), 0)
        self.assertLess(sum(item.waited_ms for item in refused) / len(refused), 1000.0)
        # As many calls are on time as without early refusal: 366 of 519.
        self.assertGreater(sum(item.on_time for item in outcomes) / len(outcomes), 0.67)


class CompetingCustomersTest(unittest.TestCase):
    """74 customers request 1.9 times the capacity of the slots, one of them 8 times its usual."""

    def share_on_time(self, *plays: CustomerPlay) -> float:
        """Return the on-time fraction of the calls of customers below their fair share."""
        counts = [play.on_time(play.load.below_share()) for play in plays]
        return sum(on_time for on_time, _ in counts) / sum(calls for _, calls in counts)

    def test_customers_below_their_share_are_on_time_and_the_rest_gets_all_that_is_left(
        self,
    ) -> None:
        load = CustomerLoad(nodes=54, upstreams=30)
        play = play_customers(load, seed=1)
        self.assertGreaterEqual(self.share_on_time(play), 0.98)
        self.assertLess(play.idle_share, 0.02)
        for rank in range(3):
            with self.subTest(rank=rank):
                self.assertGreater(play.on_time([f"customer-{rank}"])[0], 0)

    def test_load_is_heavy_enough_to_distinguish_orders(self) -> None:
        """With all calls under one name 0.55 are on time, under their own names 0.95 to 0.99."""
        load = CustomerLoad()
        one_name = play_customers(load, seed=1, named=False)
        named = play_customers(load, seed=1)
        self.assertLess(self.share_on_time(one_name), 0.75)
        self.assertGreater(self.share_on_time(named), 0.93)

    def test_customers_below_their_share_are_not_refused(self) -> None:
        load = CustomerLoad()
        below = load.below_share()
        outcomes = play_customers(load, seed=2).outcomes
        refused = [item for item in outcomes if item.refused]
        self.assertGreater(len(refused), 50)
        self.assertLessEqual(sum(item.member in below for item in refused), 1)

    def test_shares_hold_while_owners_and_an_upstream_are_lost(self) -> None:
        """Three of 18 owners crash, noticed after 1.2 s, and a tenth of the slots is removed.

        Seeds 1 and 2 gave 0.94 and 0.89, and under one name 0.47 and 0.46.
        """

        async def disturb(fleet: PlayedFleet) -> None:
            fleet.remove_upstreams(1)
            dead = [[node] for node in fleet.nodes[:3]]
            await fleet.isolate([[], *dead], notice_s=1.2)

        load = CustomerLoad()
        named = play_customers(load, seed=1, disturb=disturb)
        one_name = play_customers(load, seed=1, named=False, disturb=disturb)
        self.assertGreater(self.share_on_time(named), 0.85)
        self.assertLess(self.share_on_time(one_name), 0.7)

    def test_shares_hold_while_a_third_of_the_nodes_is_cut_off(self) -> None:
        """Both sides then own every upstream, so that more runs are started than slots exist."""

        async def disturb(fleet: PlayedFleet) -> None:
            await fleet.isolate([fleet.nodes[:6]], notice_s=1.2)

        play = play_customers(CustomerLoad(), seed=1, disturb=disturb)
        self.assertGreater(self.share_on_time(play), 0.9)


class BatchOverloadTest(unittest.TestCase):
    """More batch items than fit beside online calls: 9 per second instead of 4, for 30 s."""

    # Each step: 3.4 s with 10 calls per second and 2.4 s with 48.
    STEPS = ((3.4, 10.0), (2.4, 48.0)) * 10
    LOAD = BatchLoad(per_s=0.9, length_s=30.0)

    def play(self, seed: int) -> tuple[list[CallOutcome], list[ItemOutcome]]:
        async def play() -> tuple[list[CallOutcome], list[ItemOutcome]]:
            items: list[ItemOutcome] = []

            async def add_jobs() -> None:
                items.extend(await play_jobs(fleet, self.LOAD, random.Random(seed), rest_s=28.0))

            async with trio.open_nursery() as nursery:
                fleet = await PlayedFleet.start(
                    nursery, nodes=7, upstreams=5, slots=8, routing=ONLINE_ROUTING, seed=seed
                )
                async with trio.open_nursery() as loads:
                    loads.start_soon(add_jobs)
                    calls = await play_calls(fleet, self.STEPS, random.Random(seed))
                nursery.cancel_scope.cancel()
            return calls, items

        return trio.run(play, clock=MockClock(autojump_threshold=0))

    def test_most_remaining_slots_are_used_for_items_on_time(self) -> None:
        """Seeds 1 and 2 together give 274 items on time; ordered by due time only, 227."""
        on_time = 0
        for seed in SEEDS[:2]:
            calls, items = self.play(seed)
            on_time += sum(item.on_time for item in items)
            calls_on_time = sum(call.on_time for call in calls)
            self.assertGreater(calls_on_time / len(calls), 0.98)
        self.assertGreater(on_time, 250)


if __name__ == "__main__":
    unittest.main()
