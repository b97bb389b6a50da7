"""Parsing of idempotency keys, and the period in which they may be claimed."""

import uuid

from figshunt.types import IdempotencyKey, RoutedRequest, TeamName

KEY_WINDOW_MS = 600_000
# Maximum difference between the wall clocks of any two hosts of a cell.
CLOCK_SKEW_MS = 1_000
# A voter grants keys that are dated up to one skew after its own clock, which may
# be one skew ahead of the local clock. A key dated up to two skews after the local
# clock may therefore have been granted already.
GRANTED_AHEAD_MS = 2 * CLOCK_SKEW_MS
# After this time the key is outside of the window by every clock of the cell.
RETENTION_MS = KEY_WINDOW_MS + 2 * CLOCK_SKEW_MS

LedgerKey = tuple[TeamName, IdempotencyKey]

UUID_VERSION = 7
BITS_AFTER_TIME = 80


def parse_key(key: str) -> IdempotencyKey | None:
    """Return the canonical form of a UUIDv7, or ``None`` for anything else."""
    try:
        parsed_key = uuid.UUID(key)
    except ValueError:
        return None
    if parsed_key.version != UUID_VERSION:
        return None
    return IdempotencyKey(str(parsed_key))


def read_issue_ms(key: IdempotencyKey) -> int:
    """Return the wall time at which a canonical key was issued."""
    return uuid.UUID(key).int >> BITS_AFTER_TIME


def find_ledger_key(routed: RoutedRequest) -> LedgerKey | None:
    """Return the team and canonical key of a request, ``None`` if it has none."""
    key = parse_key(routed.request.key) if routed.request.key is not None else None
    return None if key is None else (routed.team, key)
