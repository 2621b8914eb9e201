"""A job that is claimed by a node whose clock is ahead of the clock of the accepting node."""

import unittest
from unittest import mock

import trio
import trio.testing

from fescuedock.node import job_runner
from fescuedock.schema.stored_jobs import ResultGroup
from tests.builders.runner_simulation import RunnerSimulation, items_of

# More than the retention of the simulated jobs, which is 60 s.
AHEAD_S = 90


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
                    store = simulation.nodes[1].store
                    record = (await store.read_record("j0")).unwrap().record
                    groups: list[ResultGroup] = (await store.load(record)).unwrap().groups
                    results = [result for group in groups for result in group.results]
                    listed.extend(result.item_id for result in results)
                    given_up.extend(item.item_id for item in results if not item.completed)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(len(listed), 36)
        self.assertEqual(given_up, [])


if __name__ == "__main__":
    unittest.main()
