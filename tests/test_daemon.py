"""Starting and stopping a program: exit codes, signals, the time limit of a shutdown."""

import os
import signal
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

import msgspec
import trio
from trio.testing import MockClock

from fescuedock.address import Address
from fescuedock.daemon import Stop, run_program, stop_on_signals
from fescuedock.settings import Settings
from tests.builders.commands import Done, run_program_main
from tests.builders.settings import write_settings

ADDRESS = Address("127.0.0.1", 7001)


def send(number: signal.Signals) -> None:
    os.kill(os.getpid(), number)


class RunProgramTest(unittest.TestCase):
    def run_program(self, program: Callable) -> Done:
        with tempfile.TemporaryDirectory() as folder:
            file = write_settings(Path(folder), {"vm": {"log_file": f"{folder}/log"}})
            return run_program_main(lambda: run_program("agent", program, ("agent",)), str(file))

    def test_each_signal_begins_a_graceful_shutdown(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            steps: list[str] = []

            async def program(_settings: Settings, stop: Stop, *, task_status, steps=steps) -> None:
                task_status.started(ADDRESS)
                send(number)  # noqa: B023
                await stop.wait()
                steps.append("drained")

            done = self.run_program(program)
            self.assertEqual((done.code, done.errors, steps), (0, "", ["drained"]))
            ready = {"program": "agent", "vm_id": "vm-1", "address": str(ADDRESS)}
            self.assertEqual(msgspec.json.decode(done.output), ready)

    def test_second_signal_cuts_off_and_is_reported(self) -> None:
        async def program(_settings: Settings, stop: Stop, *, task_status) -> None:
            task_status.started(ADDRESS)
            send(signal.SIGTERM)
            await stop.wait()
            send(signal.SIGTERM)
            await trio.sleep_forever()

        done = self.run_program(program)
        self.assertEqual(done.code, 1)
        self.assertIn("ended before all that was in progress had finished", done.errors)

    def test_internal_error_has_one_traceback_without_groups(self) -> None:
        async def program(_settings: Settings, _stop: Stop, *, task_status) -> None:
            task_status.started(ADDRESS)
            async with trio.open_nursery():
                raise KeyError("an internal error")

        done = self.run_program(program)
        self.assertEqual((done.code, done.errors.count("Traceback")), (1, 1))
        self.assertNotIn("ExceptionGroup", done.errors)


class StopOnSignalsTest(unittest.TestCase):
    def test_shutdown_is_bounded(self) -> None:
        async def run() -> float:
            stop = Stop()
            started_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                await nursery.start(stop_on_signals, stop, 5000, nursery.cancel_scope)
                send(signal.SIGTERM)
                await stop.wait()
                await trio.sleep_forever()
            return trio.current_time() - started_s

        took_s = trio.run(run, clock=MockClock(autojump_threshold=0.05))
        self.assertGreaterEqual(took_s, 5)
        self.assertLess(took_s, 10)


if __name__ == "__main__":
    unittest.main()
