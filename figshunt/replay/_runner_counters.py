"""What the runner stand-ins counted during a replay."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp

COUNTERS = ("tokens_generated", "crashes", "collapses")


@dataclass(slots=True)
class RunnerFigures:
    """Counters of all runners together, as the difference of two readings."""

    tokens_generated: int = 0
    crashes: int = 0
    collapses: int = 0
    most_running_cold: int = 0
    runs_by_key: Counter[str] = field(default_factory=Counter)

    @property
    def most_runs_of_key(self) -> int:
        """Return the most runs of one key, over all runners."""
        return max(self.runs_by_key.values(), default=0)


async def read_runners(
    session: aiohttp.ClientSession, urls: Sequence[str]
) -> RunnerFigures:
    """Read the counters of every runner.

    :raises aiohttp.ClientError: if a runner can't be read.
    """
    figures = RunnerFigures()
    for url in urls:
        async with session.get(f"{url}/standin/counters") as response:
            response.raise_for_status()
            counters = await response.json()
        for name in COUNTERS:
            setattr(figures, name, getattr(figures, name) + int(counters[name]))
        figures.most_running_cold = max(
            figures.most_running_cold, int(counters["most_running_cold"])
        )
        async with session.get(f"{url}/standin/runs") as response:
            response.raise_for_status()
            figures.runs_by_key.update((await response.json())["by_key"])
    return figures


def subtract_figures(after: RunnerFigures, before: RunnerFigures) -> RunnerFigures:
    """Return what was counted between two readings.

    Keys are issued anew for each replay, so their counts need no difference.
    """
    return RunnerFigures(
        tokens_generated=after.tokens_generated - before.tokens_generated,
        crashes=after.crashes - before.crashes,
        collapses=after.collapses - before.collapses,
        most_running_cold=after.most_running_cold,
        runs_by_key=after.runs_by_key - before.runs_by_key,
    )
