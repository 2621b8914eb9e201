"""Summarize slot shortages and the affected calls and items from the saved logs of a day.

    python -m tests.day_account FILE [SECONDS]

FILE holds lines of the form ``TIME NODE {...}``, as the programs' logs are saved.  For each window
of SECONDS (2 by default) it prints the mean number of slots that online and batch held, how many
calls waited longer than 200 ms for a slot, and how the runs of batch items ended.
"""

import re
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

__all__ = ["DayAccount", "LogLine", "read_lines"]

_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")
# Most of the usual call target of 300 ms.
_LONG_WAIT_MS = 200.0


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of a node's log, with the time at which it was written."""

    at_s: float
    node: str
    fields: dict

    @property
    def kind(self) -> str:
        return self.fields.get("message_type", "")

    @property
    def started_s(self) -> float:
        return self.at_s - self.fields.get("took_ms", 0.0) / 1000


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among ``lines``; skip other and truncated lines."""
    for line in lines:
        found = _LINE.match(line)
        if found is None:
            continue
        try:
            fields = msgspec.json.decode(found[3])
        except msgspec.DecodeError:
            continue
        yield LogLine(float(found[1]), found[2], fields)


@dataclass(slots=True)
class _Window:
    """Sums over one window; slots are slot-seconds."""

    online_s: float = 0.0
    batch_s: float = 0.0
    long_waits: int = 0
    calls: int = 0
    ends: Counter[str] = field(default_factory=Counter)


class DayAccount:
    """Aggregates log lines by windows of ``length_s``."""

    def __init__(self, length_s: float = 2.0) -> None:
        self._length_s = length_s
        self._windows: dict[int, _Window] = {}
        self._runs: Counter[str] = Counter()

    def add(self, line: LogLine) -> None:
        if line.kind == "call_attempt":
            self._add_call(line)
        elif line.kind == "item_run":
            self._add_run(line)

    def _add_call(self, line: LogLine) -> None:
        for window, share_s in self._split_by_window(line):
            window.online_s += share_s
        arrived_s = line.at_s - line.fields["since_receipt_ms"] / 1000
        window = self._window(arrived_s)
        window.calls += 1
        window.long_waits += (line.started_s - arrived_s) * 1000 > _LONG_WAIT_MS

    def _add_run(self, line: LogLine) -> None:
        for window, share_s in self._split_by_window(line):
            window.batch_s += share_s
        self._window(line.at_s).ends[line.fields["attempt_end"]] += 1
        self._runs[line.fields["item_id"]] += 1

    def _split_by_window(self, line: LogLine) -> Iterator[tuple[_Window, float]]:
        """Yield each window that a run overlaps, with the overlap in seconds."""
        at_s = line.started_s
        while at_s < line.at_s:
            number = int(at_s // self._length_s)
            end_s = min(line.at_s, (number + 1) * self._length_s)
            yield self._window(at_s), end_s - at_s
            at_s = end_s

    def _window(self, at_s: float) -> _Window:
        return self._windows.setdefault(int(at_s // self._length_s), _Window())

    def rows(self) -> Iterator[str]:
        """Yield the table with a line for each window, and the mean number of runs per item."""
        yield "  from  online  batch  calls  waited long  ends of batch runs"
        for number, window in sorted(self._windows.items()):
            online, batch = window.online_s / self._length_s, window.batch_s / self._length_s
            ends = ", ".join(f"{count} {end}" for end, count in sorted(window.ends.items()))
            yield (
                f"{number * self._length_s:6.1f} {online:7.1f} {batch:6.1f} {window.calls:6d}"
                f" {window.long_waits:12d}  {ends}"
            )
        items = len(self._runs)
        yield f"{items} items, {self._runs.total() / max(items, 1):.2f} runs each"


def main(path: str, length_s: float = 2.0) -> None:
    """Print the summary of one file."""
    account = DayAccount(length_s)
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in read_lines(file):
            account.add(line)
    print("\n".join(account.rows()))


if __name__ == "__main__":
    main(sys.argv[1], *map(float, sys.argv[2:]))
