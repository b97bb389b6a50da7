"""Published weights and rates of teams."""

from figshunt.control import TablesView
from figshunt.tables import Team
from figshunt.types import TeamName

DEFAULT_WEIGHT = 1.0


class TableTeams:
    """Looks teams up in the tables in force; one that left has the defaults."""

    def __init__(self, tables: TablesView) -> None:
        self._tables = tables

    def weight(self, team: TeamName) -> float:
        """Return the weight of a team; 1 where it isn't published."""
        published = self._team(team)
        return published.weight if published else DEFAULT_WEIGHT

    def requests_per_minute(self, team: TeamName) -> int | None:
        """Return the team's rate limit over all hosts, if it has one."""
        published = self._team(team)
        return published.requests_per_minute if published else None

    def _team(self, team: TeamName) -> Team | None:
        tables = self._tables.current()
        return tables.teams_by_name.get(team) if tables else None
