"""A soak test: entry host processes under randomized faults and continuous load."""

from tests.soak._fleet import SoakScale
from tests.soak._plan import Fault, FaultKind, draw_plan
from tests.soak._run import SoakReport, run_soak
from tests.soak._scenarios import (
    run_hosts_without_peers,
    run_leaving_in_outage,
    run_repeated_replies,
)

__all__ = [
    "Fault",
    "FaultKind",
    "SoakReport",
    "SoakScale",
    "draw_plan",
    "run_leaving_in_outage",
    "run_repeated_replies",
    "run_soak",
    "run_hosts_without_peers",
]
