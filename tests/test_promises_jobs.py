"""Promises about jobs, and about online requests beside jobs, while parts of a system fail."""

import unittest

import trio

from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_setup import TRIP_MODEL
from fescuedock.cli.local_vm import LocalVm
from fescuedock.standin.engine import EngineService
from fescuedock.standin.kv_faults import LostAnswer
from tests.builders.local import run_session, wait_until
from tests.builders.online import long_permit_timeout
from tests.builders.promises import (
    TRIP_SERVICE,
    engines_of,
    expected_lines,
    job_owner,
    job_status,
    kv_down,
    lose_vm,
    owner_of,
    result_lines,
    send_request,
    stream_complete_answer,
    submit,
    total_admitted,
    total_running,
    wait_answer,
)

ITEM_TOKENS = 20
# The number of tokens of an item that does not end while a test runs.
ENDLESS = 20_000


class ExactlyOnceTest(unittest.TestCase):
    def test_job_outlives_its_entry_an_outage_with_deaths_and_one_more_vm(self) -> None:
        async def session(system: LocalSystem) -> None:
            first, accepting, last = system.vms.values()
            job_id = await submit(system, accepting, ITEM_TOKENS)
            await lose_vm(accepting)
            await job_owner(system, lost=accepting)
            with kv_down(system):
                await self._crash_workers(system)
            for vm in (first, last):

                async def completed(vm=vm) -> bool:
                    return await job_status(system, vm, job_id) == "completed"

                await wait_until(completed)
                found = await result_lines(system, vm, job_id)
                self.assertEqual(found, expected_lines(ITEM_TOKENS))
            await lose_vm(last)
            found = await result_lines(system, first, job_id)
            self.assertEqual(found, expected_lines(ITEM_TOKENS), "readable from one store alone")

        run_session(session)

    async def _crash_workers(self, system: LocalSystem) -> None:
        """Crash an engine that is running items, twice."""
        engines = engines_of(system, TRIP_SERVICE)

        async def busy() -> bool:
            return bool(total_running(engines))

        for _ in range(2):
            await wait_until(busy)
            engine = max(engines, key=lambda item: len(item.core.model.running))
            engine.die()
            engine.revive()
        self.assertEqual(sum(engine.deaths for engine in engines), 2)


class CancelTest(unittest.TestCase):
    def test_cancel_with_a_lost_answer_while_the_owner_is_dead_starts_nothing_more(self) -> None:
        async def session(system: LocalSystem) -> None:
            engines = engines_of(system, TRIP_SERVICE)
            job_id = await submit(system, system.vms["vm-chipre"], ENDLESS)
            owner = await job_owner(system)
            other = next(vm for vm in system.vms.values() if vm is not owner)
            await lose_vm(owner)
            system.standins.kv.faults.lose_answer(LostAnswer.AFTER_EFFECT)
            await wait_answer(other, system, f"/v1/batches/{job_id}/cancel", {})
            admitted = total_admitted(engines)

            async def stopped() -> bool:
                cancelled = await job_status(system, other, job_id) == "cancelled"
                return cancelled and not total_running(engines)

            await wait_until(stopped)
            # Takes some time, in which further items would start if the job had not stopped.
            await stream_complete_answer(system, other, "Is it over?", ITEM_TOKENS, TRIP_MODEL)
            self.assertEqual(total_admitted(engines), admitted + 1)

        run_session(session)


class HeadOfLineTest(unittest.TestCase):
    LIMIT = 4

    def test_online_is_served_on_engines_busy_with_batch_also_without_their_owner(self) -> None:
        async def session(system: LocalSystem) -> None:
            engines = engines_of(system, TRIP_SERVICE)
            await self._limit_engines(system)
            first, *_ = vms = list(system.vms.values())
            with long_permit_timeout():
                job_id = await submit(system, first, ENDLESS)
                await self._wait_busy(engines)
                await self._burst(system, vms, "with owners")
            for engine in engines:
                # While a revocation takes effect, revoked runs overlap with newly granted ones.
                self.assertLessEqual(engine.stats.most_running, 2 * self.LIMIT)
            self.assertTrue(sum(engine.stats.cancelled for engine in engines), "batch gave way")
            await self._wait_busy(engines)
            owner = await owner_of(system, first, engines[0].upstream_id)
            remaining = [vm for vm in vms if vm is not owner]
            await lose_vm(owner)
            await self._burst(system, remaining, "without an owner")
            job = (await send_request(remaining[0], system, f"/v1/batches/{job_id}")).json
            counts = job["request_counts"]
            self.assertEqual((job["status"], counts["completed"]), ("in_progress", 0))

        run_session(session)

    async def _limit_engines(self, system: LocalSystem) -> None:
        engines = engines_of(system, TRIP_SERVICE)
        policies = {engine.upstream_id: {"max_in_flight": self.LIMIT} for engine in engines}
        patch = {"base_version": 1, "patch_id": "limit", "patch": {"upstreams": policies}}
        await wait_answer(system.vms["vm-chipre"], system, "/admin/config/patches", patch)
        for vm in system.vms.values():

            async def in_force(vm=vm) -> bool:
                return (await send_request(vm, system, "/admin/status")).json["config_version"] == 2

            await wait_until(in_force)

    async def _wait_busy(self, engines: list[EngineService]) -> None:
        """Wait until batch uses half of each limit, the part that online bursts leave to it."""

        async def busy() -> bool:
            return all(len(item.core.model.running) >= self.LIMIT // 2 for item in engines)

        await wait_until(busy)

    async def _burst(self, system: LocalSystem, vms: list[LocalVm], name: str) -> None:
        """Send as many requests at once as all engines may run; none may wait for batch items."""
        async with trio.open_nursery() as nursery:
            for number in range(self.LIMIT * len(engines_of(system, TRIP_SERVICE))):
                vm = vms[number % len(vms)]
                question = f"{name}, question {number}"
                nursery.start_soon(
                    stream_complete_answer, system, vm, question, ITEM_TOKENS, TRIP_MODEL
                )


class LeavingUpstreamTest(unittest.TestCase):
    def test_leaving_worker_whose_owner_is_lost_gets_nothing_new_and_ends_what_runs(self) -> None:
        async def session(system: LocalSystem) -> None:
            leaving, *others = engines_of(system, TRIP_SERVICE)
            first = system.vms["vm-chipre"]
            job_id = await submit(system, first, ITEM_TOKENS)
            await job_owner(system)
            owner = await owner_of(system, first, leaving.upstream_id)
            remaining = [vm for vm in system.vms.values() if vm is not owner]
            await lose_vm(owner)
            with kv_down(system):
                await self._mark_leaving(system, remaining, leaving)
            admitted = leaving.stats.admitted
            before = total_admitted(others)
            await self._send_streams(system, remaining, "after it left")
            for vm in remaining:

                async def completed(vm=vm) -> bool:
                    return await job_status(system, vm, job_id) == "completed"

                await wait_until(completed)
            self.assertEqual(leaving.stats.admitted, admitted)
            self.assertEqual(total_running([leaving]), 0)
            self.assertGreater(total_admitted(others), before + 12)
            self.assertEqual(
                await result_lines(system, remaining[0], job_id), expected_lines(ITEM_TOKENS)
            )

        run_session(session)

    async def _mark_leaving(
        self, system: LocalSystem, remaining: list[LocalVm], leaving: EngineService
    ) -> None:
        """Mark an engine as leaving during streams; return when all remaining VMs know of it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_streams, system, remaining, "while it leaves")
            system.standins.vm_list.mark_leaving(leaving.upstream_id)
            for vm in remaining:

                async def seen(vm=vm) -> bool:
                    found = (await send_request(vm, system, "/admin/status")).json["upstreams"]
                    return any(
                        item["leaving"] and item["upstream_id"] == leaving.upstream_id
                        for item in found
                    )

                await wait_until(seen)

    async def _send_streams(self, system: LocalSystem, vms: list[LocalVm], name: str) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(12):
                vm = vms[number % len(vms)]
                question = f"{name}, question {number}"
                nursery.start_soon(
                    stream_complete_answer, system, vm, question, ITEM_TOKENS, TRIP_MODEL
                )


if __name__ == "__main__":
    unittest.main()
