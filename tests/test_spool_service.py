"""A spool's promises hold when an end overtakes a job and when the spool restarts.

Guards against two faults.  A spool that replies that it is empty, restarts before its removal from
the list and accepts jobs, loses them: the machine may be removed with the only copies on its disk.
A node that has not read the list of spools yet must not answer that a job does not exist.
"""

import unittest
from pathlib import Path

import msgspec
import trio
import trio.testing
from result import Ok, Result

from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvTransaction
from fescuedock.node.job_store import JobStore
from fescuedock.node.spools import Spools
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import (
    EmptySpool,
    EmptySpoolReply,
    EndSpooled,
    FindSpooled,
    NodeRecord,
    SpoolJob,
    StoredJobRecord,
)
from fescuedock.spool.files import SpoolFiles
from fescuedock.spool.service import SpoolService
from fescuedock.standin.kv_state import KvState
from tests.builders.disk import MemoryDisk
from tests.builders.forwarding import job_record, stored_item
from tests.builders.runner_simulation import StoreLink

KEYS = JobKeys("p/")
FOLDER = Path("/data/spool")
VALUE_BYTES = 100_000
RECORD = NodeRecord("s-1", "caldas", "sala-1", "10.0.0.1", 1)
OWN_KEY = KEYS.spools + RECORD.vm_id
JOB = SpoolJob(job_record("job-1", total=1), [stored_item("a")])


class SpoolStoreConnection(StoreLink):
    """A connection to the store that also supports the registration of a spool."""

    async def put_if(self, key: str, value: bytes, revision: int) -> Result[int, Fault]:
        return await self.transact(KvTransaction({key: revision}, writes={key: value}))


def open_service(disk: MemoryDisk, connection: SpoolStoreConnection) -> SpoolService:
    files = SpoolFiles(disk, FOLDER, VALUE_BYTES)
    files.open()
    return SpoolService(files, connection, JobStore(connection, KEYS, VALUE_BYTES), OWN_KEY, RECORD)


async def call(service: SpoolService, message: msgspec.Struct) -> msgspec.Struct:
    return await service.handlers()[type(message)](message, None)


class SpoolServiceTest(unittest.TestCase):
    def run_test(self, test) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    await test(nursery)
                    nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def record(self, state: KvState) -> StoredJobRecord:
        return msgspec.msgpack.decode(state.get(KEYS.record("job-1")).value, type=StoredJobRecord)

    def test_a_job_whose_id_belongs_to_another_job_is_dropped(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            state = KvState()
            connection = SpoolStoreConnection(state)
            other = job_record("job-1", total=2)
            await JobStore(connection, KEYS, VALUE_BYTES).accept(
                other, [stored_item("x"), stored_item("y")]
            )
            service = open_service(MemoryDisk(), connection)
            nursery.start_soon(service.run)
            await call(service, JOB)
            await trio.sleep(5.0)
            self.assertFalse((await call(service, FindSpooled("job-1"))).held)
            self.assertEqual(self.record(state).total, 2)

        self.run_test(test)

    def test_an_end_received_while_the_job_is_being_stored_is_recorded(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            connection = SpoolStoreConnection(KvState())
            service = open_service(MemoryDisk(), connection)
            connection.after_s = 0.2
            await call(service, JOB)
            nursery.start_soon(service.run)
            await trio.sleep(0.1)
            # The job is in the store, but the spool has not received the answer yet.
            self.assertFalse(self.record(connection.state).ended)
            reply = await call(service, EndSpooled("job-1"))
            self.assertEqual((reply.held, reply.code), (True, ResultCode.OK))
            await trio.sleep(2.0)
            self.assertTrue(self.record(connection.state).ended)
            self.assertFalse((await call(service, EndSpooled("job-1"))).held)

        self.run_test(test)

    def test_a_spool_that_is_emptied_accepts_no_job_after_a_restart(self) -> None:
        async def test(_nursery: trio.Nursery) -> None:
            for seed in range(5):
                disk, connection = MemoryDisk(), SpoolStoreConnection(KvState())
                reply = await call(open_service(disk, connection), EmptySpool("to be removed"))
                self.assertEqual((reply.pending, reply.code), (0, ResultCode.OK))
                disk.lose_power(seed)
                reply = await call(open_service(disk, connection), JOB)
                self.assertEqual(reply.code, ResultCode.STORES_UNAVAILABLE)

        self.run_test(test)

    def test_a_spool_that_is_emptied_still_acknowledges_a_job_it_holds(self) -> None:
        async def test(_nursery: trio.Nursery) -> None:
            service = open_service(MemoryDisk(), SpoolStoreConnection(KvState()))
            await call(service, JOB)
            await call(service, EmptySpool("to be removed"))
            # A refusal would promise that no copy exists, but this copy is going to be stored.
            self.assertEqual((await call(service, JOB)).code, ResultCode.OK)

        self.run_test(test)

    def test_a_spool_that_was_emptied_does_not_register_again(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            disk, connection = MemoryDisk(), SpoolStoreConnection(KvState())
            await call(open_service(disk, connection), EmptySpool("to be removed"))
            # The node that emptied it removes its record, and the process restarts.
            nursery.start_soon(open_service(disk, connection).run)
            await trio.sleep(1.0)
            self.assertIsNone(connection.state.get(OWN_KEY))

        self.run_test(test)

    def test_a_spool_that_still_holds_a_job_registers_though_it_is_emptied(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            disk, connection = MemoryDisk(), SpoolStoreConnection(KvState(), refuses=True)
            service = open_service(disk, connection)
            await call(service, JOB)
            self.assertEqual((await call(service, EmptySpool("to be removed"))).pending, 1)
            again = open_service(disk, connection)
            nursery.start_soon(again.run)
            connection.repair()
            await trio.sleep(1.0)
            self.assertIsNotNone(connection.state.get(OWN_KEY))
            self.assertEqual((await call(again, EmptySpool("to be removed"))).pending, 0)

        self.run_test(test)

    def test_a_spool_that_cannot_record_that_it_is_emptied_does_not_count_as_empty(self) -> None:
        async def test(_nursery: trio.Nursery) -> None:
            for failing_step in ("create", "sync", "sync_folder"):
                disk, connection = MemoryDisk(), SpoolStoreConnection(KvState())
                service = open_service(disk, connection)
                disk.failing = lambda step, name=failing_step: step == name
                reply = await call(service, EmptySpool("to be removed"))
                self.assertNotEqual(reply.code, ResultCode.OK)
                self.assertIsNone(await self.spools(reply).drain("s-1"))
                self.assertEqual((await call(service, JOB)).code, ResultCode.STORES_UNAVAILABLE)
                disk.failing = lambda _step: False
                reply = await call(service, EmptySpool("to be removed"))
                self.assertEqual(await self.spools(reply).drain("s-1"), 0)

        self.run_test(test)

    def spools(self, reply: EmptySpoolReply, *, known: bool = True) -> Spools:
        """Return a node's client of the only spool, which answers with ``reply``."""

        async def call(*_arguments: object) -> Result:
            return Ok(reply)

        table = ReplicaTable(KEYS.live)
        if known:
            table.replace([KvEntry(OWN_KEY, msgspec.msgpack.encode(RECORD), 2)], 2, 0.0)
        return Spools(table, KEYS.spools, 1, call)

    def test_a_node_that_has_not_read_the_list_of_spools_denies_no_job(self) -> None:
        async def test(_nursery: trio.Nursery) -> None:
            spools = self.spools(EmptySpoolReply(0), known=False)
            self.assertTrue(await spools.may_hold("job-1"))
            self.assertTrue(await spools.end("job-1"))
            # Nor does it report that a machine which may be a spool is empty.
            self.assertIsNone(await spools.drain("s-1"))

        self.run_test(test)


if __name__ == "__main__":
    unittest.main()
