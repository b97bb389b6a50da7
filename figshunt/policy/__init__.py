"""Scheduling policies, runner selection, retry budgets and run-time estimates."""

from figshunt.policy._first_in_first_out import (
    FirstInFirstOut,
)
from figshunt.policy._retry_budget import (
    RetryBudget,
)
from figshunt.policy._runner_choice import (
    LeastLoaded,
    RunnerCandidate,
    RunnerChooser,
)
from figshunt.policy._scheduling import (
    PolicyBuilder,
    RunEstimates,
    SchedulingPolicy,
    TeamWeights,
)
from figshunt.policy._service_estimates import (
    ServiceEstimates,
)
from figshunt.policy._strict_priority import (
    StrictPriority,
)
from figshunt.policy._team_rate_limiter import (
    TeamRateLimiter,
)
from figshunt.policy._tiered_fair import (
    TieredFair,
)
from figshunt.policy._waiting_work import (
    WaitingWork,
)

__all__ = [
    "FirstInFirstOut",
    "LeastLoaded",
    "PolicyBuilder",
    "RetryBudget",
    "RunEstimates",
    "RunnerCandidate",
    "RunnerChooser",
    "SchedulingPolicy",
    "ServiceEstimates",
    "StrictPriority",
    "TeamRateLimiter",
    "TeamWeights",
    "TieredFair",
    "WaitingWork",
]
