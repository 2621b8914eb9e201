"""Requests that kill each engine that begins them, through whole systems of separate programs."""

import unittest

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_setup import TRIP_MODEL
from fescuedock.core.batch.record import decode_record
from fescuedock.core.job_keys import job_key
from fescuedock.core.quarantine import QuarantinePolicy
from fescuedock.schema.result_codes import ResultCode
from fescuedock.standin.engine import CRASH_MARKER
from tests.builders.batch_session import upload
from tests.builders.golden import GoldenSession
from tests.builders.local import Answer, exchange, post, run_session, wait_until

# Three deaths are enough to know a piece of work by.
ENOUGH = 3
ITEMS = 30
HARMFUL_ITEM = 7
HARMFUL_PROMPT = f"Dear {CRASH_MARKER}"
WINDOW_S = 12


def death_count(system: LocalSystem) -> int:
    return sum(engine.deaths for engine in system.standins.engines.values())


class HarmfulSessionTest(unittest.TestCase):
    """As ``test_node_harmful_calls`` has it for the other deployment.

    Here one call went on to a second engine by itself, and its caller's next try began anew at
    another VM; an item was ended by the runner that it killed three engines under, innocent or not,
    and nobody else heard of it.
    """

    async def ask(self, system: LocalSystem, number: int, prompt: str) -> Answer:
        vms = list(system.vms.values())
        body = {"model": TRIP_MODEL, "prompt": prompt, "max_tokens": 4}
        address = vms[number % len(vms)].entry_address
        return await exchange(system, "POST", "/v1/completions", body, entry=address)

    def test_a_call_that_comes_again_at_any_vm_kills_three_engines_at_most(self) -> None:
        async def session(system: LocalSystem) -> None:
            names: list[str] = []
            for number in range(7):
                answer = await self.ask(system, number, HARMFUL_PROMPT)
                self.assertNotEqual(answer.status, 200)
                names.append(answer.json["error"]["name"])
                await trio.sleep(1.2)
            self.assertLessEqual(death_count(system), ENOUGH)
            self.assertEqual(names[-1], ResultCode.WORK_HARMFUL.name)
            self.assertEqual((await self.ask(system, 1, "Dear parents")).status, 200)

        run_session(session)

    # An item whose engines crashed by chance got an error line, and was never run again.
    def test_an_item_completes_once_engines_no_longer_crash_during_its_runs(self) -> None:
        async def session(system: LocalSystem) -> None:
            job_id = await self.submit(system, "24h")
            await self.wait_and_stop_crashes(system)
            await self.check_complete(system, job_id)

        run_session(session)

    def test_an_item_completes_though_its_runner_is_killed_after_the_crashes(self) -> None:
        async def session(system: LocalSystem) -> None:
            job_id = await self.submit(system, "24h")
            await self.wait_and_stop_crashes(system)
            key = job_key(system.standins.platform_settings().key_prefix, job_id)
            record = decode_record(system.standins.kv.state.get(key).value)
            owner = record.owner.partition("/")[0]
            system.vms[owner].kill()
            entry = next(vm for vm in system.vms.values() if vm.vm_id != owner).entry_address
            await self.check_complete(system, job_id, entry)

        run_session(session)

    async def wait_and_stop_crashes(self, system: LocalSystem) -> None:
        """Wait for more crashes than would refuse a call; after them the engines are sound."""

        async def crashed() -> bool:
            return death_count(system) > ENOUGH

        await wait_until(crashed)
        for engine in system.standins.engines.values():
            engine.faults.obeys_crash_marker = False

    async def check_complete(
        self, system: LocalSystem, job_id: str, entry: Address | None = None
    ) -> None:
        job = await self.finished_job(system, job_id, entry)
        counts = {"total": ITEMS, "completed": ITEMS, "failed": 0}
        self.assertEqual(job["request_counts"], counts)

    def test_an_item_crashes_engines_at_bounded_intervals_and_ends_after_the_deadline(self) -> None:
        async def session(system: LocalSystem) -> None:
            submitted_s = trio.current_time()
            job_id = await self.submit(system, f"{WINDOW_S}s")
            job = await self.finished_job(system, job_id)
            span_s = trio.current_time() - submitted_s
            # The system knows Unix time to the second.
            self.assertGreater(span_s, WINDOW_S - 1)
            self.assertEqual(job["request_counts"]["failed"], 1)
            self.assertEqual(job["request_counts"]["completed"], ITEMS - 1)
            self.assertLessEqual(death_count(system), ENOUGH + retries_within(span_s))
            target = f"/v1/files/{job['error_file_id']}/content"
            [line] = (await exchange(system, "GET", target)).body.splitlines()
            failed = msgspec.json.decode(line)
            self.assertEqual(failed["custom_id"], f"letter-{HARMFUL_ITEM}")
            self.assertEqual(failed["error"]["number"], ResultCode.ITEM_ISOLATED)
            before = death_count(system)
            answer = await self.ask(system, 0, HARMFUL_PROMPT)
            self.assertEqual(answer.json["error"]["name"], ResultCode.WORK_HARMFUL.name)
            self.assertEqual(death_count(system), before)

        run_session(session)

    async def submit(self, system: LocalSystem, window: str) -> str:
        """Submit a job with one harmful item; return the job's id."""
        prompts = [f"Dear class {number}" for number in range(ITEMS)]
        prompts[HARMFUL_ITEM] = HARMFUL_PROMPT
        lines = b"\n".join(
            msgspec.json.encode(
                {
                    "custom_id": f"letter-{number}",
                    "method": "POST",
                    "url": "/v1/completions",
                    "body": {"model": TRIP_MODEL, "prompt": prompt, "max_tokens": 4},
                }
            )
            for number, prompt in enumerate(prompts)
        )
        file_id = (await upload(GoldenSession(system), lines)).json["id"]
        asked = {"input_file_id": file_id, "endpoint": "/v1/completions"}
        answer = await post(system, "/v1/batches", asked | {"completion_window": window})
        return answer.json["id"]

    async def finished_job(
        self, system: LocalSystem, job_id: str, entry: Address | None = None
    ) -> dict:
        """Return the job once it is completed, as read at ``entry``, by default the first."""
        found: list[dict] = []

        async def completed() -> bool:
            target = f"/v1/batches/{job_id}"
            found.append((await exchange(system, "GET", target, entry=entry)).json)
            return found[-1].get("status") == "completed"

        await wait_until(completed, timeout_s=50)
        return found[-1]


def retries_within(span_s: float) -> int:
    """Return how many isolated runs may begin in a span after the third crash.

    VMs know Unix time to the second, so each pause may be shorter by one.
    """
    pauses_s = [pause_ms / 1000 - 1 for pause_ms in QuarantinePolicy().owed_retry_pauses_ms]
    retries, at_s = 0, pauses_s[0]
    while at_s <= span_s:
        retries += 1
        at_s += pauses_s[min(retries, len(pauses_s) - 1)]
    return retries


if __name__ == "__main__":
    unittest.main()
