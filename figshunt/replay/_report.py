"""Figures of a replay by class, in bounded memory."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from figshunt.replay._call_outcome import CallOutcome, CallResult
from figshunt.replay._runner_counters import RunnerFigures
from figshunt.types import RouteName

LONGEST_MS = 600_000
HISTOGRAM_DIGITS = 2
MOST_CODES = 64
MOST_REFUSED_KEYS = 100_000
MS_PER_S = 1000


@dataclass(slots=True)
class ClassFigures:
    """What is kept of one class: counts and one histogram."""

    target_ms: int | None
    results: Counter[CallResult] = field(default_factory=Counter)
    attained: int = 0
    tokens_attained: int = 0
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LONGEST_MS, HISTOGRAM_DIGITS)
    )

    @property
    def sent(self) -> int:
        """Return how many requests ended."""
        return sum(self.results.values())

    @property
    def attainment(self) -> float | None:
        """Return the share of all requests answered whole within the target."""
        if self.target_ms is None or not self.sent:
            return None
        return self.attained / self.sent


class ReplayReport:
    """Collects outcomes; judges the replay once the runners were read."""

    def __init__(self, targets_ms_by_route: Mapping[RouteName, int]) -> None:
        self._targets_ms_by_route = targets_ms_by_route
        self.figures_by_route: dict[RouteName, ClassFigures] = {}
        self.codes: Counter[str] = Counter()
        self.refused_keys: set[str] = set()
        self.tokens_whole = 0
        self.tokens_discarded = 0
        self.tries = 0
        self.runners: RunnerFigures | None = None
        self.duration_ms = 0.0

    def record(self, outcome: CallOutcome) -> None:
        """Add one outcome."""
        figures = self._figures(outcome.request.route)
        figures.results[outcome.result] += 1
        self.tries += outcome.tries
        self.tokens_discarded += outcome.tokens_discarded
        if outcome.result is CallResult.WHOLE:
            self._record_whole(figures, outcome)
            return
        code = f"{outcome.result.value}/{outcome.code or 'no code'}"
        is_known = code in self.codes or len(self.codes) < MOST_CODES
        self.codes[code if is_known else "other"] += 1
        is_refused = outcome.result is CallResult.REFUSED and outcome.key
        if is_refused and len(self.refused_keys) < MOST_REFUSED_KEYS:
            self.refused_keys.add(outcome.key)

    @property
    def false_refusals(self) -> int:
        """Return how many keys ran although the last word was "not run"."""
        if self.runners is None:
            return 0
        runs_by_key = self.runners.runs_by_key
        return sum(1 for key in self.refused_keys if runs_by_key[key])

    @property
    def most_runs(self) -> int | None:
        """Return the most runs of one key, if the runners were read."""
        return self.runners.most_runs_of_key if self.runners else None

    @property
    def is_good(self) -> bool:
        """Return whether each caller got a whole answer or a true refusal.

        Runs and refusals are judged only by the runners that were read.
        """
        totals = self._totals()
        bad = (CallResult.FAILED, CallResult.BROKEN, CallResult.NOT_SENT)
        return (
            not any(totals[result] for result in bad)
            and (self.most_runs or 0) <= 1
            and self.false_refusals == 0
        )

    @property
    def wasted_tokens(self) -> int | None:
        """Return tokens generated that are in no whole answer.

        A lower bound if a runner restarted, since its counters restart too.
        """
        if self.runners is None:
            return None
        return max(0, self.runners.tokens_generated - self.tokens_whole)

    def to_json(self) -> dict[str, Any]:
        """Return all figures for a program to read."""
        runners = self.runners
        return {
            "classes": {
                route: self._class_json(figures)
                for route, figures in self.figures_by_route.items()
            },
            "codes": dict(self.codes),
            "duration_ms": round(self.duration_ms),
            "tokens_whole": self.tokens_whole,
            "tokens_generated": runners.tokens_generated if runners else None,
            "tokens_wasted": self.wasted_tokens,
            "tries": self.tries,
            "most_runs_of_key": self.most_runs,
            "most_running_cold": runners.most_running_cold if runners else None,
            "collapses": runners.collapses if runners else None,
            "crashes": runners.crashes if runners else None,
            "runners_lost": runners.lost if runners else None,
            "false_refusals": self.false_refusals,
            "is_good": self.is_good,
        }

    def to_lines(self) -> Iterable[str]:
        """Yield the report as text of at most 80 columns."""
        yield (
            f"{'class':<14}{'sent':>6}{'whole':>7}{'target':>8}{'attained':>9}"
            f"{'p50 ms':>8}{'p99 ms':>8}{'good/s':>8}{'refused':>9}"
        )
        for route in sorted(self.figures_by_route):
            yield self._class_line(route, self.figures_by_route[route])
        for code, count in sorted(self.codes.items()):
            yield f"{count:>6} x {code}"[:80]
        yield from self._runner_lines()
        totals = self._totals()
        failed = totals[CallResult.FAILED] + totals[CallResult.BROKEN]
        yield (
            f"{totals[CallResult.WHOLE]} whole, {totals[CallResult.REFUSED]} refused, "
            f"{failed} failed or broken, {totals[CallResult.NOT_SENT]} not sent: "
            f"{'good' if self.is_good else 'NOT GOOD'}"
        )

    def _record_whole(self, figures: ClassFigures, outcome: CallOutcome) -> None:
        is_stream = bool(outcome.request.output_tokens)
        latency_ms = outcome.first_token_ms if is_stream else outcome.whole_ms
        assert latency_ms is not None
        figures.latency.record_value(min(LONGEST_MS, max(1, round(latency_ms))))
        self.tokens_whole += outcome.tokens
        if figures.target_ms is not None and latency_ms <= figures.target_ms:
            figures.attained += 1
            figures.tokens_attained += outcome.tokens

    def _figures(self, name: RouteName) -> ClassFigures:
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
            "goodput_per_s": self._per_second(figures.attained),
            "good_tokens_per_s": self._per_second(figures.tokens_attained),
            "p50_ms": figures.latency.get_value_at_percentile(50),
            "p99_ms": figures.latency.get_value_at_percentile(99),
        }

    def _class_line(self, route: RouteName, figures: ClassFigures) -> str:
        attained = (
            f"{figures.attainment:.1%}" if figures.attainment is not None else "-"
        )
        return (
            f"{route[:13]:<14}{figures.sent:>6}"
            f"{figures.results[CallResult.WHOLE]:>7}"
            f"{figures.target_ms or '-':>8}{attained:>9}"
            f"{figures.latency.get_value_at_percentile(50):>8}"
            f"{figures.latency.get_value_at_percentile(99):>8}"
            f"{self._per_second(figures.attained):>8.2f}"
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
            f"tokens: {runners.tokens_generated} generated, {self.tokens_whole} in "
            f"whole answers, {wasted} wasted ({share:.2%})"
        )
        yield (
            f"keys: {len(runners.runs_by_key)} ran, most runs of one key "
            f"{runners.most_runs_of_key}, false refusals {self.false_refusals}"
        )
        yield (
            f"runners: {runners.crashes} crashes, {runners.collapses} collapses "
            f"while cold, most at once while cold {runners.most_running_cold}"
        )
        if runners.lost:
            yield f"counters of {runners.lost} runners were lost: lower bounds above"
