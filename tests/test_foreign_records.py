"""Values of this system that are damaged or were written by another version."""

import hashlib
import time
import unittest
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.kv import KvEntry, decode_value
from fescuedock.node.fleet import read_node_record
from fescuedock.schema.crashes import CrashedRun, CrashNews, CrashReport, WorkCleared
from fescuedock.schema.origins import KnownStream
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import (
    ItemProgress,
    NodeRecord,
    ResultGroup,
    SpoolJob,
    StoredItem,
    StoredJobRecord,
)
from fescuedock.spool.files import SpoolFiles
from fescuedock.spool.origins import OriginLog
from tests.builders.disk import MemoryDisk
from tests.builders.forwarding import job_record, stored_item
from tests.builders.jobs_calls import JOB, read_page, submit
from tests.builders.node import HOST, NodeFleet, running_fleet
from tests.builders.standins import run_async

KEYS = JobKeys("fescuedock/")
KINDS = (
    StoredJobRecord,
    list[StoredItem],
    ResultGroup,
    list[ItemProgress],
    NodeRecord,
    SpoolJob,
    list[KnownStream],
    CrashNews,
)
SCALARS = st.one_of(
    st.none(), st.booleans(), st.text(max_size=4), st.binary(max_size=4), st.floats()
) | st.integers(-(2**63), 2**64 - 1)
VALUES = st.recursive(SCALARS, lambda parts: st.lists(parts, max_size=18), max_leaves=30)
NODE = NodeRecord("node-9", "r", "d", "127.0.0.9", 80)
FOLDER = Path("/data/spool")


class StoredValueTest(unittest.TestCase):
    @given(st.sampled_from(KINDS), st.binary(max_size=40))
    def test_bytes_of_any_kind_are_a_value_or_a_fault(self, kind: type, data: bytes) -> None:
        self.check(kind, data)

    @given(st.sampled_from(KINDS), VALUES)
    def test_what_decodes_can_be_encoded(self, kind: type, value: object) -> None:
        self.check(kind, msgspec.msgpack.encode(value))

    def check(self, kind: type, data: bytes) -> None:
        match decode_value("k", data, kind):
            case Ok(decoded):
                self.assertTrue(msgspec.msgpack.encode(decoded))
            case Err(fault):
                self.assertEqual(fault.code, ResultCode.VALUE_UNREADABLE)

    def test_a_value_that_is_nested_too_deeply_is_a_fault(self) -> None:
        self.assertTrue(decode_value("k", b"\x91" * 100_000, NodeRecord).is_err())

    def test_a_node_has_an_address_that_can_be_used(self) -> None:
        self.assertTrue(read_node_record(entry_of(NODE)).is_ok())
        for change in ({"port": 10**6}, {"port": -1}, {"host": "x"}, {"host": "a\x00"}):
            with self.subTest(change=change):
                odd = msgspec.structs.replace(NODE, **change)
                self.assertTrue(read_node_record(entry_of(odd)).is_err())


def entry_of(value: msgspec.Struct) -> KvEntry:
    return KvEntry("k", msgspec.msgpack.encode(value), 1)


class ForeignRecordNodeTest(unittest.TestCase):
    def run_fleet(self, test: Callable[[NodeFleet], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(40):
                async with running_fleet(nodes=2, upstreams=2) as fleet:
                    await test(fleet)

        run_async(run)

    async def check_jobs(self, fleet: NodeFleet) -> None:
        """Check that a sound job is accepted, run and listed."""
        front = fleet.nodes[0].front
        self.assertEqual((await submit(fleet, front, "a", "b")).status, 202)
        await self.wait_listed(fleet, JOB, 2)

    async def wait_listed(self, fleet: NodeFleet, job_id: str, count: int) -> list[dict]:
        while True:
            page = (await read_page(fleet, fleet.nodes[1].front, job_id)).json()
            if len(page.get("results", ())) >= count:
                return page["results"]
            await trio.sleep(0.1)

    def test_a_jobs_record_that_cannot_be_read_leaves_the_other_jobs_running(self) -> None:
        """Each node ended as it looked for jobs to claim."""

        async def test(fleet: NodeFleet) -> None:
            for number, value in enumerate((b"\xc1", b"", msgspec.msgpack.encode([1, 2]))):
                fleet.store.state.put(KEYS.record(f"odd{number}"), value)
            await trio.sleep(0.7)
            for number in range(3):
                answer = await read_page(fleet, fleet.nodes[0].front, f"odd{number}")
                self.assertEqual(answer.status, 503)
            await self.check_jobs(fleet)

        self.run_fleet(test)

    def test_a_jobs_data_that_cannot_be_read_leaves_the_other_jobs_running(self) -> None:
        """The node that claimed the job ended, then the next one."""

        async def test(fleet: NodeFleet) -> None:
            for name, odd in (
                ("items", KEYS.items("job-items", 0)),
                ("group", KEYS.group("job-group", 0)),
                ("progress", KEYS.progress("job-progress")),
            ):
                job_id = f"job-{name}"
                record = self.record(job_id)
                data = {KEYS.items(job_id, 0): msgspec.msgpack.encode([stored_item("a", b"x")])}
                for key, value in (data | {odd: b"\xc1"}).items():
                    fleet.store.state.put(key, value)
                fleet.store.state.put(KEYS.record(job_id), msgspec.msgpack.encode(record))
            await trio.sleep(1.0)
            await self.check_jobs(fleet)
            # Progress is only a hint.
            [result] = await self.wait_listed(fleet, "job-progress", 1)
            self.assertEqual(result["state"], "completed")

        self.run_fleet(test)

    def record(self, job_id: str, total: int = 1) -> StoredJobRecord:
        record = job_record(job_id, total=total)
        return msgspec.structs.replace(
            record,
            host=HOST,
            path="/letters/new",
            owner_id="",
            submitted_at_ms=int(time.time() * 1000),
            due_in_ms=18_000,
            retention_ms=60_000,
        )

    def test_an_item_of_an_earlier_version_that_cannot_be_sent_ends_no_node(self) -> None:
        """Earlier versions accepted such items; each node that claimed their job ended."""
        odd = [
            StoredItem("odd-0", "/letters/a b", [], b"x", 1),
            StoredItem("odd-1", "/letters/a", [["X-Note", "a\nb"]], b"x", 1),
            StoredItem("odd-2", "/letters/é", [], b"x", 1),
        ]

        async def test(fleet: NodeFleet) -> None:
            items = [*odd, StoredItem("sound", "/letters/sound", [["X-Note", "名"]], b"x", 1)]
            data = msgspec.msgpack.encode(items)
            fleet.store.state.put(KEYS.items("old", 0), data)
            record = self.record("old", total=len(items))
            fleet.store.state.put(KEYS.record("old"), msgspec.msgpack.encode(record))
            [result] = await self.wait_listed(fleet, "old", 1)
            self.assertEqual((result["id"], result["state"]), ("sound", "completed"))
            await self.check_jobs(fleet)

        self.run_fleet(test)

    def test_records_with_numbers_at_the_limits_leave_the_other_jobs_running(self) -> None:
        fields = ("submitted_at_ms", "due_in_ms", "retention_ms", "total", "listed", "owner_boot")
        fields += ("epoch", "age_ms")

        async def test(fleet: NodeFleet) -> None:
            for name in fields:
                for value in (2**64 - 1, 2**63, -(2**63), -1):
                    job_id = f"odd-{name}-{value}"
                    record = msgspec.structs.replace(self.record(job_id), **{name: value})
                    data = msgspec.msgpack.encode([stored_item("a", b"x")])
                    fleet.store.state.put(KEYS.items(job_id, 0), data)
                    fleet.store.state.put(KEYS.record(job_id), msgspec.msgpack.encode(record))
            news = CrashNews(
                [CrashReport("r", "i-0", 2**64 - 1, [CrashedRun("w")], -1, 2**64 - 1)],
                [WorkCleared("c", "w", ["r"], -(2**63), -(2**63))],
            )
            fleet.store.state.put(f"{KEYS.crashes}odd", msgspec.msgpack.encode(news))
            await trio.sleep(1.0)
            await self.check_jobs(fleet)

        self.run_fleet(test)

    def test_records_of_nodes_and_spools_that_cannot_be_used_name_none(self) -> None:
        """A spool's record ended each node that accepted a job while the store was away."""

        async def test(fleet: NodeFleet) -> None:
            odd = [
                b"\xc1",
                *(
                    msgspec.msgpack.encode(msgspec.structs.replace(NODE, **change))
                    for change in ({"port": 10**6}, {"host": "x"}, {"port": -1})
                ),
            ]
            for number, value in enumerate(odd):
                fleet.store.state.put(f"{KEYS.nodes}odd-{number}", value)
                fleet.store.state.put(f"{KEYS.spools}odd-{number}", value)
            fleet.store.state.put("op/retire/odd-0", b'{"deadlineS":1}')
            await trio.sleep(1.0)
            await self.check_jobs(fleet)
            # A spool whose record cannot be read may hold a job that is not stored.
            answer = await read_page(fleet, fleet.nodes[0].front, "unknown")
            self.assertEqual(answer.status, 503)

        self.run_fleet(test)


class ForeignSpoolTest(unittest.TestCase):
    def write(self, disk: MemoryDisk, job_id: str, body: bytes) -> None:
        disk.make_folder(FOLDER)
        name = hashlib.sha256(job_id.encode()).hexdigest() + ".job"
        with disk.create(FOLDER / name) as file:
            file.write(hashlib.sha256(body).digest() + body)
            file.sync()
        disk.sync_folder(FOLDER)

    def test_a_file_of_another_version_stays_and_counts_as_held(self) -> None:
        """The spool ended at each start, and none of its jobs was stored."""
        disk = MemoryDisk()
        self.write(disk, "odd", msgspec.msgpack.encode(["of another version"]))
        files = SpoolFiles(disk, FOLDER, 10_000)
        files.open()
        files.put(SpoolJob(job_record("sound", total=1), [stored_item("a", b"x")]))
        self.assertEqual([job.record.job_id for job in files], ["sound"])
        self.assertTrue(files.may_hold("odd"))
        self.assertFalse(files.may_hold("other"))
        self.assertEqual(files.pending, 2)
        refused = files.put(SpoolJob(job_record("odd", total=1), [stored_item("a", b"x")]))
        self.assertEqual(refused.unwrap_err().code, ResultCode.KV_UNKNOWN)
        again = SpoolFiles(disk, FOLDER, 10_000)
        again.open()
        self.assertEqual(again.pending, 2)

    def test_origins_of_another_version_are_left_out(self) -> None:
        disk = MemoryDisk()
        log = OriginLog(disk, FOLDER, 1000.0)
        log.read()
        log.append([], 0.0)
        body = msgspec.msgpack.encode("of another version")
        with disk.append(log._path()) as file:
            file.write(len(body).to_bytes(4) + zlib.crc32(body).to_bytes(4) + body)
            file.sync()
        self.assertEqual(OriginLog(disk, FOLDER, 1000.0).read(), [])


if __name__ == "__main__":
    unittest.main()
