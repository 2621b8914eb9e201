"""Turns the words of a command line into a call, by fire; nothing of fire shows."""

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
# Our users know of commands, not of functions.
_FIRE_MISSING = "The function received no value for the required argument"


def parse_words(
    name: str, commands: Command | Mapping[str, Command | Mapping], words: Sequence[str]
) -> Result[Callable[[], int], str]:
    """Return the call that ``words`` mean, or one line that says what is wrong with them."""
    recorded_calls: list[Callable[[], int]] = []
    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            fire.Fire(_recording(commands, recorded_calls), command=list(words), name=name)
    except FireExit:
        recorded_calls.clear()
    return Ok(recorded_calls[0]) if recorded_calls else Err(_usage_error(output.getvalue()))


def _recording(commands: Command | Mapping, recorded_calls: list) -> object:
    """Return what fire shall call: the commands' signatures, which only note the call."""
    if not isinstance(commands, Command):
        return {
            name: _recording(command, recorded_calls) for name, command in commands.items() if name
        }
    # Left alone, fire would read numbers and lists out of plain words.
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
    """Return the one line of fire's output that says what is wrong."""
    for line in output.splitlines():
        if line.startswith(_FIRE_ERROR):
            text = line.removeprefix(_FIRE_ERROR).rstrip(".")
            return text.replace(_FIRE_MISSING, "missing argument")
    return "no such command"
