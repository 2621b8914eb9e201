"""Permits between a served owner and a holder's client, over real sockets."""

import random
import time
import unittest
from collections.abc import Callable
from functools import partial
from unittest import mock

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.permits.holder import validity_ms
from fescuedock.core.permits.owner import PermitOwner
from fescuedock.faults import Fault
from fescuedock.schema.crashes import BrokenRun, CrashedRun, CrashReport, WorkCleared
from fescuedock.schema.permits import AttemptOutcome, PermitAsk, PermitsEnded, WorkClass
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import AgentSettings
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from tests.builders.permits import (
    VALID_MS,
    ServedOwner,
    ask_for,
    end_of,
    served_owner,
    upstream_record,
)

GUARD_S = 20
TIMEOUT_MS = 5000


class SameProcessOwnerTest(unittest.TestCase):
    """Guards against a busy node that took itself for a silent owner and exceeded its own limit."""

    def test_a_busy_owner_in_the_same_process_does_not_count_as_silent(self) -> None:
        async def busy(rng: random.Random) -> None:
            while True:
                time.sleep(rng.uniform(0.0, 0.08))  # noqa: ASYNC251
                await trio.sleep(0.005)

        async def run() -> None:
            codes = []
            async with served_owner(same_process=True) as owner, trio.open_nursery() as nursery:
                nursery.start_soon(busy, random.Random(1))
                for _ in range(40):
                    ask = ask_for(wait_ms=0)
                    asked = await owner.client.request(ask, timeout_ms=25.0)
                    codes.append(asked.is_ok())
                    if asked.is_ok():
                        asked.unwrap().end(end_of(ask, AttemptOutcome.COMPLETED))
                    await trio.sleep(0.02)
                nursery.cancel_scope.cancel()
            self.assertEqual(codes, [True] * 40)

        _run(run)

    def test_ends_renewals_and_revocations_reach_it(self) -> None:
        async def run() -> None:
            async with served_owner(same_process=True) as owner:
                ask = ask_for()
                grant = (await owner.client.request(ask, TIMEOUT_MS)).unwrap()
                self.assertEqual(owner.client.loads["u1"].load.in_flight_online, 1)
                # Longer than the validity of a permit that is not renewed.
                await trio.sleep(1.5 * VALID_MS / 1000)
                self.assertFalse(grant.revoked.is_set())
                grant.end(end_of(ask, AttemptOutcome.COMPLETED))
                while owner.service.load("u1").in_flight_online:  # noqa: ASYNC110
                    await trio.sleep(0.01)

        _run(run)


class ServedOwnerTest(unittest.TestCase):
    """The path from a client's request to the owner's decision and back."""

    def test_online_is_granted_and_its_end_frees_the_count(self) -> None:
        async def run() -> None:
            async with served_owner() as owner:
                ask = ask_for()
                grant = (await owner.client.request(ask, TIMEOUT_MS)).unwrap()
                self.assertEqual(owner.client.loads["u1"].load.in_flight_online, 1)
                grant.end(end_of(ask, AttemptOutcome.COMPLETED))
                grant.end(end_of(ask, AttemptOutcome.COMPLETED))
                while owner.client.loads["u1"].load.in_flight_online:
                    probe = ask_for(wait_ms=0)
                    other = (await owner.client.request(probe, TIMEOUT_MS)).unwrap()
                    other.end(end_of(probe, AttemptOutcome.CANCELLED))
                    if owner.client.loads["u1"].load.in_flight_online == 1:
                        return

        _run(run)

    def test_a_repeated_request_gets_the_same_permit(self) -> None:
        async def run() -> None:
            async with served_owner() as owner:
                ask = ask_for()
                first = (await owner.client.request(ask, TIMEOUT_MS)).unwrap()
                again = (await owner.client.request(ask, TIMEOUT_MS)).unwrap()
                self.assertEqual(first.permit_id, again.permit_id)
                self.assertEqual(owner.client.loads["u1"].load.in_flight_online, 1)

        _run(run)

    def test_the_validity_grows_with_the_fleet(self) -> None:
        settings = AgentSettings(0, permit_valid_ms=2000, permit_valid_per_vm_ms=40)
        self.assertEqual(validity_ms(settings, 9), 2000)
        self.assertEqual(validity_ms(settings, 370), 14_800)

    def test_a_permit_is_renewed_by_the_time_that_its_owner_set(self) -> None:
        """One third of the validity after the request, or after the last renewal, was sent."""

        async def run() -> None:
            async with served_owner() as owner:
                held = (await owner.client.request(ask_for(), TIMEOUT_MS)).unwrap()._held
                first_ms = held.renew_at_ms
                self.assertLess(first_ms, held.valid_until_ms - VALID_MS / 2)
                while True:
                    if held.renew_at_ms != first_ms:
                        break
                    await trio.sleep(0.01)
                self.assertGreaterEqual(held.renew_at_ms, first_ms + VALID_MS / 3)

        _run(run)

    def test_online_without_room_revokes_batch_by_push(self) -> None:
        async def run() -> None:
            async with served_owner() as owner:
                batch = ask_for(WorkClass.BATCH)
                # Batch first waits until the new owner has rebuilt its state.
                grant = (await owner.client.request(batch, 2 * TIMEOUT_MS)).unwrap()
                while not grant.revoked.is_set():
                    match await owner.client.request(ask_for(), TIMEOUT_MS):
                        case Ok(_):
                            await trio.sleep(0.01)
                        case Err(fault):
                            self.fail(f"online was refused: {fault}")

        _run(run)

    def test_an_online_request_is_answered_when_its_wait_is_over(self) -> None:
        async def run() -> None:
            async with served_owner(upstream_record(slots=1)) as owner:
                (await owner.client.request(ask_for(), TIMEOUT_MS)).unwrap()
                began_s = trio.current_time()
                refusal = await owner.client.request(ask_for(wait_ms=20, target_ms=1000), 3000)
                self.assertEqual(_code(refusal), ResultCode.NO_CAPACITY)
                # The answer must arrive before the renewal of the other permit, 200 ms after its
                # grant, serves the queue.
                self.assertLess(trio.current_time() - began_s, 0.15)

        # An owner without requests polls far less often than this one may wait.
        with mock.patch("fescuedock.agent.permit_service._IDLE_TICK_S", 2.0):
            _run(run)

    def test_waiting_batch_requests_cause_few_ticks(self) -> None:
        ticks: list[float] = []
        tick = PermitOwner.tick

        def counted(owner: PermitOwner, now_ms: float) -> list:
            ticks.append(now_ms)
            return tick(owner, now_ms)

        async def run() -> None:
            async with served_owner(upstream_record(slots=1)) as owner:
                (await owner.client.request(ask_for(), TIMEOUT_MS)).unwrap()
                before = len(ticks)
                with trio.move_on_after(0.5):
                    await owner.client.request(ask_for(WorkClass.BATCH, wait_ms=5000), 5000)
                self.assertLess(len(ticks) - before, 20)

        with mock.patch.object(PermitOwner, "tick", counted):
            _run(run)

    def test_a_leaving_upstream_grants_no_permit_and_refuses_waiting_requests(self) -> None:
        async def run() -> None:
            async with served_owner() as owner:
                (await owner.client.request(ask_for(), TIMEOUT_MS)).unwrap()
                owner.show(upstream_record(leaving=True))
                refusal = await owner.client.request(ask_for(), TIMEOUT_MS)
                self.assertEqual(_code(refusal), ResultCode.NO_CAPACITY)
                self.assertFalse(owner.client.loads["u1"].load.accepting)

        _run(run)

    def test_a_permit_overtaken_by_an_update_at_its_holder_is_not_used(self) -> None:
        """A request waits in the queue of an owner that lacks an update its holder has received."""
        updates = {
            "leaving": upstream_record(slots=1, leaving=True),
            "gone": upstream_record(upstream_id="u1-started-again", slots=1),
        }
        for name, upstream in updates.items():
            with self.subTest(name):
                _run(partial(self._receive_overtaken_permit, upstream))

    async def _receive_overtaken_permit(self, newer: UpstreamRecord) -> None:
        async with served_owner(upstream_record(slots=1)) as owner:
            running = ask_for()
            (await owner.client.request(running, TIMEOUT_MS)).unwrap()
            answers: list[Result] = []

            async def ask() -> None:
                answers.append(await owner.client.request(ask_for(wait_ms=5000), TIMEOUT_MS))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await _until(lambda: owner.service.load("u1").queued_online)
                owner.show_holder(newer)
                await self._send_end(owner, running)
            self.assertIs(_code(answers[0]), ResultCode.NOT_OWNER)
            # Returned, so that the owner does not count an attempt that never runs.
            owner.show_holder(upstream_record(slots=1))
            with trio.fail_after(VALID_MS / 1000 / 2):
                await _until(lambda: not owner.service.load("u1").in_flight_online)

    async def _send_end(self, owner: ServedOwner, ask: PermitAsk) -> None:
        """Deliver the end of an attempt to the owner, without waiting for anything else."""
        ended = PermitsEnded("h1", [end_of(ask, AttemptOutcome.COMPLETED)])
        await owner.service.handlers()[PermitsEnded](ended, None)

    def test_no_local_permit_is_granted_at_a_leaving_upstream(self) -> None:
        async def run() -> None:
            async with served_owner() as owner:
                owner.show_holder(upstream_record(leaving=True))
                refusal = owner.client.request_local(ask_for())
                self.assertIs(_code(refusal), ResultCode.NOT_OWNER)
                owner.show_holder(upstream_record())
                grants = [owner.client.request_local(ask_for()) for _ in range(3)]
                self.assertEqual([grant.is_ok() for grant in grants], [True, True, False])

        _run(run)

    def test_an_end_that_frees_a_slot_of_a_leaving_upstream_grants_nothing(self) -> None:
        async def run() -> None:
            async with served_owner(upstream_record(slots=1)) as owner:
                first = ask_for()
                (await owner.client.request(first, TIMEOUT_MS)).unwrap()
                answers: list[Result] = []

                async def ask() -> None:
                    answers.append(await owner.client.request(ask_for(wait_ms=5000), TIMEOUT_MS))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask)
                    await _until(lambda: owner.service.load("u1").queued_online)
                    # The end is handled before the loop that follows the view has run.
                    owner.show(upstream_record(slots=1, leaving=True))
                    await self._send_end(owner, first)
                self.assertIs(_code(answers[0]), ResultCode.NO_CAPACITY)

        _run(run)

    def test_with_a_silent_owner_online_gets_the_local_limit_and_batch_nothing(self) -> None:
        async def run() -> None:
            async with served_owner() as owner:
                owner.show(upstream_record(), Address("127.0.0.1", 9))
                silent = await owner.client.request(ask_for(), 50)
                self.assertIn(_code(silent), (ResultCode.PEER_UNKNOWN, ResultCode.PEER_UNREACHABLE))
                grants = [owner.client.request_local(ask_for()) for _ in range(3)]
                self.assertEqual([grant.is_ok() for grant in grants], [True, True, False])
                batch = owner.client.request_local(ask_for(WorkClass.BATCH))
                self.assertEqual(_code(batch), ResultCode.NO_CAPACITY)

        _run(run)

    def test_a_batch_permit_that_is_not_renewed_is_revoked_by_its_holder(self) -> None:
        async def run() -> None:
            async with served_owner() as owner:
                grant = (
                    await owner.client.request(ask_for(WorkClass.BATCH), 2 * TIMEOUT_MS)
                ).unwrap()
                owner.show(upstream_record(), Address("127.0.0.1", 9))
                await grant.revoked.wait()

        _run(run)

    def test_a_permit_retained_after_an_isolated_run_is_renewed(self) -> None:
        """Guards against a second isolated run during a crash that the first may have caused.

        The permit of the first run expired, and the next isolated run started.
        """

        async def run() -> None:
            async with served_owner() as owner:
                await trio.sleep(1.5 * VALID_MS / 1000)
                report = CrashReport("report", "u2", 0, [CrashedRun("work")])
                owner.view.quarantine.record(report, now_ms())
                first, second = (
                    ask_for(alone=True, work_id="work", wait_ms=5000) for _ in range(2)
                )
                grant = (await owner.client.request(first, TIMEOUT_MS)).unwrap()
                grant.record_sent()
                grant.record_unframed()
                grant.end(end_of(first, AttemptOutcome.COMPLETED))
                ended_s = trio.current_time()
                (await owner.client.request(second, TIMEOUT_MS)).unwrap()
                self.assertGreaterEqual(trio.current_time() - ended_s, 1.0)

        _run(run)

    def test_a_permit_retained_after_an_isolated_run_is_returned_once_it_is_cleared(
        self,
    ) -> None:
        reports: list[BrokenRun] = []

        async def note(message: BrokenRun, _peer: object) -> None:
            reports.append(message)

        async def run() -> None:
            async with served_owner(same_process=True) as owner:
                owner.client._handlers[BrokenRun] = note
                quarantine = owner.view.quarantine
                quarantine.record(CrashReport("report", "u2", 0, [CrashedRun("work")]), now_ms())
                first, second = (
                    ask_for(alone=True, work_id="work", wait_ms=5000) for _ in range(2)
                )
                grant = (await owner.client.request(first, TIMEOUT_MS)).unwrap()
                grant.record_sent()
                grant.record_unframed()
                grant.end(end_of(first, AttemptOutcome.COMPLETED))
                ended_s = trio.current_time()
                await trio.sleep(0.1)
                self.assertEqual([item.given_up for item in reports], [False])
                quarantine.record(WorkCleared("cleared", "work", ["report"], 0), now_ms())
                owner.view.notify_quarantine_changed()
                (await owner.client.request(second, TIMEOUT_MS)).unwrap()
                self.assertLess(trio.current_time() - ended_s, 1.0)
                self.assertEqual([item.given_up for item in reports], [False, True])
                self.assertTrue(all(item.looks_whole for item in reports))

        _run(run)

    def test_a_request_for_an_upstream_that_is_gone_does_not_count_as_silence(self) -> None:
        async def run() -> None:
            async with served_owner() as owner:
                gone = msgspec.structs.replace(ask_for(), upstream_id="gone")
                refused = await owner.client.request(gone, TIMEOUT_MS)
                self.assertIs(_code(refused), ResultCode.NOT_OWNER)
                self.assertNotIn("gone", owner.client.loads)

        _run(run)

    def test_an_engine_that_refuses_connections_is_taken_out_of_service(self) -> None:
        async def run() -> None:
            async with served_owner() as owner:
                # Nothing listens on the discard port.
                owner.show(upstream_record(port=9, kind=UpstreamKind.ENGINE))
                while (granted := await owner.client.request(ask_for(), TIMEOUT_MS)).is_ok():
                    # Held permits would exhaust the limit first, which is refused as well.
                    owner.client.return_unused(granted.ok_value)
                    await trio.sleep(0.005)
                self.assertFalse(owner.client.loads["u1"].load.accepting)

        _run(run)


async def _until(condition: Callable[[], object]) -> None:
    while True:
        if condition():
            return
        await trio.sleep(0.005)


def _code(result: "Ok | Err[Fault]") -> ResultCode:
    return result.err().code


def _run(body: object) -> None:
    async def guarded() -> None:
        with trio.fail_after(GUARD_S):
            await body()

    trio.run(guarded)


if __name__ == "__main__":
    unittest.main()
