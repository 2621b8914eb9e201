"""Commands of our programs, and what runs for the words of a command line.

Parsing and running are apart, so that an error of the command itself is never shown as one of its
arguments, and the other way round.
"""

import sys
from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum

import msgspec
from result import Err

__all__ = ["Command", "ExitCode", "run_command_line"]

_HELP_FLAGS = frozenset({"-h", "--help", "help"})


class ExitCode(IntEnum):
    """How a program of ours ends."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNKNOWN = 3


class Command(msgspec.Struct, frozen=True):
    """One command: a function whose parameters are the arguments, and the help text."""

    run: Callable[..., int]
    help_text: str


def run_command_line(
    name: str, commands: Command | Mapping[str, Command | Mapping], words: Sequence[str]
) -> int:
    """Parse ``words``, run the command that they mean, and return its exit code.

    ``commands`` may be nested by name; the help of a group is under the key "".
    """
    if _HELP_FLAGS & set(words):
        print(_innermost(commands, words).help_text, end="")
        return ExitCode.OK
    if _names_group(commands, words):
        print(_innermost(commands, words).help_text, end="", file=sys.stderr)
        return ExitCode.USAGE
    # Imported when there are words to parse: fire is 40 ms of the start of a program without any.
    from fescuedock.cli.words import parse_words

    parsed = parse_words(name, commands, words)
    if isinstance(parsed, Err):
        print(f"{name}: {parsed.err_value}; see {name} --help", file=sys.stderr)
        return ExitCode.USAGE
    return parsed.ok_value()


def _innermost(commands: Command | Mapping, words: Sequence[str]) -> Command:
    """Return the command that ``words`` name, or what stands for the innermost group."""
    for word in words:
        if not isinstance(commands, Command) and word and word in commands:
            commands = commands[word]
    return commands if isinstance(commands, Command) else commands[""]


def _names_group(commands: Command | Mapping, words: Sequence[str]) -> bool:
    """Return whether ``words`` name a group and no command in it."""
    for word in words:
        if isinstance(commands, Command) or word not in commands:
            return False
        commands = commands[word]
    return not isinstance(commands, Command)
