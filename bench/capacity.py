"""Recompute the tables of ``docs/CAPACITY.md`` from ``bench/slopes.json``: ``make capacity``.

With ``--check`` it writes nothing and exits with 1 if the page is out of date.
"""

import re
import sys
from collections.abc import Iterable
from pathlib import Path

from bench.capacity_model import (
    Assumptions,
    Load,
    Target,
    control_loads,
    data_loads,
    kv_loads,
    total,
)
from bench.slopes import Slope, read_slopes

__all__ = ["PAGE", "filled_page", "main"]

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_MARKER = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)
# Validities of permits that the page compares, in ms.
_VALIDITIES_MS = (2000, 5000, 14800)
_SCALES = (0.25, 0.5, 1.0, 2.0, 4.0)


def main() -> int:
    """Update the page, or check it; return the exit code."""
    text = PAGE.read_text(encoding="utf-8")
    filled = filled_page(text, read_slopes())
    if filled == text:
        print("docs/CAPACITY.md is current")
        return 0
    if "--check" in sys.argv:
        print("docs/CAPACITY.md is not current: run make capacity")
        return 1
    PAGE.write_text(filled, encoding="utf-8")
    print("wrote docs/CAPACITY.md")
    return 0


def filled_page(text: str, slopes: dict[str, Slope]) -> str:
    """Return ``text`` with every marked table recomputed; ``KeyError`` names a missing slope."""
    target, assumed = Target(), Assumptions()
    tables = {
        "slopes": _slopes_table(slopes),
        "control": _loads_table(control_loads(target, assumed, slopes)),
        "validity": _validity_table(target, slopes),
        "data": _loads_table(data_loads(target, assumed, slopes)),
        "kv": _calls_table(kv_loads(target, assumed, slopes)),
        "scale": _scale_table(slopes),
    }
    return _MARKER.sub(lambda found: f"{found[1]}\n{tables[found[2]]}\n{found[3]}", text)


def _table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    names = list(head)
    lines = [names, ["---"] * len(names), *(list(row) for row in rows)]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def _slopes_table(slopes: dict[str, Slope]) -> str:
    rows = (
        (f"`{name}`", f"{slope.value:g}", slope.unit, f"`{slope.command}`", slope.method)
        for name, slope in sorted(slopes.items())
    )
    return _table(("slope", "value", "unit", "command", "method"), rows)


def _loads_table(loads: list[Load]) -> str:
    return _table(
        ("mechanism", "per s", "% of a core", "bytes/s", "formula"),
        (
            (
                load.mechanism,
                f"{load.per_s:.3g}",
                f"{100 * load.core_share:.2f}",
                f"{load.bytes_per_s:,.0f}",
                load.formula,
            )
            for load in (*loads, total(loads))
        ),
    )


def _calls_table(loads: list[Load]) -> str:
    return _table(
        ("mechanism", "calls/s", "formula"),
        ((load.mechanism, f"{load.per_s:.2f}", load.formula) for load in (*loads, total(loads))),
    )


def _validity_table(target: Target, slopes: dict[str, Slope]) -> str:
    rows = []
    for valid_ms in _VALIDITIES_MS:
        sums = total(control_loads(target, Assumptions(permit_valid_ms=valid_ms), slopes))
        rows.append(
            (
                f"{valid_ms}",
                f"{100 * sums.core_share:.2f}",
                f"{sums.bytes_per_s:,.0f}",
                _verdict(sums, target),
            )
        )
    return _table(("`permit_valid_ms`", "% of a core", "bytes/s", "within the target"), rows)


def _verdict(sums: Load, target: Target) -> str:
    cpu = "yes" if sums.core_share <= target.control_core_share else "no"
    size = "yes" if sums.bytes_per_s <= target.control_bytes_per_s else "no"
    return f"processor {cpu}, bytes {size}"


def _scale_table(slopes: dict[str, Slope]) -> str:
    """Return the loads of one node and the key-value service as load and fleet scale together."""
    rows = []
    for scale in _SCALES:
        target = _scaled(scale)
        control = total(control_loads(target, Assumptions(), slopes))
        calls = total(kv_loads(target, Assumptions(), slopes))
        rows.append(
            (
                f"{scale:g}x",
                f"{target.nodes}",
                f"{100 * control.core_share:.2f}",
                f"{control.bytes_per_s:,.0f}",
                f"{calls.per_s:.0f}",
            )
        )
    head = ("size", "nodes", "control, % of a core", "control, bytes/s", "key-value calls/s")
    return _table(head, rows)


def _scaled(scale: float) -> Target:
    base = Target()
    return Target(
        nodes=round(base.nodes * scale),
        upstreams=round(base.upstreams * scale),
        requests_per_s=base.requests_per_s * scale,
        tokens_per_s=base.tokens_per_s * scale,
        items_per_day=base.items_per_day * scale,
        jobs_per_day=base.jobs_per_day * scale,
        config_changes_per_day=base.config_changes_per_day * scale,
        vm_failures_per_day=base.vm_failures_per_day * scale,
        vm_replacements_per_day=base.vm_replacements_per_day * scale,
    )


if __name__ == "__main__":
    sys.exit(main())
