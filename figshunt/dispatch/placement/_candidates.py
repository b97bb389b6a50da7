"""Chooses the few runners of a large pool that a call is compared at.

Load: at peak, a host places hundreds of calls per second on pools of a hundred
engines; an estimate at each of them takes most of its processor time. Invariant: a
call is held or refused only after all runners were asked for room, so a choice among
few runners never keeps a call from a free one.
"""

import random
from collections.abc import Iterable, Mapping
from heapq import nsmallest
from typing import Protocol

from figshunt.directory import PublishedPool, PublishedRunner
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch.fleet._fleet_model import FleetModel
from figshunt.dispatch.fleet._pool_summary import (
    MAX_UNSAMPLED_RUNNERS,
    PoolSummary,
)
from figshunt.types import Moment, RunnerId

# Candidates from each source. Four sources of them are estimated in about the time
# of a pool that isn't sampled.
MAX_HOLDERS = 3
CALM_SAMPLE = 2
SAMPLED_RUNNERS = 8
MAX_LEAST_LOADED = 3
MAX_LOCAL_LEAST_LOADED = 2

# If only a search among all runners found room, few of those are estimated.
MAX_CANDIDATES = 10
MAX_FOUND = 5


class CandidateSource(Protocol):
    """Proposes runners that are worth an estimate."""

    def propose(
        self, routed: RoutedCall, pool: PublishedPool, summary: PoolSummary, now: Moment
    ) -> Iterable[RunnerId]:
        """Return runners in any order; some may be unlisted by now."""


class HolderSource:
    """Proposes the least loaded of the runners that hold the prompt's prefix."""

    def __init__(self, fleet: FleetModel) -> None:
        self._fleet = fleet

    def propose(
        self, routed: RoutedCall, pool: PublishedPool, summary: PoolSummary, now: Moment
    ) -> Iterable[RunnerId]:
        """Return the holders of the longest prefix."""
        prompt = routed.call.prompt
        if prompt is None:
            return ()
        holders = self._fleet.holders(prompt.parts)
        return _least_loaded(self._fleet, holders, summary, MAX_HOLDERS)


class SampleSource:
    """Proposes the least loaded runners of random samples.

    Samples differ between hosts, which would otherwise all choose the runner that
    was the least loaded when they last heard of it. One sample is of all runners, one
    of those in this host's data centre, and one of those that spend the least time on
    long prompts, where streams with a tight gap target belong.
    """

    def __init__(self, fleet: FleetModel, random_source: random.Random) -> None:
        self._fleet = fleet
        self._random = random_source

    def propose(
        self, routed: RoutedCall, pool: PublishedPool, summary: PoolSummary, now: Moment
    ) -> Iterable[RunnerId]:
        """Return a few runners of each sample."""
        yield from self._sample(summary.local_ids, summary, MAX_LOCAL_LEAST_LOADED)
        yield from self._sample(summary.runner_ids, summary, MAX_LEAST_LOADED)
        if routed.route.gap_target_ms is not None:
            yield from self._sample(summary.calm_ids, summary, CALM_SAMPLE)

    def _sample(
        self, runner_ids: tuple[RunnerId, ...], summary: PoolSummary, count: int
    ) -> Iterable[RunnerId]:
        if not runner_ids:
            return ()
        # Doubles do no harm, and drawing with them is several times faster.
        sample = dict.fromkeys(self._random.choices(runner_ids, k=SAMPLED_RUNNERS))
        return _least_loaded(self._fleet, sample, summary, count)


class CandidateChooser:
    """Chooses the candidates for a call before anything is estimated."""

    def __init__(self, fleet: FleetModel, sources: Iterable[CandidateSource]) -> None:
        self._fleet = fleet
        self._sources = tuple(sources)

    def choose(
        self,
        routed: RoutedCall,
        pool: PublishedPool | None,
        runners: Mapping[RunnerId, PublishedRunner],
        untried_runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> Mapping[RunnerId, PublishedRunner]:
        """Return the runners to ask for room.

        They are all untried ones if the pool is small or its runners are plain
        services.

        :param runners: all runners of the pool, as the directory lists them.
        """
        if pool is None or pool.engine is None or len(runners) <= MAX_UNSAMPLED_RUNNERS:
            return untried_runners
        summary = self._fleet.summary(pool, runners, now)
        candidates: dict[RunnerId, PublishedRunner] = {}
        for source in self._sources:
            for runner_id in source.propose(routed, pool, summary, now):
                runner = untried_runners.get(runner_id)
                if runner is not None and self._fleet.is_available(runner_id, now):
                    candidates[runner_id] = runner
        return candidates

    def limit(
        self,
        pool: PublishedPool,
        runners: list[PublishedRunner],
        candidates: Mapping[RunnerId, PublishedRunner],
    ) -> list[PublishedRunner]:
        """Return the engines to estimate if a search among all of them found many.

        They are the candidates or else those with the most free slots.
        """
        if pool.engine is None or len(runners) <= MAX_CANDIDATES:
            return runners
        found_candidates = [
            runner for runner in runners if runner.runner_id in candidates
        ]
        if found_candidates:
            return found_candidates
        return nsmallest(MAX_FOUND, runners, key=self._fleet.occupancy)


def _least_loaded(
    fleet: FleetModel, runner_ids: Iterable[RunnerId], summary: PoolSummary, count: int
) -> Iterable[RunnerId]:
    """Return the listed runners with the smallest share of slots in use."""
    listed_runners = [
        runner
        for runner_id in runner_ids
        if (runner := summary.runners.get(runner_id)) is not None
    ]
    least_loaded = nsmallest(count, listed_runners, key=fleet.occupancy)
    return [runner.runner_id for runner in least_loaded]
