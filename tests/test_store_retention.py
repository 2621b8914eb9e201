"""Retention of the records of files and jobs in the key-value service."""

import unittest

import msgspec
import trio

from fescuedock.core.batch.record import encode_record
from fescuedock.core.job_keys import file_key, job_key, member_job_key, open_job_key
from fescuedock.schema.batch import FileRecord, JobRecord, JobState
from fescuedock.standin.kv_faults import CallKind
from fescuedock.store.retention import RecordRetention
from tests.builders.kv import MemoryKv
from tests.builders.store import NOW_S

PREFIX = "/fescuedock/"
DAY_S = 86400


class RecordRetentionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.kv = MemoryKv()
        self.retention = RecordRetention(self.kv, PREFIX, 30 * DAY_S)

    def expire(self) -> int:
        return trio.run(self.retention.expire, NOW_S)

    def add_job(self, job_id: str, state: JobState, age_days: int, finished_days: int = 0) -> str:
        record = JobRecord(
            job_id=job_id,
            member="m",
            service="s",
            endpoint="/v1/completions",
            content_hash="",
            state=state,
            epoch=1,
            created_at_s=NOW_S - age_days * DAY_S,
            deadline_s=NOW_S,
            finished_at_s=NOW_S - finished_days * DAY_S,
            item_count=1,
            input=[],
        )
        key = job_key(PREFIX, job_id)
        self.put(key, encode_record(record))
        self.put(member_job_key(PREFIX, "m", record.created_at_s, job_id), b"")
        return key

    def put(self, key: str, value: bytes) -> None:
        self.assertTrue(self.kv.state.put_if(key, value, 0, 0))

    def exists(self, key: str) -> bool:
        return self.kv.state.get(key) is not None

    def test_only_jobs_that_ended_long_ago_are_deleted(self) -> None:
        old = self.add_job("old", JobState.COMPLETED, age_days=45, finished_days=31)
        late = self.add_job("late", JobState.CANCELLED, age_days=45, finished_days=29)
        young = self.add_job("young", JobState.COMPLETED, age_days=3, finished_days=3)
        running = self.add_job("running", JobState.RUNNING, age_days=45)
        self.assertEqual(self.expire(), 1)
        # The key of a young job contains its age, so that its record need not be read.
        self.assertEqual(self.kv.faults.calls[CallKind.GET], 3)
        self.assertEqual(
            [self.exists(key) for key in (old, late, young, running)], [False, True, True, True]
        )
        listed = self.kv.state.page(f"{PREFIX}member-jobs/", f"{PREFIX}member-jobs0", 10).entries
        self.assertEqual(len(listed), 3)

    def test_old_running_job_without_an_index_entry_is_listed_again(self) -> None:
        self.add_job("running", JobState.RUNNING, age_days=45)
        self.expire()
        self.assertTrue(self.exists(open_job_key(PREFIX, "running")))

    def test_index_entry_of_a_deleted_job_is_deleted(self) -> None:
        key = member_job_key(PREFIX, "m", NOW_S - 60 * DAY_S, "gone")
        self.put(key, b"")
        self.expire()
        self.assertFalse(self.exists(key))

    def test_only_old_files_are_deleted(self) -> None:
        keys = {}
        for file_id, age_days in (("old", 31), ("young", 29)):
            record = FileRecord(
                file_id=file_id,
                member="m",
                filename="f",
                purpose="batch",
                size_bytes=0,
                created_at_s=NOW_S - age_days * DAY_S,
                content_hash="",
            )
            keys[file_id] = file_key(PREFIX, "m", file_id)
            self.put(keys[file_id], msgspec.msgpack.encode(record))
        self.assertEqual(self.expire(), 1)
        self.assertEqual([self.exists(keys["old"]), self.exists(keys["young"])], [False, True])

    def test_records_are_deleted_by_the_next_run_after_an_outage(self) -> None:
        old = self.add_job("old", JobState.COMPLETED, age_days=45, finished_days=31)
        self.kv.down = True
        self.assertEqual(self.expire(), 0)
        self.kv.down = False
        self.assertTrue(self.exists(old))
        self.assertEqual(self.expire(), 1)


if __name__ == "__main__":
    unittest.main()
