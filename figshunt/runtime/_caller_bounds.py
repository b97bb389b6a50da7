"""What all callers of one listener may take together, and reports of those refused."""

import resource
from collections.abc import Callable
from typing import Any

from figshunt.runtime._caller_limits import CallerFault, CallerLimits
from figshunt.runtime._event_log import EventLog
from figshunt.runtime._head_budget import MAX_HELD_HEAD_BYTES, HeadBudget
from figshunt.runtime._log_rate_limit import LogRateLimit
from figshunt.types import Clock, CountEvent, Step

# Part of the descriptors for connections of callers. Each request in progress takes
# another one for its runner, and the other parts of the process need some too.
DESCRIPTOR_SHARE = 0.45

# What a process can use at most where no limit is set.
UNLIMITED_DESCRIPTORS = 1024 * 1024

# One line a second tells of a kind of refusal, with the number of the others.
LOG_INTERVAL_MS = 1_000


class CallerBounds:
    """The bounds of one listener for its callers.

    :param read_limits: returns the limits of a new connection.
    :param max_connections: bound besides that by the descriptors.
    """

    def __init__(
        self,
        step: Step,
        clock: Clock,
        log: EventLog,
        count: Callable[[CountEvent], None],
        read_limits: Callable[[], CallerLimits],
        max_head_bytes: int = MAX_HELD_HEAD_BYTES,
        max_connections: int | None = None,
    ) -> None:
        self._step = step
        self._log = log
        self._count = count
        self._read_limits = read_limits
        self._max_connections = max_connections
        self._head_budget = HeadBudget(max_head_bytes)
        self._log_limits = {
            fault: LogRateLimit(clock, LOG_INTERVAL_MS) for fault in CallerFault
        }

    def build_options(self) -> dict[str, Any]:
        """Return the options of a new connection."""
        limits = self._read_limits()
        return {
            "limits": limits,
            "head_budget": self._head_budget,
            "report_fault": self._report_fault,
        }

    def compute_max_connections(self) -> int:
        """Return how many connections of callers may be open."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            descriptors = UNLIMITED_DESCRIPTORS
        max_connections = int(descriptors * DESCRIPTOR_SHARE)
        if self._max_connections is None:
            return max_connections
        return min(max_connections, self._max_connections)

    def _report_fault(self, fault: CallerFault) -> None:
        self._count(CountEvent("caller_faults", {"fault": fault.value}))
        suppressed = self._log_limits[fault].admit()
        if suppressed is not None:
            self._log.write(
                "caller_fault",
                "warning",
                step=self._step.value,
                fault=fault.value,
                suppressed=suppressed,
                held_bytes=self._head_budget.held_bytes,
            )
