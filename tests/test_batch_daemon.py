"""The batch program in a local system: loss of its VM, outages of the key-value service."""

import functools
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from unittest import mock

import msgspec
import trio

from fescuedock.batch import dispatch
from fescuedock.batch.attempts import Attempt, UpstreamClients, run_attempt
from fescuedock.batch.jobs import JobTask
from fescuedock.cli import local_vm
from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_setup import TRIP_MODEL
from fescuedock.clock import now_ms
from fescuedock.core.batch.items import AttemptEnd
from fescuedock.core.batch.record import decode_record, is_final
from fescuedock.core.job_keys import job_key, open_job_key
from fescuedock.entry import jobs
from fescuedock.schema.batch import JobRecord
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings
from tests.builders.batch_session import IMPOSSIBLE_LINES, LINES, job_lines, upload
from tests.builders.golden import GoldenSession
from tests.builders.local import exchange, post, run_session, wait_until
from tests.builders.promises import kv_down

_ENDPOINT = "/v1/completions"
_OUTAGE_S = 0.7
# The age at which a record in use is read again, and as much for a busy machine.
_STOP_TIMEOUT_S = 4.0
# Any work that a repeated submission may start has begun by then.
_RESUBMISSION_S = 1.0
# No item starts on a record of this age; includes half a second for items being started.
_RECORD_EXPIRY_S = 3.5
# Half the time in which a configuration is confirmed plus a poll of the view, and the same again
# as a margin.
_KV_AWAY_S = 15.0


@contextmanager
def _recorded_attempts() -> Iterator[list[Attempt]]:
    """Record the attempts that begin while the block runs."""
    begun: list[Attempt] = []

    async def recorded(upstreams: UpstreamClients, attempt: Attempt) -> AttemptEnd:
        begun.append(attempt)
        return await run_attempt(upstreams, attempt)

    with mock.patch.object(dispatch, "run_attempt", recorded):
        yield begun


@contextmanager
def _held_attempts() -> Iterator[trio.Event]:
    """Keep the attempts of half of the items from starting until the event is set."""
    released = trio.Event()

    async def held(upstreams: UpstreamClients, attempt: Attempt) -> AttemptEnd:
        if attempt.item.number >= LINES // 2:
            await released.wait()
        return await run_attempt(upstreams, attempt)

    with mock.patch.object(dispatch, "run_attempt", held):
        yield released


@contextmanager
def _failing_record_calls() -> Iterator[trio.Event]:
    """Make calls for jobs' records fail once the event is set, and no other calls."""
    failing_now = trio.Event()

    def failing(call: Callable[..., Awaitable[None]]) -> Callable[..., Awaitable[None]]:
        async def maybe_answered(task: JobTask, *action: object) -> None:
            if not failing_now.is_set():
                await call(task, *action)
                return
            await trio.sleep(0.05)
            task.run.on_kv_failed(ResultCode.KV_UNAVAILABLE, now_ms())

        return maybe_answered

    with (
        mock.patch.object(JobTask, "_read_record", failing(JobTask._read_record)),
        mock.patch.object(JobTask, "_write_record", failing(JobTask._write_record)),
    ):
        yield failing_now


class RunnerLossTest(unittest.TestCase):
    def test_a_job_survives_loss_of_its_runner_a_kv_outage_and_engine_crashes(self) -> None:
        async def session(system: LocalSystem) -> None:
            # A job that completes within one slow write would have no owner to lose.
            with _held_attempts() as released:
                job_id = await self._submit(system, max_tokens=40)
                await self._until(system, job_id, lambda record: record.succeeded > 0)
                self.assertFalse(is_final(self._record(system, job_id)))
                owner = self._record(system, job_id).owner.partition("/")[0]
                entry = next(vm for vm in system.vms.values() if vm.vm_id != owner).entry_address
                system.vms[owner].kill()
                released.set()
            await self._until(
                system, job_id, lambda record: record.owner.partition("/")[0] != owner
            )
            with kv_down(system):
                for engine in system.standins.engines.values():
                    engine.core.crash()
                await trio.sleep(_OUTAGE_S)
            await self._until(system, job_id, is_final)
            await self._check_results(system, job_id, entry)

        run_session(session)

    def test_a_planned_stop_hands_the_job_over_at_once(self) -> None:
        async def session(system: LocalSystem) -> None:
            job_id = await self._submit(system, max_tokens=25)
            await self._until(system, job_id, lambda record: record.epoch == 1)
            owner = self._record(system, job_id).owner.partition("/")[0]
            entry = next(vm for vm in system.vms.values() if vm.vm_id != owner).entry_address
            system.vms[owner].stop.request()
            await self._until(system, job_id, is_final)
            await self._check_results(system, job_id, entry)
            self.assertLessEqual(self._record(system, job_id).epoch, 2)

        run_session(session)

    def test_a_cancel_whose_pushes_are_lost_still_stops_the_job(self) -> None:
        async def session(system: LocalSystem) -> None:
            # No item ends in the time of the test, so that nothing is committed.
            job_id = await self._submit(system, max_tokens=20_000)
            engines = [engine.core for engine in system.standins.engines.values()]
            with _recorded_attempts() as begun:
                await self._until_begun(begun)
                with mock.patch.object(jobs, "push_job"):
                    answer = await post(system, f"/v1/batches/{job_id}/cancel", {})
                self.assertEqual(answer.status, 200)

                async def stopped() -> bool:
                    idle = not any(engine.model.running for engine in engines)
                    return idle and is_final(self._record(system, job_id))

                await wait_until(stopped, timeout_s=_STOP_TIMEOUT_S)
                before = len(begun)
                self.assertEqual(await self._submit(system, max_tokens=20_000), job_id)
                await trio.sleep(_RESUBMISSION_S)
                self.assertEqual(len(begun), before)

        run_session(session)

    def test_runners_without_kv_answers_pause_their_jobs_unless_no_vm_gets_answers(self) -> None:
        async def session(system: LocalSystem) -> None:
            job_id = await self._submit(system, max_tokens=150)
            with _recorded_attempts() as begun, _failing_record_calls() as failing_now:
                await self._until_begun(begun)
                failing_now.set()
                await trio.sleep(_RECORD_EXPIRY_S)
                held = len(begun)
                self.assertLess(len({attempt.item.number for attempt in begun}), LINES)
                await trio.sleep(_RESUBMISSION_S)
                self.assertEqual(len(begun), held)
                with kv_down(system):

                    async def continues() -> bool:
                        return len(begun) > held

                    await wait_until(continues, timeout_s=_KV_AWAY_S)
            self.assertFalse(is_final(self._record(system, job_id)))

        # The limit is so low that there are always items that could begin.
        few_at_once = functools.partial(BatchSettings, max_items_in_flight=10)
        with mock.patch.object(local_vm, "BatchSettings", few_at_once):
            run_session(session)

    async def _until_begun(self, begun: list[Attempt]) -> None:
        async def any_begun() -> bool:
            return bool(begun)

        await wait_until(any_begun)

    async def _submit(self, system: LocalSystem, max_tokens: int) -> str:
        lines = job_lines(TRIP_MODEL, max_tokens=max_tokens)
        file_id = (await upload(GoldenSession(system), lines)).json["id"]
        request = {"input_file_id": file_id, "endpoint": _ENDPOINT, "completion_window": "1h"}
        return (await post(system, "/v1/batches", request)).json["id"]

    def _record(self, system: LocalSystem, job_id: str) -> JobRecord:
        prefix = system.standins.platform_settings().key_prefix
        return decode_record(system.standins.kv.state.get(job_key(prefix, job_id)).value)

    async def _until(self, system: LocalSystem, job_id: str, condition) -> None:
        async def holds() -> bool:
            return condition(self._record(system, job_id))

        await wait_until(holds)

    async def _check_results(self, system: LocalSystem, job_id: str, entry) -> None:
        job = (await exchange(system, "GET", f"/v1/batches/{job_id}", entry=entry)).json
        self.assertEqual(job["status"], "completed")
        lines: list[bytes] = []
        for kind in ("output_file_id", "error_file_id"):
            target = f"/v1/files/{job[kind]}/content"
            lines += (await exchange(system, "GET", target, entry=entry)).body.splitlines()
        names = Counter(msgspec.json.decode(line)["custom_id"] for line in lines)
        self.assertEqual(names, Counter(f"letter-{number}" for number in range(LINES)))
        self.assertEqual(self._record(system, job_id).failed, len(IMPOSSIBLE_LINES))
        prefix = system.standins.platform_settings().key_prefix

        async def unlisted() -> bool:
            return system.standins.kv.state.get(open_job_key(prefix, job_id)) is None

        await wait_until(unlisted)


if __name__ == "__main__":
    unittest.main()
