"""Jobs on one VM's disk: durable once acknowledged, complete or absent after a loss of power."""

import unittest
from pathlib import Path

from msgspec.structs import replace
from result import Ok

from fescuedock.core.stored_jobs.spools import SilentSpools, choose_spools
from fescuedock.core.stored_jobs.submission import digest_of
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import NodeRecord, SpoolJob
from fescuedock.spool.files import SpoolFiles
from tests.builders.disk import MemoryDisk, PowerCutError
from tests.builders.forwarding import job_record, stored_item

FOLDER = Path("/data/spool")


def job(job_id: str = "job-1", body: bytes = b"letter") -> SpoolJob:
    return SpoolJob(job_record(job_id, total=1), [stored_item("a", body)])


def open_spool(disk: MemoryDisk, max_bytes: int = 10_000) -> SpoolFiles:
    files = SpoolFiles(disk, FOLDER, max_bytes)
    files.open()
    return files


class SpoolFilesTest(unittest.TestCase):
    def test_an_acknowledged_job_survives_a_loss_of_power(self) -> None:
        disk = MemoryDisk()
        self.assertEqual(open_spool(disk).put(job()), Ok(None))
        disk.lose_power(seed=1)
        self.assertEqual([item.record.job_id for item in open_spool(disk)], ["job-1"])

    def test_after_a_power_cut_at_any_step_a_job_is_complete_or_absent(self) -> None:
        steps = self._steps_of_a_put()
        self.assertGreaterEqual(steps, 4)
        for step in range(1, steps + 1):
            for seed in range(5):
                with self.subTest(step=step, seed=seed):
                    disk = MemoryDisk()
                    files = open_spool(disk)
                    files.put(job("kept"))
                    disk.cut_at = disk.steps + step
                    with self.assertRaises(PowerCutError):
                        files.put(job("cut", b"x" * 500))
                    disk.lose_power(seed)
                    found = {item.record.job_id: item for item in open_spool(disk)}
                    self.assertIn("kept", found)
                    if "cut" in found:
                        self.assertEqual(found["cut"].items[0].body, b"x" * 500)

    def _steps_of_a_put(self) -> int:
        disk = MemoryDisk()
        files = open_spool(disk)
        before = disk.steps
        files.put(job("cut", b"x" * 500))
        return disk.steps - before

    def test_another_job_under_the_same_id_is_refused(self) -> None:
        files = open_spool(MemoryDisk())
        for number, items in enumerate(([stored_item("a", b"x")], [stored_item("a", b"y")])):
            record = replace(job_record("job-1", total=1), items_digest=digest_of(items))
            result = files.put(SpoolJob(record, items))
            self.assertEqual(result.is_ok(), number == 0)
        self.assertIs(result.err_value.code, ResultCode.KEY_REUSED)
        self.assertEqual(next(iter(files)).items[0].body, b"x")

    def test_an_acknowledged_end_survives_a_loss_of_power(self) -> None:
        for seed in range(20):
            disk = MemoryDisk()
            files = open_spool(disk)
            files.put(job())
            self.assertEqual(files.end("job-1"), Ok(None))
            disk.lose_power(seed)
            self.assertTrue(open_spool(disk).is_ended("job-1"))

    def test_after_a_power_cut_at_any_step_a_job_is_ended_or_unchanged(self) -> None:
        disk = MemoryDisk()
        files = open_spool(disk)
        files.put(job(body=b"x" * 500))
        before = disk.steps
        files.end("job-1")
        steps = disk.steps - before
        self.assertGreaterEqual(steps, 4)
        for step in range(1, steps + 1):
            for seed in range(5):
                with self.subTest(step=step, seed=seed):
                    disk = MemoryDisk()
                    files = open_spool(disk)
                    files.put(job(body=b"x" * 500))
                    disk.cut_at = disk.steps + step
                    with self.assertRaises(PowerCutError):
                        files.end("job-1")
                    disk.lose_power(seed)
                    [found] = open_spool(disk)
                    self.assertEqual(found.items[0].body, b"x" * 500)

    def test_a_resubmitted_job_stays_ended(self) -> None:
        disk = MemoryDisk()
        files = open_spool(disk)
        files.put(job())
        files.end("job-1")
        self.assertEqual(files.put(job()), Ok(None))
        self.assertTrue(files.is_ended("job-1"))
        self.assertTrue(open_spool(disk).is_ended("job-1"))

    def test_an_end_that_could_not_be_written_is_known_and_written_on_retry(self) -> None:
        for failing_step in ("create", "write", "sync", "rename", "sync_folder"):
            with self.subTest(step=failing_step):
                disk = MemoryDisk()
                files = open_spool(disk)
                files.put(job())
                disk.failing = lambda step, name=failing_step: step == name
                for _ in range(2):
                    self.assertTrue(files.end("job-1").is_err())
                    self.assertTrue(files.is_ended("job-1"))
                disk.failing = lambda _step: False
                self.assertEqual(files.end("job-1"), Ok(None))
                disk.lose_power(seed=1)
                self.assertTrue(open_spool(disk).is_ended("job-1"))

    def test_a_job_found_after_a_restart_is_acknowledged_only_once_its_name_is_synced(self) -> None:
        for seed in range(20):
            disk = MemoryDisk()
            files = open_spool(disk)
            disk.failing = lambda step: step == "sync_folder"
            self.assertTrue(files.put(job()).is_err())
            disk.failing = lambda _step: False
            # The process restarts without a loss of power.
            self.assertEqual(open_spool(disk).put(job()), Ok(None))
            disk.lose_power(seed)
            self.assertEqual(len(open_spool(disk)), 1)

    def test_a_file_whose_content_was_damaged_is_removed(self) -> None:
        disk = MemoryDisk()
        open_spool(disk).put(job(body=b"x" * 500))
        [path] = [FOLDER / status.name for status in disk.list_files(FOLDER)]
        disk.damage(path)
        self.assertEqual(len(open_spool(disk)), 0)
        self.assertEqual(list(disk.list_files(FOLDER)), [])

    def test_a_resubmitted_job_is_stored_once(self) -> None:
        files = open_spool(MemoryDisk())
        files.put(job())
        self.assertEqual(files.put(job()), Ok(None))
        self.assertEqual(len(files), 1)

    def test_a_removed_job_is_gone_after_a_restart(self) -> None:
        disk = MemoryDisk()
        files = open_spool(disk)
        files.put(job())
        files.remove("job-1")
        self.assertEqual(len(open_spool(disk)), 0)

    def test_a_full_or_failing_disk_is_reported_and_the_job_is_not_stored(self) -> None:
        files = open_spool(MemoryDisk(), max_bytes=100)
        self.assertIs(files.put(job(body=b"x" * 200)).err_value.code, ResultCode.DISK_FULL)
        disk = MemoryDisk()
        files = open_spool(disk)
        disk.failing = lambda step: step == "sync"
        self.assertIs(files.put(job()).err_value.code, ResultCode.STORES_UNAVAILABLE)
        self.assertNotIn("job-1", files)


class SpoolChoiceTest(unittest.TestCase):
    """Which spools a job is sent to, and how their silence is interpreted."""

    def spools(self) -> list[NodeRecord]:
        domains = ("a", "a", "b", "b", "c", "c")
        return [
            NodeRecord(f"s{number}", "r", domain, f"10.0.0.{number}", 1)
            for number, domain in enumerate(domains)
        ]

    def test_the_first_spools_are_in_distinct_failure_domains(self) -> None:
        for number in range(50):
            chosen = choose_spools(f"job-{number}", self.spools())
            self.assertEqual(len({spool.failure_domain for spool in chosen[:3]}), 3)
            self.assertEqual(len({spool.vm_id for spool in chosen}), 6)

    def test_jobs_are_spread_and_all_nodes_choose_the_same_order_for_a_job(self) -> None:
        spools = self.spools()
        self.assertEqual(choose_spools("job-1", spools), choose_spools("job-1", spools[::-1]))
        self.assertGreater(len({choose_spools(f"job-{n}", spools)[0].vm_id for n in range(50)}), 3)

    def test_a_job_may_be_held_until_every_spool_has_denied_it(self) -> None:
        known = SilentSpools(lost_after_ms=60_000.0)
        self.assertTrue(known.may_hold(["s0", "s1"], {"s0"}, 0.0))
        self.assertFalse(known.may_hold(["s0", "s1"], {"s0", "s1"}, 0.0))
        self.assertFalse(known.may_hold([], set(), 0.0))

    def test_a_spool_that_is_silent_for_long_counts_as_lost(self) -> None:
        known = SilentSpools(lost_after_ms=60_000.0)
        known.record_silence("s1", 0.0)
        known.record_silence("s1", 50_000.0)
        self.assertTrue(known.may_hold(["s0", "s1"], {"s0"}, 59_999.0))
        self.assertFalse(known.may_hold(["s0", "s1"], {"s0"}, 60_000.0))
        known.record_answer("s1")
        self.assertTrue(known.may_hold(["s0", "s1"], {"s0"}, 60_000.0))


if __name__ == "__main__":
    unittest.main()
