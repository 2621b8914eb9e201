"""The command ``fescuedock local``: start, ready line, banner and shutdown."""

import sys
import tempfile
from pathlib import Path

import msgspec
import trio

from fescuedock.cli.command_line import Command, ExitCode
from fescuedock.cli.local import LocalSystem, open_local
from fescuedock.cli.local_banner import banner
from fescuedock.cli.local_setup import log_settings
from fescuedock.cli.local_vm import STOP_TIMEOUT_MS
from fescuedock.clock import loop_clock
from fescuedock.daemon import CutOffError, Stop, report_errors, stop_on_signals
from fescuedock.log import open_log

__all__ = ["LOCAL_COMMAND"]

_HELP = """\
fescuedock local: a whole system on this machine, with stand-ins for platform and engines.

usage: fescuedock local [--port=8080] [--data=FOLDER]

Three VMs run on 127.0.0.1, 127.0.0.2 and 127.0.0.3; their entries listen on the port given (0 takes
free ones).  When all serve, one JSON line with ready_url goes to standard output.  Stores and logs
are in a temporary folder that is removed at the end, unless --data names one.
SIGTERM or SIGINT begins a graceful shutdown, a second one ends it at once.

exit codes: 0 stopped, 1 failed or cut off, 2 bad usage
"""


def _run(port: int = 8080, data: str = "") -> int:
    if not 0 <= port <= 65535:
        print(f"fescuedock local: not a port: {port}", file=sys.stderr)
        return ExitCode.USAGE
    if data:
        return _run_in(port, Path(data))
    with tempfile.TemporaryDirectory(prefix="fescuedock-") as folder:
        return _run_in(port, Path(folder))


def _run_in(port: int, folder: Path) -> int:
    log_file = folder / "log.jsonl"

    def run() -> None:
        folder.mkdir(parents=True, exist_ok=True)
        with open_log(log_settings(log_file), "local"):
            trio.run(_serve, port, folder, log_file, clock=loop_clock())

    return report_errors("fescuedock local", run)


async def _serve(port: int, folder: Path, log_file: Path) -> None:
    stop = Stop()
    finished = False
    async with trio.open_nursery() as nursery:
        await nursery.start(stop_on_signals, stop, STOP_TIMEOUT_MS, nursery.cancel_scope)
        async with open_local(port, folder) as system:
            _report_ready(system, log_file)
            await stop.wait()
            system.stop()
            await system.wait_stopped()
        finished = True
        nursery.cancel_scope.cancel()
    if not finished:
        raise CutOffError("ended before all that was in progress had finished")


def _report_ready(system: LocalSystem, log_file: Path) -> None:
    url = f"http://{system.entry_address}"
    print(msgspec.json.encode({"ready_url": url}).decode(), flush=True)
    print(banner(url, log_file), file=sys.stderr, flush=True)


LOCAL_COMMAND = Command(_run, _HELP)
