"""Formats plain text tables for the terminal."""

from collections.abc import Sequence

__all__ = ["table"]

_GAP = "  "


def table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with columns as wide as their widest cell; numeric columns align right."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(header), *(len(row[column]) for row in cells)])
        for column, header in enumerate(headers)
    ]
    numeric = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(headers))
    ]
    lines = [_line(headers, widths, numeric)]
    lines += [_line(row, widths, numeric) for row in cells]
    return "\n".join(lines)


def _line(cells: Sequence[str], widths: Sequence[int], numeric: Sequence[bool]) -> str:
    parts = [
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(cells, widths, numeric, strict=True)
    ]
    return _GAP.join(parts).rstrip()
