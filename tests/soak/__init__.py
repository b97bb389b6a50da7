"""A soak test: entry host processes under randomized faults and continuous load."""

from tests.soak._fleet import SoakScale
from tests.soak._plan import (
    PLANNED_KINDS,
    Fault,
    FaultKind,
    draw_plan,
    draw_planned_work,
)
from tests.soak._run import SoakReport, run_soak
from tests.soak._scenarios import (
    run_hosts_without_peers,
    run_leaving_in_outage,
    run_named_limits,
    run_repeated_replies,
)

__all__ = [
    "Fault",
    "FaultKind",
    "SoakReport",
    "PLANNED_KINDS",
    "SoakScale",
    "draw_plan",
    "draw_planned_work",
    "run_leaving_in_outage",
    "run_named_limits",
    "run_repeated_replies",
    "run_soak",
    "run_hosts_without_peers",
]
