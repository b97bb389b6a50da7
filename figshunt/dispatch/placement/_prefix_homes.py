"""Finds the home engines of shared prompt prefixes.

Load: at peak, hundreds of prefixes of thousands of tokens are each used several times
per second. Without homes, hosts that place calls at the same time spread a prefix over
all engines, each of which reads it again. Invariant: a home is only preferred, never
required, so a call goes elsewhere as soon as its home is expected to finish it later.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from heapq import nlargest
from itertools import islice
from math import log

import xxhash

from figshunt.directory import PublishedPool, PublishedRunner
from figshunt.dispatch._call import PartId, PromptPart, RoutedCall
from figshunt.dispatch.fleet._fleet_model import FleetModel
from figshunt.dispatch.fleet._pool_summary import PoolSummary
from figshunt.types import Moment, RunnerId

# Engines that are ranked for a prefix. A hot one needs as many homes as its requests
# fill; beyond these, its holders and samples are left.
RANKED_ENGINES = 16

# Homes that are proposed for one call.
PROPOSED_HOMES = 3

# A home is passed over if it has more than this multiple of the mean requests in
# flight, and at least the slack more.
LOAD_BOUND = 1.25
LOAD_SLACK = 1.0

# Prefixes of which the ranked engines are kept.
MAX_PREFIXES = 4_096


def shared_prefix(parts: Sequence[PromptPart]) -> PartId | None:
    """Return the key of the parts that requests share, or ``None`` without any.

    The last part belongs to the request or its session.
    """
    if len(parts) < 2:
        return None
    return PartId("/".join(part.part_id for part in parts[:-1]))


class PrefixHomes:
    """The ranking of a pool's engines for each prefix.

    Hosts rank alike, as the ranking depends on the published ids and slots only: by
    rendezvous hashing, an engine that comes or goes changes only the prefixes that it
    is a home of.
    """

    def __init__(self) -> None:
        self._ranked_ids_by_prefix: OrderedDict[PartId, tuple[RunnerId, ...]] = (
            OrderedDict()
        )
        self._ranked_runners: Mapping[RunnerId, PublishedRunner] = {}

    def ranked(
        self, prefix: PartId, runners: Mapping[RunnerId, PublishedRunner]
    ) -> tuple[RunnerId, ...]:
        """Return the first engines for a prefix among a pool's runners."""
        if self._ranked_runners is not runners:
            self._ranked_runners = runners
            self._ranked_ids_by_prefix.clear()
        ranked_ids = self._ranked_ids_by_prefix.get(prefix)
        if ranked_ids is None:
            ranked_ids = rank_runners(prefix, runners.values())
            self._ranked_ids_by_prefix[prefix] = ranked_ids
            if len(self._ranked_ids_by_prefix) > MAX_PREFIXES:
                self._ranked_ids_by_prefix.popitem(last=False)
        return ranked_ids


class HomeSource:
    """Proposes the homes of a call's prefix that aren't overloaded."""

    def __init__(self, fleet: FleetModel, homes: PrefixHomes) -> None:
        self._fleet = fleet
        self._homes = homes

    def propose(
        self, routed: RoutedCall, pool: PublishedPool, summary: PoolSummary, now: Moment
    ) -> Iterable[RunnerId]:
        """Return the homes of the call's prefix."""
        return self.find(routed, summary)

    def find(self, routed: RoutedCall, summary: PoolSummary) -> tuple[RunnerId, ...]:
        """Return the first engines of the ranking that are within the load bound.

        A hot prefix fills its first homes up to the bound and so gets further ones.
        Engines that are kept for other streams are passed over.
        """
        prompt = routed.call.prompt
        prefix = shared_prefix(prompt.parts) if prompt else None
        if prefix is None:
            return ()
        max_requests = LOAD_BOUND * summary.mean_requests + LOAD_SLACK
        group_ids = frozenset(summary.group(routed.route.gap_target_ms))
        homes = (
            runner_id
            for runner_id in self._homes.ranked(prefix, summary.runners)
            if runner_id in group_ids
            and self._fleet.requests(runner_id) <= max_requests
        )
        return tuple(islice(homes, PROPOSED_HOMES))


def rank_runners(
    prefix: PartId, runners: Iterable[PublishedRunner]
) -> tuple[RunnerId, ...]:
    """Return the first engines for a prefix by rendezvous hashing, weighted by size."""
    ranked_runners = nlargest(
        RANKED_ENGINES, runners, key=lambda runner: _score(prefix, runner)
    )
    return tuple(runner.runner_id for runner in ranked_runners)


def _score(prefix: PartId, runner: PublishedRunner) -> float:
    digest = xxhash.xxh64_intdigest(f"{prefix}/{runner.runner_id}".encode())
    # With 52 bits, the half is exact, so that the fraction never rounds to 1.
    fraction = ((digest >> 12) + 0.5) / 2**52
    return -max(1, runner.slots) / log(fraction)
