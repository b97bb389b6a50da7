"""The report of a replay: figures for each class, in bounded memory."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from figshunt.replay._call_outcome import CallOutcome, CallResult
from figshunt.replay._runner_counters import RunnerFigures
from figshunt.types import RouteName

MAX_LATENCY_MS = 600_000
HISTOGRAM_SIGNIFICANT_DIGITS = 2
MAX_CODES = 64
MAX_REFUSED_KEYS = 100_000
MS_PER_S = 1000


@dataclass(slots=True)
class ClassFigures:
    """Counts and the latency histogram of one class.

    ``latency`` covers the complete answers only. The latency of a stream is the
    time to its first token, that of any other answer the time to its end.
    ``attained_requests`` and ``attained_tokens`` count the complete answers
    whose latency met ``target_ms``, and their tokens.
    """

    target_ms: int | None
    results: Counter[CallResult] = field(default_factory=Counter)
    attained_requests: int = 0
    attained_tokens: int = 0
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, MAX_LATENCY_MS, HISTOGRAM_SIGNIFICANT_DIGITS
        )
    )

    @property
    def sent(self) -> int:
        """Return the number of recorded outcomes, ``NOT_SENT`` included."""
        return sum(self.results.values())

    @property
    def attainment(self) -> float | None:
        """Return the share of requests with a complete answer that met the target.

        Refused, failed, broken and unsent requests count as missed targets.
        """
        if self.target_ms is None or not self.sent:
            return None
        return self.attained_requests / self.sent


class ReplayReport:
    """Aggregates the outcomes of a replay.

    Set ``runners`` once the runners' counters have been read; until then the
    properties that depend on them are incomplete.
    """

    def __init__(self, targets_ms_by_route: Mapping[RouteName, int]) -> None:
        self._targets_ms_by_route = targets_ms_by_route
        self.figures_by_route: dict[RouteName, ClassFigures] = {}
        self.codes: Counter[str] = Counter()
        self.arrival_spans_ms_by_code: dict[str, tuple[int, int]] = {}
        self.refused_keys: set[str] = set()
        self.tokens_delivered = 0
        self.tokens_discarded = 0
        self.attempts = 0
        self.runners: RunnerFigures | None = None
        self.duration_ms = 0.0

    def record(self, outcome: CallOutcome) -> None:
        """Add one outcome."""
        figures = self._figures_for_route(outcome.request.route)
        figures.results[outcome.result] += 1
        self.attempts += outcome.attempts
        self.tokens_discarded += outcome.tokens_discarded
        if outcome.result is CallResult.COMPLETE:
            self._record_complete(figures, outcome)
            return
        code = f"{outcome.result.value}/{outcome.code or 'no code'}"
        self._record_code(code, outcome.request.at_ms)
        is_refused = outcome.result is CallResult.REFUSED and outcome.key
        if is_refused and len(self.refused_keys) < MAX_REFUSED_KEYS:
            self.refused_keys.add(outcome.key)

    @property
    def false_refusals(self) -> int:
        """Return how many keys ran although the final error said "not run"."""
        if self.runners is None:
            return 0
        runs_by_key = self.runners.runs_by_key
        return sum(1 for key in self.refused_keys if runs_by_key[key])

    @property
    def max_runs_per_key(self) -> int | None:
        """Return the maximum runs of any key, or ``None`` without runner counters."""
        return self.runners.max_runs_per_key if self.runners else None

    @property
    def is_good(self) -> bool:
        """Return whether each caller got a complete answer or a correct refusal.

        A refusal is correct if the request never ran. Duplicate runs and false
        refusals are found only on runners whose counters were read.
        """
        totals = self._totals()
        failure_results = (CallResult.FAILED, CallResult.BROKEN, CallResult.NOT_SENT)
        return (
            not any(totals[result] for result in failure_results)
            and (self.max_runs_per_key or 0) <= 1
            and self.false_refusals == 0
        )

    @property
    def all_complete(self) -> bool:
        """Return whether every request got a complete answer."""
        totals = self._totals()
        return totals[CallResult.COMPLETE] == totals.total()

    @property
    def wasted_tokens(self) -> int | None:
        """Return the number of generated tokens that are in no complete answer.

        It is a lower bound if a runner process was replaced, because its
        counters start again from zero.
        """
        if self.runners is None:
            return None
        return max(0, self.runners.tokens_generated - self.tokens_delivered)

    def to_json(self) -> dict[str, Any]:
        """Return all figures as a JSON-compatible dictionary."""
        runners = self.runners
        return {
            "classes": {
                route: self._class_json(figures)
                for route, figures in self.figures_by_route.items()
            },
            "codes": dict(self.codes),
            "code_spans_ms": self.arrival_spans_ms_by_code,
            "duration_ms": round(self.duration_ms),
            "tokens_whole": self.tokens_delivered,
            "tokens_generated": runners.tokens_generated if runners else None,
            "tokens_wasted": self.wasted_tokens,
            "tries": self.attempts,
            "most_runs_of_key": self.max_runs_per_key,
            "most_running_cold": runners.most_running_cold if runners else None,
            "collapses": runners.collapses if runners else None,
            "crashes": runners.crashes if runners else None,
            "runners_lost": runners.runners_lost if runners else None,
            "false_refusals": self.false_refusals,
            "is_good": self.is_good,
        }

    def to_lines(self) -> Iterable[str]:
        """Yield the lines of the text report, each at most 80 columns wide."""
        yield (
            f"{'class':<14}{'sent':>6}{'whole':>7}{'target':>8}{'attained':>9}"
            f"{'p50 ms':>8}{'p99 ms':>8}{'good/s':>8}{'refused':>9}"
        )
        for route in sorted(self.figures_by_route):
            yield self._class_line(route, self.figures_by_route[route])
        for code, count in sorted(self.codes.items()):
            first_ms, last_ms = self.arrival_spans_ms_by_code[code]
            yield (
                f"{count:>6} x {code[:38]}, arrived at "
                f"{first_ms / MS_PER_S:.1f} to {last_ms / MS_PER_S:.1f} s"
            )
        yield from self._runner_lines()
        totals = self._totals()
        failed = totals[CallResult.FAILED] + totals[CallResult.BROKEN]
        yield (
            f"{totals[CallResult.COMPLETE]} whole, "
            f"{totals[CallResult.REFUSED]} refused, "
            f"{failed} failed or broken, {totals[CallResult.NOT_SENT]} not sent: "
            f"{'good' if self.is_good else 'NOT GOOD'}"
        )

    def _record_complete(self, figures: ClassFigures, outcome: CallOutcome) -> None:
        is_stream = bool(outcome.request.output_tokens)
        latency_ms = outcome.first_token_ms if is_stream else outcome.completion_ms
        assert latency_ms is not None
        figures.latency.record_value(min(MAX_LATENCY_MS, max(1, round(latency_ms))))
        self.tokens_delivered += outcome.tokens
        if figures.target_ms is not None and latency_ms <= figures.target_ms:
            figures.attained_requests += 1
            figures.attained_tokens += outcome.tokens

    def _record_code(self, code: str, at_ms: int) -> None:
        if code not in self.codes and len(self.codes) >= MAX_CODES:
            code = "other"
        self.codes[code] += 1
        first_ms, last_ms = self.arrival_spans_ms_by_code.get(code, (at_ms, at_ms))
        self.arrival_spans_ms_by_code[code] = (
            min(first_ms, at_ms),
            max(last_ms, at_ms),
        )

    def _figures_for_route(self, name: RouteName) -> ClassFigures:
        if name not in self.figures_by_route:
            target_ms = self._targets_ms_by_route.get(name)
            self.figures_by_route[name] = ClassFigures(target_ms)
        return self.figures_by_route[name]

    def _totals(self) -> Counter[CallResult]:
        totals: Counter[CallResult] = Counter()
        for figures in self.figures_by_route.values():
            totals.update(figures.results)
        return totals

    def _per_second(self, count: int) -> float:
        return count * MS_PER_S / self.duration_ms if self.duration_ms else 0.0

    def _class_json(self, figures: ClassFigures) -> dict[str, Any]:
        return {
            "sent": figures.sent,
            **{result.value: figures.results[result] for result in CallResult},
            "target_ms": figures.target_ms,
            "attainment": figures.attainment,
            "goodput_per_s": self._per_second(figures.attained_requests),
            "good_tokens_per_s": self._per_second(figures.attained_tokens),
            "p50_ms": figures.latency.get_value_at_percentile(50),
            "p99_ms": figures.latency.get_value_at_percentile(99),
        }

    def _class_line(self, route: RouteName, figures: ClassFigures) -> str:
        attainment_text = (
            f"{figures.attainment:.1%}" if figures.attainment is not None else "-"
        )
        return (
            f"{route[:13]:<14}{figures.sent:>6}"
            f"{figures.results[CallResult.COMPLETE]:>7}"
            f"{figures.target_ms or '-':>8}{attainment_text:>9}"
            f"{figures.latency.get_value_at_percentile(50):>8}"
            f"{figures.latency.get_value_at_percentile(99):>8}"
            f"{self._per_second(figures.attained_requests):>8.2f}"
            f"{figures.results[CallResult.REFUSED]:>9}"
        )

    def _runner_lines(self) -> Iterable[str]:
        if self.runners is None:
            yield "runners not read: runs by key and wasted work are not known"
            return
        runners = self.runners
        wasted = self.wasted_tokens or 0
        share = wasted / max(1, runners.tokens_generated)
        yield (
            f"tokens: {runners.tokens_generated} generated, {self.tokens_delivered} in "
            f"whole answers, {wasted} wasted ({share:.2%})"
        )
        yield (
            f"keys: {len(runners.runs_by_key)} ran, most runs of one key "
            f"{runners.max_runs_per_key}, false refusals {self.false_refusals}"
        )
        yield (
            f"runners: {runners.crashes} crashes, {runners.collapses} collapses "
            f"while cold, most at once while cold {runners.most_running_cold}"
        )
        if runners.runners_lost:
            yield (
                f"counters of {runners.runners_lost} runners were lost: "
                "lower bounds above"
            )
