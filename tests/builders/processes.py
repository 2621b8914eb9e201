"""The programs as processes of their own, started from the INI files in examples/."""

import os
import secrets
import subprocess
import sys
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import trio

__all__ = [
    "EXAMPLES",
    "PROGRAMS",
    "VMS",
    "copy_examples",
    "run_program",
    "stop_together",
    "wait_ready",
]

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples" / "local"
VMS = ("vm-gent", "vm-brugge", "vm-leuven")
# The others need their VM's agent, and leave with its help.
PROGRAMS = (("agent",), ("store", "batch", "entry"))
_LOOPBACK = "127.0.0."
_STOP_TIMEOUT_S = 30


def copy_examples(folder: Path) -> str:
    """Copy the files to ``folder`` for a loopback network of this process; return its prefix.

    The whole of 127.0.0.0/8 is this machine, so the example's ports clash with nobody's.  Messages
    are signed with a new key.
    """
    keys = folder / "keys"
    keys.write_text(f"k1 {secrets.token_hex(32)}\n", encoding="ascii")
    number = os.getpid()
    network = f"127.{1 + number // 250 % 250}.{1 + number % 250}."
    for source in EXAMPLES.iterdir():
        text = source.read_text(encoding="utf-8").replace(_LOOPBACK, network)
        text = text.replace("data_folder = data/", f"data_folder = {folder}/data/")
        text = text.replace("[vm]\n", f"[vm]\nkey_file = {keys}\n")
        # As in ``fescuedock local``, so that starting and stopping are quick.
        text = text.replace(
            "[entry]\n", "[entry]\nanswer_valid_ms = 1000\nleave_spread_ms = 1000\n"
        )
        text = text.replace("[agent]\n", "[agent]\nprobe_interval_ms = 300\n")
        (folder / source.name).write_text(text, encoding="utf-8")
    return network


@asynccontextmanager
async def run_program(name: str, file: Path, log: Path) -> AsyncIterator[trio.Process]:
    """Run ``fescuedock-NAME FILE``; see ``wait_ready``.

    A process that still runs when the block is left is killed.
    """
    command = [str(Path(sys.executable).with_name(f"fescuedock-{name}")), str(file)]
    async with await trio.open_file(log, "ab") as errors:
        process = await trio.lowlevel.open_process(
            command, stdout=subprocess.PIPE, stderr=errors.wrapped
        )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            with trio.CancelScope(shield=True):
                await process.wait()
        await process.stdout.aclose()


async def stop_together(processes: Iterable[trio.Process]) -> None:
    """Send each process SIGTERM and wait until all have ended."""
    for process in processes:
        process.terminate()
    with trio.fail_after(_STOP_TIMEOUT_S):
        for process in processes:
            await process.wait()


async def wait_ready(process: trio.Process, log: Path) -> None:
    """Wait until ``process`` says that it serves."""
    line = b""
    while not line.endswith(b"\n"):
        data = await process.stdout.receive_some()
        if not data:
            raise RuntimeError(
                f"{process.args} ended: {await trio.Path(log).read_text(encoding='utf-8')}"
            )
        line += data
    if "program" not in msgspec.json.decode(line):
        raise RuntimeError(f"not a ready line: {line!r}")
