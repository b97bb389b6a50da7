"""Derives the limits of what a host holds from its memory."""

from typing import NamedTuple

from figshunt.runtime import MAX_HELD_HEAD_BYTES, ReceiveBudget

# A tenth stays free for what isn't counted.
USABLE_SHARE = 0.9

# The process with its tables, before the first request; measured 53 to 60 MB.
PROCESS_BYTES = 60 * 1024 * 1024

# Received bytes take up to twice their size, with copies and gaps on the heap. Two
# fifths of the rest are thus for them, the others for connections, bodies of requests
# and answers that callers have not read.
RECEIVED_SHARE = 0.2
CONNECTIONS_SHARE = 0.3
UNREAD_SHARE = 0.1

# Heads of requests that aren't whole take 3.5 times their size in the HTTP library,
# so a twelfth of the rest is for them. Those of ordinary requests have a few KiB and
# are incomplete for a moment.
HEADS_SHARE = 0.02

MIN_RECEIVED_BYTES = 1024 * 1024
MIN_HEADS_BYTES = 512 * 1024

# A connection of a caller without a request takes 8 to 9 KiB in the process, and the
# system holds some of its data.
IDLE_CONNECTION_BYTES = 16 * 1024
MIN_CALLER_CONNECTIONS = 128


class CallerMemory(NamedTuple):
    """What callers may hold: bytes of heads, and open connections."""

    max_head_bytes: int
    max_connections: int | None


def build_receive_budget(memory_bytes: int | None) -> ReceiveBudget:
    """Return the budget for answers of runners on a host with so much memory.

    :param memory_bytes: ``None`` if it isn't known.
    """
    if memory_bytes is None:
        return ReceiveBudget()
    spare_bytes = _compute_spare_bytes(memory_bytes)
    return ReceiveBudget(
        max(MIN_RECEIVED_BYTES, int(spare_bytes * RECEIVED_SHARE)),
        int(spare_bytes * CONNECTIONS_SHARE),
    )


def build_unread_budget(memory_bytes: int | None) -> ReceiveBudget:
    """Return the budget for events of answers that callers have not read.

    :param memory_bytes: ``None`` if it isn't known.
    """
    if memory_bytes is None:
        return ReceiveBudget()
    unread_bytes = int(_compute_spare_bytes(memory_bytes) * UNREAD_SHARE)
    return ReceiveBudget(max(MIN_RECEIVED_BYTES, unread_bytes))


def compute_caller_memory(memory_bytes: int | None) -> CallerMemory:
    """Return what callers may hold before their requests are whole.

    :param memory_bytes: ``None`` if it isn't known.
    """
    if memory_bytes is None:
        return CallerMemory(MAX_HELD_HEAD_BYTES, None)
    spare_bytes = _compute_spare_bytes(memory_bytes)
    connections = int(spare_bytes * CONNECTIONS_SHARE) // IDLE_CONNECTION_BYTES
    return CallerMemory(
        max(MIN_HEADS_BYTES, int(spare_bytes * HEADS_SHARE)),
        max(MIN_CALLER_CONNECTIONS, connections),
    )


def _compute_spare_bytes(memory_bytes: int) -> int:
    return max(0, int(memory_bytes * USABLE_SHARE) - PROCESS_BYTES)
