"""Sets of item numbers, and the half-open ranges in which the job record stores them."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence

__all__ = ["ItemSet", "covers", "to_ranges"]

_IN = 1


class ItemSet:
    """A set of numbers below ``size`` that uses one byte per possible number."""

    __slots__ = ("_count", "_flags")

    def __init__(self, size: int, ranges: Iterable[Sequence[int]] = ()) -> None:
        self._flags = bytearray(size)
        for start, end in ranges:
            self._flags[start:end] = bytes([_IN]) * (end - start)
        self._count = self._flags.count(_IN)

    def __len__(self) -> int:
        return self._count

    def __contains__(self, number: int) -> bool:
        return self._flags[number] == _IN

    @property
    def size(self) -> int:
        return len(self._flags)

    def add(self, number: int) -> bool:
        """Add ``number``; return False when it was already in the set."""
        if self._flags[number]:
            return False
        self._flags[number] = _IN
        self._count += 1
        return True

    def discard(self, number: int) -> None:
        self._count -= self._flags[number]
        self._flags[number] = 0

    def next_missing(self, start: int) -> int:
        """Return the first number from ``start`` on that is not in the set, or ``size``."""
        found = self._flags.find(0, start)
        return self.size if found < 0 else found

    def ranges(self) -> list[list[int]]:
        """Return the set as sorted half-open ranges."""
        found: list[list[int]] = []
        start = self._flags.find(_IN)
        while start >= 0:
            end = self.next_missing(start)
            found.append([start, end])
            start = self._flags.find(_IN, end)
        return found


def to_ranges(numbers: Iterable[int]) -> list[list[int]]:
    """Return sorted half-open ranges that cover ``numbers``."""
    ranges: list[list[int]] = []
    for number in sorted(numbers):
        if ranges and ranges[-1][1] == number:
            ranges[-1][1] = number + 1
        else:
            ranges.append([number, number + 1])
    return ranges


def covers(ranges: Sequence[Sequence[int]], number: int) -> bool:
    """Return whether sorted half-open ``ranges`` cover ``number``."""
    index = bisect_right(ranges, number, key=lambda item: item[0])
    return index > 0 and number < ranges[index - 1][1]
