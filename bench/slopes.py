"""Measured slopes in ``bench/slopes.json``, the input of ``make capacity``.

A bench run with ``--record`` replaces its own slopes and leaves the others.  Values are processor
time or sizes per unit of work on one core of the machine named in the file, meant for scaling
estimates and not as guarantees.
"""

from pathlib import Path

import msgspec

__all__ = ["SLOPES_FILE", "Slope", "read_slopes", "record_slopes"]

SLOPES_FILE = Path(__file__).with_name("slopes.json")


class Slope(msgspec.Struct, frozen=True):
    """One measured value with its unit, the command that measured it and its method."""

    value: float
    unit: str
    command: str
    method: str


def read_slopes(path: Path = SLOPES_FILE) -> dict[str, Slope]:
    """Return the recorded slopes by name."""
    if not path.exists():
        return {}
    return msgspec.json.decode(path.read_bytes(), type=dict[str, Slope])


def record_slopes(measured: dict[str, Slope], path: Path = SLOPES_FILE) -> None:
    """Replace the slopes named in ``measured``."""
    slopes = {**read_slopes(path), **measured}
    ordered = dict(sorted(slopes.items()))
    path.write_bytes(msgspec.json.format(msgspec.json.encode(ordered), indent=2) + b"\n")
    print("recorded; now run make capacity to update the page")
