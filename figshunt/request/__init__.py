"""Filters that process a request, from its arrival to the caller's answer."""

from figshunt.request._admission_filter import (
    AdmissionFilter,
)
from figshunt.request._attempt_filter import (
    Attempt,
    AttemptFilter,
)
from figshunt.request._open_requests_filter import (
    OpenRequestsFilter,
)
from figshunt.request._quarantine_filter import (
    QuarantineFilter,
)
from figshunt.request._queue_view import (
    QueueView,
)
from figshunt.request._refusal import (
    refuse,
    refuse_unrouted,
)
from figshunt.request._route_filter import (
    RouteFilter,
)
from figshunt.request._schedule_filter import (
    ScheduleFilter,
)
from figshunt.request._table_teams import (
    TableTeams,
)
from figshunt.request._team_filter import (
    TeamFilter,
)

__all__ = [
    "AdmissionFilter",
    "Attempt",
    "AttemptFilter",
    "OpenRequestsFilter",
    "QuarantineFilter",
    "QueueView",
    "RouteFilter",
    "ScheduleFilter",
    "TableTeams",
    "TeamFilter",
    "refuse",
    "refuse_unrouted",
]
