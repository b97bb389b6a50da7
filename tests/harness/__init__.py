"""Test harness: daemon processes, a fault-injecting proxy and a virtual cell."""

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
    create_seeded_random,
)
from tests.harness._hostile_crowd import (
    HostileCrowd,
    HostileRequest,
)
from tests.harness._next_request_callers import (
    END_PATH,
    NextRequestCallers,
    TimedRunner,
    build_stream_path,
    wait_for_stream_end,
)
from tests.harness._processes import (
    ManagedProcess,
    start_module,
)
from tests.harness._raw_caller import (
    RAW_CALL_TIMEOUT_S,
    Ending,
    Exchange,
    RawCaller,
    RawResponse,
    open_raw_caller,
)
from tests.harness._stop_callers import (
    ACCEPT_S,
    SITUATIONS,
    Situation,
    StopCallers,
)
from tests.harness._virtual_cell import (
    VirtualCell,
    VirtualDaemon,
)

__all__ = [
    "RAW_CALL_TIMEOUT_S",
    "ACCEPT_S",
    "Balancer",
    "END_PATH",
    "DaemonHandle",
    "Ending",
    "Exchange",
    "FaultProxy",
    "Fleet",
    "HostileCrowd",
    "HostileRequest",
    "ManagedProcess",
    "NextRequestCallers",
    "ProxyMode",
    "RawCaller",
    "RawResponse",
    "SITUATIONS",
    "Situation",
    "StopCallers",
    "TimedRunner",
    "VirtualCell",
    "VirtualDaemon",
    "build_stream_path",
    "create_seeded_random",
    "open_raw_caller",
    "start_module",
    "wait_for_stream_end",
]
