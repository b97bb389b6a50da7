"""Bookkeeping of lent slots and of unmet slot requests from peers."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from figshunt.slots._leases import LEASE_MARGIN_MS, UNMET_REQUEST_TTL_MS
from figshunt.types import (
    PoolName,
    ReturnedSlots,
    RunnerId,
    SeatNumber,
    SlotRequest,
    SlotRequestId,
    Tier,
)


@dataclass(slots=True)
class LentSlots:
    """One loan, as recorded by the owner; its lease ends at ``expires_ms``."""

    seat: SeatNumber
    runner_id: RunnerId
    count: int
    expires_ms: int
    returned: int = 0


class LendingLedger:
    """Counts lent slots until they are returned or their lease expires.

    If a return message is lost, the slot becomes free at the end of the lease.
    A repeated or late message has no effect, since each one carries the total
    number of slots returned so far.
    """

    def __init__(self) -> None:
        self._loans_by_number: dict[int, LentSlots] = {}
        self._lent_by_runner: Counter[RunnerId] = Counter()
        self._last_number = 0

    def lent_count(self, runner_id: RunnerId) -> int:
        """Return how many slots of the runner are lent."""
        return self._lent_by_runner[runner_id]

    def lend(
        self,
        seat: SeatNumber,
        runner_id: RunnerId,
        count: int,
        lease_ms: int,
        session: int,
        now_ms: int,
    ) -> int:
        """Record a loan; return its number, which no other occupant has used."""
        self._last_number = max(self._last_number, session) + 1
        expires_ms = now_ms + lease_ms + LEASE_MARGIN_MS
        loan = LentSlots(seat, runner_id, count, expires_ms)
        self._loans_by_number[self._last_number] = loan
        self._lent_by_runner[runner_id] += count
        return self._last_number

    def record_returns(
        self, seat: SeatNumber, returns: Sequence[ReturnedSlots]
    ) -> list[RunnerId]:
        """Record returned slots; return the runners that regained some."""
        runner_ids = []
        for returned_slots in returns:
            loan = self._loans_by_number.get(returned_slots.loan)
            if loan is None or loan.seat != seat:
                continue
            returned_count = min(returned_slots.returned, loan.count)
            if returned_count > loan.returned:
                self._lent_by_runner[loan.runner_id] -= returned_count - loan.returned
                loan.returned = returned_count
                runner_ids.append(loan.runner_id)
            if loan.returned == loan.count:
                del self._loans_by_number[returned_slots.loan]
        return runner_ids

    def expire(self, now_ms: int) -> list[RunnerId]:
        """Drop loans whose lease has expired; return their runners."""
        runner_ids = []
        for number, loan in tuple(self._loans_by_number.items()):
            if loan.expires_ms <= now_ms:
                self._lent_by_runner[loan.runner_id] -= loan.count - loan.returned
                del self._loans_by_number[number]
                runner_ids.append(loan.runner_id)
        return runner_ids

    def next_expiry_ms(self) -> int | None:
        """Return when the next lease expires, ``None`` if nothing is lent."""
        return min(
            (loan.expires_ms for loan in self._loans_by_number.values()), default=None
        )


@dataclass(slots=True)
class UnmetRequest:
    """The part of a peer's slot request that could not be met at once."""

    seat: SeatNumber
    slot_request_id: SlotRequestId
    pool: PoolName
    tier: Tier
    wanted: int
    lease_ms: int
    expires_ms: int


class UnmetRequests:
    """Holds at most one unmet request for each pool and seat."""

    def __init__(self) -> None:
        self._requests: dict[tuple[PoolName, SeatNumber], UnmetRequest] = {}

    def add(self, seat: SeatNumber, request: SlotRequest, now_ms: int) -> None:
        """Add a request, replacing the seat's last one for this pool."""
        self._requests[request.pool, seat] = UnmetRequest(
            seat,
            request.ask,
            request.pool,
            request.tier,
            request.wanted,
            request.lease_ms,
            now_ms + UNMET_REQUEST_TTL_MS,
        )

    def for_pool(self, pool: PoolName, now_ms: int) -> list[UnmetRequest]:
        """Return the unmet requests of a pool, highest tier first."""
        for key, unmet_request in tuple(self._requests.items()):
            if unmet_request.expires_ms <= now_ms or unmet_request.wanted <= 0:
                del self._requests[key]
        unmet_requests = [
            unmet_request
            for unmet_request in self._requests.values()
            if unmet_request.pool == pool
        ]
        return sorted(unmet_requests, key=lambda unmet_request: unmet_request.tier)
