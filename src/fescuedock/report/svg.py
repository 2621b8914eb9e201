"""Draws line plots as inline SVG; the colours come from the style sheet of the page."""

import math
from collections.abc import Callable, Sequence
from html import escape

import msgspec

__all__ = ["Axis", "Guide", "Series", "linear_axis", "log_axis", "plot"]

_WIDTH = 640
_HEIGHT = 260
_LEFT = 62
_RIGHT = 150
_TOP = 14
_BOTTOM = 36
_LABEL_GAP = 15
_DOT_RADIUS = 3


class Axis(msgspec.Struct, frozen=True):
    """One axis: ``position`` maps a value to the range 0 to 1; ``marks`` are values with labels."""

    title: str
    position: Callable[[float], float]
    marks: tuple[tuple[float, str], ...]


class Series(msgspec.Struct, frozen=True):
    """One line, interrupted where a value is None.  ``style`` is a CSS class of the page."""

    name: str
    style: str
    points: tuple[tuple[float, float | None], ...]


class Guide(msgspec.Struct, frozen=True):
    """A dashed line across the plot at one value."""

    name: str
    style: str
    value: float


def log_axis(title: str, values: Sequence[float]) -> Axis:
    """Return a logarithmic axis between the powers of ten that enclose ``values``."""
    positive = [value for value in values if value > 0] or [1.0]
    low = math.floor(math.log10(min(positive)))
    high = max(math.ceil(math.log10(max(positive))), low + 1)

    def position(value: float) -> float:
        return (math.log10(max(value, 10.0**low)) - low) / (high - low)

    marks = tuple((10.0**power, f"{10.0**power:g}") for power in range(low, high + 1))
    return Axis(title, position, marks)


def linear_axis(title: str, low: float, high: float, marks: Sequence[tuple[float, str]]) -> Axis:
    """Return an axis from ``low`` to ``high``."""
    span = (high - low) or 1.0
    return Axis(title, lambda value: (value - low) / span, tuple(marks))


def plot(x: Axis, y: Axis, series: Sequence[Series], guides: Sequence[Guide], label: str) -> str:
    """Return the SVG element; ``label`` describes it for screen readers."""
    parts = [
        f'<svg viewBox="0 0 {_WIDTH} {_HEIGHT}" role="img" aria-label="{escape(label)}">',
        *_grid(x, y),
        *(_guide(guide, y) for guide in guides),
        *(_line(item, x, y) for item in series),
        *_names(series, guides, y),
        "</svg>",
    ]
    return "\n".join(parts)


def _at_x(axis: Axis, value: float) -> float:
    return _LEFT + axis.position(value) * (_WIDTH - _LEFT - _RIGHT)


def _at_y(axis: Axis, value: float) -> float:
    share = min(max(axis.position(value), 0.0), 1.0)
    return _HEIGHT - _BOTTOM - share * (_HEIGHT - _TOP - _BOTTOM)


def _grid(x: Axis, y: Axis) -> list[str]:
    right, bottom = _WIDTH - _RIGHT, _HEIGHT - _BOTTOM
    parts = []
    for value, text in y.marks:
        at = _at_y(y, value)
        parts.append(f'<line class="grid" x1="{_LEFT}" x2="{right}" y1="{at:.1f}" y2="{at:.1f}"/>')
        parts.append(_text(_LEFT - 6, at + 4, text, "end"))
    for value, text in x.marks:
        at = _at_x(x, value)
        parts.append(f'<line class="grid" x1="{at:.1f}" x2="{at:.1f}" y1="{_TOP}" y2="{bottom}"/>')
        parts.append(_text(at, bottom + 16, text, "middle"))
    middle = (_TOP + bottom) / 2
    parts.append(_text((_LEFT + right) / 2, _HEIGHT - 4, x.title, "middle"))
    rotation = f'transform="rotate(-90 14 {middle:.0f})"'
    parts.append(f'<text x="14" y="{middle:.0f}" text-anchor="middle" {rotation}>{y.title}</text>')
    return parts


def _guide(guide: Guide, y: Axis) -> str:
    at = _at_y(y, guide.value)
    right = _WIDTH - _RIGHT
    return (
        f'<line class="guide {guide.style}" x1="{_LEFT}" x2="{right}" y1="{at:.1f}" y2="{at:.1f}"/>'
    )


def _line(series: Series, x: Axis, y: Axis) -> str:
    """Return one polyline for each run of points without gaps, and a dot at each point."""
    runs: list[list[str]] = [[]]
    dots = []
    for at, value in series.points:
        if value is None:
            runs.append([])
            continue
        point_x, point_y = _at_x(x, at), _at_y(y, value)
        runs[-1].append(f"{point_x:.1f},{point_y:.1f}")
        dots.append(f'<circle cx="{point_x:.1f}" cy="{point_y:.1f}" r="{_DOT_RADIUS}"/>')
    lines = [f'<polyline points="{" ".join(run)}"/>' for run in runs if len(run) > 1]
    return f'<g class="series {series.style}">{"".join(lines + dots)}</g>'


def _names(series: Sequence[Series], guides: Sequence[Guide], y: Axis) -> list[str]:
    """Label each line at its right end; labels that would overlap are moved apart."""
    labels = [
        (_at_y(y, item.points[-1][1]), item.name, item.style)
        for item in series
        if item.points and item.points[-1][1] is not None
    ]
    labels += [(_at_y(y, guide.value), guide.name, guide.style) for guide in guides]
    labels.sort()
    left = _WIDTH - _RIGHT + 8
    return [
        f'<text class="name {style}" x="{left}" y="{at + 4:.1f}">{escape(name)}</text>'
        for at, (_, name, style) in zip(
            _spread_positions([at for at, *_ in labels]), labels, strict=True
        )
    ]


def _spread_positions(desired: Sequence[float]) -> list[float]:
    """Return ascending positions near the ``desired`` ones, at least ``_LABEL_GAP`` apart."""
    positions: list[float] = []
    for at in desired:
        positions.append(max(at, positions[-1] + _LABEL_GAP) if positions else at)
    limit = _HEIGHT - _BOTTOM
    for number in reversed(range(len(positions))):
        positions[number] = min(positions[number], limit)
        limit = positions[number] - _LABEL_GAP
    return positions


def _text(x: float, y: float, text: str, anchor: str) -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">{escape(text)}</text>'
