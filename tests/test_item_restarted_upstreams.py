"""An item's text has one software version where upstreams restart under their IDs.

An upstream's entry tells of its restart only some time later.
"""

import unittest
from collections.abc import Awaitable, Callable, Sequence

import trio

from fescuedock.address import Address
from fescuedock.platform.standin.event_upstream import UpstreamFault, versions_in
from tests.builders.jobs_calls import JOB, read_page, submit
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async

STARTED_MS = 1_790_000_000_000
NUMBERS = list("01234567")
NAMES = tuple(f"letter-{number}" for number in range(24))
PROGRESS_KEY = f"fescuedock/data/{JOB}/progress"
SAVES_OFTEN = {"progress_interval_ms": 100, "progress_events": 1}


class ItemRestartedUpstreamsTest(unittest.TestCase):
    def run_fleet(
        self,
        test: Callable[[NodeFleet], Awaitable[None]],
        upstreams: int = 2,
        nodes: int = 1,
        **changes: object,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(25):
                async with running_fleet(nodes, upstreams, **changes) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.event_count = len(NUMBERS)
                        upstream.event_interval_ms = 30
                        upstream.born = STARTED_MS
                        fleet.register(upstream)
                    # Nodes know the entries by now.
                    await trio.sleep(0.4)
                    await test(fleet)

        run_async(run)

    def cut_runs(self, fleet: NodeFleet) -> None:
        """Have each upstream cut its next runs, so that items move between upstreams."""
        for upstream in fleet.upstreams:
            upstream.faults = [UpstreamFault(cut_after=2 + number % 4) for number in range(12)]

    async def check_results(
        self, fleet: NodeFleet, front: Address, names: Sequence[str] = NAMES
    ) -> None:
        """Wait until all items are listed, each with a whole text of one version."""
        results: dict[str, str] = {}
        while len(results) < len(names):
            answer = await read_page(fleet, front, after=len(results), wait_ms=200)
            if answer.status == 200:
                results |= {item["id"]: item["text"] for item in answer.json()["results"]}
            await trio.sleep(0.05)
        joined = {}
        for name, text in results.items():
            lines = text.split("\n")
            self.assertEqual([line.split()[2] for line in lines], NUMBERS, name)
            if len(versions_in(lines)) > 1:
                joined[name] = [line.split()[-1] for line in lines]
        self.assertEqual(joined, {})

    def test_items_have_one_version_while_upstreams_restart_and_entries_are_late(self) -> None:
        names = [f"letter-{number}" for number in range(120)]

        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 20
            await submit(fleet, fleet.nodes[0].front, *names)
            await wait_until(lambda: fleet.upstreams[0].running == 4)
            self.cut_runs(fleet)
            for upstream in list(fleet.upstreams):
                await trio.sleep(0.1)
                await fleet.restart_upstream(upstream, "v1.1", 0.15)
                await trio.sleep(0.15)
            await self.check_results(fleet, fleet.nodes[0].front, names)

        self.run_fleet(test, upstreams=4)

    def test_items_have_one_version_while_the_entry_stays_old_for_seconds(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await submit(fleet, fleet.nodes[0].front, *NAMES)
            restarted = fleet.upstreams[1]
            await wait_until(lambda: restarted.running == 4)
            await trio.sleep(0.1)
            await fleet.restart_upstream(restarted, "v1.1", 3.0)
            self.cut_runs(fleet)
            await self.check_results(fleet, fleet.nodes[0].front)

        self.run_fleet(test)

    def test_progress_of_a_restarted_upstream_does_not_resume_at_its_old_version(self) -> None:
        """Guards against stored progress under the version of an old entry."""

        async def test(fleet: NodeFleet) -> None:
            first, second = fleet.nodes
            old, restarted = fleet.upstreams
            await fleet.restart_upstream(restarted, "v1.1", 3.0)
            # Only the restarted upstream could run items until their progress is stored.
            old.listener.take_down()
            restarted.event_interval_ms = 100
            await submit(fleet, first.front, *NAMES)
            with trio.move_on_after(1.5):
                await wait_until(lambda: fleet.store.state.get(PROGRESS_KEY) is not None)
            first.kill()
            restarted.listener.take_down()
            old.listener.bring_up()
            await trio.sleep(0.5)
            restarted.listener.bring_up()
            await self.check_results(fleet, second.front)

        self.run_fleet(test, nodes=2, **SAVES_OFTEN)

    def test_a_claimed_job_does_not_resume_at_a_restarted_upstream(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first, second = fleet.nodes
            await submit(fleet, first.front, *NAMES)
            await wait_until(lambda: fleet.store.state.get(PROGRESS_KEY) is not None)
            first.kill()
            for upstream in fleet.upstreams[1:]:
                await fleet.restart_upstream(upstream, "v1.1", 4.0)
            await self.check_results(fleet, second.front)

        self.run_fleet(test, upstreams=3, nodes=2, **SAVES_OFTEN)


if __name__ == "__main__":
    unittest.main()
