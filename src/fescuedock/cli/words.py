"""Parses command line arguments with fire, whose own output and wording stay hidden."""

import contextlib
import functools
import inspect
import io
from collections.abc import Callable, Mapping, Sequence

import fire
from fire.core import FireError, FireExit
from result import Err, Ok, Result

from fescuedock.cli.command_line import Command

__all__ = ["parse_words"]

_FIRE_ERROR = "ERROR: "
# Replaced in error texts, since users know commands and not functions.
_FIRE_MISSING = "The function received no value for the required argument"


def parse_words(
    name: str, commands: Command | Mapping[str, Command | Mapping], words: Sequence[str]
) -> Result[Callable[[], int], str]:
    """Return the call that ``words`` select, or a one-line usage error."""
    recorded_calls: list[Callable[[], int]] = []
    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            fire.Fire(_recording(commands, recorded_calls), command=list(words), name=name)
    except FireExit:
        recorded_calls.clear()
    return Ok(recorded_calls[0]) if recorded_calls else Err(_usage_error(output.getvalue()))


def _recording(commands: Command | Mapping, recorded_calls: list) -> object:
    """Return functions with the commands' signatures that only record the call, for fire."""
    if not isinstance(commands, Command):
        return {
            name: _recording(command, recorded_calls) for name, command in commands.items() if name
        }
    # By default fire converts plain arguments to numbers and lists.
    parsers = {
        name: _PARSERS.get(parameter.annotation, str)
        for name, parameter in inspect.signature(commands.run).parameters.items()
    }

    @fire.decorators.SetParseFns(**parsers)
    @functools.wraps(commands.run)
    def record(*args: object, **kwargs: object) -> None:
        recorded_calls.append(functools.partial(commands.run, *args, **kwargs))

    return record


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


def _usage_error(output: str) -> str:
    """Return the error message in fire's output."""
    for line in output.splitlines():
        if line.startswith(_FIRE_ERROR):
            text = line.removeprefix(_FIRE_ERROR).rstrip(".")
            return text.replace(_FIRE_MISSING, "missing argument")
    return "no such command"
