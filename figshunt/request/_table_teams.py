"""Weights and rate limits of teams, as published in the tables."""

from figshunt.control import TablesView
from figshunt.tables import Team
from figshunt.types import TeamName

DEFAULT_WEIGHT = 1.0


class TableTeams:
    """Looks up teams in the tables in force.

    A team that is no longer in the tables has the default weight and no rate
    limit.
    """

    def __init__(self, tables: TablesView) -> None:
        self._tables = tables

    def weight(self, team: TeamName) -> float:
        """Return the weight of a team, or 1 if none is published."""
        team_entry = self._find_team(team)
        return team_entry.weight if team_entry else DEFAULT_WEIGHT

    def requests_per_minute(self, team: TeamName) -> int | None:
        """Return the team's rate limit over all hosts, if it has one."""
        team_entry = self._find_team(team)
        return team_entry.requests_per_minute if team_entry else None

    def _find_team(self, team: TeamName) -> Team | None:
        tables = self._tables.current()
        return tables.teams_by_name.get(team) if tables else None
