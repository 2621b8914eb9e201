"""Items that crash upstreams, while nodes fail and transfer jobs, in many interleavings."""

import unittest
from unittest import mock

import trio
import trio.testing
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fescuedock.core.quarantine import QuarantinePolicy
from fescuedock.node import job_runner
from tests.builders.runner_simulation import KEYS, RunnerSimulation, items_of

ITEMS = 24
RUN_S = 0.3
HARMFUL = ("j0-3", "j0-11")
OTHERS = tuple(f"j0-{number}" for number in range(ITEMS) if f"j0-{number}" not in HARMFUL)
# Three crashes restrict an item; a fourth run may have started at another node with the job.
MAX_CRASHES = 3 + 1
SETTLE_S = 15.0
# A sound item is listed this long after its upstreams have stopped crashing: the longest pause, and
# the time that a run takes.
LISTED_WITHIN_S = QuarantinePolicy().owed_retry_pauses_ms[-1] / 1000 + 2.0

nodes = st.integers(0, RunnerSimulation.NODES - 1)
steps = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(["kill", "leave", "restart", "hide"]), nodes),
        st.tuples(st.just("submit"), nodes),
        st.tuples(st.just("pause"), st.sampled_from([0.05, 0.33, 0.71, 1.2])),
    ),
    max_size=10,
)


class HarmfulItemsTest(unittest.TestCase):
    @settings(
        max_examples=40,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(steps)
    def test_items_meet_crashes_at_bounded_intervals_and_all_are_listed_afterwards(
        self, chosen: list[tuple]
    ) -> None:
        trio.run(self.run_simulation, chosen, clock=trio.testing.MockClock(autojump_threshold=0))

    async def run_simulation(self, chosen: list[tuple]) -> None:
        async with trio.open_nursery() as nursery:
            simulation = RunnerSimulation(nursery, [0, 0, 0], RUN_S)
            simulation.harmful |= set(HARMFUL)
            with mock.patch.object(job_runner, "run_item", simulation.run_item):
                simulation.start()
                await trio.sleep(0.3)
                await simulation.nodes[0].submit("j0", items_of("j0", ITEMS))
                for step in chosen:
                    await self.do(simulation, *step)
                simulation.hidden.clear()
                for node in tuple(simulation.nodes):
                    if not simulation.is_running(node) or node.leaving:
                        simulation.restart(node)
                await trio.sleep(SETTLE_S)
                crashes = max(simulation.crashes.values())
                span_s = trio.current_time()
                self.assertEqual(await self.done_items(simulation), set(OTHERS))
                simulation.harmful.clear()
                await trio.sleep(LISTED_WITHIN_S)
                self.assertEqual(await self.done_items(simulation), {*OTHERS, *HARMFUL})
            nursery.cancel_scope.cancel()
        pause_s = min(QuarantinePolicy().owed_retry_pauses_ms) / 1000
        self.assertLessEqual(crashes, MAX_CRASHES + span_s / pause_s)
        self.assertTrue(simulation.state.get(KEYS.record("j0")))

    async def done_items(self, simulation: RunnerSimulation) -> set[str]:
        """Return the items that are listed as completed."""
        store = simulation.nodes[0].store
        record = (await store.read_record("j0")).unwrap().record
        results = (await store.load(record)).unwrap().results
        return {item.item_id for item in results if item.completed}

    async def do(self, simulation: RunnerSimulation, kind: str, argument: float) -> None:
        node = simulation.live_node(int(argument))
        match kind:
            case "kill" if node:
                node.scope.cancel()
            case "leave" if node:
                simulation.leave(node)
            case "restart":
                simulation.restart(simulation.nodes[int(argument)])
            case "hide":
                simulation.hidden.add(simulation.nodes[int(argument)].name)
            case "submit" if node:
                await node.submit("j0", items_of("j0", ITEMS))
            case "pause":
                await trio.sleep(argument)


if __name__ == "__main__":
    unittest.main()
