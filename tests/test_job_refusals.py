"""A refusal promises that the job is not stored and never will be, so that none of it runs."""

import unittest
from collections.abc import Callable
from pathlib import Path

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvTransaction
from fescuedock.node.job_store import JobStore
from fescuedock.node.spools import SpoolCopies, Spools
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import NodeRecord, SpoolJob, SpoolJobReply
from fescuedock.spool.files import SpoolFiles
from tests.builders.disk import MemoryDisk
from tests.builders.forwarding import job_record, stored_item
from tests.builders.standins import run_async

KEYS = JobKeys("p/")
FOLDER = Path("/data/spool")
VALUE_BYTES = 100_000
JOB = SpoolJob(job_record("job-1", total=1), [stored_item("a")])


class ScriptedKv:
    """A service that answers each write and each read with the next of its codes."""

    def __init__(self, writes: list[ResultCode], reads: list[ResultCode]) -> None:
        self._writes = writes
        self._reads = reads

    async def transact(self, _transaction: KvTransaction) -> Result[int, Fault]:
        return _answer(self._writes, 7)

    async def get(self, _key: str, *, at_revision: int = 0) -> Result[KvEntry | None, Fault]:
        return _answer(self._reads, None)


def _answer(codes: list[ResultCode], value: object) -> Result:
    code = codes.pop(0) if codes else ResultCode.KV_UNAVAILABLE
    return Ok(value) if code is ResultCode.OK else Err(Fault(code, "on command"))


class AcceptTest(unittest.TestCase):
    def accept(self, kv: ScriptedKv) -> Result | None:
        """Accept a job; None when its outcome is not known in time."""
        found: list[Result] = []

        async def run() -> None:
            with trio.move_on_after(0.5):
                found.append(await JobStore(kv, KEYS, VALUE_BYTES).accept(JOB.record, JOB.items))

        run_async(run)
        return found[0] if found else None

    def test_a_store_that_refuses_at_once_has_no_such_job(self) -> None:
        refused = self.accept(ScriptedKv([], []))
        self.assertIs(refused.err_value.code, ResultCode.KV_UNAVAILABLE)

    # A transaction that is too large was repeated until its caller gave up.
    def test_a_submission_too_large_for_the_store_is_refused_after_a_lost_answer(self) -> None:
        codes = [ResultCode.KV_UNKNOWN, ResultCode.KV_VALUE_TOO_LARGE]
        refused = self.accept(ScriptedKv(codes, []))
        self.assertIs(refused.err_value.code, ResultCode.KV_VALUE_TOO_LARGE)

    def test_a_job_that_is_stored_but_unreadable_is_not_refused(self) -> None:
        codes = [ResultCode.KV_CONFLICT]
        self.assertIsNone(self.accept(ScriptedKv(codes, [])))


class SpoolTest(unittest.TestCase):
    """A disk that failed midway may have the job, and a restart of its spool would store it."""

    def put_while(self, failing: Callable[[str], bool]) -> tuple[MemoryDisk, SpoolFiles, Result]:
        disk = MemoryDisk()
        files = SpoolFiles(disk, FOLDER, VALUE_BYTES)
        files.open()
        disk.failing = failing
        return disk, files, files.put(JOB)

    def test_a_copy_that_a_restart_may_restore_is_not_refused(self) -> None:
        for failing_step in ("create", "write", "sync", "rename", "sync_folder"):
            with self.subTest(step=failing_step):
                disk, files, put = self.put_while(lambda step, name=failing_step: step == name)
                self.assertIsInstance(put, Err)
                again = SpoolFiles(disk, FOLDER, VALUE_BYTES)
                again.open()
                if put.err_value.code is ResultCode.STORES_UNAVAILABLE:
                    self.assertEqual(len(again), 0)
                    self.assertNotIn("job-1", files)
                else:
                    self.assertIs(put.err_value.code, ResultCode.KV_UNKNOWN)
                    self.assertIn("job-1", files)

    def test_a_copy_counts_once_the_folder_is_synced(self) -> None:
        disk, files, _ = self.put_while(lambda step: step == "sync_folder")
        self.assertIsInstance(files.put(JOB), Err)
        disk.failing = lambda _step: False
        self.assertEqual(files.put(JOB), Ok(None))
        disk.lose_power(seed=1)
        again = SpoolFiles(disk, FOLDER, VALUE_BYTES)
        again.open()
        self.assertIn("job-1", again)

    def test_a_node_counts_only_a_certain_refusal_as_a_denial(self) -> None:
        for code, may_be_stored in (
            (ResultCode.STORES_UNAVAILABLE, False),
            (ResultCode.DISK_FULL, False),
            (ResultCode.KV_UNKNOWN, True),
        ):
            with self.subTest(code=code):
                kept = SpoolCopies()
                self.assertFalse(self.keep(code, kept))
                self.assertIs(kept.may_be_stored, may_be_stored)

    def keep(self, code: ResultCode, kept: SpoolCopies) -> bool:
        async def call(_address: Address, _message: msgspec.Struct, _timeout_ms: float) -> Result:
            return Ok(SpoolJobReply(code))

        table = ReplicaTable(KEYS.live)
        record = NodeRecord("s-1", "caldas", "sala-1", "10.0.0.1", 1)
        table.record_entry(KvEntry(KEYS.spools + "s-1", msgspec.msgpack.encode(record), 2))
        done: list[bool] = []

        async def run() -> None:
            done.append(
                await Spools(table, KEYS.spools, 1, call).store_copies(JOB.record, JOB.items, kept)
            )

        run_async(run)
        return done[0]


if __name__ == "__main__":
    unittest.main()
