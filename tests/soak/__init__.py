"""A soak test: entry host processes under randomized faults and continuous load."""

from tests.soak._fleet import DEFAULT_HOST_COUNT
from tests.soak._plan import Fault, FaultKind, draw_plan
from tests.soak._run import SoakReport, run_soak

__all__ = [
    "DEFAULT_HOST_COUNT",
    "Fault",
    "FaultKind",
    "SoakReport",
    "draw_plan",
    "run_soak",
]
