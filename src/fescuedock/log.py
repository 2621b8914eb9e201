"""Structured logs: eliot writes one JSON object per line to the configured destination."""

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


# Shared by the process.  The next line written after a dropped one is preceded by a summary.
_budget = LogBudget()


def log_event(name: str, *, routine: bool = False, **fields: object) -> None:
    """Log one event; names in ``fields`` have their unit as suffix.

    Values that JSON cannot represent are written as text.  Under load, ``routine`` events, which
    report normal operation, are dropped first.
    """
    if not _budget.allow(name, _now_s(), routine=routine):
        return
    left_out = _budget.pop_dropped_counts()
    if left_out:
        eliot.log_message(message_type="log_lines_left_out", **left_out)
    eliot.log_message(message_type=name, **fields)


def _now_s() -> float:
    """Return trio's time, or 0 outside a loop, where the budget of one second is all there is."""
    try:
        return trio.current_time()
    except RuntimeError:
        return 0.0


@contextmanager
def open_log(settings: VmSettings, program: str) -> Iterator[None]:
    """Write this process's events to ``settings.log_file``.

    An empty name is standard error, ``-`` is standard output.  Raise ``OSError`` if the file
    cannot be opened for appending.
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
