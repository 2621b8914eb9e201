"""A machine that is suspended for seconds: no earlier state counts as recent afterwards."""

import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

import trio

from fescuedock.address import Address
from fescuedock.clock import now_ms, unix_clock
from fescuedock.core.permits.holder import HeldGrant
from fescuedock.daemon import Stop, run_program
from fescuedock.schema.permits import PermitAsk, WorkClass
from fescuedock.settings import Settings
from tests.builders.commands import run_program_main
from tests.builders.settings import write_settings

ADDRESS = Address("127.0.0.1", 7001)
SUSPENDED_S = 30.0
VALID_MS = 2000.0
WAIT_S = 5.0
# What a program may still sleep after the machine has gone on: the kernel's timers stood still too.
LATE_S = 1.5


class SuspendedMachine:
    """Stands in for the kernel: only these two clocks count the time of a suspension."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self._gettime = time.clock_gettime
        self._time = time.time

    def clock_gettime(self, clock: int) -> float:
        counts = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self._gettime(clock) + (self.suspended_s if counts else 0.0)

    def time(self) -> float:
        return self._time() + self.suspended_s


class SuspendedMachineTest(unittest.TestCase):
    """The monotonic clock of the kernel does not advance while a machine is suspended.

    Ages were too low afterwards: a permit was still used although its owner had granted its
    capacity to other work by then, and so were earlier records, leases and deadlines.
    """

    def run_suspended(self, steps: Callable) -> None:
        machine = SuspendedMachine()

        async def program(_settings: Settings, _stop: Stop, *, task_status) -> None:
            task_status.started(ADDRESS)
            await steps(machine)

        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(time, "clock_gettime", machine.clock_gettime),
            mock.patch.object(time, "time", machine.time),
        ):
            file = write_settings(Path(folder), {"vm": {"log_file": f"{folder}/log"}})
            main = lambda: run_program("agent", program, ("agent",))  # noqa: E731
            done = run_program_main(main, str(file))
        self.assertEqual((done.code, done.errors), (0, ""))

    def test_a_permit_from_before_has_lapsed(self) -> None:
        lapsed: list[bool] = []

        async def steps(machine: SuspendedMachine) -> None:
            ask = PermitAsk("u", "a", "h", "s", "", WorkClass.ONLINE, 0)
            grant = HeldGrant(ask, now_ms(), now_ms() + VALID_MS)
            machine.suspended_s = SUSPENDED_S
            lapsed.append(grant.sendable_until_ms <= now_ms())

        self.run_suspended(steps)
        self.assertEqual(lapsed, [True])

    def test_the_time_of_day_is_right_again(self) -> None:
        errors_s: list[float] = []

        async def steps(machine: SuspendedMachine) -> None:
            clock = unix_clock()
            machine.suspended_s = SUSPENDED_S
            errors_s.append(abs(clock() - time.time()))

        self.run_suspended(steps)
        self.assertLess(errors_s[0], 2.0)

    def test_actions_that_became_due_meanwhile_run_soon(self) -> None:
        late_s: list[float] = []

        async def steps(machine: SuspendedMachine) -> None:
            resumed_s = time.perf_counter()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sleep)
                await trio.sleep(0.05)
                machine.suspended_s = SUSPENDED_S
            late_s.append(time.perf_counter() - resumed_s)

        async def sleep() -> None:
            await trio.sleep(WAIT_S)

        self.run_suspended(steps)
        self.assertLess(late_s[0], LATE_S)


if __name__ == "__main__":
    unittest.main()
