"""Table of the worth of each standard day over the scores of the journal."""

import json
import tempfile
import unittest
from pathlib import Path

from bench.worth import compare, format_table, read_scores


def entry(at: str, cmd: str = "score", **worths: float) -> str:
    """Return an entry of the journal with days of the given worth."""
    days = [{"name": name, "G": worth, "rules": {}} for name, worth in worths.items()]
    return json.dumps({"cmd": cmd, "at": [at, at], "site": "manizales", "days": days})


class WorthTableTest(unittest.TestCase):
    def test_first_best_and_last_of_each_standard_day(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            # Files are not in order of time; a drawn day and a single run are excluded.
            (folder / "b.json").write_text(entry("2", quiet=0.7))
            (folder / "a.json").write_text(entry("1", quiet=0.9, **{"fresh-1": 0.1}))
            (folder / "c.json").write_text(entry("3", quiet=0.8))
            (folder / "d.json").write_text(entry("4", cmd="run", quiet=0.2))
            histories = compare(read_scores(folder))
        self.assertEqual(list(histories), [("manizales", "quiet")])
        row = format_table(histories).splitlines()[1].split()
        self.assertEqual(row, ["manizales", "quiet", "0.900", "0.900", "0.800", "0"])


if __name__ == "__main__":
    unittest.main()
