"""A store's folders on a disk that loses power at every step, fills up, fails and is damaged."""

import unittest
from hashlib import sha256
from pathlib import Path

import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result
from trio.testing import MockClock

from fescuedock.core.log_frames import encode_frames, read_frames
from fescuedock.faults import Fault
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.store import PutSegment, ReadLog
from tests.builders.disk import MemoryDisk, PowerCutError
from tests.builders.store import NOW_S, StoreNode

FOLDER = Path("/data")
BODIES = [b"first" * 50, b"second" * 80]
RECORDS = [[b"one"], [b"two" * 40, b""], [b"three" * 300]]
SEEDS = range(8)


def hash_of(body: bytes) -> str:
    return sha256(body).hexdigest()


def put(node: StoreNode, body: bytes, kept_since_s: int = 0) -> Result[None, Fault]:
    message = PutSegment(segment_hash=hash_of(body), body=body, kept_since_s=kept_since_s)
    return node.segments.put(message, lambda: NOW_S)


def records_of(node: StoreNode, limit_bytes: int = 1 << 20, job_id: str = "job") -> list[bytes]:
    found: list[bytes] = []
    offset = 0
    while True:
        reply = node.logs.read(ReadLog(job_id=job_id, offset_bytes=offset, limit_bytes=limit_bytes))
        if not reply.records:
            return found
        found += reply.records
        offset = reply.next_offset_bytes


class WriteSession:
    """Writes all bodies and records once and records which were acknowledged."""

    def __init__(self, disk: MemoryDisk) -> None:
        self.disk = disk
        self.put: list[bytes] = []
        self.logged: list[bytes] = []

    def run(self) -> bool:
        """Return whether the session ended without a power cut."""
        completed = True
        try:
            trio.run(self._run, clock=MockClock(autojump_threshold=0))
        except* PowerCutError:
            completed = False
        return completed

    async def _run(self) -> None:
        node = StoreNode(FOLDER, self.disk)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.logs.run)
            for body, records in zip([*BODIES, BODIES[0]], RECORDS, strict=True):
                if isinstance(put(node, body), Ok):
                    self.put.append(body)
                if isinstance(await node.logs.append("job", records), Ok):
                    self.logged += records
            nursery.cancel_scope.cancel()


class PowerCutTest(unittest.TestCase):
    def test_acknowledged_writes_survive_a_power_cut_at_each_step(self) -> None:
        complete = WriteSession(MemoryDisk())
        self.assertTrue(complete.run())
        self.assertEqual(complete.logged, [record for group in RECORDS for record in group])
        self.assertGreaterEqual(complete.disk.steps, 25)
        for cut_at in range(1, complete.disk.steps + 1):
            for seed in SEEDS:
                with self.subTest(cut_at=cut_at, seed=seed):
                    self._cut(cut_at, seed)

    def _cut(self, cut_at: int, seed: int) -> None:
        disk = MemoryDisk()
        disk.cut_at = cut_at
        session = WriteSession(disk)
        self.assertFalse(session.run())
        disk.lose_power(seed)
        node = StoreNode(FOLDER, disk)
        for file in list(node.segments.files()):
            self.assertIsInstance(node.segments.get(file.name), Ok)
        for body in session.put:
            self.assertEqual(node.segments.get(hash_of(body)), Ok(body))
        self.assertEqual(records_of(node)[: len(session.logged)], session.logged)
        # A second session, with a power cut right after its last step.
        second = WriteSession(disk)
        self.assertTrue(second.run())
        disk.lose_power(seed)
        node = StoreNode(FOLDER, disk)
        for body in BODIES:
            self.assertEqual(node.segments.get(hash_of(body)), Ok(body))
        self.assertEqual(records_of(node)[-len(second.logged) :], second.logged)

    def test_segment_found_after_a_crash_of_the_program_is_made_durable(self) -> None:
        disk = MemoryDisk()
        node = StoreNode(FOLDER, disk)
        disk.cut_at = disk.steps + 5  # create, write, sync, rename; then the folder's sync
        with self.assertRaises(PowerCutError):
            put(node, BODIES[0])
        disk.cut_at = 0
        # Only the program ended: the file exists, but its name is not durable yet.
        node = StoreNode(FOLDER, disk)
        self.assertEqual(node.segments.missing([hash_of(BODIES[0])]), [])
        for seed in SEEDS:
            disk.lose_power(seed)
            self.assertEqual(StoreNode(FOLDER, disk).segments.missing([hash_of(BODIES[0])]), [])

    def test_torn_last_write_of_a_log_is_truncated(self) -> None:
        frames = encode_frames([b"whole", b"torn" * 100])
        for kept_bytes in range(len(encode_frames([b"whole"])), len(frames)):
            disk = MemoryDisk()
            disk.append(FOLDER / "logs" / "job.log").write(frames[:kept_bytes] + bytes(7))
            node = StoreNode(FOLDER, disk)
            self.assertEqual(records_of(node), [b"whole"])
            self.assertEqual(node.usage.used_bytes, len(encode_frames([b"whole"])) + 512)


class FullDiskTest(unittest.TestCase):
    def test_configured_size_limit_is_enforced(self) -> None:
        node = StoreNode(FOLDER, MemoryDisk(), max_bytes=2000)
        self.assertIsInstance(put(node, bytes(1000)), Ok)
        self.assertEqual(put(node, bytes(1001)).err_value.code, ResultCode.DISK_FULL)
        self.assertIsInstance(put(node, bytes(1000)), Ok)
        node.segments.drop(hash_of(bytes(1000)))
        self.assertIsInstance(put(node, bytes(1001)), Ok)

    def test_full_disk_is_reported_and_leaves_no_files(self) -> None:
        disk = MemoryDisk()
        node = StoreNode(FOLDER, disk)
        disk.capacity_bytes = 700
        self.assertIsInstance(put(node, bytes(400)), Ok)
        self.assertEqual(put(node, bytes(401)).err_value.code, ResultCode.DISK_FULL)
        self.assertEqual(disk.used_bytes, 400)
        self.assertEqual(node.segments.missing([hash_of(bytes(401))]), [hash_of(bytes(401))])

    def test_log_on_a_full_disk_stays_readable(self) -> None:
        disk = MemoryDisk()

        async def test() -> None:
            node = StoreNode(FOLDER, disk)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.logs.run)
                self.assertIsInstance(await node.logs.append("job", [b"a" * 50]), Ok)
                disk.capacity_bytes = 100
                refused = await node.logs.append("job", [b"b" * 50])
                self.assertEqual(refused.err_value.code, ResultCode.DISK_FULL)
                disk.capacity_bytes = 1000
                self.assertIsInstance(await node.logs.append("job", [b"c"]), Ok)
                nursery.cancel_scope.cancel()
            self.assertEqual(records_of(node), [b"a" * 50, b"c"])
            self.assertEqual(records_of(StoreNode(FOLDER, disk)), [b"a" * 50, b"c"])

        trio.run(test, clock=MockClock(autojump_threshold=0))

    def test_failed_fsync_of_a_log_acknowledges_none_of_its_appends(self) -> None:
        disk = MemoryDisk()
        results: list[Result[None, Fault]] = []

        async def test() -> None:
            node = StoreNode(FOLDER, disk)

            async def append(record: bytes) -> None:
                results.append(await node.logs.append("job", [record]))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.logs.run)
                await append(b"before")
                disk.failing = lambda step: step == "sync"
                async with trio.open_nursery() as appends:
                    appends.start_soon(append, b"one")
                    appends.start_soon(append, b"two")
                disk.failing = lambda step: False
                await append(b"after")
                nursery.cancel_scope.cancel()
            self.assertEqual(records_of(node), [b"before", b"after"])

        trio.run(test, clock=MockClock(autojump_threshold=0))
        self.assertEqual([isinstance(item, Ok) for item in results], [True, False, False, True])

    def test_failed_fsync_of_a_segment_is_reported(self) -> None:
        disk = MemoryDisk()
        node = StoreNode(FOLDER, disk)
        for step in ("create", "write", "sync", "rename", "sync_folder"):
            disk.failing = lambda name, failing=step: name == failing
            self.assertIsInstance(put(node, BODIES[0]), Err, step)
        disk.failing = lambda step: False
        self.assertIsInstance(put(node, BODIES[0]), Ok)
        for seed in SEEDS:
            disk.lose_power(seed)
            self.assertEqual(StoreNode(FOLDER, disk).segments.missing([hash_of(BODIES[0])]), [])

    def test_append_during_a_round_that_fails_is_not_acknowledged_either(self) -> None:
        # The event loop runs ready tasks in random order; several attempts cover all orders.
        for attempt in range(20):
            with self.subTest(attempt=attempt):
                self._append_during_a_failing_round()

    def _append_during_a_failing_round(self) -> None:
        disk = MemoryDisk()
        acknowledged: list[tuple[str, bytes]] = []

        async def test() -> None:
            node = StoreNode(FOLDER, disk)

            async def append(job_id: str, record: bytes) -> None:
                if isinstance(await node.logs.append(job_id, [record]), Ok):
                    acknowledged.append((job_id, record))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.logs.run)
                async with trio.open_nursery() as appends:
                    syncs: list[str] = []

                    def fail_second_sync(step: str) -> bool:
                        if step == "sync":
                            syncs.append(step)
                            # These run between the first log's fsync and the second one's.
                            if len(syncs) == 1:
                                appends.start_soon(append, "job", b"late")
                                appends.start_soon(append, "other", b"late")
                        return step == "sync" and len(syncs) == 2

                    disk.failing = fail_second_sync
                    appends.start_soon(append, "job", b"early")
                    appends.start_soon(append, "other", b"early")
                nursery.cancel_scope.cancel()

        trio.run(test, clock=MockClock(autojump_threshold=0))
        self.assertTrue(acknowledged)
        disk.lose_power(0)
        node = StoreNode(FOLDER, disk)
        for job_id, record in acknowledged:
            self.assertIn(record, records_of(node, job_id=job_id))


class DamageTest(unittest.TestCase):
    def test_damaged_segment_is_moved_aside_and_can_be_written_again(self) -> None:
        disk = MemoryDisk()
        node = StoreNode(FOLDER, disk)
        body = BODIES[0]
        put(node, body)
        disk.damage(FOLDER / "segments" / hash_of(body))
        self.assertEqual(
            node.segments.get(hash_of(body)).err_value.code, ResultCode.CORRUPT_SEGMENT
        )
        self.assertEqual(node.damaged, [hash_of(body)])
        self.assertEqual(node.segments.get(hash_of(body)).err_value.code, ResultCode.NOT_FOUND)
        self.assertIsNotNone(disk.status(FOLDER / "aside" / hash_of(body)))
        self.assertIsInstance(put(node, body), Ok)
        self.assertEqual(node.segments.get(hash_of(body)), Ok(body))

    def test_put_over_a_damaged_segment_writes_it_again(self) -> None:
        disk = MemoryDisk()
        node = StoreNode(FOLDER, disk)
        put(node, BODIES[0])
        disk.damage(FOLDER / "segments" / hash_of(BODIES[0]))
        self.assertIsInstance(put(node, BODIES[0]), Ok)
        self.assertEqual(node.segments.get(hash_of(BODIES[0])), Ok(BODIES[0]))

    def test_wrong_hash_is_refused(self) -> None:
        node = StoreNode(FOLDER, MemoryDisk())
        message = PutSegment(segment_hash=hash_of(b"other"), body=b"this")
        refused = node.segments.put(message, lambda: NOW_S)
        self.assertEqual(refused.err_value.code, ResultCode.CORRUPT_SEGMENT)

    def test_job_identity_cannot_leave_the_folder(self) -> None:
        node = StoreNode(FOLDER, MemoryDisk())
        refused = trio.run(node.logs.append, "../segments/x", [b"record"])
        self.assertEqual(refused.err_value.code, ResultCode.BAD_REQUEST)

    def test_retention_counts_from_the_last_renewal(self) -> None:
        disk = MemoryDisk()
        node = StoreNode(FOLDER, disk)
        for body in BODIES:
            put(node, body, kept_since_s=100)
        self.assertEqual(node.segments.renew([hash_of(BODIES[0])], 200), [])
        put(node, BODIES[0], kept_since_s=50)
        disk.lose_power(0)
        node = StoreNode(FOLDER, disk)
        self.assertEqual(node.segments.drop_older(150), 1)
        self.assertEqual([file.name for file in node.segments.files()], [hash_of(BODIES[0])])


class LogFramesTest(unittest.TestCase):
    @given(st.lists(st.binary(max_size=40)), st.integers(0, 400), st.binary(max_size=12))
    def test_any_prefix_gives_only_complete_records(
        self, records: list[bytes], kept_bytes: int, tail: bytes
    ) -> None:
        data = encode_frames(records)
        frames = read_frames(data[:kept_bytes])
        self.assertEqual(frames.records, records[: len(frames.records)])
        if kept_bytes >= len(data):
            self.assertEqual(frames.records, records)
        self.assertEqual(read_frames(data + bytes(len(tail))).records, records)

    @given(st.integers(9, 60))
    def test_pages_of_any_size_give_every_record(self, limit_bytes: int) -> None:
        disk = MemoryDisk()
        records = [b"x" * size for size in (0, 3, 200, 1, 50)]
        disk.append(FOLDER / "logs" / "job.log").write(encode_frames(records))
        self.assertEqual(records_of(StoreNode(FOLDER, disk), limit_bytes), records)


if __name__ == "__main__":
    unittest.main()
