"""Reads the counters of the runner stand-ins before and after a replay."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp


@dataclass(frozen=True, slots=True)
class RunnerCounters:
    """The counters of one runner at the time of reading."""

    tokens_generated: int
    crashes: int
    collapses: int
    most_running_cold: int
    runs_by_key: Mapping[str, int]


@dataclass(slots=True)
class RunnerFigures:
    """Increases of the counters between two readings, over all runners.

    ``most_running_cold`` is not an increase, but the maximum since the start of
    the runners' processes. ``runners_lost`` counts the runners whose counters
    are incomplete, because the process was replaced or couldn't be read. If it
    isn't 0, the other figures are lower bounds.
    """

    tokens_generated: int = 0
    crashes: int = 0
    collapses: int = 0
    most_running_cold: int = 0
    runners_lost: int = 0
    runs_by_key: Counter[str] = field(default_factory=Counter)

    @property
    def max_runs_per_key(self) -> int:
        """Return the maximum number of runs of any key, over all runners."""
        return max(self.runs_by_key.values(), default=0)


async def read_runner_counters(
    session: aiohttp.ClientSession, urls: Sequence[str]
) -> dict[str, RunnerCounters]:
    """Return the counters by URL, leaving out runners that can't be read."""
    counters_by_url = {}
    for url in urls:
        try:
            counters = await _get_json(session, f"{url}/standin/counters")
            runs = await _get_json(session, f"{url}/standin/runs")
        except (aiohttp.ClientError, OSError, TimeoutError):
            continue
        counters_by_url[url] = RunnerCounters(
            tokens_generated=int(counters["tokens_generated"]),
            crashes=int(counters["crashes"]),
            collapses=int(counters["collapses"]),
            most_running_cold=int(counters["most_running_cold"]),
            runs_by_key=runs["by_key"],
        )
    return counters_by_url


def sum_counter_increases(
    urls: Sequence[str],
    before_by_url: Mapping[str, RunnerCounters],
    after_by_url: Mapping[str, RunnerCounters],
) -> RunnerFigures:
    """Sum the increases of all runners' counters between two readings.

    If a runner has no first reading or its counters decreased, its second
    reading is counted from zero.
    """
    figures = RunnerFigures()
    for url in urls:
        before, after = before_by_url.get(url), after_by_url.get(url)
        if before is None or after is None or _counters_decreased(before, after):
            figures.runners_lost += 1
        if after is None:
            continue
        if before is None or _counters_decreased(before, after):
            before = RunnerCounters(0, 0, 0, 0, {})
        figures.tokens_generated += after.tokens_generated - before.tokens_generated
        figures.crashes += after.crashes - before.crashes
        figures.collapses += after.collapses - before.collapses
        figures.most_running_cold = max(
            figures.most_running_cold, after.most_running_cold
        )
        figures.runs_by_key += Counter(after.runs_by_key) - Counter(before.runs_by_key)
    return figures


def _counters_decreased(before: RunnerCounters, after: RunnerCounters) -> bool:
    return (
        after.tokens_generated < before.tokens_generated
        or after.crashes < before.crashes
        or any(
            after.runs_by_key.get(key, 0) < runs
            for key, runs in before.runs_by_key.items()
        )
    )


async def _get_json(session: aiohttp.ClientSession, url: str) -> dict[str, Any]:
    async with session.get(url) as response:
        response.raise_for_status()
        decoded: dict[str, Any] = await response.json()
        return decoded
