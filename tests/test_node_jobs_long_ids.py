"""Jobs whose identity makes keys that are about as long as the metadata store takes."""

import unittest

import trio

from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.platform.store import MAX_KEY_BYTES
from fescuedock.schema.result_codes import ResultCode
from tests.builders.jobs_calls import read_page, submit
from tests.builders.node import Answer, NodeFleet, running_fleet
from tests.builders.standins import run_async

# The default prefix of a node's keys.
_KEYS = JobKeys("fescuedock/")


class LongIdentityTest(unittest.TestCase):
    def submit_ids(self, *job_ids: str) -> list[tuple[Answer, list[str]]]:
        """Return the answer to each submission, and the items that are listed."""
        found: list[tuple[Answer, list[str]]] = []

        async def run() -> None:
            with trio.fail_after(20):
                async with running_fleet() as fleet:
                    for job_id in job_ids:
                        found.append(await self.submit_one(fleet, job_id))
                    self.keys = [
                        entry.key for entry in fleet.store.state.page("", "\uffff", 0).entries
                    ]

        run_async(run)
        return found

    async def submit_one(self, fleet: NodeFleet, job_id: str) -> tuple[Answer, list[str]]:
        front = fleet.nodes[0].front
        answer = await submit(fleet, front, "a", job_id=job_id)
        listed: list[str] = []
        with trio.move_on_after(5.0):
            while answer.status == 202 and not listed:
                page = await read_page(fleet, front, job_id, wait_ms=500)
                if page.status == 200:
                    listed = [item["id"] for item in page.json()["results"]]
        return answer, listed

    def test_a_job_is_listed_if_each_of_its_keys_fits(self) -> None:
        overhead_bytes = len(_KEYS.group("", 0))
        [(answer, listed)] = self.submit_ids("j" * (MAX_KEY_BYTES - overhead_bytes))
        self.assertEqual((answer.status, listed), (202, ["a"]))

    # One with room for its items but not for its results was accepted and never listed.
    def test_a_job_whose_results_or_items_would_not_fit_is_refused_whole(self) -> None:
        overheads_bytes = (len(_KEYS.group("", 0)), len(_KEYS.items("", 0)), 0)
        job_ids = ["j" * (MAX_KEY_BYTES + 1 - size) for size in overheads_bytes]
        for job_id, (answer, _) in zip(job_ids, self.submit_ids(*job_ids), strict=True):
            with self.subTest(job_id=job_id):
                self.assertEqual(answer.status, 400)
                self.assertEqual(answer.json()["error"]["code"], ResultCode.BAD_REQUEST)
        self.assertFalse([key for key in self.keys if "j" * 100 in key])


if __name__ == "__main__":
    unittest.main()
