"""Bounds in time of loans and of a new occupant's wait."""

from figshunt.tables import Tables
from figshunt.types import PoolName

# A loan takes new attempts only this long, so that soon after a daemon is
# gone every attempt on what it lent shows in the runner's report.
START_WINDOW_MS = 2_000
MAX_LEASE_MS = 60_000
# Bounds transit time of messages, rate difference of clocks over one lease,
# and the time from a cancellation to the moment the runner sees it.
SKEW_MS = 1_000
MAJORITY_LOST_MS = 3_000
# A predecessor without a majority uses and lends slots of cold runners for
# MAJORITY_LOST_MS more; what it lent last starts within START_WINDOW_MS.
SETTLE_MS = MAJORITY_LOST_MS + START_WINDOW_MS + SKEW_MS
IDLE_RETURN_MS = 500
RETURN_BATCH_MS = 20
ASK_TIMEOUT_MS = 500
# How long an owner remembers what it couldn't lend; less than the start
# window, which counts from the request.
WISH_MS = 1_500


def longest_run_ms(tables: Tables, pool: PoolName) -> int:
    """Return the longest time that an attempt in the pool may take."""
    return max(
        (one.max_run_ms for one in tables.routes_by_name.values() if one.pool == pool),
        default=0,
    )


def lease_ms_for(longest_run: int) -> int:
    """Return the lease that lets an attempt started in time run to its end."""
    return min(MAX_LEASE_MS, START_WINDOW_MS + longest_run)
