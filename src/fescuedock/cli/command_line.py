"""Arguments of our programs: fire parses them, and nothing of fire shows.

Parsing and running are apart, so that an error of the command itself is never shown as one of its
arguments, and the other way round.
"""

import contextlib
import functools
import inspect
import io
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum

import fire
from fire.core import FireError, FireExit

__all__ = ["Command", "ExitCode", "run_command_line"]

_FIRE_ERROR = "ERROR: "
# Our users know of commands, not of functions.
_FIRE_MISSING = "The function received no value for the required argument"
_HELP_FLAGS = frozenset({"-h", "--help", "help"})


class ExitCode(IntEnum):
    """How a program of ours ends."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNKNOWN = 3


@dataclass(frozen=True, slots=True)
class Command:
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
    chosen: list[Callable[[], int]] = []
    shown = io.StringIO()
    try:
        with contextlib.redirect_stderr(shown), contextlib.redirect_stdout(shown):
            fire.Fire(_recording(commands, chosen), command=list(words), name=name)
    except FireExit:
        chosen.clear()
    if not chosen:
        print(f"{name}: {_usage_error(shown.getvalue())}; see {name} --help", file=sys.stderr)
        return ExitCode.USAGE
    return chosen[0]()


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


def _recording(commands: Command | Mapping, chosen: list) -> object:
    """Return what fire shall call: the commands' signatures, which only note the call."""
    if not isinstance(commands, Command):
        return {name: _recording(command, chosen) for name, command in commands.items() if name}
    # Left alone, fire would read numbers and lists out of plain words.
    parsers = {
        name: _PARSERS.get(parameter.annotation, str)
        for name, parameter in inspect.signature(commands.run).parameters.items()
    }

    @fire.decorators.SetParseFns(**parsers)
    @functools.wraps(commands.run)
    def note(*args: object, **kwargs: object) -> None:
        chosen.append(functools.partial(commands.run, *args, **kwargs))

    return note


def _parse_bool(text: str) -> bool:
    if text.lower() not in ("true", "false"):
        raise FireError(f"not true or false: {text}")
    return text.lower() == "true"


def _parse_int(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise FireError(f"not a whole number: {text}") from error


_PARSERS = {bool: _parse_bool, int: _parse_int}


def _usage_error(shown: str) -> str:
    """Return the one line of fire's output that says what is wrong."""
    for line in shown.splitlines():
        if line.startswith(_FIRE_ERROR):
            text = line.removeprefix(_FIRE_ERROR).rstrip(".")
            return text.replace(_FIRE_MISSING, "missing argument")
    return "no such command"
