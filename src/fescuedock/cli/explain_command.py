"""The command ``explain``: the events of one request or job, from saved logs."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from fescuedock.cli.command_line import Command, ExitCode
from fescuedock.report.explain import LogLine, lines_about

__all__ = ["EXPLAIN_COMMAND"]

_HELP = """\
fescuedock explain: the life of one request, job or item, from the logs of any number of VMs.

usage: fescuedock explain ID [FILES] [--around=MS] [--json]

FILES are log files, separated by commas; without them standard input is read.  --around adds what
the same VMs came to believe from MS milliseconds before the first line on: configurations,
upstreams, the store, neighbours.  The last lines tell the outcome; docs/OPERATIONS.md shows how to
read them.

exit codes: 0 done, 1 nothing is known of ID, 2 bad usage
"""


def _explain(identity: str, files: str = "", around: int = 0, json: bool = False) -> int:
    try:
        lines = lines_about(identity, _lines(files), float(around))
    except OSError as error:
        print(f"fescuedock explain: {error}", file=sys.stderr)
        return ExitCode.USAGE
    if not lines:
        print(f"fescuedock explain: no line names {identity}", file=sys.stderr)
        return ExitCode.FAILED
    for text in _as_json(lines) if json else _as_text(lines):
        print(text)
    return ExitCode.OK


def _lines(files: str) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for name in files.split(","):
        with open(Path(name), encoding="utf-8", errors="replace") as file:
            yield from file


def _as_text(lines: list[LogLine]) -> Iterable[str]:
    return [line.text(lines[0].at_s) for line in lines]


def _as_json(lines: list[LogLine]) -> Iterable[str]:
    for line in lines:
        fields = {"at_s": line.at_s, "vm_id": line.vm_id, "event": line.event, **line.fields}
        yield msgspec.json.encode(fields).decode()


EXPLAIN_COMMAND = Command(_explain, _HELP)
