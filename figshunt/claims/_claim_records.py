"""A claimant's bounded memory of the keys that it claimed."""

import heapq
from dataclasses import dataclass, replace
from enum import Enum

from figshunt.claims._key_time import GRANTED_AHEAD_MS, RETENTION_MS, LedgerKey
from figshunt.types import Fingerprint, Moment, RequestId, RunOutcome

MOST_CLAIMS = 200_000


class ClaimState(Enum):
    """How far the request with a claimed key has come."""

    PENDING = "pending"
    OWNED = "owned"
    NOT_RUN = "not_run"
    ABANDONED = "abandoned"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """What became of one key.

    ``was_won`` tells that a majority once granted the key to this daemon, so
    that nobody else can ever run it.
    """

    state: ClaimState
    request_id: RequestId
    fingerprint: Fingerprint
    was_won: bool = False
    outcome: RunOutcome = RunOutcome.MAY_HAVE_RUN


class ClaimRecords:
    """Records by team and key, kept for longer than voters allow the key."""

    def __init__(self, most_claims: int = MOST_CLAIMS) -> None:
        self._most_claims = most_claims
        self._records_by_key: dict[LedgerKey, ClaimRecord] = {}
        self._expiries: list[tuple[int, LedgerKey]] = []

    def get(self, key: LedgerKey) -> ClaimRecord | None:
        """Return the record of the key."""
        return self._records_by_key.get(key)

    def is_full(self) -> bool:
        """Return whether no further key can be remembered."""
        return len(self._expiries) >= self._most_claims

    def open(
        self, key: LedgerKey, request_id: RequestId, fingerprint: Fingerprint
    ) -> None:
        """Begin a round for the key; a key that was won once stays so."""
        previous = self._records_by_key.get(key)
        self._records_by_key[key] = ClaimRecord(
            ClaimState.PENDING,
            request_id,
            fingerprint,
            was_won=previous is not None and previous.was_won,
        )

    def win(self, key: LedgerKey, now: Moment) -> None:
        """Note that a majority granted the key; it is remembered from here on."""
        record = self._records_by_key[key]
        if not record.was_won:
            self._keep(key, now)
        self._records_by_key[key] = replace(
            record, state=ClaimState.OWNED, was_won=True
        )

    def lose(self, key: LedgerKey) -> RunOutcome:
        """Close a round without a majority; return what is known of the key."""
        record = self._records_by_key[key]
        if not record.was_won:
            del self._records_by_key[key]
            return RunOutcome.MAY_HAVE_RUN
        self._records_by_key[key] = replace(record, state=ClaimState.NOT_RUN)
        return RunOutcome.NOT_RUN

    def end(self, key: LedgerKey, request_id: RequestId, outcome: RunOutcome) -> None:
        """Note how the request that owns the key ended."""
        record = self._records_by_key.get(key)
        if record is None or record.request_id != request_id:
            return
        if record.state is ClaimState.OWNED:
            not_run = outcome is RunOutcome.NOT_RUN
            state = ClaimState.NOT_RUN if not_run else ClaimState.ENDED
            self._records_by_key[key] = replace(record, state=state, outcome=outcome)

    def abandon(self, key: LedgerKey) -> None:
        """Never run a key that was not run, as another host now says so.

        Its answer to the caller may be late; the key must not run before.
        """
        record = self._records_by_key[key]
        assert record.state is ClaimState.NOT_RUN
        self._records_by_key[key] = replace(record, state=ClaimState.ABANDONED)

    def forget_expired(self, now: Moment) -> None:
        """Drop the records whose keys can't be claimed any more."""
        while self._expiries and self._expiries[0][0] <= now.monotonic_ms:
            _, key = heapq.heappop(self._expiries)
            if self._records_by_key[key].state in (
                ClaimState.PENDING,
                ClaimState.OWNED,
            ):
                self._keep(key, now)
            else:
                del self._records_by_key[key]

    def _keep(self, key: LedgerKey, now: Moment) -> None:
        expires_ms = now.monotonic_ms + RETENTION_MS + GRANTED_AHEAD_MS
        heapq.heappush(self._expiries, (expires_ms, key))
