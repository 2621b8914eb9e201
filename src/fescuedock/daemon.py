"""Starts and stops the programs of the package.

A program is a coroutine that gets the validated settings and a ``Stop``, reports its address once
it serves, and returns after a graceful shutdown.  ``fescuedock local`` runs the same coroutines as
tasks of one process.
"""

import signal
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Protocol

import msgspec
import trio
import zmq

from fescuedock.address import Address
from fescuedock.clock import loop_clock
from fescuedock.log import log_event, open_log
from fescuedock.settings import Settings, load_settings
from fescuedock.settings_file import SettingsFile, watch_settings

__all__ = [
    "CutOffError",
    "Program",
    "Stop",
    "leaf_errors",
    "report_errors",
    "run_program",
    "stop_on_signals",
]

_HELP = """\
{name}: the {program} program of fescuedock.

usage: {name} FILE

FILE is the INI file of this VM.  Of its sections this program needs {sections}.
When it serves, it prints one JSON line with its address on standard output.  SIGTERM or SIGINT
begins a graceful shutdown, bounded by stop_timeout_ms; a second one ends the program at once.

exit codes: 0 stopped, 1 failed while running or cut off, 2 bad settings or usage
"""


# Time after the end of stop_timeout_ms until a program that still runs is cancelled.
_FORCED_STOP_DELAY_MS = 2000


class CutOffError(OSError):
    """A shutdown was not graceful: a second signal came or it exceeded its time limit."""


class Stop(msgspec.Struct):
    """Requests a graceful shutdown of a program."""

    _requested: trio.Event = msgspec.field(default_factory=trio.Event)

    def request(self) -> None:
        self._requested.set()

    @property
    def requested(self) -> bool:
        return self._requested.is_set()

    async def wait(self) -> None:
        await self._requested.wait()


class Program(Protocol):
    """The coroutine of a program; ``task_status`` gets the ``Address`` once it serves."""

    def __call__(
        self, settings: Settings, stop: Stop, *, task_status: trio.TaskStatus[Address]
    ) -> Awaitable[None]: ...


def run_program(name: str, program: Program, sections: Sequence[str], file: str = "") -> None:
    """Run ``program`` as the process ``fescuedock-NAME FILE``; never returns.

    ``sections`` are the INI file's sections that the program needs besides those that all programs
    need.  ``file`` is the default if the command line names none.
    """

    def run(file: str) -> int:
        return _run_file(name, program, sections, Path(file))

    named = ", ".join(f"[{section}]" for section in sections)
    help_text = _HELP.format(name=f"fescuedock-{name}", program=name, sections=named)
    words = sys.argv[1:]
    if file and not words:
        sys.exit(run(file))
    # Imported when needed, to keep it off the start-up path of a service.
    from fescuedock.cli.command_line import Command, run_command_line

    sys.exit(run_command_line(f"fescuedock-{name}", Command(run, help_text), words))


def _run_file(name: str, program: Program, sections: Sequence[str], path: Path) -> int:
    loaded = load_settings(path, sections)
    if loaded.is_err():
        from fescuedock.cli.command_line import ExitCode

        print(loaded.unwrap_err(), file=sys.stderr)
        return ExitCode.USAGE
    settings = loaded.unwrap()

    def run() -> None:
        with open_log(settings.vm, name):
            file = SettingsFile(path, sections, settings)
            trio.run(_serve, name, program, file, clock=loop_clock())

    return report_errors(f"fescuedock-{name}", run)


def report_errors(name: str, run: Callable[[], None]) -> int:
    """Call ``run`` and return the exit code; print its errors singly, without exception groups.

    An error that an operator can fix, such as an address in use, is printed as one line.  Any other
    is a fault of the program and printed with its traceback.
    """
    failed = False
    try:
        run()
    except* (OSError, zmq.ZMQError) as errors:
        for error in leaf_errors(errors):
            print(f"{name}: {error}", file=sys.stderr)
        failed = True
    except* Exception as errors:
        for error in leaf_errors(errors):
            traceback.print_exception(error)
        failed = True
    # Imported at the end, to keep it off the start-up path.
    from fescuedock.cli.command_line import ExitCode

    return ExitCode.FAILED if failed else ExitCode.OK


def leaf_errors(errors: BaseExceptionGroup) -> list[BaseException]:
    """Return the single exceptions within nested groups."""
    leaves: list[BaseException] = []
    for error in errors.exceptions:
        leaves += leaf_errors(error) if isinstance(error, BaseExceptionGroup) else [error]
    return leaves


async def _serve(name: str, program: Program, file: SettingsFile) -> None:
    stop = Stop()
    finished = False
    settings = file.settings
    async with trio.open_nursery() as nursery:
        await nursery.start(watch_settings, file)
        await nursery.start(
            stop_on_signals, stop, settings.vm.stop_timeout_ms, nursery.cancel_scope
        )

        async def run(*, task_status: trio.TaskStatus[Address]) -> None:
            nonlocal finished
            await program(settings, stop, task_status=task_status)
            finished = True
            log_event("stopped")
            nursery.cancel_scope.cancel()

        address = await nursery.start(run)
        log_event("serving", address=str(address))
        ready = {"program": name, "vm_id": settings.vm.vm_id, "address": str(address)}
        print(msgspec.json.encode(ready).decode(), flush=True)
    if not finished:
        raise CutOffError("ended before all that was in progress had finished")


async def stop_on_signals(
    stop: Stop,
    stop_timeout_ms: int,
    scope: trio.CancelScope,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Request ``stop`` at the first SIGTERM or SIGINT; cancel ``scope`` at the second one.

    ``stop_timeout_ms`` bounds the graceful shutdown: the scope is also cancelled if the program
    has not returned shortly after it.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            if stop.requested:
                break
            log_event("stop_requested", signal=signal.Signals(number).name)
            stop.request()
            limit_ms = stop_timeout_ms + _FORCED_STOP_DELAY_MS
            scope.deadline = trio.current_time() + limit_ms / 1000
    log_event("stopped_at_once")
    scope.cancel()
