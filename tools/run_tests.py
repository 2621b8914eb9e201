"""Runs the tests, and passes over the failures that ``KNOWN-RED.txt`` lists.

A line of that file names one test, what runs it, its seed, what was seen, and the open issue, with
`` | `` between them.  Each listed test still runs; its failure is printed and fails nothing else.

Usage: run_tests.py [NAME...]; without names it runs all.  Ends with 1 when another test has failed.
"""

import sys
import unittest
from collections.abc import Iterable
from pathlib import Path

import msgspec

__all__ = ["KnownRed", "failed_tests", "main", "read_known_red", "unexpected"]

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# More than this many known faults are to be mended first.
MOST_KNOWN_RED = 3
_SEPARATOR = " | "


class KnownRed(msgspec.Struct, frozen=True):
    """One line: ``test`` is the identity that ``unittest`` prints."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Return the lines of a list; raises ``ValueError`` for one out of shape, or for too many."""
    found: list[KnownRed] = []
    for line in filter(None, text.splitlines()):
        fields = line.split(_SEPARATOR)
        if len(fields) != len(KnownRed.__struct_fields__):
            raise ValueError(f"a line of KNOWN-RED.txt has {len(fields)} fields: {line!r}")
        found.append(KnownRed(*fields))
    if len(found) > MOST_KNOWN_RED:
        raise ValueError(f"KNOWN-RED.txt lists {len(found)} tests, {MOST_KNOWN_RED} at most may be")
    return found


def failed_tests(result: unittest.TestResult) -> set[str]:
    """Return the identities of what has failed; a subtest counts as its test."""
    failed = [test for test, _ in (*result.failures, *result.errors)]
    failed += result.unexpectedSuccesses
    return {getattr(test, "test_case", test).id() for test in failed}


def unexpected(failed: Iterable[str], known: Iterable[KnownRed]) -> set[str]:
    """Return what has failed and is not listed."""
    return set(failed) - {item.test for item in known}


def _report(known: Iterable[KnownRed], failed: set[str]) -> None:
    for item in known:
        state = "failed" if item.test in failed else "did not fail this time"
        print(f"KNOWN RED, {state}: {item.test} ({item.issue}): {item.seen}", file=sys.stderr)


def main(names: list[str]) -> int:
    """Run the tests called ``names``, or all; return the exit status."""
    sys.path.insert(0, str(ROOT))
    known = read_known_red(KNOWN_RED.read_text(encoding="utf-8") if KNOWN_RED.exists() else "")
    loader = unittest.defaultTestLoader
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner().run(suite)
    failed = failed_tests(result)
    _report(known, failed)
    return 1 if unexpected(failed, known) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
