"""Whole sessions: batch jobs from upload to results, by our client and by the openai package."""

import sys
import unittest
from collections import Counter
from pathlib import Path

import msgspec
import trio

from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_setup import TRIP_MODEL
from tests.builders.batch_session import IMPOSSIBLE_LINES, LINES, job_lines, upload
from tests.builders.golden import GoldenSession, check_golden
from tests.builders.local import exchange, post, run_session, wait_until

OPENAI_PROGRAM = Path(__file__).with_name("builders") / "openai_session.py"
ENDPOINT = "/v1/completions"


class BatchSessionTest(unittest.TestCase):
    def test_sessions_of_batch_jobs(self) -> None:
        async def sessions(system: LocalSystem) -> None:
            await self._job_ends_with_each_item_once_and_readable(system)
            await self._metrics_count_the_job(system)
            await self._cancelled_job_stops(system)
            await self._openai_client_passes_the_same_path(system)

        run_session(sessions)

    async def _job_ends_with_each_item_once_and_readable(self, system: LocalSystem) -> None:
        golden = GoldenSession(system)
        file_id = (await upload(golden, job_lines(TRIP_MODEL))).json["id"]
        asked = {"input_file_id": file_id, "endpoint": ENDPOINT, "completion_window": "24h"}
        job = (await golden.send("submit", "POST", "/v1/batches", asked)).json
        again = await post(system, "/v1/batches", asked)
        self.assertEqual(again.json["id"], job["id"], "a resend finds the same job")

        await self._wait_completed(system, job["id"])
        done = (await golden.send("done", "GET", f"/v1/batches/{job['id']}")).json
        check_golden(self, "batch", golden.steps)
        results = await self._lines(system, done["output_file_id"])
        errors = await self._lines(system, done["error_file_id"])
        self.assertEqual((len(results), len(errors)), (LINES - 3, 3))
        names = Counter(line["custom_id"] for line in results + errors)
        self.assertEqual(names, Counter(f"letter-{number}" for number in range(LINES)))
        impossible = {f"letter-{number}" for number in IMPOSSIBLE_LINES}
        self.assertEqual({line["custom_id"] for line in errors}, impossible)
        texts = {line["response"]["body"]["choices"][0]["text"] for line in results}
        self.assertEqual(len(texts), len(results), "each item has its own answer")

    async def _metrics_count_the_job(self, system: LocalSystem) -> None:
        job = 'fescuedock_jobs_in_time_total{program="batch",service="trip-desk"} 1.0\n'
        probe = 'fescuedock_results_total{code="OK",program="entry",service="trip-desk"} 1.0\n'

        async def counted() -> bool:
            texts = [
                (await exchange(system, "GET", "/metrics", entry=vm.entry_address)).body.decode()
                for vm in system.vms.values()
            ]
            probed = all(probe in text for text in texts)
            return probed and sum(job in text for text in texts) == 1

        await wait_until(counted)

    async def _cancelled_job_stops(self, system: LocalSystem) -> None:
        lines = job_lines(TRIP_MODEL, max_tokens=2000)
        file_id = (await upload(GoldenSession(system), lines)).json["id"]
        asked = {"input_file_id": file_id, "endpoint": ENDPOINT, "completion_window": "24h"}
        job = (await post(system, "/v1/batches", asked)).json
        engines = system.standins.engines.values()

        async def running() -> bool:
            return any(engine.core.model.running for engine in engines)

        await wait_until(running)
        cancelled = await post(system, f"/v1/batches/{job['id']}/cancel", {})
        self.assertEqual(cancelled.status, 200)

        async def stopped() -> bool:
            found = await exchange(system, "GET", f"/v1/batches/{job['id']}")
            idle = not any(engine.core.model.running for engine in engines)
            return found.json["status"] == "cancelled" and idle

        await wait_until(stopped)
        admitted = sum(engine.core.stats.admitted for engine in engines)
        # Time in which items of the cancelled job would run if it had not stopped.
        await self._run_one_line(system)
        self.assertEqual(sum(engine.core.stats.admitted for engine in engines), admitted + 1)

    async def _openai_client_passes_the_same_path(self, system: LocalSystem) -> None:
        command = [sys.executable, str(OPENAI_PROGRAM), f"http://{system.entry_address}"]
        done = await trio.run_process(
            command, capture_stdout=True, capture_stderr=True, check=False
        )
        self.assertEqual(done.returncode, 0, done.stderr.decode())
        report = msgspec.json.decode(done.stdout)
        self.assertEqual(report["models"], ["admision-llm-7b", "trip-desk-7b"])
        self.assertEqual(report["streamed"], report["whole"])
        self.assertEqual((report["results"], report["errors"]), (LINES - 3, 3))
        self.assertEqual(report["distinct"], LINES)

    async def _run_one_line(self, system: LocalSystem) -> None:
        lines = job_lines(TRIP_MODEL).splitlines()[0]
        file_id = (await upload(GoldenSession(system), lines)).json["id"]
        asked = {"input_file_id": file_id, "endpoint": ENDPOINT, "completion_window": "1h"}
        job = (await post(system, "/v1/batches", asked)).json
        await self._wait_completed(system, job["id"])

    async def _wait_completed(self, system: LocalSystem, job_id: str) -> None:
        async def completed() -> bool:
            found = await exchange(system, "GET", f"/v1/batches/{job_id}")
            return found.json["status"] == "completed"

        await wait_until(completed)

    async def _lines(self, system: LocalSystem, file_id: str) -> list[dict]:
        content = await exchange(system, "GET", f"/v1/files/{file_id}/content")
        self.assertEqual(content.status, 200)
        return [msgspec.json.decode(line) for line in content.body.splitlines()]


if __name__ == "__main__":
    unittest.main()
