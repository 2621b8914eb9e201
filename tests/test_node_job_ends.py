"""The end of a job that could not be recorded at once is retained, and recorded later.

Guards against jobs that run although their client ended them.  The end was answered with 503, as
the job was still pending on spools or the store did not answer.  The client did not retry, no node
had retained the end, and all items ran when the store was reachable again: a spool stores its copy
as submitted, and an owner knows only recorded ends.  Each test sends one end, and none after the
503.
"""

import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest import mock

import msgspec
import trio

from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.node import spools as node_spools
from fescuedock.platform.standin.metadata_store import MetadataStoreService
from fescuedock.schema.stored_jobs import StoredJobRecord
from fescuedock.standin.kv_faults import CallKind
from tests.builders.jobs_calls import JOB, job_body, submit
from tests.builders.net import LOOPBACK
from tests.builders.node import NodeFleet, RunningNode, RunningSpool, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async

KEYS = JobKeys("fescuedock/")
SPOOLS = 2
NAMES = ("a", "b")
MANY = tuple(f"item-{number}" for number in range(80))
# Longer than an item takes, so that every item that may run has started.
SETTLE_S = 1.0

Test = Callable[[NodeFleet, list[RunningSpool]], Awaitable[None]]


class EndsTest(unittest.TestCase):
    def setUp(self) -> None:
        # The time limit of a spool's answer is not tested here.
        patcher = mock.patch.object(node_spools, "_COPY_TIMEOUT_MS", 1000.0)
        patcher.start()
        self.addCleanup(patcher.stop)

    def run_fleet(self, test: Test, spools: int = SPOOLS, **options: object) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as folder, trio.fail_after(40):
                async with running_fleet(**options) as fleet:
                    started = [
                        await fleet.start_spool(number, Path(folder) / str(number))
                        for number in range(spools)
                    ]
                    keys = [f"{KEYS.spools}spool-{number}" for number in range(spools)]
                    state = fleet.store.state
                    await wait_until(lambda: all(state.get(key) for key in keys))
                    await trio.sleep(0.5)
                    await test(fleet, started)

        run_async(run)

    async def start_node_with_endpoint(
        self, fleet: NodeFleet, **changes: object
    ) -> tuple[RunningNode, MetadataStoreService]:
        """Start a node with its own endpoint of the same store."""
        endpoint = MetadataStoreService(state=fleet.store.state)
        await fleet.nursery.start(endpoint.run, LOOPBACK)
        node = await fleet.start_node(2, store_address=str(endpoint.address), **changes)
        await fleet.wait_status(node.ready, "/api/ready", 200)
        return node, endpoint

    async def accept_on_spools(self, fleet: NodeFleet) -> None:
        """Have a job accepted while the store answers neither the nodes nor the spools."""
        fleet.store.refuse_status = 503
        await trio.sleep(1.2)
        self.assertEqual((await submit(fleet, fleet.nodes[0].front, *NAMES)).status, 202)

    async def end(self, fleet: NodeFleet, node: RunningNode) -> int:
        return (await fleet.call(node.front, "DELETE", f"/api/lots/{JOB}")).status

    def record(self, fleet: NodeFleet) -> StoredJobRecord | None:
        entry = fleet.store.state.get(KEYS.record(JOB))
        return None if entry is None else msgspec.msgpack.decode(entry.value, type=StoredJobRecord)

    async def wait_ended(self, fleet: NodeFleet, within_s: float = 3.0) -> None:
        with trio.move_on_after(within_s):
            await wait_until(lambda: (found := self.record(fleet)) is not None and found.ended)
        self.assertTrue(self.record(fleet).ended)

    async def expect_no_runs(self, fleet: NodeFleet) -> None:
        await self.wait_ended(fleet)
        await trio.sleep(SETTLE_S)
        self.assertEqual([fleet.upstream_runs(name) for name in NAMES], [0, 0])

    def test_a_job_pending_on_spools_is_stored_as_ended(self) -> None:
        async def test(fleet: NodeFleet, _spools: list[RunningSpool]) -> None:
            await self.accept_on_spools(fleet)
            node, _ = await self.start_node_with_endpoint(fleet)
            self.assertEqual(await self.end(fleet, node), 503)
            # The node's memory is lost with its process; the knowledge of the spools is enough.
            node.kill()
            fleet.store.refuse_status = 0
            await self.expect_no_runs(fleet)

        self.run_fleet(test)

    def test_spools_retain_an_end_over_a_restart(self) -> None:
        async def test(fleet: NodeFleet, spools: list[RunningSpool]) -> None:
            await self.accept_on_spools(fleet)
            node, _ = await self.start_node_with_endpoint(fleet)
            self.assertEqual(await self.end(fleet, node), 503)
            for program in (node, *spools):
                program.kill()
                await program.ended.wait()
            for spool in spools:
                await fleet.restart_spool(spool)
            fleet.store.refuse_status = 0
            await self.expect_no_runs(fleet)

        self.run_fleet(test)

    def test_a_resubmission_does_not_discard_a_retained_end(self) -> None:
        async def test(fleet: NodeFleet, _spools: list[RunningSpool]) -> None:
            await self.accept_on_spools(fleet)
            node, endpoint = await self.start_node_with_endpoint(fleet)
            self.assertEqual(await self.end(fleet, node), 503)
            endpoint.refuse_status = 503
            await trio.sleep(1.2)
            self.assertEqual((await submit(fleet, node.front, *NAMES)).status, 202)
            self.assertEqual((await submit(fleet, fleet.nodes[0].front, *NAMES)).status, 202)
            endpoint.refuse_status = fleet.store.refuse_status = 0
            await self.expect_no_runs(fleet)
            self.assertEqual((await submit(fleet, node.front, *NAMES)).status, 202)
            await trio.sleep(SETTLE_S)
            self.assertEqual([fleet.upstream_runs(name) for name in NAMES], [0, 0])

        self.run_fleet(test)

    def test_one_spool_that_knows_of_the_end_ends_the_job(self) -> None:
        async def test(fleet: NodeFleet, spools: list[RunningSpool]) -> None:
            for upstream in fleet.upstreams:
                # Slow enough that not all items are listed before the end.
                upstream.event_interval_ms = 2000.0
            await self.accept_on_spools(fleet)
            node, _ = await self.start_node_with_endpoint(fleet)
            spools[0].kill()
            await spools[0].ended.wait()
            self.assertEqual(await self.end(fleet, node), 503)
            spools[1].kill()
            node.kill()
            await spools[1].ended.wait()
            # The other spool, which was not notified, stores the job as submitted.
            await fleet.restart_spool(spools[0])
            fleet.store.refuse_status = 0
            with trio.fail_after(5):
                await wait_until(lambda: self.record(fleet) is not None)
            self.assertFalse(self.record(fleet).ended)
            await fleet.restart_spool(spools[1])
            await self.wait_ended(fleet)

        self.run_fleet(test)

    def test_an_end_in_an_outage_is_recorded_after_it(self) -> None:
        async def test(fleet: NodeFleet, _spools: list[RunningSpool]) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 200.0
            owner = fleet.nodes[0]
            await submit(fleet, owner.front, *MANY)
            await trio.sleep(0.1)
            fleet.store.faults.down = True
            await trio.sleep(1.0)
            requested_s = trio.current_time()
            self.assertEqual(await self.end(fleet, owner), 503)
            late = [
                name
                for upstream in fleet.upstreams
                for name, at_s in upstream.started
                if at_s > requested_s + 0.5
            ]
            self.assertEqual(late, [])
            fleet.store.faults.down = False
            await self.wait_ended(fleet)

        self.run_fleet(test, spools=0)

    def test_an_end_whose_client_disconnects_is_still_recorded(self) -> None:
        async def test(fleet: NodeFleet, _spools: list[RunningSpool]) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 200.0
            await submit(fleet, fleet.nodes[0].front, *MANY)
            fleet.store.faults.down = True
            with trio.move_on_after(0.3):
                await self.end(fleet, fleet.nodes[0])
            await trio.sleep(0.5)
            fleet.store.faults.down = False
            await self.wait_ended(fleet)

        self.run_fleet(test, spools=0)

    # The call waited for the configuration, and was dropped when its client left.
    def test_an_end_whose_client_leaves_while_the_node_starts_is_still_recorded(self) -> None:
        async def test(fleet: NodeFleet, _spools: list[RunningSpool]) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 200.0
            await submit(fleet, fleet.nodes[0].front, *MANY)
            fleet.store.faults.down = True
            fleet.nodes[0].kill()
            node = await fleet.restart(fleet.nodes[0])
            with trio.move_on_after(0.2):
                await self.end(fleet, node)
            fleet.store.faults.down = False
            await self.wait_ended(fleet)

        self.run_fleet(test, spools=0)

    def test_a_job_being_accepted_by_a_neighbour_is_ended_once_it_is_stored(self) -> None:
        async def test(fleet: NodeFleet, _spools: list[RunningSpool]) -> None:
            node, endpoint = await self.start_node_with_endpoint(fleet)
            await fleet.wait_ready()
            endpoint.refuse_status = 429
            # The neighbour stores the job after the client has given up.
            fleet.store.faults.delays_ms[CallKind.PUT] = 800.0
            headers = {"X-Request-Id": JOB, "X-Deadline-Ms": "500"}
            answer = await fleet.call(node.front, "POST", "/letters/new", job_body(*NAMES), headers)
            self.assertEqual(answer.status, 504)
            endpoint.refuse_status = 0
            self.assertEqual(await self.end(fleet, node), 503)
            self.assertIsNone(self.record(fleet))
            with trio.fail_after(5):
                await wait_until(lambda: self.record(fleet) is not None)
            await self.wait_ended(fleet)

        self.run_fleet(test, spools=0, store_timeout_ms=3000)

    def test_an_unknown_job_is_not_found_and_may_be_submitted_later(self) -> None:
        async def test(fleet: NodeFleet, _spools: list[RunningSpool]) -> None:
            self.assertEqual(await self.end(fleet, fleet.nodes[0]), 404)
            self.assertEqual((await submit(fleet, fleet.nodes[0].front, *NAMES)).status, 202)
            with trio.fail_after(5):
                await wait_until(lambda: self.record(fleet).listed == len(NAMES))
            self.assertFalse(self.record(fleet).ended)

        self.run_fleet(test)


if __name__ == "__main__":
    unittest.main()
