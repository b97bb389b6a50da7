"""A voter's bounded memory of what it granted."""

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
    Moment,
    RequestKey,
    SeatIncarnation,
    TeamName,
)

MOST_GRANTS = 200_000


class GrantLedger:
    """Grants by team and key, kept until no clock of the cell allows the key."""

    def __init__(self, most_grants: int = MOST_GRANTS) -> None:
        self._most_grants = most_grants
        self._holders_by_key: dict[LedgerKey, SeatIncarnation] = {}
        self._expiries: list[tuple[int, LedgerKey]] = []

    def __len__(self) -> int:
        return len(self._holders_by_key)

    def holder(self, team: TeamName, key: RequestKey) -> SeatIncarnation | None:
        """Return to whom the key was granted."""
        return self._holders_by_key.get((team, key))

    def is_full(self) -> bool:
        """Return whether no further grant can be remembered."""
        return len(self._holders_by_key) >= self._most_grants

    def record(self, grant: GrantRecord, now: Moment) -> None:
        """Remember a grant unless one of the same key is remembered.

        A grant that another seat told is dropped if the memory is full or its
        key has no time; this voter abstains for such keys anyhow. The expiry
        is fixed in monotonic time, so that a step of the wall clock can't make
        a voter forget early.
        """
        ledger_key = (grant.team, grant.key)
        if ledger_key in self._holders_by_key or self.is_full():
            return
        if parse_key(grant.key) != grant.key:
            return
        left_ms = read_issue_ms(grant.key) + RETENTION_MS - now.wall_ms
        self._holders_by_key[ledger_key] = grant.holder
        expires_ms = now.monotonic_ms + min(left_ms, RETENTION_MS + GRANTED_AHEAD_MS)
        heapq.heappush(self._expiries, (expires_ms, ledger_key))

    def forget_expired(self, now: Moment) -> None:
        """Drop the grants whose keys can't be claimed any more."""
        while self._expiries and self._expiries[0][0] <= now.monotonic_ms:
            del self._holders_by_key[heapq.heappop(self._expiries)[1]]

    def records(self) -> list[GrantRecord]:
        """Return all grants that are remembered."""
        return [
            GrantRecord(team, key, holder)
            for (team, key), holder in self._holders_by_key.items()
        ]
