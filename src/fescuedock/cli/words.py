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
    chosen: list[Callable[[], int]] = []
    shown = io.StringIO()
    try:
        with contextlib.redirect_stderr(shown), contextlib.redirect_stdout(shown):
            fire.Fire(_recording(commands, chosen), command=list(words), name=name)
    except FireExit:
        chosen.clear()
    return Ok(chosen[0]) if chosen else Err(_usage_error(shown.getvalue()))


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
