"""Expected slot time of a pool's waiting requests."""

from collections import Counter

from figshunt.policy._scheduling import RunEstimates, TeamWeights
from figshunt.types import Moment, RequestId, RoutedRequest, TeamName, Tier


class WaitingWork:
    """Sums the expected slot time of waiting requests by tier and team."""

    def __init__(self, weights: TeamWeights, estimates: RunEstimates) -> None:
        self._weights = weights
        self._estimates = estimates
        self._work_by_id: dict[RequestId, tuple[RoutedRequest, int]] = {}
        self._ms_by_tier: Counter[Tier] = Counter()
        self._ms_by_team: Counter[tuple[Tier, TeamName]] = Counter()
        self._request_count_by_team: Counter[tuple[Tier, TeamName]] = Counter()
        self._weight_by_team: dict[tuple[Tier, TeamName], float] = {}
        self._weight_by_tier: dict[Tier, float] = {}

    def __len__(self) -> int:
        return len(self._work_by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._work_by_id

    def add(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a waiting request with its expected slot time."""
        run_ms = self._estimates.run_ms(routed, now)
        team = (routed.tier, routed.team)
        self._work_by_id[routed.request_id] = (routed, run_ms)
        self._ms_by_tier[routed.tier] += run_ms
        self._ms_by_team[team] += run_ms
        self._request_count_by_team[team] += 1
        if self._request_count_by_team[team] == 1:
            self._weight_by_team[team] = self._weights.weight(routed.team)
            self._add_tier_weight(routed.tier, self._weight_by_team[team])

    def discard(self, request_id: RequestId) -> None:
        """Remove a request, if it is there."""
        routed, run_ms = self._work_by_id.pop(request_id, (None, 0))
        if routed is None:
            return
        team = (routed.tier, routed.team)
        self._ms_by_tier[routed.tier] -= run_ms
        self._ms_by_team[team] -= run_ms
        self._request_count_by_team[team] -= 1
        if not self._request_count_by_team[team]:
            del self._request_count_by_team[team], self._ms_by_team[team]
            self._add_tier_weight(routed.tier, -self._weight_by_team.pop(team))

    def highest_tier(self) -> Tier | None:
        """Return the highest tier with a waiting request, if there is any."""
        return min((tier for tier, ms in self._ms_by_tier.items() if ms), default=None)

    def ahead_ms(self, routed: RoutedRequest) -> float:
        """Return the expected slot time that is served before a new request.

        Requests of lower tiers aren't counted. In the same tier, other teams
        are served in proportion to their weights while the work of the
        request's own team, including the request, is served; more of their
        work isn't counted.
        """
        higher_ms = sum(
            ms for tier, ms in self._ms_by_tier.items() if tier < routed.tier
        )
        team = (routed.tier, routed.team)
        weight = self._weights.weight(routed.team)
        others_weight = self._weight_by_tier.get(routed.tier, 0.0)
        others_weight -= self._weight_by_team.get(team, 0.0)
        own_ms = self._ms_by_team.get(team, 0)
        run_ms = self._estimates.run_ms(routed, routed.request.arrived)
        same_tier_ms = own_ms + (own_ms + run_ms) * max(0.0, others_weight) / weight
        return higher_ms + min(self._ms_by_tier[routed.tier], same_tier_ms)

    def _add_tier_weight(self, tier: Tier, weight: float) -> None:
        self._weight_by_tier[tier] = self._weight_by_tier.get(tier, 0.0) + weight
