"""The runner's program over a local system: its VM is lost, the key-value service goes away."""

import unittest
from collections import Counter
from unittest import mock

import msgspec
import trio

from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_setup import TRIP_MODEL
from fescuedock.core.batch.record import decode_record, is_final
from fescuedock.core.job_keys import job_key, open_job_key
from fescuedock.entry import jobs
from fescuedock.schema.batch import JobRecord
from tests.builders.batch_session import IMPOSSIBLE_LINES, LINES, job_lines, upload
from tests.builders.golden import GoldenSession
from tests.builders.local import exchange, post, run_session, wait_until

_ENDPOINT = "/v1/completions"
_OUTAGE_S = 0.7
# The age at which a record in use is read, and as much for a busy machine.
_STOPPED_S = 4.0
# What a submission that comes again may set off has begun by then.
_AGAIN_S = 1.0


class RunnerLossTest(unittest.TestCase):
    def test_a_job_outlives_its_runner_an_outage_and_a_crash_of_an_engine(self) -> None:
        async def session(system: LocalSystem) -> None:
            job_id = await self._submit(system, max_tokens=40)
            await self._until(system, job_id, lambda record: record.succeeded > 0)
            owner = self._record(system, job_id).owner.partition("/")[0]
            entry = next(vm for vm in system.vms.values() if vm.vm_id != owner).entry_address
            system.vms[owner].kill()
            await self._until(
                system, job_id, lambda record: record.owner.partition("/")[0] != owner
            )
            system.standins.kv.faults.down = True
            for engine in system.standins.engines.values():
                engine.core.crash()
            await trio.sleep(_OUTAGE_S)
            system.standins.kv.faults.down = False
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

    def test_a_cancel_whose_pushes_are_lost_stops_the_job_all_the_same(self) -> None:
        async def session(system: LocalSystem) -> None:
            # No item ends in the time of the test, so that nothing is committed.
            job_id = await self._submit(system, max_tokens=20_000)
            engines = [engine.core for engine in system.standins.engines.values()]

            async def running() -> bool:
                return any(engine.model.running for engine in engines)

            await wait_until(running)
            with mock.patch.object(jobs, "push_job"):
                answer = await post(system, f"/v1/batches/{job_id}/cancel", {})
            self.assertEqual(answer.status, 200)

            async def stopped() -> bool:
                return is_final(self._record(system, job_id)) and not await running()

            await wait_until(stopped, timeout_s=_STOPPED_S)
            admitted = sum(engine.stats.admitted for engine in engines)
            self.assertEqual(await self._submit(system, max_tokens=20_000), job_id)
            await trio.sleep(_AGAIN_S)
            self.assertEqual(sum(engine.stats.admitted for engine in engines), admitted)

        run_session(session)

    async def _submit(self, system: LocalSystem, max_tokens: int) -> str:
        lines = job_lines(TRIP_MODEL, max_tokens=max_tokens)
        file_id = (await upload(GoldenSession(system), lines)).json["id"]
        asked = {"input_file_id": file_id, "endpoint": _ENDPOINT, "completion_window": "1h"}
        return (await post(system, "/v1/batches", asked)).json["id"]

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
