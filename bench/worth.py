"""Print the worth of each standard day in its first, best and last score.

Reads the entries of complete scores in ``journal/`` and runs no simulation.

    python -m bench.worth
"""

import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

__all__ = ["DayWorth", "ScoreEntry", "compare", "format_table"]

_JOURNAL = Path(__file__).resolve().parent.parent / "journal"
# Name prefix of days drawn for a single score, which cannot be compared across scores.
_SINGLE_SCORE_PREFIX = "fresh-"


class DayWorth(msgspec.Struct, rename={"worth": "G"}):
    """One day of a score: its worth before normalization by the day's marks."""

    name: str
    worth: float
    rules: dict[str, int] = {}


class ScoreEntry(msgspec.Struct):
    """A journal entry of a score; ``at`` holds its start and end times."""

    cmd: str
    at: list[str]
    site: str | None = None
    head: str = ""
    days: list[DayWorth] = []


@dataclass(slots=True)
class _History:
    """The worth of one day over all scores, oldest first."""

    worths: list[float] = field(default_factory=list)
    broken: int = 0


def read_scores(folder: Path) -> list[ScoreEntry]:
    """Return the complete scores of a journal, oldest first."""
    decoder = msgspec.json.Decoder(ScoreEntry)
    entries = [decoder.decode(path.read_bytes()) for path in folder.glob("*.json")]
    return sorted((item for item in entries if item.cmd == "score"), key=lambda item: item.at[0])


def compare(scores: list[ScoreEntry]) -> dict[tuple[str, str], _History]:
    """Return the history of each standard day, by site and day."""
    histories: dict[tuple[str, str], _History] = {}
    for score in scores:
        for day in score.days:
            if day.name.startswith(_SINGLE_SCORE_PREFIX):
                continue
            history = histories.setdefault((score.site or "", day.name), _History())
            history.worths.append(day.worth)
            history.broken += bool(day.rules)
    return histories


def format_table(histories: dict[tuple[str, str], _History]) -> str:
    """Return a row for each day: first, best and last worth, and scores with a broken rule."""
    rows = [f"{'site':14} {'day':10} {'first':>7} {'best':>7} {'last':>7} {'broken':>7}"]
    for (site, day), history in sorted(histories.items()):
        first, best, last = history.worths[0], max(history.worths), history.worths[-1]
        rows.append(f"{site:14} {day:10} {first:7.3f} {best:7.3f} {last:7.3f} {history.broken:7}")
    return "\n".join(rows)


def main() -> int:
    """Print the table; return the exit code."""
    scores = read_scores(_JOURNAL)
    if not scores:
        print(f"no score in {_JOURNAL}", file=sys.stderr)
        return 1
    print(format_table(compare(scores)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
