"""What the runner stand-ins counted during a replay."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp


@dataclass(frozen=True, slots=True)
class RunnerReading:
    """The counters of one runner at one moment."""

    tokens_generated: int
    crashes: int
    collapses: int
    most_running_cold: int
    runs_by_key: Mapping[str, int]


@dataclass(slots=True)
class RunnerFigures:
    """What all runners together counted between two readings.

    ``lost`` counts runners whose counters can't be told, because the process
    was replaced or couldn't be read; figures are lower bounds if there is one.
    """

    tokens_generated: int = 0
    crashes: int = 0
    collapses: int = 0
    most_running_cold: int = 0
    lost: int = 0
    runs_by_key: Counter[str] = field(default_factory=Counter)

    @property
    def most_runs_of_key(self) -> int:
        """Return the most runs of one key, over all runners."""
        return max(self.runs_by_key.values(), default=0)


async def read_runners(
    session: aiohttp.ClientSession, urls: Sequence[str]
) -> dict[str, RunnerReading]:
    """Read the counters of every runner that can be read, by URL."""
    readings_by_url = {}
    for url in urls:
        try:
            counters = await _get(session, f"{url}/standin/counters")
            runs = await _get(session, f"{url}/standin/runs")
        except (aiohttp.ClientError, OSError, TimeoutError):
            continue
        readings_by_url[url] = RunnerReading(
            tokens_generated=int(counters["tokens_generated"]),
            crashes=int(counters["crashes"]),
            collapses=int(counters["collapses"]),
            most_running_cold=int(counters["most_running_cold"]),
            runs_by_key=runs["by_key"],
        )
    return readings_by_url


def compare_readings(
    urls: Sequence[str],
    before_by_url: Mapping[str, RunnerReading],
    after_by_url: Mapping[str, RunnerReading],
) -> RunnerFigures:
    """Return what was counted between two readings."""
    figures = RunnerFigures()
    for url in urls:
        before, after = before_by_url.get(url), after_by_url.get(url)
        if before is None or after is None or _went_back(before, after):
            figures.lost += 1
        if after is None:
            continue
        if before is None or _went_back(before, after):
            before = RunnerReading(0, 0, 0, 0, {})
        figures.tokens_generated += after.tokens_generated - before.tokens_generated
        figures.crashes += after.crashes - before.crashes
        figures.collapses += after.collapses - before.collapses
        figures.most_running_cold = max(
            figures.most_running_cold, after.most_running_cold
        )
        figures.runs_by_key += Counter(after.runs_by_key) - Counter(before.runs_by_key)
    return figures


def _went_back(before: RunnerReading, after: RunnerReading) -> bool:
    return (
        after.tokens_generated < before.tokens_generated
        or after.crashes < before.crashes
        or any(
            after.runs_by_key.get(key, 0) < runs
            for key, runs in before.runs_by_key.items()
        )
    )


async def _get(session: aiohttp.ClientSession, url: str) -> dict[str, Any]:
    async with session.get(url) as response:
        response.raise_for_status()
        decoded: dict[str, Any] = await response.json()
        return decoded
