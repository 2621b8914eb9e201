"""The command ``fescuedock``."""

import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from fescuedock.cli.burn_command import BURN_COMMAND
from fescuedock.cli.command_line import Command, ExitCode, run_command_line
from fescuedock.cli.config_commands import CONFIG_COMMANDS
from fescuedock.cli.explain_command import EXPLAIN_COMMAND
from fescuedock.cli.fleet_commands import (
    CUSTOMERS_COMMAND,
    DRAIN_COMMAND,
    STATUS_COMMAND,
    UPSTREAMS_COMMAND,
)
from fescuedock.cli.job_commands import JOB_COMMANDS
from fescuedock.cli.local_command import LOCAL_COMMAND
from fescuedock.settings import NODE_SECTIONS, SPOOL_SECTIONS, load_settings
from fescuedock.standin.main import load_standin_settings

__all__ = ["main", "run_words"]

_HELP = """\
fescuedock: online and batch inference on one fleet.

usage: fescuedock COMMAND [ARGUMENTS]

  status           the VMs of the fleet
  upstreams        the upstreams, their owners and load
  customers        the customers, their limits and use
  drain            take an upstream or a VM out of use
  config           get, diff, patch, history, wait: the operators' configuration
  jobs             list, show, cancel: batch jobs
  burn             how fast each service uses up the failures its objectives allow
  explain          the life of one request or job, from saved logs
  check-settings   check the INI file of a VM
  local            run a whole system on this machine, with stand-ins

fescuedock COMMAND --help tells more.  Commands that talk to the fleet take --entry=HOST:PORT;
without it they use the environment's FESCUEDOCK_ENTRY, or 127.0.0.1:8080.

exit codes: 0 done, 1 refused or failed, 2 bad usage or settings, 3 outcome unknown
"""
_CHECK_HELP = """\
fescuedock check-settings: check the INI file of a VM and name everything that is wrong.

usage: fescuedock check-settings FILE

exit codes: 0 the file is good, 2 it is not
"""


def _check_settings(file: str) -> int:
    path = Path(file)
    if _has_section(path, "standin"):
        loaded = load_standin_settings(path)
    else:
        loaded = load_settings(path, _sections_of(path))
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        return ExitCode.USAGE
    print(f"{path}: good")
    return ExitCode.OK


def _sections_of(path: Path) -> Sequence[str]:
    """Return the required sections of a file, by the program that it is for."""
    if _has_section(path, "node"):
        return NODE_SECTIONS
    return SPOOL_SECTIONS if _has_section(path, "spool") else ()


def _has_section(path: Path, name: str) -> bool:
    """Return whether the file has section ``name``; False for an unreadable file."""
    try:
        return any(line.strip() == f"[{name}]" for line in path.read_text("utf-8").splitlines())
    except (OSError, UnicodeDecodeError):
        return False


_COMMANDS: Mapping[str, Command | Mapping] = {
    "": Command(lambda: ExitCode.USAGE, _HELP),
    "customers": CUSTOMERS_COMMAND,
    "status": STATUS_COMMAND,
    "upstreams": UPSTREAMS_COMMAND,
    "drain": DRAIN_COMMAND,
    "config": CONFIG_COMMANDS,
    "jobs": JOB_COMMANDS,
    "burn": BURN_COMMAND,
    "explain": EXPLAIN_COMMAND,
    "local": LOCAL_COMMAND,
    "check-settings": Command(_check_settings, _CHECK_HELP),
}


def run_words(words: Sequence[str]) -> int:
    """Run the command given by the arguments ``words`` and return its exit code."""
    return run_command_line("fescuedock", _COMMANDS, words)


def main() -> None:
    """Run the command given by ``sys.argv`` and exit with its code."""
    sys.exit(run_words(sys.argv[1:]))


if __name__ == "__main__":
    main()
