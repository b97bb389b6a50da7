"""Control filters for tables, membership and runners, with their read-only views."""

from figshunt.control._audit_trail import (
    AuditTrail,
)
from figshunt.control._host_merge import (
    merge_hosts,
)
from figshunt.control._leaving_notices import (
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
    ramp_up_limit,
)
from figshunt.control._readiness_filter import (
    ReadinessFilter,
)
from figshunt.control._revision_filter import (
    RevisionFilter,
)
from figshunt.control._revision_status import (
    RevisionStatus,
)
from figshunt.control._revision_sync import (
    RevisionSync,
)
from figshunt.control._runner_filter import (
    RunnerFilter,
)
from figshunt.control._runner_record import (
    RunnerRecord,
)
from figshunt.control._suspicion_filter import (
    MAX_UNDECIDED_MS,
    Suspicion,
    SuspicionEntry,
    SuspicionFilter,
    SuspicionView,
)
from figshunt.control._table_reader_filter import (
    TableReaderFilter,
)
from figshunt.control._token_time import (
    TokenTimeMonitor,
)
from figshunt.control._views import (
    KeyGrantsView,
    RunnerStatus,
    RunnersView,
    SeatsView,
    TablesView,
)

__all__ = [
    "MAX_UNDECIDED_MS",
    "AuditTrail",
    "KeyGrantsView",
    "LeavingNotices",
    "MembershipFilter",
    "OutcomeFilter",
    "PauseFilter",
    "PeerOutcome",
    "ReadinessFilter",
    "RevisionFilter",
    "RevisionStatus",
    "RevisionSync",
    "RunnerFilter",
    "RunnerRecord",
    "RunnerStatus",
    "RunnersView",
    "SeatsView",
    "Suspicion",
    "SuspicionEntry",
    "SuspicionFilter",
    "SuspicionView",
    "TableReaderFilter",
    "TablesView",
    "TokenTimeMonitor",
    "merge_hosts",
    "ramp_up_limit",
    "target_latency_ms",
]
