"""The command ``fescuedock``."""

import sys
from collections.abc import Mapping
from pathlib import Path

from fescuedock.cli.command_line import Command, ExitCode, run_command_line
from fescuedock.cli.local_command import LOCAL_COMMAND
from fescuedock.settings import SECTIONS, load_settings

__all__ = ["main"]

_HELP = """\
fescuedock: online and batch inference on one fleet.

usage: fescuedock COMMAND [ARGUMENTS]

  local            run a whole system on this machine, with stand-ins
  check-settings   check the INI file of a VM

fescuedock COMMAND --help tells more.
exit codes: 0 done, 1 refused or failed, 2 bad usage or settings, 3 outcome unknown
"""
_CHECK_HELP = """\
fescuedock check-settings: check the INI file of a VM and name everything that is wrong.

usage: fescuedock check-settings FILE

exit codes: 0 the file is good, 2 it is not
"""


def _check_settings(file: str) -> int:
    path = Path(file)
    loaded = load_settings(path, ())
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        return ExitCode.USAGE
    settings = loaded.unwrap()
    named = [name for name in SECTIONS if getattr(settings, name) is not None]
    print(f"{path}: good; sections {', '.join(named)}")
    return ExitCode.OK


_COMMANDS: Mapping[str, Command | Mapping] = {
    "": Command(lambda: ExitCode.USAGE, _HELP),
    "local": LOCAL_COMMAND,
    "check-settings": Command(_check_settings, _CHECK_HELP),
}


def main() -> None:
    """Run the command; never returns."""
    sys.exit(run_command_line("fescuedock", _COMMANDS))


if __name__ == "__main__":
    main()
