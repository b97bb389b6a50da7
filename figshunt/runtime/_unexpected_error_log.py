"""Logs errors that no handler expected, with their traceback."""

import traceback

from figshunt.runtime._event_log import EventLog
from figshunt.runtime._log_rate_limit import LogRateLimit
from figshunt.types import Clock, Step

LOG_INTERVAL_MS = 1_000

# The innermost frames, which show where the error was raised.
MAX_FRAMES = 8


class UnexpectedErrorLog:
    """Writes one event for an unexpected error, at a limited rate."""

    def __init__(self, log: EventLog, clock: Clock) -> None:
        self._log = log
        self._rate_limit = LogRateLimit(clock, LOG_INTERVAL_MS)

    def write(self, error: Exception, step: Step, **fields: str) -> None:
        """Log an error that was caught, or its cause if it has one."""
        suppressed = self._rate_limit.admit()
        if suppressed is None:
            return
        cause = error.__cause__ or error
        lines = traceback.format_exception(cause, limit=-MAX_FRAMES)
        self._log.write(
            "unexpected_error",
            "error",
            step=step.value,
            detail="".join(lines),
            suppressed=suppressed,
            **fields,
        )
