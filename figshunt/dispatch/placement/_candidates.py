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

from figshunt.directory import DirectoryView, PublishedPool, PublishedRunner
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch.fleet._fleet_model import FleetModel
from figshunt.dispatch.fleet._pool_summary import (
    MAX_UNSAMPLED_RUNNERS,
    PoolSummary,
)
from figshunt.types import Moment, RunnerId

# Candidates from each source. With the homes of a prefix, they are at most ten, which
# are estimated in about the time of a pool that isn't sampled.
MAX_HOLDERS = 2
MAX_SAMPLED = 3
MAX_LOCAL = 2
SAMPLED_RUNNERS = 8

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
        group_ids = frozenset(summary.group(routed.route.gap_target_ms))
        holders = [name for name in holders if name in group_ids] or holders
        return _least_loaded(self._fleet, holders, summary, MAX_HOLDERS)


class SampleSource:
    """Proposes the least loaded runners of random samples.

    Samples differ between hosts, which would otherwise all choose the runner that
    was the least loaded when they last heard of it. One sample is of the engines that
    are meant for such calls, a second one of those of them in the own data centre.
    """

    def __init__(self, fleet: FleetModel, random_source: random.Random) -> None:
        self._fleet = fleet
        self._random = random_source

    def propose(
        self, routed: RoutedCall, pool: PublishedPool, summary: PoolSummary, now: Moment
    ) -> Iterable[RunnerId]:
        """Return a few runners of each sample."""
        group_ids = summary.group(routed.route.gap_target_ms)
        yield from self._sample(group_ids, summary, MAX_SAMPLED)
        if group_ids is summary.common_ids:
            yield from self._sample(summary.local_ids, summary, MAX_LOCAL)

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

    def __init__(
        self,
        fleet: FleetModel,
        directory: DirectoryView,
        sources: Iterable[CandidateSource],
        random_source: random.Random,
    ) -> None:
        self._fleet = fleet
        self._directory = directory
        self._random = random_source
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

    def sample_free(
        self,
        routed: RoutedCall,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> Mapping[RunnerId, PublishedRunner]:
        """Return some of the available runners that need not preempt for the call.

        Runners that are meant for such calls come first, holders of the prompt's prefix
        before the others.
        """
        free_runners = [
            runner
            for runner in runners.values()
            if self._fleet.is_free(routed, pool, runner)
            and self._fleet.is_available(runner.runner_id, now)
        ]
        prompt = routed.call.prompt
        holders = frozenset(self._fleet.holders(prompt.parts) if prompt else ())
        summary = self._fleet.summary(pool, self._directory.runners(pool.name), now)
        group_ids = frozenset(summary.group(routed.route.gap_target_ms))
        for preferred_ids in (holders & group_ids, group_ids, holders):
            preferred_runners = [
                runner for runner in free_runners if runner.runner_id in preferred_ids
            ]
            if preferred_runners:
                free_runners = preferred_runners
                break
        if len(free_runners) > MAX_FOUND:
            free_runners = self._random.sample(free_runners, MAX_FOUND)
        return {runner.runner_id: runner for runner in free_runners}

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
