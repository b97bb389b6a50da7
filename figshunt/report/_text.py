"""The report as text of at most 40 columns, for a phone."""

from collections import Counter
from collections.abc import Iterator
from datetime import UTC, datetime

from figshunt.report._model import ClassLine, FleetReport, HostLine
from figshunt.types import RouteOutcome, RunnerPhase

COLUMNS = 40


def format_text(report: FleetReport) -> str:
    """Return the report as lines of at most ``COLUMNS`` characters."""
    lines = [line[:COLUMNS] for line in _lines(report)]
    return "\n".join(lines) + "\n"


def format_share(part: int, whole: int) -> str:
    """Return a percentage, or a dash where there is nothing to divide by."""
    return f"{100 * part / whole:.1f}%" if whole else "-"


def format_goodput(outcome: RouteOutcome, span_ms: int) -> str:
    """Return the rate of tokens in whole answers over the span."""
    return f"{1000 * outcome.good_tokens / span_ms:.1f} good tokens/s"


def _lines(report: FleetReport) -> Iterator[str]:
    time = datetime.fromtimestamp(report.wall_ms / 1000, UTC)
    yield f"figshunt {time:%Y-%m-%d %H:%M:%S}Z"
    yield f"seen from {report.host}"
    yield f"revision {report.revision} {_revision_age(report)}"
    yield f"last {report.span_ms // 60_000} min"
    yield ""
    yield f"{'class':<18}{'in time':>8}{'done':>7}{'lost':>7}"
    for line in report.classes:
        yield _class_line(line)
        yield from _detail_lines(line, report.span_ms)
    yield ""
    yield from _runner_lines(report)
    if report.data_centres_out:
        yield "data centres out:"
        yield from (f"  {name}" for name in report.data_centres_out)
    yield "hosts:"
    yield from (_host_line(host) for host in report.hosts)
    if report.warnings:
        yield "not known or not well:"
        yield from (f"  {warning}" for warning in report.warnings)


def _revision_age(report: FleetReport) -> str:
    if report.revision_age_ms is None:
        return "(confirmed: unknown)"
    return f"(confirmed {report.revision_age_ms // 1000} s ago)"


def _class_line(line: ClassLine) -> str:
    outcome = line.outcome
    name = f"{line.tier} {line.route}"[:17]
    attained = format_share(outcome.attained, outcome.ended)
    lost = outcome.ended - outcome.whole
    return f"{name:<18}{attained:>8}{outcome.whole:>7}{lost:>7}"


def _detail_lines(line: ClassLine, span_ms: int) -> Iterator[str]:
    outcome = line.outcome
    for refusal in outcome.refusals:
        yield f"    {refusal.code}: {refusal.count}"
    if outcome.good_tokens:
        yield f"    {format_goodput(outcome, span_ms)}"
    if outcome.wasted_tokens:
        generated = outcome.good_tokens + outcome.wasted_tokens
        share = format_share(outcome.wasted_tokens, generated)
        yield f"    wasted tokens: {share}"


def _runner_lines(report: FleetReport) -> Iterator[str]:
    counts = Counter(report.phases_by_runner.values())
    yield "runners:"
    for phase in RunnerPhase:
        if counts[phase]:
            yield f"  {phase.value}: {counts[phase]}"
    for runner_id, phase in sorted(report.phases_by_runner.items()):
        if phase in (RunnerPhase.COLD, RunnerPhase.LOST):
            yield f"  {runner_id} is {phase.value}"


def _host_line(host: HostLine) -> str:
    if host.host is None:
        return f"  {host.seat} -"
    state = "ok" if host.is_heard else "silent"
    return f"  {host.seat} {host.host} rev {host.revision} {state}"
