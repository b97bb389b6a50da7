"""Plain-text format of the report with at most 40 columns, for phones."""

from collections import Counter
from collections.abc import Iterator
from datetime import UTC, datetime

from figshunt.report._model import ClassLine, FleetReport, HostLine
from figshunt.types import RouteOutcome, RunnerPhase

MAX_COLUMNS = 40


def format_text(report: FleetReport) -> str:
    """Return the report as text; longer lines are cut at ``MAX_COLUMNS`` characters."""
    lines = [line[:MAX_COLUMNS] for line in _format_lines(report)]
    return "\n".join(lines) + "\n"


def format_share(count: int, total: int) -> str:
    """Return a percentage, or a dash if ``total`` is zero."""
    return f"{100 * count / total:.1f}%" if total else "-"


def format_goodput(outcome: RouteOutcome, span_ms: int) -> str:
    """Return the mean rate of tokens in complete responses over the span."""
    return f"{1000 * outcome.good_tokens / span_ms:.1f} good tokens/s"


def _format_lines(report: FleetReport) -> Iterator[str]:
    time = datetime.fromtimestamp(report.wall_ms / 1000, UTC)
    yield f"figshunt {time:%Y-%m-%d %H:%M:%S}Z"
    yield f"seen from {report.host}"
    yield f"revision {report.revision} {_format_revision_age(report)}"
    yield f"last {report.span_ms // 60_000} min"
    yield ""
    yield f"{'class':<18}{'in time':>8}{'done':>7}{'lost':>7}"
    for line in report.classes:
        yield _format_class(line)
        yield from _format_details(line, report.span_ms)
    yield ""
    yield from _format_runners(report)
    if report.data_centres_out:
        yield "data centres out:"
        yield from (f"  {name}" for name in report.data_centres_out)
    yield "hosts:"
    yield from (_format_host(host) for host in report.hosts)
    if report.warnings:
        yield "not known or not well:"
        yield from (f"  {warning}" for warning in report.warnings)


def _format_revision_age(report: FleetReport) -> str:
    if report.revision_age_ms is None:
        return "(confirmed: unknown)"
    return f"(confirmed {report.revision_age_ms // 1000} s ago)"


def _format_class(line: ClassLine) -> str:
    outcome = line.outcome
    name = f"{line.tier} {line.route}"[:17]
    attained_share = format_share(outcome.attained, outcome.ended)
    lost_count = outcome.ended - outcome.whole
    return f"{name:<18}{attained_share:>8}{outcome.whole:>7}{lost_count:>7}"


def _format_details(line: ClassLine, span_ms: int) -> Iterator[str]:
    outcome = line.outcome
    for refusal in outcome.refusals:
        yield f"    {refusal.code}: {refusal.count}"
    if outcome.good_tokens:
        yield f"    {format_goodput(outcome, span_ms)}"
    if outcome.wasted_tokens:
        generated_tokens = outcome.good_tokens + outcome.wasted_tokens
        share = format_share(outcome.wasted_tokens, generated_tokens)
        yield f"    wasted tokens: {share}"


def _format_runners(report: FleetReport) -> Iterator[str]:
    counts = Counter(report.phases_by_runner.values())
    yield "runners:"
    for phase in RunnerPhase:
        if counts[phase]:
            yield f"  {phase.value}: {counts[phase]}"
    for runner_id, phase in sorted(report.phases_by_runner.items()):
        if phase in (RunnerPhase.COLD, RunnerPhase.LOST):
            yield f"  {runner_id} is {phase.value}"


def _format_host(host: HostLine) -> str:
    if host.host is None:
        return f"  {host.seat} -"
    state = "ok" if host.is_reachable else "silent"
    return f"  {host.seat} {host.host} rev {host.revision} {state}"
