"""Jobs whose owner is present and cannot reach the key-value service, while other nodes can."""

import unittest
from collections.abc import Callable
from unittest import mock

import trio
import trio.testing

from fescuedock.core.stored_jobs.ownership import StorePath
from fescuedock.node import job_runner
from tests.builders.runner_simulation import RunnerSimulation, SimulatedNode, items_of
from tests.test_node_jobs_clock_ahead import read_results

_ITEMS = 6
# The rule for batch jobs allows this long for what is left at the end.
_LISTED_WITHIN_S = 18.0


class LostPathTest(unittest.TestCase):
    def listed(self, disturb: Callable[[RunnerSimulation], None]) -> list[str]:
        """Return the items of a job that are listed in time after ``disturb``."""
        listed: list[str] = []
        given_up: list[str] = []

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                simulation = RunnerSimulation(nursery, [0, 0, 0], 3.0)
                with mock.patch.object(job_runner, "run_item", simulation.run_item):
                    simulation.start()
                    await trio.sleep(0.3)
                    await simulation.nodes[0].submit("j0", items_of("j0", _ITEMS))
                    await trio.sleep(0.5)
                    disturb(simulation)
                    await trio.sleep(_LISTED_WITHIN_S)
                    links = [node.link for node in simulation.nodes]
                    for link in links:
                        link.refuses = link.silent = False
                    await read_results(simulation, listed, given_up)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(given_up, [])
        return sorted(listed)

    # Its results waited for as long as its path to the store was away.
    def test_a_job_is_listed_though_its_owner_cannot_reach_the_store(self) -> None:
        for fault in ("refuses", "silent"):
            with self.subTest(fault=fault):
                listed = self.listed(
                    lambda simulation, fault=fault: setattr(simulation.nodes[0].link, fault, True)
                )
                self.assertEqual(listed, sorted(f"j0-{number}" for number in range(_ITEMS)))

    def test_a_job_is_listed_though_the_node_that_should_claim_it_cannot_reach_the_store(
        self,
    ) -> None:
        for number in (1, 2):
            with self.subTest(number=number):

                def disturb(simulation: RunnerSimulation, number: int = number) -> None:
                    simulation.nodes[0].scope.cancel()
                    simulation.nodes[number].link.refuses = True

                listed = self.listed(disturb)
                self.assertEqual(listed, sorted(f"j0-{number}" for number in range(_ITEMS)))

    def test_a_job_is_listed_though_its_restarted_owner_cannot_reach_the_store(self) -> None:
        def disturb(simulation: RunnerSimulation) -> None:
            owner: SimulatedNode = simulation.nodes[0]
            owner.link.refuses = True
            simulation.restart(owner)

        listed = self.listed(disturb)
        self.assertEqual(listed, sorted(f"j0-{number}" for number in range(_ITEMS)))


class OutageTest(unittest.TestCase):
    # Results are in the memory of the owner, and would be lost with the job.
    def test_an_owner_keeps_its_jobs_through_a_long_outage_of_the_store(self) -> None:
        for fault in ("refuses", "silent"):
            with self.subTest(fault=fault):
                listed: list[str] = []
                runs: list[str] = []
                epochs: set[int] = set()

                async def run(
                    fault: str = fault,
                    listed: list[str] = listed,
                    runs: list[str] = runs,
                    epochs: set[int] = epochs,
                ) -> None:
                    async with trio.open_nursery() as nursery:
                        simulation = RunnerSimulation(nursery, [0, 0, 0], 3.0)
                        with mock.patch.object(job_runner, "run_item", simulation.run_item):
                            simulation.start()
                            await trio.sleep(0.3)
                            await simulation.nodes[0].submit("j0", items_of("j0", _ITEMS))
                            await trio.sleep(0.5)
                            for node in simulation.nodes:
                                setattr(node.link, fault, True)
                            await trio.sleep(25.0)
                            for node in simulation.nodes:
                                setattr(node.link, fault, False)
                            await trio.sleep(5.0)
                            await read_results(simulation, listed, [])
                            runs += [item.item_id for item in simulation.started_items]
                            epochs |= {item.epoch for item in simulation.started_items}
                        nursery.cancel_scope.cancel()

                trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
                names = sorted(f"j0-{number}" for number in range(_ITEMS))
                self.assertEqual(sorted(listed), names)
                self.assertEqual((sorted(runs), epochs), (names, {0}))


class StorePathTest(unittest.TestCase):
    def test_a_path_is_lost_after_seconds_of_failures_and_tried_again(self) -> None:
        path = StorePath()
        for now_ms in range(0, 6000, 500):
            path.record(answered=False, now_ms=now_ms)
            self.assertFalse(path.is_lost(now_ms))
        path.record(answered=False, now_ms=6000)
        self.assertTrue(path.is_lost(6000))
        self.assertTrue(path.is_lost(10_999))
        self.assertFalse(path.is_lost(11_000))
        path.record(answered=False, now_ms=11_500)
        self.assertTrue(path.is_lost(11_500))
        path.record(answered=True, now_ms=12_000)
        self.assertFalse(path.is_lost(12_000))


if __name__ == "__main__":
    unittest.main()
