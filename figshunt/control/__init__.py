"""Control filters: tables, membership, runners; and the views they offer."""

from figshunt.control._audit_trail import (
    AuditTrail,
)
from figshunt.control._host_merge import (
    merge_hosts,
)
from figshunt.control._leaving import (
    LeavingNotices,
)
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
from figshunt.control._reader_filter import (
    ReaderFilter,
)
from figshunt.control._revision_filter import (
    RevisionFilter,
)
from figshunt.control._revision_status import (
    RevisionStatus,
)
from figshunt.control._runner_filter import (
    RunnerFilter,
)
from figshunt.control._runner_record import (
    RunnerRecord,
)
from figshunt.control._settling import (
    Settling,
)
from figshunt.control._suspicion_filter import (
    Suspicion,
    SuspicionEntry,
    SuspicionFilter,
    SuspicionView,
)
from figshunt.control._token_time import (
    TokenTimeLevel,
)
from figshunt.control._views import (
    RunnerStanding,
    RunnersView,
    SeatsView,
    TablesView,
)

__all__ = [
    "AuditTrail",
    "LeavingNotices",
    "MembershipFilter",
    "OutcomeFilter",
    "PauseFilter",
    "PeerOutcome",
    "ReaderFilter",
    "RevisionFilter",
    "RevisionStatus",
    "RunnerFilter",
    "RunnerRecord",
    "RunnerStanding",
    "RunnersView",
    "SeatsView",
    "Settling",
    "Suspicion",
    "SuspicionEntry",
    "SuspicionFilter",
    "SuspicionView",
    "TablesView",
    "TokenTimeLevel",
    "merge_hosts",
    "ramped_limit",
    "target_latency_ms",
]
