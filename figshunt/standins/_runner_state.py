"""What a runner stand-in knows of its own start, load and history."""

import random
import uuid
from collections import Counter
from dataclasses import dataclass

MOST_COUNTED_IDS = 200_000


@dataclass(slots=True)
class RunnerTotals:
    """Counts since the stand-in was created, over all of its restarts.

    ``tokens_abandoned`` were generated for attempts that didn't finish.
    """

    answered: int = 0
    cancelled: int = 0
    crashes: int = 0
    collapses: int = 0
    tokens_generated: int = 0
    tokens_abandoned: int = 0
    prompt_tokens_computed: int = 0
    prompt_tokens_cached: int = 0
    most_running: int = 0
    most_running_cold: int = 0


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """The load at one moment, as it stands in a report."""

    start: str
    completed: int
    running: int
    queued: int
    token_time_us: int
    leaving: bool


class RunCounter:
    """Counts runs by id; ids beyond the bound are counted as not kept."""

    def __init__(self, most_ids: int = MOST_COUNTED_IDS) -> None:
        self._most_ids = most_ids
        self.runs_by_id: Counter[str] = Counter()
        self.not_kept = 0

    def add(self, run_id: str) -> None:
        """Count one run."""
        if run_id in self.runs_by_id or len(self.runs_by_id) < self._most_ids:
            self.runs_by_id[run_id] += 1
        else:
            self.not_kept += 1

    @property
    def most_runs(self) -> int:
        """Return the largest count."""
        return max(self.runs_by_id.values(), default=0)


class RunnerState:
    """Owns the start identity, the cold phase and the request counts.

    A runner is cold until it has completed ``warm_after`` requests since its
    start; while cold it carries at most ``cold_limit`` at once.
    """

    def __init__(
        self, random_source: random.Random, cold_limit: int, warm_after: int
    ) -> None:
        self._random = random_source
        self._cold_limit = cold_limit
        self._warm_after = warm_after
        self.totals = RunnerTotals()
        self.in_progress = 0
        self.queued = 0
        self.token_time_us = 0
        self.leaving = False
        self.slow_factor = 1.0
        self.start_identity = ""
        self.completed = 0
        self.restart()

    @property
    def is_cold(self) -> bool:
        """Return whether the runner carries only its cold limit."""
        return self.completed < self._warm_after

    def restart(self) -> None:
        """Begin a new life: new start identity, cold, not leaving."""
        self.start_identity = uuid.UUID(int=self._random.getrandbits(128)).hex
        self.completed = 0
        self.leaving = False
        self.slow_factor = 1.0

    def turn_cold(self) -> None:
        """Lose the warm state without a restart and without a notice."""
        self._warm_after += self.completed

    def enter(self) -> bool:
        """Count a request in; return false if it is more than the runner bears."""
        self.in_progress += 1
        totals = self.totals
        totals.most_running = max(totals.most_running, self.in_progress)
        if not self.is_cold:
            return True
        totals.most_running_cold = max(totals.most_running_cold, self.in_progress)
        return self.in_progress <= self._cold_limit

    def leave(self) -> None:
        """Count a request out, however it ended."""
        self.in_progress -= 1

    def complete(self) -> None:
        """Count a whole answer."""
        self.completed += 1
        self.totals.answered += 1

    def snapshot(self) -> LoadSnapshot:
        """Return the load now."""
        return LoadSnapshot(
            start=self.start_identity,
            completed=self.completed,
            running=self.in_progress - self.queued,
            queued=self.queued,
            token_time_us=self.token_time_us,
            leaving=self.leaving,
        )
