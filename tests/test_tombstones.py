"""Records of ends that found no job, and jobs that are stored in their place."""

import unittest

from result import Err, Ok

from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.core.stored_jobs.tombstones import behind_tombstone, is_tombstone, tombstone
from fescuedock.node.job_store import JobStore
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import StoredItem, StoredJobRecord
from fescuedock.standin.kv_state import KvState
from tests.builders.runner_world import StoreWay
from tests.builders.standins import run_async

ENDED_AT_MS = 1_700_000_000_000
ITEMS = [StoredItem("i-1", "/x", [], b"body", 1)]


def record(submitted_at_ms: int) -> StoredJobRecord:
    return StoredJobRecord(
        job_id="j",
        host="h",
        path="/x",
        submitted_at_ms=submitted_at_ms,
        due_in_ms=1000,
        retention_ms=60_000,
        total=len(ITEMS),
        owner_id="n-1",
        owner_boot=5,
    )


class TombstoneTest(unittest.TestCase):
    def test_only_an_end_that_found_no_job_is_one(self) -> None:
        self.assertTrue(is_tombstone(tombstone("j", ENDED_AT_MS)))
        ended = behind_tombstone(record(ENDED_AT_MS), tombstone("j", ENDED_AT_MS))
        self.assertTrue(ended.ended)
        self.assertFalse(is_tombstone(ended))
        self.assertFalse(is_tombstone(record(0)))

    def test_a_submission_from_before_the_end_is_ended_by_it(self) -> None:
        for submitted_at_ms in (ENDED_AT_MS - 60_000, ENDED_AT_MS, ENDED_AT_MS + 500):
            found = behind_tombstone(record(submitted_at_ms), tombstone("j", ENDED_AT_MS))
            self.assertEqual((found.ended, found.owner_id, found.total), (True, "", 1))

    def test_one_that_certainly_came_later_is_a_new_job(self) -> None:
        later = record(ENDED_AT_MS + 501)
        self.assertIs(behind_tombstone(later, tombstone("j", ENDED_AT_MS)), later)


class StoredBehindTombstoneTest(unittest.TestCase):
    def stored(self, submitted_at_ms: int) -> StoredJobRecord:
        """Return the job's record after an end that found nothing, and its acceptance."""
        found: list[StoredJobRecord] = []

        async def run() -> None:
            store = JobStore(StoreWay(KvState()), JobKeys("p/"), 100_000)
            self.assertTrue((await store.forestall("j", ENDED_AT_MS)).is_ok())
            self.assertTrue((await store.accept(record(submitted_at_ms), ITEMS)).is_ok())
            versioned = (await store.read_record("j")).unwrap()
            self.assertEqual(await store.read_items(versioned.record), Ok(ITEMS))
            found.append(versioned.record)

        run_async(run)
        return found[0]

    def test_it_is_stored_whole_and_ended(self) -> None:
        stored = self.stored(ENDED_AT_MS - 1000)
        self.assertEqual((stored.ended, stored.total), (True, 1))

    def test_a_new_job_is_stored_open(self) -> None:
        stored = self.stored(ENDED_AT_MS + 1000)
        self.assertEqual((stored.ended, stored.owner_id), (False, "n-1"))

    def test_an_end_takes_no_place_of_a_job(self) -> None:
        async def run() -> None:
            store = JobStore(StoreWay(KvState()), JobKeys("p/"), 100_000)
            await store.accept(record(ENDED_AT_MS), ITEMS)
            match await store.forestall("j", ENDED_AT_MS):
                case Err(fault):
                    self.assertIs(fault.code, ResultCode.KV_CONFLICT)
                case _:
                    self.fail("it took the job's place")

        run_async(run)


if __name__ == "__main__":
    unittest.main()
