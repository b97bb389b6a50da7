"""Bounded in-memory records of the keys that this daemon claimed."""

import heapq
from dataclasses import dataclass, replace
from enum import Enum

from figshunt.claims._key_time import GRANTED_AHEAD_MS, RETENTION_MS, LedgerKey
from figshunt.types import Fingerprint, Moment, RequestId, RunOutcome

MAX_CLAIMS = 200_000


class ClaimState(Enum):
    """Progress of the request with a claimed key.

    A claim round is in progress in ``PENDING``; in ``OWNED`` the request may
    run. A key in ``NOT_RUN`` may be claimed once more by this daemon, a key in
    ``ABANDONED`` may not.
    """

    PENDING = "pending"
    OWNED = "owned"
    NOT_RUN = "not_run"
    ABANDONED = "abandoned"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """State of one claimed key.

    ``was_granted`` is true once a majority has granted the key to this daemon;
    no other daemon can run the key after that.
    """

    state: ClaimState
    request_id: RequestId
    fingerprint: Fingerprint
    was_granted: bool = False
    outcome: RunOutcome = RunOutcome.MAY_HAVE_RUN


class ClaimRecords:
    """Records by team and key, kept for longer than voters grant the key."""

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self._max_claims = max_claims
        self._records_by_key: dict[LedgerKey, ClaimRecord] = {}
        self._expiries: list[tuple[int, LedgerKey]] = []

    def get(self, key: LedgerKey) -> ClaimRecord | None:
        """Return the record of the key, or ``None`` if there is none."""
        return self._records_by_key.get(key)

    def is_full(self) -> bool:
        """Return whether there is no room for another record."""
        return len(self._expiries) >= self._max_claims

    def start_round(
        self, key: LedgerKey, request_id: RequestId, fingerprint: Fingerprint
    ) -> None:
        """Record that a claim round for the key starts.

        A key that a majority granted in an earlier round stays granted.
        """
        previous_record = self._records_by_key.get(key)
        self._records_by_key[key] = ClaimRecord(
            ClaimState.PENDING,
            request_id,
            fingerprint,
            was_granted=previous_record is not None and previous_record.was_granted,
        )

    def record_grant(self, key: LedgerKey, now: Moment) -> None:
        """Record that a majority granted the key, and start its retention period."""
        record = self._records_by_key[key]
        if not record.was_granted:
            self._schedule_expiry(key, now)
        self._records_by_key[key] = replace(
            record, state=ClaimState.OWNED, was_granted=True
        )

    def record_lost_round(self, key: LedgerKey) -> RunOutcome:
        """Record that a round ended without a majority; return the known outcome."""
        record = self._records_by_key[key]
        if not record.was_granted:
            del self._records_by_key[key]
            return RunOutcome.MAY_HAVE_RUN
        self._records_by_key[key] = replace(record, state=ClaimState.NOT_RUN)
        return RunOutcome.NOT_RUN

    def record_outcome(
        self, key: LedgerKey, request_id: RequestId, outcome: RunOutcome
    ) -> None:
        """Record the outcome of the request that owns the key."""
        record = self._records_by_key.get(key)
        if record is None or record.request_id != request_id:
            return
        if record.state is ClaimState.OWNED:
            not_run = outcome is RunOutcome.NOT_RUN
            state = ClaimState.NOT_RUN if not_run else ClaimState.ENDED
            self._records_by_key[key] = replace(record, state=state, outcome=outcome)

    def abandon(self, key: LedgerKey) -> None:
        """Bar a key from running, since another host reports it as not run.

        That report may reach the caller late. If the key ran in the meantime,
        the caller would get a false "not run".
        """
        record = self._records_by_key[key]
        assert record.state is ClaimState.NOT_RUN
        self._records_by_key[key] = replace(record, state=ClaimState.ABANDONED)

    def drop_expired(self, now: Moment) -> None:
        """Drop the records whose keys can't be claimed any more.

        A key that is pending or running gets another retention period.
        """
        while self._expiries and self._expiries[0][0] <= now.monotonic_ms:
            _, key = heapq.heappop(self._expiries)
            if self._records_by_key[key].state in (
                ClaimState.PENDING,
                ClaimState.OWNED,
            ):
                self._schedule_expiry(key, now)
            else:
                del self._records_by_key[key]

    def _schedule_expiry(self, key: LedgerKey, now: Moment) -> None:
        expires_ms = now.monotonic_ms + RETENTION_MS + GRANTED_AHEAD_MS
        heapq.heappush(self._expiries, (expires_ms, key))
