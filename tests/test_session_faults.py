"""A whole session through the loss of a VM, an engine and the key-value service."""

import unittest
from collections import Counter

import msgspec
import trio

from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_setup import CHAT_MODEL, TRIP_MODEL
from fescuedock.cli.local_vm import LocalVm
from fescuedock.core.batch.record import decode_record
from fescuedock.schema.batch import JobRecord
from tests.builders.batch_session import LINES, job_lines, upload
from tests.builders.golden import GoldenSession
from tests.builders.local import exchange, post, run_session, wait_until

JOB_KEYS = "/fescuedock/jobs/"
ITEM_TOKENS = 30
# Online answers of each entry while the service is away.
OUTAGE_ANSWERS = 10


class FaultSessionTest(unittest.TestCase):
    def test_job_and_online_requests_outlive_vm_engine_and_outage(self) -> None:
        async def session(system: LocalSystem) -> None:
            file_id = (await upload(GoldenSession(system), job_lines(TRIP_MODEL, ITEM_TOKENS))).json
            asked = {
                "input_file_id": file_id["id"],
                "endpoint": "/v1/completions",
                "completion_window": "24h",
            }
            job = (await post(system, "/v1/batches", asked)).json
            owner = await self._owner(system)
            others = [vm for vm in system.vms.values() if vm is not owner]
            finished = trio.Event()
            answers: Counter[str] = Counter({vm.vm_id: 0 for vm in others})
            async with trio.open_nursery() as nursery:
                for vm in others:
                    nursery.start_soon(self._ask_online, system, vm, finished, answers)
                await self._break_things(system, owner, others[0], answers)
                done = await self._completed(system, others[0], job["id"])
                finished.set()
            await self._check_results(system, others[1], done)

        run_session(session)

    async def _owner(self, system: LocalSystem) -> LocalVm:
        """Wait until a runner has claimed the job and runs items; return its VM."""

        async def running() -> bool:
            record = _job_record(system)
            engines = system.standins.engines.values()
            return bool(record.owner) and any(engine.core.model.running for engine in engines)

        await wait_until(running)
        return system.vms[_job_record(system).owner.partition("/")[0]]

    async def _break_things(
        self, system: LocalSystem, owner: LocalVm, other: LocalVm, answers: Counter[str]
    ) -> None:
        owner.kill()
        engine = system.standins.engines["worker-trip-desk-2"]
        engine.listener.take_down()
        system.standins.kv.take_down()
        listed = await exchange(system, "GET", "/v1/batches", entry=other.entry_address)
        self.assertEqual(listed.json["error"]["name"], "KV_UNAVAILABLE")
        wanted = {vm_id: count + OUTAGE_ANSWERS for vm_id, count in answers.items()}

        async def answered() -> bool:
            return all(answers[vm_id] >= count for vm_id, count in wanted.items())

        await wait_until(answered)
        system.standins.kv.bring_up()
        engine.listener.bring_up()

    async def _ask_online(
        self, system: LocalSystem, vm: LocalVm, finished: trio.Event, answers: Counter[str]
    ) -> None:
        """Ask again and again, whatever happens; each answer must be whole."""
        number = 0
        while not finished.is_set():
            number += 1
            body = {
                "model": CHAT_MODEL if number % 2 else TRIP_MODEL,
                "messages": [{"role": "user", "content": f"Question {number} at {vm.vm_id}"}],
                "max_tokens": 8,
                "stream": True,
            }
            answer = await exchange(
                system, "POST", "/v1/chat/completions", body, entry=vm.entry_address
            )
            self.assertEqual(answer.status, 200, answer.body)
            self.assertTrue(answer.body.rstrip().endswith(b"data: [DONE]"), answer.body)
            answers[vm.vm_id] += 1

    async def _completed(self, system: LocalSystem, vm: LocalVm, job_id: str) -> dict:
        found: list[dict] = []

        async def completed() -> bool:
            target = f"/v1/batches/{job_id}"
            answer = await exchange(system, "GET", target, entry=vm.entry_address)
            found.append(answer.json)
            return answer.json.get("status") == "completed"

        await wait_until(completed, timeout_s=50)
        counts = [item["request_counts"]["completed"] for item in found if "request_counts" in item]
        self.assertEqual(counts, sorted(counts), "completed counts never go down")
        return found[-1]

    async def _check_results(self, system: LocalSystem, vm: LocalVm, job: dict) -> None:
        lines: list[dict] = []
        for file_id in (job["output_file_id"], job["error_file_id"]):
            target = f"/v1/files/{file_id}/content"
            answer = await exchange(system, "GET", target, entry=vm.entry_address)
            lines += [msgspec.json.decode(line) for line in answer.body.splitlines()]
        names = Counter(line["custom_id"] for line in lines)
        self.assertEqual(names, Counter(f"letter-{number}" for number in range(LINES)))
        whole = [line["response"]["body"] for line in lines if line["error"] is None]
        self.assertEqual(len(whole), LINES - 3)
        for body in whole:
            self.assertEqual(len(body["choices"][0]["text"].split()), ITEM_TOKENS)


def _job_record(system: LocalSystem) -> JobRecord:
    entries = system.standins.kv.state.page(JOB_KEYS, JOB_KEYS + "\x7f", 0).entries
    return decode_record(entries[0].value)


if __name__ == "__main__":
    unittest.main()
