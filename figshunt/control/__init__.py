"""Control filters: tables, membership, runners; and the views they offer."""

from figshunt.control._membership_filter import (
    MembershipFilter,
)
from figshunt.control._ramp import (
    ramped_limit,
)
from figshunt.control._revision_filter import (
    RevisionFilter,
)
from figshunt.control._runner_filter import (
    RunnerFilter,
)
from figshunt.control._runner_record import (
    RunnerRecord,
)
from figshunt.control._views import (
    RunnerStanding,
    RunnersView,
    SeatsView,
    TablesView,
)

__all__ = [
    "MembershipFilter",
    "RevisionFilter",
    "RunnerFilter",
    "RunnerRecord",
    "RunnerStanding",
    "RunnersView",
    "SeatsView",
    "TablesView",
    "ramped_limit",
]
