"""Logs: one JSON object a line, written by eliot to the file of the settings or standard error."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TextIO

import eliot
import trio

from fescuedock.core.log_budget import LogBudget
from fescuedock.log_writer import BoundedWriter
from fescuedock.schema.settings import VmSettings

__all__ = ["log_event", "open_log"]


# Of the whole process.  A summary of what was left out comes with the next line that is written.
_budget = LogBudget()


def log_event(name: str, *, routine: bool = False, **fields: object) -> None:
    """Log one event; ``fields`` carry their unit as suffix, as everywhere.

    Fields that JSON does not know are written as text.  ``routine`` lines, which say that all went
    well, are the first to be left out under load.
    """
    if not _budget.allow(name, _now_s(), routine=routine):
        return
    left_out = _budget.pop_dropped_counts()
    if left_out:
        eliot.log_message(message_type="log_lines_left_out", **left_out)
    eliot.log_message(message_type=name, **fields)


def _now_s() -> float:
    """Return trio's time; outside a loop none passes, and the budget of a second must do."""
    try:
        return trio.current_time()
    except RuntimeError:
        return 0.0


@contextmanager
def open_log(settings: VmSettings, program: str) -> Iterator[None]:
    """Send this process's events to ``settings.log_file``.

    Empty is standard error, ``-`` standard output.

    Raises ``OSError`` when the file cannot be opened for appending.
    """
    if not settings.log_file:
        with _destination(sys.stderr, settings, program):
            yield
        return
    if settings.log_file == "-":
        writer = BoundedWriter(sys.stdout.fileno())
        with _destination(writer, settings, program):
            yield
        writer.flush()
        return
    with (
        open(settings.log_file, "a", encoding="utf-8") as file,
        _destination(file, settings, program),
    ):
        yield


@contextmanager
def _destination(
    file: TextIO | BoundedWriter, settings: VmSettings, program: str
) -> Iterator[None]:
    destination = eliot.FileDestination(file=file, json_default=str)
    eliot.add_global_fields(vm_id=settings.vm_id, program=program)
    eliot.add_destinations(destination)
    try:
        yield
    finally:
        eliot.remove_destination(destination)
