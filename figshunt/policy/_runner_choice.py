"""Choice of one runner among those with a free slot."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from figshunt.types import RoutedRequest, RunnerId


@dataclass(frozen=True, slots=True)
class RunnerCandidate:
    """A runner with at least one free slot here.

    ``running`` counts our own attempts on it, ``reported`` is the load that
    the runner last reported over all callers, and ``limit`` what it carries.
    """

    runner_id: RunnerId
    running: int
    reported: int
    limit: int


class RunnerChooser(Protocol):
    """Picks the runner for a request."""

    def choose(
        self, routed: RoutedRequest, candidates: Sequence[RunnerCandidate]
    ) -> RunnerId:
        """Return one of the candidates, of which there is at least one."""


class LeastLoaded:
    """Picks the runner with the smallest part of its limit in use.

    Ties are broken at random, so that hosts with equal views don't all pick
    the same runner.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def choose(
        self, routed: RoutedRequest, candidates: Sequence[RunnerCandidate]
    ) -> RunnerId:
        """Return one of the candidates, of which there is at least one."""
        best = min(
            candidates,
            key=lambda one: (
                max(one.running, one.reported) / max(one.limit, 1),
                self._random.random(),
            ),
        )
        return best.runner_id
