"""Orders requests by the urgency of their team and route."""

from figshunt.directory import Configuration

# Engines distinguish this many priorities; 0 comes first.
PRIORITY_LEVELS = 10


class PriorityScale:
    """Maps two urgencies to one of the priorities that engines distinguish.

    Requests are ordered by ``urgency`` and, among equals, by the urgency of their
    route, so that a team's requests keep the order of their routes.

    The priorities depend only on the range of the urgencies in the configuration.
    Hosts that have different versions of it therefore nearly always send the same
    priorities.
    """

    def __init__(self, configuration: Configuration) -> None:
        route_urgencies = {route.urgency for route in configuration.routes}
        teams = configuration.teams_by_key_sha256.values()
        team_urgencies = {team.urgency for team in teams if team.urgency is not None}
        max_urgency = max(route_urgencies | team_urgencies, default=0)
        self._route_ranks = {
            urgency: rank for rank, urgency in enumerate(sorted(route_urgencies))
        }
        # With more route urgencies than levels, neighbours share a level.
        levels_per_urgency = PRIORITY_LEVELS // (max_urgency + 1)
        self._stride = max(1, min(len(self._route_ranks), levels_per_urgency))

    def priority(self, urgency: int, route_urgency: int) -> int:
        """Return the priority of a request.

        :param urgency: the urgency of the team or, if it has none, of the route.
        :param route_urgency: the urgency of a route of the configuration.
        """
        route_rank = self._route_ranks[route_urgency]
        offset = route_rank * self._stride // len(self._route_ranks)
        return min(PRIORITY_LEVELS - 1, urgency * self._stride + offset)
