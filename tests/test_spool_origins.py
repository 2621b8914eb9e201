"""Which origins of streams survive a loss of power on a disk."""

import unittest
from pathlib import Path

from fescuedock.schema.origins import KnownStream, StreamOrigin
from fescuedock.spool.origins import OriginLog
from tests.builders.disk import MemoryDisk, PowerCutError

FOLDER = Path("/data/origins")
ROTATION_MS = 1000.0


def stream(name: str, version: str = "v1") -> KnownStream:
    return KnownStream(name, StreamOrigin("desk", version))


def open_log(disk: MemoryDisk) -> OriginLog:
    log = OriginLog(disk, FOLDER, ROTATION_MS)
    log.read()
    return log


def stream_keys_on(disk: MemoryDisk) -> set[str]:
    return {item.stream_key for item in OriginLog(disk, FOLDER, ROTATION_MS).read()}


class OriginLogTest(unittest.TestCase):
    def test_acknowledged_origins_survive_a_loss_of_power_at_any_step(self) -> None:
        for step in range(1, 60):
            disk = MemoryDisk()
            acknowledged: list[str] = []
            disk.cut_at = step
            try:
                log = open_log(disk)
                for number in range(8):
                    log.append([stream(f"s-{number}")], 300.0 * number)
                    acknowledged.append(f"s-{number}")
            except PowerCutError:
                pass
            disk.lose_power(step)
            with self.subTest(step=step):
                # Origins in the log before the last one are past their retention time.
                self.assertLessEqual(set(acknowledged[-4:]), stream_keys_on(disk))

    def test_a_torn_record_hides_no_record_written_after_a_restart(self) -> None:
        disk = MemoryDisk()
        log = open_log(disk)
        log.append([stream("before")], 0.0)
        for name in ("origins-0.log", "origins-1.log"):
            if disk.status(FOLDER / name) is not None:
                with disk.append(FOLDER / name) as file:
                    file.write(b"\x00\x00\x00\x50torn")
                    file.sync()
        open_log(disk).append([stream("after")], 0.0)
        self.assertEqual(stream_keys_on(disk), {"before", "after"})

    def test_logs_do_not_grow_beyond_two_rotations(self) -> None:
        disk = MemoryDisk()
        log = open_log(disk)
        for number in range(100):
            log.append([stream(f"s-{number}")], 200.0 * number)
        self.assertLessEqual(len(stream_keys_on(disk)), 10)
        self.assertIn("s-99", stream_keys_on(disk))


if __name__ == "__main__":
    unittest.main()
