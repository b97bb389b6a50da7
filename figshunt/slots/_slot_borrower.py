"""The borrower's side of lending: when to request and when to return slots."""

from collections.abc import Iterable

from figshunt.control import SeatsView
from figshunt.pipeline import Output
from figshunt.slots._borrowing import BorrowedSlots, BorrowingLedger, OutstandingRequest
from figshunt.slots._demand import Demand
from figshunt.slots._leases import (
    MAX_LEASE_MS,
    REQUEST_RETRY_MS,
    REQUEST_TIMEOUT_MS,
    UNMET_REQUEST_TTL_MS,
    compute_lease_ms,
)
from figshunt.slots._runner_slots import SlotIndex
from figshunt.types import (
    LOWEST_TIER,
    Moment,
    PoolName,
    SeatNumber,
    SendPeer,
    SlotLoan,
    SlotOffer,
    SlotRequest,
    SlotRequestId,
    SlotReturn,
    Tier,
    WakeAt,
)

# Retries are aligned to multiples of this interval, so that many waiting requests
# share one timer.
RETRY_ALIGNMENT_MS = 100


class SlotBorrower:
    """Requests slots for waiting requests, in one message to each peer.

    A peer that lends fewer slots than requested keeps the unmet part for a
    while, so it isn't sent another request at once.
    """

    def __init__(
        self,
        index: SlotIndex,
        ledger: BorrowingLedger,
        demand: Demand,
        seats: SeatsView,
    ) -> None:
        self._index = index
        self._ledger = ledger
        self._demand = demand
        self._seats = seats
        self._next_request_ms: dict[tuple[PoolName, SeatNumber], int] = {}
        self._empty_replies: dict[tuple[PoolName, SeatNumber], int] = {}
        self._first_peer = 0

    def request_slots(
        self, pool: PoolName, session: int, now: Moment
    ) -> Iterable[Output]:
        """Request a slot for each waiting request, spread over the peers."""
        now_ms = now.monotonic_ms
        tier = self._demand.highest_tier(pool, now_ms)
        if tier is None:
            return
        requested_by_seat = self._ledger.requested_by_seat(pool, now_ms)
        missing_count = self._demand.waiting_count(pool, now_ms)
        missing_count -= sum(requested_by_seat.values())
        peers = [
            seat
            for seat in self._seats.seats
            if seat != self._seats.own_seat
            and seat not in requested_by_seat
            and self._next_request_ms.get((pool, seat), 0) <= now_ms
            and self._seats.is_reachable(seat, now)
        ]
        if missing_count <= 0:
            return
        retry_ms = (
            (now_ms + REQUEST_TIMEOUT_MS) // RETRY_ALIGNMENT_MS * RETRY_ALIGNMENT_MS
        )
        yield WakeAt(retry_ms + RETRY_ALIGNMENT_MS)
        if not peers:
            return
        # Rotates the peers, since the first ones get the larger parts.
        self._first_peer = (self._first_peer + 1) % len(peers)
        peers = peers[self._first_peer :] + peers[: self._first_peer]
        for position, seat in enumerate(peers):
            wanted = -(-missing_count // (len(peers) - position))
            if wanted > 0:
                missing_count -= wanted
                lease_ms = compute_lease_ms(self._index.longest_run_ms(pool))
                yield self._build_request(
                    seat, pool, tier, wanted, lease_ms, session, now_ms
                )

    def handle_offer(
        self, seat: SeatNumber, offer: SlotOffer, session: int, now: Moment
    ) -> Iterable[Output]:
        """Request the slots that a daemon offers while it shuts down."""
        if offer.count < 1 or offer.pool not in self._index.pools():
            return
        if seat in self._ledger.requested_by_seat(offer.pool, now.monotonic_ms):
            return
        yield self._build_request(
            seat,
            offer.pool,
            LOWEST_TIER,
            offer.count,
            MAX_LEASE_MS,
            session,
            now.monotonic_ms,
        )

    def _build_request(
        self,
        seat: SeatNumber,
        pool: PoolName,
        tier: Tier,
        wanted: int,
        lease_ms: int,
        session: int,
        now_ms: int,
    ) -> SendPeer:
        number = self._ledger.record_request(seat, pool, wanted, lease_ms, now_ms)
        slot_request_id = SlotRequestId(session, number)
        return SendPeer(
            seat, SlotRequest(slot_request_id, pool, tier, wanted, lease_ms)
        )

    def handle_loan(
        self, seat: SeatNumber, message: SlotLoan, session: int, now: Moment
    ) -> PoolName | None:
        """Record a loan; return the pool that may have gained slots."""
        request = self._ledger.add_loan(seat, message, session, now.monotonic_ms)
        if request is None:
            return None
        if sum(loaned_slots.count for loaned_slots in message.slots) < request.wanted:
            self._schedule_retry(request, seat, not message.slots)
        for loaned_slots in message.slots:
            self._index.refresh(loaned_slots.runner_id, now)
        return request.pool

    def _schedule_retry(
        self, request: OutstandingRequest, seat: SeatNumber, is_empty: bool
    ) -> None:
        key = (request.pool, seat)
        empty_replies = self._empty_replies.get(key, 0)
        self._empty_replies[key] = empty_replies + 1 if is_empty else 0
        wait_ms = UNMET_REQUEST_TTL_MS if empty_replies > 1 else REQUEST_RETRY_MS
        self._next_request_ms[key] = request.sent_ms + wait_ms

    def schedule_idle_check(self, loan: BorrowedSlots, now: Moment) -> WakeAt:
        """Return a timer for the next check of the idle slots of a loan."""
        status = self._index.status(loan.runner_id, now)
        return WakeAt(loan.next_check_ms(status, now.monotonic_ms))

    def return_overdue(self, now: Moment, is_stopping: bool) -> None:
        """Return idle slots that can't be used any more or have idled too long.

        A daemon that shuts down returns all its idle slots.
        """
        for loan in self._ledger.all_loans():
            if loan.idle_count <= 0:
                continue
            status = self._index.status(loan.runner_id, now)
            if is_stopping or loan.is_overdue(status, now.monotonic_ms):
                self._ledger.return_idle(loan)
                self._index.refresh(loan.runner_id, now)
        self._ledger.expire(now.monotonic_ms)

    def void_all(self, now: Moment) -> list[BorrowedSlots]:
        """Void all loans and return their idle slots; list the loans still in use."""
        self._ledger.drop_requests()
        for loan in self._ledger.all_loans():
            loan.start_until_ms = min(loan.start_until_ms, now.monotonic_ms)
            self._ledger.return_idle(loan)
            self._index.refresh(loan.runner_id, now)
        return [loan for loan in self._ledger.all_loans() if loan.in_use]

    def send_returns(self) -> Iterable[Output]:
        """Send the returned slots, in one message to each owner."""
        for seat, returns in self._ledger.pop_returns().items():
            yield SendPeer(seat, SlotReturn(returns))
