"""Nodes release jobs that they must not run any more, even if updates arrive late."""

import random
import unittest
from unittest import mock

import msgspec
import trio
import trio.testing

from fescuedock.core.rendezvous import choose_name
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.core.stored_jobs.ownership import OwnerIdentity
from fescuedock.node import job_runner
from fescuedock.node.group_broadcast import GroupBroadcaster
from fescuedock.node.job_acceptance import JobAcceptance
from fescuedock.node.replicas import Replicas
from fescuedock.platform.standin.event_upstream import UpstreamFault
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import AcceptJob, StoredJobRecord
from fescuedock.standin.kv_faults import CallKind
from tests.builders.forwarding import job_record
from tests.builders.jobs_calls import JOB, submit
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.runner_simulation import RunnerSimulation, items_of
from tests.builders.standins import run_async

KEYS = JobKeys("fescuedock/")
END_BOUND_S = 3.0
# Delay of updates from the watching node, longer than the bound.
DELAY_S = 4.0
NAMES = tuple(f"item-{number}" for number in range(120))


class ReleasedJobsTest(unittest.TestCase):
    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(**options) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.event_interval_ms = 100.0
                    await test(fleet)

        run_async(run)

    async def start_two(self, fleet: NodeFleet) -> None:
        """Have the first node start two items that last for seconds."""
        for upstream in fleet.upstreams:
            upstream.event_interval_ms = 1000.0
        await submit(fleet, fleet.nodes[0].front, "a", "b")
        with trio.fail_after(2):
            await self.wait_running(fleet, 2)

    async def wait_running(self, fleet: NodeFleet, count: int) -> None:
        while True:
            if sum(item.running for item in fleet.upstreams) == count:
                return
            await trio.sleep(0.01)

    async def block_watches(self, fleet: NodeFleet) -> None:
        """Block all further watches; return when those in progress are over."""
        fleet.store.faults.delays_ms[CallKind.WATCH] = 60_000.0
        await trio.sleep(0.4)

    def test_delayed_updates_do_not_count_as_current(self) -> None:
        """Only the connection between two nodes is slow; the owner reaches the store."""
        real_broadcast = GroupBroadcaster.broadcast

        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                # Runs are interrupted, so that items start again; no commit reveals the end.
                upstream.event_count = 10_000
                upstream.faults = [UpstreamFault(cut_after=3) for _ in range(10_000)]

            async def broadcast_late(
                broadcaster: GroupBroadcaster, message: msgspec.Struct
            ) -> None:
                async def later() -> None:
                    await trio.sleep(DELAY_S)
                    await real_broadcast(broadcaster, message)

                fleet.nursery.start_soon(later)

            watcher = choose_name(KEYS.live, [node.settings.vm.vm_id for node in fleet.nodes])
            [owner] = [node for node in fleet.nodes if node.settings.vm.vm_id != watcher]
            [other] = [node for node in fleet.nodes if node.settings.vm.vm_id == watcher]
            with (
                mock.patch.object(GroupBroadcaster, "broadcast", broadcast_late),
                mock.patch.object(Replicas, "send_noted", return_value=False),
            ):
                # As updates keep arriving, though late, no other node queries the store itself.
                await trio.sleep(DELAY_S + 1.0)
                await submit(fleet, owner.front, *NAMES)
                await trio.sleep(0.3)
                answer = await fleet.call(other.front, "DELETE", f"/api/lots/{JOB}")
                self.assertEqual(answer.status, 200)
                ended_s = trio.current_time()
                await trio.sleep(DELAY_S + 1.0)
            late = [
                at_s - ended_s
                for upstream in fleet.upstreams
                for _, at_s in upstream.started
                if at_s > ended_s + END_BOUND_S
            ]
            self.assertEqual([round(delay_s, 2) for delay_s in late], [])

        self.run_fleet(test, nodes=2)

    def test_a_job_that_another_node_took_over_and_finished_is_released(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await self.start_two(fleet)
            key = KEYS.record(JOB)
            entry = fleet.store.state.get(key)
            record = msgspec.msgpack.decode(entry.value, type=StoredJobRecord)
            finished = msgspec.structs.replace(
                record, owner_id="node-9", owner_boot=9, epoch=record.epoch + 1, listed=2
            )
            fleet.store.state.put(key, msgspec.msgpack.encode(finished))
            await trio.sleep(1.2)
            self.assertEqual(sum(item.running for item in fleet.upstreams), 0)

        self.run_fleet(test)

    def test_running_items_are_cancelled_soon_after_their_job_ends(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await self.start_two(fleet)
            await fleet.call(fleet.nodes[1].front, "DELETE", f"/api/lots/{JOB}")
            await trio.sleep(1.2)
            self.assertEqual(sum(item.running for item in fleet.upstreams), 0)

        self.run_fleet(test, nodes=2)

    def test_an_owner_that_ends_its_own_job_releases_it_without_updates(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await self.start_two(fleet)
            await self.block_watches(fleet)
            answer = await fleet.call(fleet.nodes[0].front, "DELETE", f"/api/lots/{JOB}")
            self.assertEqual(answer.status, 200)
            with trio.fail_after(0.3):
                await self.wait_running(fleet, 0)

        self.run_fleet(test)

    def test_the_owner_is_notified_of_an_end_before_it_is_acknowledged(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await self.start_two(fleet)
            await self.block_watches(fleet)
            answer = await fleet.call(fleet.nodes[1].front, "DELETE", f"/api/lots/{JOB}")
            self.assertEqual(answer.status, 200)
            with trio.fail_after(0.3):
                await self.wait_running(fleet, 0)

        self.run_fleet(test, nodes=2)

    def test_an_owner_that_does_not_answer_delays_no_end(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            owner, other = fleet.nodes
            await self.start_two(fleet)
            # For a while the other node still considers it alive.
            owner.kill()
            began_s = trio.current_time()
            answer = await fleet.call(other.front, "DELETE", f"/api/lots/{JOB}")
            self.assertEqual(answer.status, 200)
            self.assertLess(trio.current_time() - began_s, 0.5)

        self.run_fleet(test, nodes=2)

    def test_a_refused_write_of_progress_reveals_an_unreported_end(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_count = 100
            await submit(fleet, fleet.nodes[0].front, "a", "b")
            await self.block_watches(fleet)
            self.assertEqual(sum(item.running for item in fleet.upstreams), 2)
            record = fleet.store.state.get(KEYS.record(JOB))
            ended = msgspec.structs.replace(
                msgspec.msgpack.decode(record.value, type=StoredJobRecord), ended=True
            )
            fleet.store.state.put(KEYS.record(JOB), msgspec.msgpack.encode(ended))
            with trio.fail_after(1.0):
                await self.wait_running(fleet, 0)

        self.run_fleet(test, progress_interval_ms=300, progress_events=1)

    def test_dropping_a_job_that_was_replaced_meanwhile_leaves_its_successor(self) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                simulation = RunnerSimulation(nursery, [0, 0, 0], 0.6)
                with mock.patch.object(job_runner, "run_item", simulation.run_item):
                    simulation.start()
                    await trio.sleep(0.3)
                    runner = simulation.nodes[0].runner
                    await simulation.nodes[0].submit("j0", items_of("j0", 24))
                    job = runner._jobs["j0"]
                    former = job_runner.OwnedJob(job.run, job.versioned, job.group_bytes)
                    runner._drop(former, "it was replaced")
                    self.assertIs(runner._jobs["j0"], job)
                    runner._drop(job, "another node owns it")
                    self.assertNotIn("j0", runner._jobs)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_leaving_node_accepts_no_jobs_for_neighbours(self) -> None:
        async def run() -> None:
            acceptance = JobAcceptance(
                store=mock.Mock(),
                replicas=mock.Mock(kv_availability=mock.Mock(is_unavailable=lambda _now_ms: False)),
                owner=OwnerIdentity("n-1", 1),
                call_neighbour=mock.Mock(),
                neighbours=list,
                on_accepted=mock.Mock(),
                rng=random.Random(1),
                spools=mock.Mock(),
                is_leaving=lambda: True,
            )
            message = AcceptJob(job_record(owner_id="n-2"), [])
            reply = await acceptance.handlers()[AcceptJob](message, None)
            self.assertEqual(reply.code, ResultCode.KV_UNAVAILABLE)
            acceptance.store.accept.assert_not_called()

        run_async(run)


if __name__ == "__main__":
    unittest.main()
