"""Renders the burn report as text for the terminal."""

from collections.abc import Iterator

from fescuedock.core.burn import Alarm, Burn, WindowBurn
from fescuedock.report.burn_report import PERCENTILES, BurnReport, Latency, ServiceReport
from fescuedock.report.tables import table

__all__ = ["burn_text", "share_text"]

_SHOWN_PERCENTILES = (50.0, 95.0, 99.0, 100.0)


def burn_text(report: BurnReport) -> str:
    """Return the report as plain text."""
    return "\n".join(_lines(report))


def share_text(share: float) -> str:
    """Return a share as a percentage with up to four significant digits."""
    return f"{share * 100:.4g}%"


def _lines(report: BurnReport) -> Iterator[str]:
    yield (
        f"{report.processes} processes, configuration {report.config_version}, "
        f"at {report.at_s} (Unix time); alarm: {report.alarm.value}"
    )
    if report.missing:
        yield f"no answer from {', '.join(report.missing)}: their counts are missing below"
    if not report.services:
        yield "nothing was counted yet"
    for service in report.services:
        yield ""
        yield from _service_lines(service)


def _service_lines(service: ServiceReport) -> Iterator[str]:
    objectives = service.objectives
    yield f"{service.service}"
    yield (
        f"  objectives: first token {objectives.first_token_ms:g} ms and "
        f"{objectives.inter_token_ms:g} ms between tokens for "
        f"{share_text(objectives.online_share)} of online queries; "
        f"{share_text(objectives.batch_share)} of jobs whole by their deadline"
    )
    headers = ("", "WINDOW", "COUNTED", "KEPT", "KEPT %", "BURN RATE", "BUDGET LEFT", "ALARM")
    rows = [row for burn in service.burns for row in _burn_rows(burn)]
    yield from _indented(table(headers, rows))
    if service.latencies:
        headers = ("LATENCY", "COUNT", *(f"p{point:g} MS" for point in _SHOWN_PERCENTILES))
        yield from _indented(table(headers, [_latency_row(item) for item in service.latencies]))


def _burn_rows(burn: Burn) -> Iterator[tuple[object, ...]]:
    for number, window in enumerate(burn.windows):
        first = number == 0
        alarm = burn.alarm.value if first and burn.alarm is not Alarm.NONE else ""
        name = burn.promise.value if first else ""
        yield (name, window.window.name, window.total, window.kept, *_window_cells(window), alarm)


def _window_cells(window: WindowBurn) -> tuple[str, str, str]:
    if window.rate is None or window.budget_left is None:
        return "-", "-", "-"
    kept = share_text(window.kept / window.total)
    return kept, f"{window.rate:.2f}", share_text(window.budget_left)


def _latency_row(latency: Latency) -> tuple[object, ...]:
    values = dict(zip(PERCENTILES, latency.values_ms, strict=True))
    name = f"{latency.work_class} {latency.measure.replace('_', ' ')}"
    return (name, latency.count, *(f"{values[point]:.1f}" for point in _SHOWN_PERCENTILES))


def _indented(text: str) -> list[str]:
    return [f"  {line}" for line in text.splitlines()]
