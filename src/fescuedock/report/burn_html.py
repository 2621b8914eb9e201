"""Renders the burn report as one self-contained HTML page with light and dark colours."""

from datetime import UTC, datetime
from html import escape

from fescuedock.core.burn import Alarm, Burn
from fescuedock.report.burn_plots import burn_plot, latency_plot
from fescuedock.report.burn_report import BurnReport, ServiceReport
from fescuedock.report.burn_text import share_text

__all__ = ["burn_html"]

_STYLE = """\
:root { color-scheme: light dark; --back: #ffffff; --text: #1c2430; --faint: #66707d;
  --grid: #dfe4ea; --one: #1d5fbf; --two: #b4450f; --three: #1f7a3d; --limit: #7a3fb0;
  --bad: #b3182d; --warn: #8a5a00; --good: #1f7a3d; }
@media (prefers-color-scheme: dark) { :root { --back: #14181d; --text: #e6eaf0; --faint: #9aa5b1;
  --grid: #2b333c; --one: #7db4ff; --two: #ffa266; --three: #6fdc93; --limit: #cfa0ff;
  --bad: #ff8595; --warn: #f2c14e; --good: #6fdc93; } }
body { background: var(--back); color: var(--text); font: 15px/1.45 system-ui, sans-serif;
  margin: 2rem auto; max-width: 1360px; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; } h2 { font-size: 1.2rem; margin-top: 2.2rem; }
p, figcaption { color: var(--faint); }
table { border-collapse: collapse; margin: .6rem 0 1rem; }
th, td { padding: .18rem .9rem .18rem 0; text-align: right; border-bottom: 1px solid var(--grid); }
th:first-child, td:first-child { text-align: left; }
.tables { display: flex; flex-wrap: wrap; gap: 0 4rem; }
.plots { display: flex; flex-wrap: wrap; gap: 1rem 2rem; } figure { flex: 1 1 540px; margin: 0; }
svg { width: 100%; height: auto; } svg text { fill: var(--faint); font-size: 11px; }
.grid { stroke: var(--grid); } .guide { stroke-dasharray: 6 4; stroke-width: 1.3; }
.series polyline { fill: none; stroke-width: 2; } .series circle { stroke: none; }
.one { stroke: var(--one); } .two { stroke: var(--two); } .three { stroke: var(--three); }
.limit { stroke: var(--limit); }
.series.one circle, svg text.one { fill: var(--one); }
.series.two circle, svg text.two { fill: var(--two); }
.series.three circle, svg text.three { fill: var(--three); }
svg text.limit { fill: var(--limit); } svg text.name { stroke: none; }
.alarm { font-weight: 600; } .fast { color: var(--bad); } .slow { color: var(--warn); }
.none { color: var(--good); }
"""
_CLASS = {Alarm.FAST: "fast", Alarm.SLOW: "slow", Alarm.NONE: "none"}
_TEXT = {
    Alarm.FAST: "fast burn",
    Alarm.SLOW: "slow burn",
    Alarm.NONE: "no alarm",
}


def burn_html(report: BurnReport) -> str:
    """Return the page, which loads no other resources."""
    at = datetime.fromtimestamp(report.at_s, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
    parts = [
        '<!doctype html>\n<html lang="en">\n<head>\n<meta charset="utf-8">',
        '<meta name="viewport" content="width=device-width, initial-scale=1">',
        f"<title>Service-level burn, {at}</title>\n<style>\n{_STYLE}</style>\n</head>\n<body>",
        f"<h1>Service-level burn {_badge(report.alarm)}</h1>",
        f"<p>{at}; {report.processes} processes, configuration {report.config_version}.</p>",
    ]
    if report.missing:
        names = escape(", ".join(report.missing))
        parts.append(f'<p class="alarm slow">No answer from {names}: their counts are missing.</p>')
    parts += [_service(service, report.at_s) for service in report.services]
    parts.append("</body>\n</html>\n")
    return "\n".join(parts)


def _service(service: ServiceReport, at_s: int) -> str:
    name = escape(service.service)
    return "\n".join(
        (
            f"<section>\n<h2>{name}</h2>\n<p>{_objectives(service)}</p>",
            '<div class="tables">',
            *(_table(burn) for burn in service.burns),
            "</div>",
            '<div class="plots">',
            _figure(
                latency_plot(service),
                "Latency by percentile on a logarithmic scale: a point at p95 says that 95 in 100 "
                "were at most that slow. The dashed lines are the objectives in the line's colour.",
            ),
            _figure(
                burn_plot(service, at_s),
                "Burn rate by time: failures as a multiple of what the objective allows. Below 1 "
                "the promise is kept; gaps are times without any query or job.",
            ),
            "</div>\n</section>",
        )
    )


def _objectives(service: ServiceReport) -> str:
    objectives = service.objectives
    return (
        f"Promised: first token within {objectives.first_token_ms:g} ms and "
        f"{objectives.inter_token_ms:g} ms between tokens for "
        f"{share_text(objectives.online_share)} of online queries; "
        f"{share_text(objectives.batch_share)} of jobs whole by their deadline."
    )


def _table(burn: Burn) -> str:
    rows = [
        f"<tr><th>{burn.promise.value}, {share_text(burn.objective_share)} "
        f"{_badge(burn.alarm)}</th><th>counted</th><th>kept</th><th>burn rate</th>"
        "<th>budget left</th></tr>"
    ]
    for window in burn.windows:
        rate = "-" if window.rate is None else f"{window.rate:.2f}"
        left = "-" if window.budget_left is None else share_text(window.budget_left)
        rows.append(
            f"<tr><td>{window.window.name}</td><td>{window.total}</td><td>{window.kept}</td>"
            f"<td>{rate}</td><td>{left}</td></tr>"
        )
    return "<table>\n" + "\n".join(rows) + "\n</table>"


def _figure(svg: str, caption: str) -> str:
    return f"<figure>\n{svg}\n<figcaption>{caption}</figcaption>\n</figure>"


def _badge(alarm: Alarm) -> str:
    return f'<span class="alarm {_CLASS[alarm]}">{_TEXT[alarm]}</span>'
