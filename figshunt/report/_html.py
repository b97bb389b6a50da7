"""HTML format of the report: one small page without scripts."""

import html

from figshunt.report._model import ClassLine, FleetReport
from figshunt.report._text import format_goodput, format_share
from figshunt.types import RunnerPhase

STYLE = """
body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;max-width:32rem;padding:.7rem;
color:#1b1b1b;background:#fff}
h1{font-size:1.15rem;margin:.2rem 0}h2{font-size:1rem;margin:1rem 0 .3rem}
table{border-collapse:collapse;width:100%}td,th{padding:.3rem .2rem;text-align:right;
border-bottom:1px solid #ddd;font-variant-numeric:tabular-nums}
td:first-child,th:first-child{text-align:left;overflow-wrap:anywhere}
.low{color:#a40000;font-weight:600}p,ul{margin:.3rem 0}ul{padding-left:1.1rem}
small{color:#555}
"""
MIN_ATTAINMENT = 0.95


def format_html(report: FleetReport) -> str:
    """Return the report as an HTML page that fits the width of a phone."""
    rows = "".join(_format_class_row(line, report.span_ms) for line in report.classes)
    age = report.revision_age_ms
    revision_age = "unknown" if age is None else f"{age // 1000} s ago"
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8>",
        '<meta name=viewport content="width=device-width,initial-scale=1">',
        f"<title>figshunt report</title><style>{STYLE}</style>",
        "<h1>figshunt</h1>",
        f"<p>Seen from {html.escape(report.host)}, last "
        f"{report.span_ms // 60_000} min<br>Revision {report.revision}, "
        f"confirmed {revision_age}</p>",
        "<table><tr><th>class<th>target<th>in time<th>done<th>lost</tr>",
        rows,
        "</table>",
        _format_list("Not known or not well", report.warnings),
        _format_list("Data centres out", report.data_centres_out),
        _format_list("Runners", _format_runners(report)),
        _format_list("Hosts", _format_hosts(report)),
        "</html>",
    ]
    return "".join(parts)


def _format_class_row(line: ClassLine, span_ms: int) -> str:
    outcome = line.outcome
    is_low = outcome.ended and outcome.attained / outcome.ended < MIN_ATTAINMENT
    cell_class = " class=low" if is_low else ""
    details = [f"{refusal.code} {refusal.count}" for refusal in outcome.refusals]
    if outcome.good_tokens:
        details.append(format_goodput(outcome, span_ms))
    if outcome.wasted_tokens:
        generated_tokens = outcome.good_tokens + outcome.wasted_tokens
        details.append(
            f"wasted {format_share(outcome.wasted_tokens, generated_tokens)}"
        )
    detail = f"<br><small>{html.escape(', '.join(details))}</small>" if details else ""
    return (
        f"<tr><td>{line.tier} {html.escape(line.route)}{detail}"
        f"<td>{line.latency_target_ms} ms"
        f"<td{cell_class}>{format_share(outcome.attained, outcome.ended)}"
        f"<td>{outcome.whole}<td>{outcome.ended - outcome.whole}</tr>"
    )


def _format_runners(report: FleetReport) -> tuple[str, ...]:
    return tuple(
        f"{runner_id}: {phase.value}"
        for runner_id, phase in sorted(report.phases_by_runner.items())
        if phase is not RunnerPhase.WARM
    ) or ("all warm",)


def _format_hosts(report: FleetReport) -> tuple[str, ...]:
    return tuple(
        f"seat {host.seat}: {host.host or 'never heard'}"
        + ("" if host.host is None else f", revision {host.revision}")
        + ("" if host.is_reachable else ", silent")
        for host in report.hosts
    )


def _format_list(title: str, items: tuple[str, ...]) -> str:
    if not items:
        return ""
    list_items = "".join(f"<li>{html.escape(item)}" for item in items)
    return f"<h2>{title}</h2><ul>{list_items}</ul>"
