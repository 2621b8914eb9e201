"""Jobs that are claimed by nodes whose times of day differ from that of the accepting node."""

import unittest
from unittest import mock

import trio
import trio.testing

from fescuedock.node import job_runner
from fescuedock.schema.stored_jobs import ResultGroup
from tests.builders.runner_simulation import RunnerSimulation, items_of

# More than the retention of the simulated jobs, which is 60 s.
AHEAD_S = 90


async def read_results(
    simulation: RunnerSimulation, listed: list[str], given_up: list[str]
) -> None:
    """Add the items of ``j0`` that are listed, and those of them that were given up."""
    store = simulation.nodes[1].store
    record = (await store.read_record("j0")).unwrap().record
    groups: list[ResultGroup] = (await store.load(record)).unwrap().groups
    results = [result for group in groups for result in group.results]
    listed.extend(result.item_id for result in results)
    given_up.extend(item.item_id for item in results if not item.completed)


class ClockAheadTest(unittest.TestCase):
    """The owner of a job was killed a second after it accepted the job.

    By the difference of the clocks the claiming node considered the job older than its retention,
    and listed as given up all items that had not run within 6 s.
    """

    def test_a_job_of_two_seconds_is_not_given_up(self) -> None:
        given_up: list[str] = []
        listed: list[str] = []

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                simulation = RunnerSimulation(nursery, [0, AHEAD_S, AHEAD_S], 3.0)
                with mock.patch.object(job_runner, "run_item", simulation.run_item):
                    simulation.start()
                    await trio.sleep(0.3)
                    await simulation.nodes[0].submit("j0", items_of("j0", 36))
                    await trio.sleep(1.0)
                    simulation.nodes[0].scope.cancel()
                    await trio.sleep(40.0)
                    await read_results(simulation, listed, given_up)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(len(listed), 36)
        self.assertEqual(given_up, [])

    def test_a_job_of_two_seconds_is_not_given_up_by_nodes_that_have_just_started(self) -> None:
        given_up: list[str] = []
        listed: list[str] = []

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                simulation = RunnerSimulation(nursery, [0, 0, 0], 3.0)
                with mock.patch.object(job_runner, "run_item", simulation.run_item):
                    simulation.start()
                    await trio.sleep(0.3)
                    await simulation.nodes[0].submit("j0", items_of("j0", 36))
                    await trio.sleep(1.0)
                    simulation.set_clocks([AHEAD_S] * 3)
                    for node in list(simulation.nodes):
                        simulation.restart(node)
                    await trio.sleep(40.0)
                    await read_results(simulation, listed, given_up)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(len(listed), 36)
        self.assertEqual(given_up, [])


class ClockBehindTest(unittest.TestCase):
    """The owner of a job of items that find no slot was killed, and so were its next owners.

    Each next owner was behind and counted the retention from its own claim.
    """

    def test_items_are_given_up_when_their_retention_is_over(self) -> None:
        given_up: list[str] = []

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                simulation = RunnerSimulation(nursery, [0, 0, 0], 3.0)
                simulation.slots_full = True
                with mock.patch.object(job_runner, "run_item", simulation.run_item):
                    simulation.start()
                    await trio.sleep(0.3)
                    await simulation.nodes[0].submit("j0", items_of("j0", 6))
                    simulation.set_clocks([-AHEAD_S] * 3)
                    for _ in range(2):
                        for number in range(RunnerSimulation.NODES):
                            await trio.sleep(10.0)
                            simulation.restart(simulation.nodes[number])
                    # The retention is 60 s, and its margin 6 s.
                    await trio.sleep(10.0)
                    await read_results(simulation, [], given_up)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(len(given_up), 6)


if __name__ == "__main__":
    unittest.main()
