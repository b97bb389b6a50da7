"""Identifies the team of a caller by the caller's key."""

from collections.abc import Iterable
from dataclasses import replace

from figshunt.control import TablesView
from figshunt.pipeline import Output
from figshunt.request._refusal import refuse_unrouted
from figshunt.types import ErrorCode, Message, Moment, RequestArrived, Step


class TeamFilter:
    """Adds the team to :class:`RequestArrived`, or refuses the request."""

    step = Step.TEAM
    accepts: tuple[type[Message], ...] = (RequestArrived,)

    def __init__(self, tables: TablesView) -> None:
        self._tables = tables

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        assert isinstance(message, RequestArrived)
        request = message.request
        tables = self._tables.current()
        if tables is None:
            yield refuse_unrouted(
                request, ErrorCode.NOT_READY, self.step, "no tables in force yet"
            )
            return
        team = tables.team_for_caller_key(request.caller_key)
        if team is None:
            yield refuse_unrouted(
                request, ErrorCode.UNKNOWN_TEAM, self.step, "unknown caller key"
            )
            return
        yield replace(message, team=team.name)
