"""Items that crash upstreams, over nodes that fall and hand on jobs, in many interleavings."""

import unittest
from unittest import mock

import trio
import trio.testing
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fescuedock.node import job_runner
from tests.builders.runner_world import KEYS, RunnerWorld, items_of

ITEMS = 24
RUN_S = 0.3
HARMFUL = ("j0-3", "j0-11")
# Three crashes are enough; one more may have begun at another node that had the job as well.
MOST_CRASHES = 3 + 1
CALM_S = 15.0

nodes = st.integers(0, RunnerWorld.NODES - 1)
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
    def test_each_harmful_item_ends_few_upstreams_and_all_others_are_done(
        self, chosen: list[tuple]
    ) -> None:
        trio.run(self.run_world, chosen, clock=trio.testing.MockClock(autojump_threshold=0))

    async def run_world(self, chosen: list[tuple]) -> None:
        async with trio.open_nursery() as nursery:
            world = RunnerWorld(nursery, [0, 0, 0], RUN_S)
            world.harmful |= set(HARMFUL)
            with mock.patch.object(job_runner, "run_item", world.run_item):
                world.start()
                await trio.sleep(0.3)
                await world.nodes[0].submit("j0", items_of("j0", ITEMS))
                for step in chosen:
                    await self.do(world, *step)
                world.hidden.clear()
                for node in tuple(world.nodes):
                    if not world.runs(node) or node.leaving:
                        world.restart(node)
                await trio.sleep(CALM_S)
                store = world.nodes[0].store
                record = (await store.read_record("j0")).unwrap().record
                results = (await store.load(record)).unwrap().results
            nursery.cancel_scope.cancel()
        done = {item.item_id for item in results if item.completed}
        self.assertEqual(done, {f"j0-{number}" for number in range(ITEMS)} - set(HARMFUL))
        self.assertLessEqual(max(world.crashes.values()), MOST_CRASHES)
        self.assertTrue(world.state.get(KEYS.record("j0")))

    async def do(self, world: RunnerWorld, kind: str, what: float) -> None:
        node = world.live(int(what))
        match kind:
            case "kill" if node:
                node.scope.cancel()
            case "leave" if node:
                world.leave(node)
            case "restart":
                world.restart(world.nodes[int(what)])
            case "hide":
                world.hidden.add(world.nodes[int(what)].name)
            case "submit" if node:
                await node.submit("j0", items_of("j0", ITEMS))
            case "pause":
                await trio.sleep(what)


if __name__ == "__main__":
    unittest.main()
