"""Selection of a runner among those with a free slot."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from figshunt.types import RoutedRequest, RunnerId


@dataclass(frozen=True, slots=True)
class RunnerCandidate:
    """A runner with at least one free slot on this daemon.

    ``running`` counts this daemon's attempts on the runner, ``reported_load`` is
    the number of running requests of all callers in the runner's last load
    report, and ``limit`` is the maximum number of requests it runs at once.
    """

    runner_id: RunnerId
    running: int
    reported_load: int
    limit: int


class RunnerChooser(Protocol):
    """Selects the runner for a request."""

    def choose(
        self, routed: RoutedRequest, candidates: Sequence[RunnerCandidate]
    ) -> RunnerId:
        """Return one of the candidates, of which there is at least one."""


class LeastLoaded:
    """Selects the runner with the lowest fraction of its limit in use.

    Ties are broken at random, so that hosts with identical load information
    don't all select the same runner.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def choose(
        self, routed: RoutedRequest, candidates: Sequence[RunnerCandidate]
    ) -> RunnerId:
        """Return one of the candidates, of which there is at least one."""
        best_candidate = min(
            candidates,
            key=lambda candidate: (
                max(candidate.running, candidate.reported_load)
                / max(candidate.limit, 1),
                self._random.random(),
            ),
        )
        return best_candidate.runner_id
