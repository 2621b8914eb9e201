"""A machine that is being emptied and whose program restarts meanwhile."""

import unittest

from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.node.job_store import JobStore
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import EmptySpool, NodeRecord, SpoolJob
from fescuedock.spool.service import SpoolService
from tests.builders.disk import MemoryDisk
from tests.builders.kv import MemoryKv
from tests.builders.standins import run_async
from tests.test_spool_files import job, open_spool

KEYS = JobKeys("p/")
RECORD = NodeRecord("spool-1", "caldas", "sala-1", "127.0.1.1", 1)


class EmptiedSpoolTest(unittest.TestCase):
    """Guards against the loss of a job accepted after its machine was reported empty.

    If the program restarts before the machine is removed and forgets that it is being emptied, it
    acknowledges another job, whose only copy is lost with the machine's disk.
    """

    def service(self, disk: MemoryDisk) -> SpoolService:
        kv = MemoryKv()
        store = JobStore(kv, KEYS, 100_000)
        return SpoolService(open_spool(disk), kv, store, KEYS.spools + RECORD.vm_id, RECORD)

    def answer_code_for_a_job(self, *, restarted: bool) -> ResultCode:
        codes: list[ResultCode] = []

        async def run() -> None:
            disk = MemoryDisk()
            service = self.service(disk)
            reply = await service.handlers()[EmptySpool](EmptySpool("to be removed"), None)
            self.assertEqual(reply.pending, 0)
            if restarted:
                service = self.service(disk)
            reply = await service.handlers()[SpoolJob](job(), None)
            codes.append(ResultCode(reply.code))

        run_async(run)
        return codes[0]

    def test_a_machine_that_is_being_emptied_accepts_no_job(self) -> None:
        self.assertEqual(self.answer_code_for_a_job(restarted=False), ResultCode.STORES_UNAVAILABLE)

    def test_it_still_accepts_no_job_after_a_restart_of_its_program(self) -> None:
        self.assertNotEqual(self.answer_code_for_a_job(restarted=True), ResultCode.OK)


if __name__ == "__main__":
    unittest.main()
