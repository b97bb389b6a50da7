"""Real processes and a fault-injecting proxy for integration tests."""

from tests.harness._balancer import (
    Balancer,
)
from tests.harness._fault_proxy import (
    FaultProxy,
    ProxyMode,
)
from tests.harness._fleet import (
    DaemonHandle,
    Fleet,
    seeded,
)
from tests.harness._processes import (
    ManagedProcess,
    start_module,
)

__all__ = [
    "Balancer",
    "DaemonHandle",
    "FaultProxy",
    "Fleet",
    "ManagedProcess",
    "ProxyMode",
    "seeded",
    "start_module",
]
