"""Time limits of slot loans, and the wait of a new occupant of a seat."""

from figshunt.tables import Tables
from figshunt.types import PoolName

# New attempts may start on a loan only for this long, so that soon after the owner
# has stopped, the runner's load report includes every attempt on the slots it lent.
START_WINDOW_MS = 2_000
MAX_LEASE_MS = 60_000
# Upper bound for the transit time of messages, for the drift between clocks over
# one lease, and for the time until a cancellation reaches the runner.
LEASE_MARGIN_MS = 1_000
# Time after its last contact for which a peer counts towards a majority, as set by
# CONTACT_TIMEOUT_MS in figshunt.control.
MAJORITY_TIMEOUT_MS = 3_000
# A predecessor without a majority goes on using and lending slots of cold runners
# for MAJORITY_TIMEOUT_MS. Attempts on its last loans start within START_WINDOW_MS.
STARTUP_WAIT_MS = MAJORITY_TIMEOUT_MS + START_WINDOW_MS + LEASE_MARGIN_MS
IDLE_TIMEOUT_MS = 200
RETURN_BATCH_INTERVAL_MS = 20
REQUEST_TIMEOUT_MS = 500
# How long an owner keeps the unmet part of a slot request. Shorter than the start
# window, which counts from the request. The borrower repeats a request sooner than
# this, unless the peer has lent nothing several times in a row.
UNMET_REQUEST_TTL_MS = 1_900
REQUEST_RETRY_MS = 500


def longest_run_ms(tables: Tables, pool: PoolName) -> int:
    """Return the longest time that an attempt in the pool may run."""
    return max(
        (
            route.max_run_ms
            for route in tables.routes_by_name.values()
            if route.pool == pool
        ),
        default=0,
    )


def compute_lease_ms(run_ms: int) -> int:
    """Return a lease that covers the start window and a run of ``run_ms``.

    It is never longer than ``MAX_LEASE_MS``.
    """
    return min(MAX_LEASE_MS, START_WINDOW_MS + run_ms)
