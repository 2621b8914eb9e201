"""The plots of the burn report: latency by percentile, and burn rate by time."""

import math
from collections.abc import Sequence
from datetime import UTC, datetime

from fescuedock.core.burn import Promise, burn_rate, counts_of, fast_rate
from fescuedock.report.burn_report import PERCENTILES, ServiceReport
from fescuedock.report.svg import Axis, Guide, Series, linear_axis, log_axis, plot
from fescuedock.schema.report import SlotCounts

__all__ = ["burn_plot", "latency_plot"]

_MAX_BINS = 48
_TIME_MARKS = 5
_RATE_MARKS = 4
_MINUTE_S = 60
_DAY_S = 86400
_MIN_TOP_RATE = 2.0
# With an objective of 100% any failure gives an infinite rate, which no axis can show.
_MAX_TOP_RATE = 1e6
_STYLES = ("one", "two", "three", "four")


def latency_plot(service: ServiceReport) -> str:
    """Return a plot of latency by percentile on a logarithmic scale, with the objectives."""
    objectives = service.objectives
    guides = (
        Guide("first token objective", "one", objectives.first_token_ms),
        Guide("inter token objective", "two", objectives.inter_token_ms),
    )
    series = [
        Series(
            f"{item.work_class} {item.measure.replace('_', ' ')}",
            _style_of(item.measure),
            tuple(enumerate(item.values_ms)),
        )
        for item in service.latencies
    ]
    values = [value for line in series for _, value in line.points if value]
    y = log_axis("milliseconds", [*values, objectives.first_token_ms, objectives.inter_token_ms])
    names = [f"p{point:g}" if point < 100 else "max" for point in PERCENTILES]
    x = linear_axis("percentile", 0, len(names) - 1, list(enumerate(names)))
    return plot(x, y, series, guides, f"latency of {service.service} by percentile")


def burn_plot(service: ServiceReport, at_s: int) -> str:
    """Return a plot of each promise's burn rate over the time that the counts cover."""
    shares = {burn.promise: burn.objective_share for burn in service.burns}
    bins = _bins(service.slots, at_s)
    series = [
        Series(promise.value, style, tuple(_rates(bins, promise, shares[promise])))
        for promise, style in zip(Promise, _STYLES, strict=False)
    ]
    series = [line for line in series if any(rate is not None for _, rate in line.points)]
    top = max(
        [rate for line in series for _, rate in line.points if rate is not None],
        default=_MIN_TOP_RATE,
    )
    step = _round_up_step(max(min(top, _MAX_TOP_RATE), _MIN_TOP_RATE) / _RATE_MARKS)
    top = step * _RATE_MARKS
    guides = [Guide("budget used up exactly", "limit", 1.0)]
    fast = fast_rate(shares[Promise.ONLINE])
    if fast <= top:
        guides.append(Guide("fast burn, online", "limit", fast))
    marks = [(step * number, f"{step * number:g}") for number in range(_RATE_MARKS + 1)]
    y = linear_axis("burn rate", 0, top, marks)
    return plot(_time_axis(bins, at_s), y, series, guides, f"burn rate of {service.service}")


def _round_up_step(step: float) -> float:
    """Return the smallest of 1, 2, 2.5 and 5 times a power of ten that is at least ``step``."""
    power = 10.0 ** math.floor(math.log10(step))
    return power * next(nice for nice in (1, 2, 2.5, 5, 10) if nice * power >= step)


def _style_of(measure: str) -> str:
    return {"first_token": "one", "inter_token": "two"}.get(measure, "three")


def _bins(slots: Sequence[SlotCounts], at_s: int) -> list[tuple[int, list[SlotCounts]]]:
    """Group ``slots`` into bins of equal length, returned as middle and slots, also empty ones."""
    if not slots:
        return []
    start_s = slots[0].start_s
    span_s = max(at_s + 1 - start_s, _MINUTE_S)
    length_s = -(-span_s // _MAX_BINS // _MINUTE_S) * _MINUTE_S or _MINUTE_S
    length_s = max(length_s, max(slot.length_s for slot in slots))
    count = -(-span_s // length_s)
    bins = [(start_s + number * length_s + length_s // 2, []) for number in range(count)]
    for slot in slots:
        bins[min((slot.start_s - start_s) // length_s, count - 1)][1].append(slot)
    return bins


def _rates(
    bins: Sequence[tuple[int, list[SlotCounts]]], promise: Promise, share: float
) -> list[tuple[float, float | None]]:
    rates: list[tuple[float, float | None]] = []
    for middle_s, slots in bins:
        total, kept = counts_of(promise, slots)
        rates.append((middle_s, burn_rate(total, kept, share) if total else None))
    return rates


def _time_axis(bins: Sequence[tuple[int, list[SlotCounts]]], at_s: int) -> Axis:
    low = bins[0][0] if bins else at_s - _MINUTE_S
    high = max(bins[-1][0] if bins else at_s, low + _MINUTE_S)
    time_format = "%d %b %H:%M" if high - low > _DAY_S else "%H:%M"
    times = [low + (high - low) * step // (_TIME_MARKS - 1) for step in range(_TIME_MARKS)]
    marks = [
        (time_s, datetime.fromtimestamp(time_s, UTC).strftime(time_format)) for time_s in times
    ]
    return linear_axis("time (UTC)", low, high, marks)
