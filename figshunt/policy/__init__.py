"""Decisions that vary: scheduling, choice of runner, retries, estimates."""

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
    SchedulingPolicy,
)

__all__ = [
    "FirstInFirstOut",
    "LeastLoaded",
    "RetryBudget",
    "RunnerCandidate",
    "RunnerChooser",
    "SchedulingPolicy",
]
