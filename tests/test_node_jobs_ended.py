"""No node starts items of a job whose end it could have known, however it obtains the job.

Guards against items that reach upstreams more than 3 s after the end of their job was acknowledged.
A client ends a job and submits it again at its owner.  The owner finds the record, which names it
as owner and lists no results, and starts the job as a new one; the next check of the records, up to
0.5 s later, drops it.  The log shows ``job_started`` with ``way=submitted`` and ``ended=true``, and
runs that ``job_dropped`` cancels within 0.5 s.  The same can happen to a claim that still loads the
items when the job ends, and to an owner whose records were not confirmed for long.
"""

import unittest
from unittest import mock

import eliot
import msgspec
import trio

from fescuedock.address import Address
from fescuedock.node.group_broadcast import GroupBroadcaster
from fescuedock.node.replicas import Replicas
from fescuedock.platform.standin.metadata_store import MetadataStoreService
from fescuedock.standin.kv_faults import CallKind
from tests.builders.jobs_calls import JOB, submit
from tests.builders.net import LOOPBACK
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.standins import run_async

# All nodes of these tests know of an end by then.
UPDATE_S = 0.7
# A node without updates starts items no longer than this after an end; the users' bound is 3 s.
MAX_LATE_S = 2.7
NAMES = ("a", "b", "c")


class EndedJobsTest(unittest.TestCase):
    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(**options) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.event_interval_ms = 100.0
                    await test(fleet)

        run_async(run)

    async def end(self, fleet: NodeFleet, front: Address) -> float:
        """End the job at a node; return the time of the acknowledgement, in trio's time."""
        answer = await fleet.call(front, "DELETE", f"/api/lots/{JOB}")
        self.assertEqual(answer.status, 200)
        return trio.current_time()

    async def open_store_endpoint(self, fleet: NodeFleet) -> MetadataStoreService:
        """Return the same store at another address, with its own faults."""
        endpoint = MetadataStoreService(state=fleet.store.state)
        await fleet.nursery.start(endpoint.run, LOOPBACK)
        return endpoint

    async def wait_logged(self, lines: list[dict], name: str) -> None:
        while True:
            if any(line["message_type"] == name for line in lines):
                return
            await trio.sleep(0.02)

    def late_starts(self, fleet: NodeFleet, ended_s: float) -> list[tuple[str, float]]:
        """Return the items that started after all nodes knew of the end, with their delay."""
        return [
            (name, round(at_s - ended_s, 2))
            for upstream in fleet.upstreams
            for name, at_s in upstream.started
            if at_s > ended_s + UPDATE_S
        ]

    def test_a_resubmission_after_the_end_starts_no_item(self) -> None:
        lines: list[dict] = []

        async def test(fleet: NodeFleet) -> None:
            endpoint = await self.open_store_endpoint(fleet)
            other = await fleet.start_node(1, store_address=str(endpoint.address))
            await fleet.wait_ready()
            owner = fleet.nodes[0]
            await submit(fleet, owner.front, *NAMES)
            await trio.sleep(0.1)
            ended_s = await self.end(fleet, other.front)
            await trio.sleep(UPDATE_S)
            for node in (owner, other):
                self.assertEqual((await submit(fleet, node.front, *NAMES)).status, 202)
                await trio.sleep(0.6)
            # Refused by the store, the other node forwards the submission to the owner.
            endpoint.refuse_status = 429
            await trio.sleep(UPDATE_S)
            self.assertEqual((await submit(fleet, other.front, *NAMES)).status, 202)
            await trio.sleep(0.6)
            self.assertEqual(self.late_starts(fleet, ended_s), [])

        eliot.add_destinations(lines.append)
        # The first destination of a process is given all that was logged before.
        lines.clear()
        try:
            self.run_fleet(test)
        finally:
            eliot.remove_destination(lines.append)
        refused = [line for line in lines if line["message_type"] == "job_not_started"]
        self.assertEqual({line["reason"] for line in refused}, {"its client ended it"})
        # Once at the owner, and once there for the neighbour.
        self.assertEqual(len(refused), 2)

    def test_a_claim_overtaken_by_the_end_starts_no_item(self) -> None:
        lines: list[dict] = []

        async def test(fleet: NodeFleet) -> None:
            owner, other = fleet.nodes
            await submit(fleet, owner.front, *NAMES)
            await trio.sleep(0.1)
            # The items of a job that is taken over are read as a range.
            fleet.store.faults.delays_ms[CallKind.RANGE] = 1500.0
            owner.kill()
            with trio.fail_after(10):
                await self.wait_logged(lines, "job_claimed")
            ended_s = await self.end(fleet, other.front)
            await trio.sleep(2.0)
            self.assertTrue(any(line["message_type"] == "job_not_started" for line in lines))
            self.assertEqual(self.late_starts(fleet, ended_s), [])

        eliot.add_destinations(lines.append)
        # The first destination of a process is given all that was logged before.
        lines.clear()
        try:
            self.run_fleet(test, nodes=2, store_timeout_ms=3000)
        finally:
            eliot.remove_destination(lines.append)

    def test_an_owner_without_updates_soon_starts_no_more_items(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            endpoint = await self.open_store_endpoint(fleet)
            owner = await fleet.start_node(1, store_address=str(endpoint.address))
            await fleet.wait_ready()
            await submit(fleet, owner.front, *(f"item-{number}" for number in range(80)))
            with (
                mock.patch.object(Replicas, "_query", return_value=None),
                mock.patch.object(Replicas, "send_noted", return_value=False),
                mock.patch.object(GroupBroadcaster, "broadcast", return_value=None),
            ):
                # Otherwise the store's answers would inform the owner of the end.
                endpoint.faults.silent = True
                await trio.sleep(0.5)
                ended_s = await self.end(fleet, fleet.nodes[0].front)
                await trio.sleep(4.0)
            late = [delay_s for _, delay_s in self.late_starts(fleet, ended_s)]
            # It starts items until its knowledge is too old.
            self.assertTrue(late)
            self.assertLess(max(late), MAX_LATE_S)

        self.run_fleet(test)

    def test_delayed_updates_confirm_nothing(self) -> None:
        """An update that is read late, as it or the process was delayed, counts as that old."""
        broadcast = GroupBroadcaster.broadcast

        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 150.0
            endpoint = await self.open_store_endpoint(fleet)
            # Not number 1, which would be the node that watches the jobs for both nodes.
            owner = await fleet.start_node(2, store_address=str(endpoint.address))
            await fleet.wait_ready()

            async def broadcast_late(
                broadcaster: GroupBroadcaster, message: msgspec.Struct
            ) -> None:
                await trio.sleep(3.5)
                await broadcast(broadcaster, message)

            async def delay_broadcast(
                broadcaster: GroupBroadcaster, message: msgspec.Struct
            ) -> None:
                fleet.nursery.start_soon(broadcast_late, broadcaster, message)

            await submit(fleet, owner.front, *(f"item-{number}" for number in range(80)))
            with (
                mock.patch.object(Replicas, "_query", return_value=None),
                mock.patch.object(Replicas, "send_noted", return_value=False),
                mock.patch.object(GroupBroadcaster, "broadcast", delay_broadcast),
            ):
                endpoint.faults.silent = True
                await trio.sleep(1.0)
                ended_s = await self.end(fleet, fleet.nodes[0].front)
                await trio.sleep(4.5)
            late = [delay_s for _, delay_s in self.late_starts(fleet, ended_s)]
            self.assertLess(max(late, default=0.0), MAX_LATE_S)

        self.run_fleet(test)

    def test_a_neighbour_that_ended_the_job_confirms_no_older_record(self) -> None:
        """The store stops answering after an end that only its writer knows of."""

        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 150.0
            owner, other = fleet.nodes
            await submit(fleet, owner.front, *(f"item-{number}" for number in range(80)))
            await trio.sleep(0.1)
            # No watch reports the end any more.
            fleet.store.faults.delays_ms[CallKind.WATCH] = 60_000.0
            await trio.sleep(0.35)
            with mock.patch.object(Replicas, "send_noted", return_value=False):
                ended_s = await self.end(fleet, other.front)
            fleet.store.faults.silent = True
            await trio.sleep(4.5)
            late = [delay_s for _, delay_s in self.late_starts(fleet, ended_s)]
            self.assertLess(max(late, default=0.0), MAX_LATE_S)

        self.run_fleet(test, nodes=2)

    def test_items_continue_while_the_store_answers_no_node(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await submit(fleet, fleet.nodes[0].front, *(f"item-{n}" for n in range(80)))
            await trio.sleep(0.1)
            fleet.store.faults.down = True
            away_s = trio.current_time()
            await trio.sleep(4.0)
            begun = [at_s - away_s for item in fleet.upstreams for _, at_s in item.started]
            self.assertGreater(max(begun), MAX_LATE_S + 0.5)

        self.run_fleet(test, nodes=2)

    def test_logs_show_how_jobs_started_and_the_age_of_their_records(self) -> None:
        lines: list[dict] = []
        owners: list[str] = []

        async def test(fleet: NodeFleet) -> None:
            owners.append(fleet.nodes[0].settings.vm.vm_id)
            await submit(fleet, fleet.nodes[0].front, *NAMES)
            while sum(item.runs.total() for item in fleet.upstreams) < len(NAMES):  # noqa: ASYNC110
                await trio.sleep(0.02)
            await self.end(fleet, fleet.nodes[1].front)
            await trio.sleep(UPDATE_S)

        eliot.add_destinations(lines.append)
        # The first destination of a process is given all that was logged before.
        lines.clear()
        try:
            self.run_fleet(test, nodes=2)
        finally:
            eliot.remove_destination(lines.append)
        [started] = [line for line in lines if line["message_type"] == "job_started"]
        self.assertEqual((started["way"], started["ended"]), ("submitted", False))
        self.assertLess(started["records_age_ms"], 1000)
        [ended] = [line for line in lines if line["message_type"] == "job_ended"]
        self.assertEqual((ended["owner"], ended["epoch"]), (owners[0], 0))
        self.assertGreater(ended["revision"], started["revision"])
        runs = [line for line in lines if line["message_type"] == "item_run"]
        self.assertEqual(len(runs), len(NAMES))
        self.assertLess(max(line["records_age_ms"] for line in runs), 1000)
        self.assertEqual({line["revision"] for line in runs}, {started["revision"]})


if __name__ == "__main__":
    unittest.main()
