"""Control filters: tables, membership, runners; and the views they offer."""

from figshunt.control._membership_filter import (
    MembershipFilter,
)
from figshunt.control._outcome_filter import (
    OutcomeFilter,
    PeerOutcome,
    target_latency_ms,
)
from figshunt.control._pause_filter import (
    PauseFilter,
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
from figshunt.control._suspicion_filter import (
    Suspicion,
    SuspicionEntry,
    SuspicionFilter,
    SuspicionView,
)
from figshunt.control._views import (
    RunnerStanding,
    RunnersView,
    SeatsView,
    TablesView,
)

__all__ = [
    "MembershipFilter",
    "PauseFilter",
    "OutcomeFilter",
    "PeerOutcome",
    "RevisionFilter",
    "RunnerFilter",
    "RunnerRecord",
    "RunnerStanding",
    "RunnersView",
    "SeatsView",
    "Suspicion",
    "SuspicionEntry",
    "SuspicionFilter",
    "SuspicionView",
    "TablesView",
    "ramped_limit",
    "target_latency_ms",
]
