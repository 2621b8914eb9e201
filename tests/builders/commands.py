"""Running our commands and programs in this process, and a local system in another."""

import contextlib
import io
import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

import msgspec

from fescuedock.cli.main import run_words

__all__ = ["Done", "LocalProcess", "run_fescuedock", "run_program_main"]

_STOP_TIMEOUT_S = 30


@dataclass(frozen=True, slots=True)
class Done:
    """How a command ended."""

    code: int
    output: str
    errors: str


def run_fescuedock(*words: str, entry: str = "127.0.0.1:1") -> Done:
    """Run ``fescuedock`` with ``words`` against ``entry``."""
    with mock.patch.dict("os.environ", {"FESCUEDOCK_ENTRY": entry}):
        return _captured(lambda: run_words(words))


def run_program_main(main: Callable[[], None], *words: str) -> Done:
    """Run the ``main`` of a program with ``words`` as its arguments."""

    def run() -> int:
        with mock.patch.object(sys, "argv", ["program", *words]):
            try:
                main()
            except SystemExit as end:
                return end.code
        raise AssertionError("main returned")

    return _captured(run)


def _captured(run: Callable[[], int]) -> Done:
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        code = run()
    return Done(code, output.getvalue(), errors.getvalue())


class LocalProcess:
    """``fescuedock local`` in a process of its own, on free ports."""

    def __init__(self) -> None:
        command = [str(Path(sys.executable).with_name("fescuedock")), "local", "--port=0"]
        self._process = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )
        self.url = msgspec.json.decode(self._process.stdout.readline())["ready_url"]
        self.entry = self.url.removeprefix("http://")

    def stop(self) -> Done:
        """End it gracefully; return how it ended and the rest of what it printed."""
        self._process.send_signal(signal.SIGTERM)
        try:
            output, errors = self._process.communicate(timeout=_STOP_TIMEOUT_S)
        finally:
            self._process.kill()
        return Done(self._process.returncode, output, errors)
