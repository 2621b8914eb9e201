"""Defines commands and runs the one that a command line selects.

Parsing and running are separate steps, so that an error raised by a command is never reported as a
usage error or the other way round.
"""

import sys
from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum

import msgspec
from result import Err

__all__ = ["Command", "ExitCode", "run_command_line"]

_HELP_FLAGS = frozenset({"-h", "--help", "help"})


class ExitCode(IntEnum):
    """Exit codes of all programs of the package; UNKNOWN: a change may have taken effect."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNKNOWN = 3


class Command(msgspec.Struct, frozen=True):
    """One command: a function whose parameters are the command line arguments, and its help."""

    run: Callable[..., int]
    help_text: str


def run_command_line(
    name: str, commands: Command | Mapping[str, Command | Mapping], words: Sequence[str]
) -> int:
    """Parse the arguments ``words``, run the selected command and return its exit code.

    ``commands`` may be nested by name.  The key "" of a group has the group's help.
    """
    if _HELP_FLAGS & set(words):
        print(_innermost(commands, words).help_text, end="")
        return ExitCode.OK
    if _names_group(commands, words):
        print(_innermost(commands, words).help_text, end="", file=sys.stderr)
        return ExitCode.USAGE
    # Imported only when needed, since importing fire takes 40 ms of a program's start.
    from fescuedock.cli.words import parse_words

    parsed = parse_words(name, commands, words)
    if isinstance(parsed, Err):
        print(f"{name}: {parsed.err_value}; see {name} --help", file=sys.stderr)
        return ExitCode.USAGE
    return parsed.ok_value()


def _innermost(commands: Command | Mapping, words: Sequence[str]) -> Command:
    """Return the command that ``words`` select, or the entry "" of the innermost group."""
    for word in words:
        if not isinstance(commands, Command) and word and word in commands:
            commands = commands[word]
    return commands if isinstance(commands, Command) else commands[""]


def _names_group(commands: Command | Mapping, words: Sequence[str]) -> bool:
    """Return whether ``words`` select a group but no command in it."""
    for word in words:
        if isinstance(commands, Command) or word not in commands:
            return False
        commands = commands[word]
    return not isinstance(commands, Command)
