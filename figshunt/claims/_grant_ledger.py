"""Bounded in-memory ledger of the grants of a voter."""

import heapq

from figshunt.claims._key_time import (
    GRANTED_AHEAD_MS,
    RETENTION_MS,
    LedgerKey,
    parse_key,
    read_issue_ms,
)
from figshunt.types import (
    GrantRecord,
    IdempotencyKey,
    Moment,
    SeatIncarnation,
    TeamName,
)

MAX_GRANTS = 200_000


class GrantLedger:
    """Grants by team and key, kept until no voter of the cell can grant the key."""

    def __init__(self, max_grants: int = MAX_GRANTS) -> None:
        self._max_grants = max_grants
        self._holders_by_key: dict[LedgerKey, SeatIncarnation] = {}
        self._expiries: list[tuple[int, LedgerKey]] = []

    def __len__(self) -> int:
        return len(self._holders_by_key)

    def holder(self, team: TeamName, key: IdempotencyKey) -> SeatIncarnation | None:
        """Return the claimant to which the key was granted, ``None`` if to none."""
        return self._holders_by_key.get((team, key))

    def is_full(self) -> bool:
        """Return whether there is no room for another grant."""
        return len(self._holders_by_key) >= self._max_grants

    def record(self, grant: GrantRecord, now: Moment) -> None:
        """Record a grant unless one for the same key is on record.

        A grant received from another seat is dropped if the ledger is full or
        its key isn't a canonical UUIDv7; this voter abstains for such keys in
        any case. The expiry is fixed in monotonic time, so that a step of the
        wall clock can't make a voter forget a grant too early.
        """
        ledger_key = (grant.team, grant.key)
        if ledger_key in self._holders_by_key or self.is_full():
            return
        if parse_key(grant.key) != grant.key:
            return
        remaining_ms = read_issue_ms(grant.key) + RETENTION_MS - now.wall_ms
        self._holders_by_key[ledger_key] = grant.holder
        expires_ms = now.monotonic_ms + min(
            remaining_ms, RETENTION_MS + GRANTED_AHEAD_MS
        )
        heapq.heappush(self._expiries, (expires_ms, ledger_key))

    def drop_expired(self, now: Moment) -> None:
        """Drop the grants whose keys can't be claimed any more."""
        while self._expiries and self._expiries[0][0] <= now.monotonic_ms:
            del self._holders_by_key[heapq.heappop(self._expiries)[1]]

    def records(self) -> list[GrantRecord]:
        """Return all grants on record."""
        return [
            GrantRecord(team, key, holder)
            for (team, key), holder in self._holders_by_key.items()
        ]
