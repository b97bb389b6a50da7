"""State and counters of a runner stand-in."""

import random
import uuid
from collections import Counter
from dataclasses import dataclass

MAX_COUNTED_IDS = 200_000


@dataclass(slots=True)
class RunnerTotals:
    """Counters since the stand-in was created, across all restarts.

    ``collapses`` counts the crashes that were caused by more requests than the
    cold limit, ``tokens_abandoned`` the tokens that were generated for attempts
    that didn't finish. ``most_running`` is the maximum number of concurrent
    requests, ``most_running_cold`` the maximum while the runner was cold.
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
    """The load at one point in time; load reports contain these fields."""

    start: str
    completed: int
    running: int
    queued: int
    token_time_us: int
    leaving: bool


class RunCounter:
    """Counts runs by id, for at most ``max_ids`` ids.

    Runs of further ids are only added to ``uncounted_runs``.
    """

    def __init__(self, max_ids: int = MAX_COUNTED_IDS) -> None:
        self._max_ids = max_ids
        self.runs_by_id: Counter[str] = Counter()
        self.uncounted_runs = 0

    def add(self, run_id: str) -> None:
        """Count one run."""
        if run_id in self.runs_by_id or len(self.runs_by_id) < self._max_ids:
            self.runs_by_id[run_id] += 1
        else:
            self.uncounted_runs += 1

    @property
    def max_runs(self) -> int:
        """Return the maximum number of runs of any id."""
        return max(self.runs_by_id.values(), default=0)


class RunnerState:
    """The start identity, the cold phase and the request counts of a runner.

    A runner is cold until it has completed ``warm_after`` requests since its
    start; while cold it handles at most ``cold_limit`` requests concurrently.
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
        """Return whether the runner is still limited to ``cold_limit`` requests."""
        return self.completed < self._warm_after

    def restart(self) -> None:
        """Reset to a cold start with a new start identity, not leaving."""
        self.start_identity = uuid.UUID(int=self._random.getrandbits(128)).hex
        self.completed = 0
        self.leaving = False
        self.slow_factor = 1.0

    def reset_warm_up(self) -> None:
        """Become cold without a restart and without any change in the load reports."""
        self._warm_after += self.completed

    def add_request(self) -> bool:
        """Count a request as in progress; return false if it exceeds the cold limit."""
        self.in_progress += 1
        totals = self.totals
        totals.most_running = max(totals.most_running, self.in_progress)
        if not self.is_cold:
            return True
        totals.most_running_cold = max(totals.most_running_cold, self.in_progress)
        return self.in_progress <= self._cold_limit

    def remove_request(self) -> None:
        """Count a request as no longer in progress, whatever its outcome."""
        self.in_progress -= 1

    def record_completion(self) -> None:
        """Count a complete answer."""
        self.completed += 1
        self.totals.answered += 1

    def snapshot(self) -> LoadSnapshot:
        """Return the current load."""
        return LoadSnapshot(
            start=self.start_identity,
            completed=self.completed,
            running=self.in_progress - self.queued,
            queued=self.queued,
            token_time_us=self.token_time_us,
            leaving=self.leaving,
        )
