"""A fleet that comes back at once: owners that do not know each other must not overfill upstreams.

Guards against the failure in which every node of a restarted fleet took itself for the owner of all
upstreams and admitted a full set of attempts at each of them.
"""

import math
import unittest

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok
from trio.testing import MockClock

from fescuedock.core.permits.actions import Granted
from fescuedock.core.permits.owner import OwnedUpstream, PermitOwner
from fescuedock.core.permits.settling import Settling
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.node.online import ONLINE_ROUTING
from fescuedock.schema.permits import PermitAsk, WorkClass
from fescuedock.schema.settings import PermitSettings
from tests.builders.load_player import PlayedFleet

SERVICE = "desk-llm"
VALID_MS = 1500
SLOTS = 8


def lone_owner(upstreams: int, nodes: int) -> PermitOwner:
    """Return an owner that sees nobody else and so owns all upstreams."""
    owner = PermitOwner(PermitSettings(), VALID_MS)
    owned = {f"i-{n}": OwnedUpstream(SERVICE, UpstreamTerms(slots=SLOTS)) for n in range(upstreams)}
    owner.set_upstreams(owned, {SERVICE: upstreams}, 0.0)
    owner.set_budget(Settling(0.0).budget(upstreams * SLOTS, 1, nodes, 0.0))
    return owner


def ask(upstream_id: str, number: int) -> PermitAsk:
    return PermitAsk(
        upstream_id, f"a-{number}", "vm/node", SERVICE, "", WorkClass.ONLINE, 5000, wait_ms=150
    )


def granted(owner: PermitOwner, asks: int, upstreams: int) -> int:
    """Ask for each upstream in turn; return how many attempts may run."""
    actions = [
        action
        for number in range(asks)
        for action in owner.ask(ask(f"i-{number % upstreams}", number), 0.0)
    ]
    return sum(isinstance(action, Granted) for action in actions)


class HerdTest(unittest.TestCase):
    @settings(max_examples=20, deadline=None)
    @given(st.integers(1, 45), st.integers(2, 82))
    def test_owners_that_see_nobody_fill_the_slots_once(self, upstreams: int, nodes: int) -> None:
        """Without a budget each of 82 owners granted 360 attempts for 360 slots."""
        asks = math.ceil(upstreams * SLOTS / nodes) + 3
        total = sum(granted(lone_owner(upstreams, nodes), asks, upstreams) for _ in range(nodes))
        self.assertLessEqual(total, upstreams * SLOTS + nodes)

    def test_a_waiting_ask_is_granted_once_the_fleet_is_known(self) -> None:
        owner = lone_owner(1, 100)
        first, second = owner.ask(ask("i-0", 1), 0.0), owner.ask(ask("i-0", 2), 0.0)
        self.assertIsInstance(first[0], Granted)
        self.assertEqual(second, [])
        owner.set_budget(None)
        self.assertIsInstance(owner.tick(10.0)[0], Granted)


class NewOwnerTest(unittest.TestCase):
    def test_a_new_owner_hears_at_once_of_what_runs(self) -> None:
        """Until the next renewal, 500 ms later, it took a full upstream for an idle one."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                fleet = await PlayedFleet.start(
                    nursery, nodes=2, upstreams=1, slots=SLOTS, routing=ONLINE_ROUTING, seed=1
                )
                first, second = fleet.nodes
                former = first.view.owner_of("i-0").vm_id
                heir = second if former == first.vm_id else first
                granted = await heir.permits.ask(ask("i-0", 1), 1000.0)
                self.assertIsInstance(granted, Ok)
                heir.view.replace(2, [heir.record()], list(heir.view.upstreams.values()), 0.0)
                await trio.sleep(0.02)
                self.assertEqual(heir.owned_load("i-0").in_flight_online, 1)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))


class SettlingTest(unittest.TestCase):
    def test_a_node_that_has_seen_its_fleet_stays_settled_when_others_are_lost(self) -> None:
        settling = Settling(0.0)
        self.assertEqual(settling.budget(360, 1, 82, 10.0), 5)
        self.assertIsNone(settling.budget(360, 74, 82, 20.0))
        self.assertIsNone(settling.budget(360, 30, 82, 30.0))

    def test_slots_of_nodes_that_stay_away_are_used_after_a_while(self) -> None:
        settling = Settling(0.0)
        self.assertEqual(settling.budget(360, 40, 82, 1999.0), 5)
        self.assertIsNone(settling.budget(360, 40, 82, 2000.0))

    def test_nothing_is_bounded_where_slots_or_members_are_not_declared(self) -> None:
        self.assertIsNone(Settling(0.0).budget(0, 1, 82, 0.0))
        self.assertIsNone(Settling(0.0).budget(360, 1, 0, 0.0))


if __name__ == "__main__":
    unittest.main()
