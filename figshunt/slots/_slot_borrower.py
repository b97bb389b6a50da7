"""The borrower's side of lending: when to ask, and when to give back."""

from collections.abc import Iterable

from figshunt.control import SeatsView
from figshunt.pipeline import Output
from figshunt.slots._borrowing import BorrowedSlots, BorrowingBook
from figshunt.slots._demand import Demand
from figshunt.slots._leases import (
    ASK_TIMEOUT_MS,
    MAX_LEASE_MS,
    WISH_MS,
    lease_ms_for,
)
from figshunt.slots._runner_slots import SlotIndex
from figshunt.types import (
    LOWEST_TIER,
    AskId,
    Moment,
    PoolName,
    SeatNumber,
    SendPeer,
    SlotLoan,
    SlotOffer,
    SlotRequest,
    SlotReturn,
    Tier,
    WakeAt,
)

# Asking again is looked at on this grid, so that many waiting requests share
# one wake-up.
ASK_GRID_MS = 100


class SlotBorrower:
    """Asks peers for what waiting requests need, in one message a peer.

    A peer that lent less than it was asked for remembers the wish, so it
    isn't asked again before the wish is forgotten there.
    """

    def __init__(
        self, index: SlotIndex, book: BorrowingBook, demand: Demand, seats: SeatsView
    ) -> None:
        self._index = index
        self._book = book
        self._demand = demand
        self._seats = seats
        self._not_before_ms: dict[tuple[PoolName, SeatNumber], int] = {}
        self._first_peer = 0

    def ask(self, pool: PoolName, session: int, now: Moment) -> Iterable[Output]:
        """Ask peers for as many slots as requests wait without one."""
        now_ms = now.monotonic_ms
        tier = self._demand.highest_tier(pool, now_ms)
        if tier is None:
            return
        pending = self._book.pending(pool, now_ms)
        missing = self._demand.waiting(pool, LOWEST_TIER, now_ms)
        missing -= sum(pending.values())
        peers = [
            seat
            for seat in self._seats.seats
            if seat != self._seats.own_seat
            and seat not in pending
            and self._not_before_ms.get((pool, seat), 0) <= now_ms
            and self._seats.is_heard(seat, now)
        ]
        if missing <= 0:
            return
        again_ms = (now_ms + ASK_TIMEOUT_MS) // ASK_GRID_MS * ASK_GRID_MS
        yield WakeAt(again_ms + ASK_GRID_MS)
        if not peers:
            return
        self._first_peer = (self._first_peer + 1) % len(peers)
        peers = peers[self._first_peer :] + peers[: self._first_peer]
        for place, seat in enumerate(peers):
            wanted = -(-missing // (len(peers) - place))
            if wanted > 0:
                missing -= wanted
                lease_ms = lease_ms_for(self._index.longest_run_ms(pool))
                yield self._request(seat, pool, tier, wanted, lease_ms, session, now_ms)

    def take_offer(
        self, seat: SeatNumber, offer: SlotOffer, session: int, now: Moment
    ) -> Iterable[Output]:
        """Ask a daemon that shuts down for what it offers."""
        if seat in self._book.pending(offer.pool, now.monotonic_ms) or offer.count < 1:
            return
        yield self._request(
            seat,
            offer.pool,
            LOWEST_TIER,
            offer.count,
            MAX_LEASE_MS,
            session,
            now.monotonic_ms,
        )

    def _request(
        self,
        seat: SeatNumber,
        pool: PoolName,
        tier: Tier,
        wanted: int,
        lease_ms: int,
        session: int,
        now_ms: int,
    ) -> SendPeer:
        number = self._book.ask(seat, pool, wanted, lease_ms, now_ms)
        ask = AskId(session, number)
        return SendPeer(seat, SlotRequest(ask, pool, tier, wanted, lease_ms))

    def take_loan(
        self, seat: SeatNumber, message: SlotLoan, session: int, now: Moment
    ) -> PoolName | None:
        """Take in a loan; return the pool that may have more slots now."""
        ask = self._book.add_loan(seat, message, session, now.monotonic_ms)
        if ask is None:
            return None
        if sum(one.count for one in message.slots) < ask.wanted:
            until_ms = ask.sent_ms + WISH_MS
            self._not_before_ms[ask.pool, seat] = until_ms
        for one in message.slots:
            self._index.refresh(one.runner_id, now)
        return ask.pool

    def watch_idle(self, loan: BorrowedSlots, now: Moment) -> WakeAt:
        """Return when to look at the idle slots of a loan again."""
        standing = self._index.standing(loan.runner_id, now)
        return WakeAt(loan.due_ms(standing, now.monotonic_ms))

    def give_back_overdue(self, now: Moment, is_stopping: bool) -> None:
        """Give back idle slots that won't be used soon, or can't be."""
        for loan in self._book.all_loans():
            if loan.idle <= 0:
                continue
            standing = self._index.standing(loan.runner_id, now)
            if is_stopping or loan.is_overdue(standing, now.monotonic_ms):
                self._book.give_back(loan)
                self._index.refresh(loan.runner_id, now)
        self._book.expire(now.monotonic_ms)

    def drop_all(self, now: Moment) -> list[BorrowedSlots]:
        """Use nothing borrowed any more; return the loans still in use."""
        self._book.forget_asks()
        for loan in self._book.all_loans():
            loan.start_until_ms = min(loan.start_until_ms, now.monotonic_ms)
            self._book.give_back(loan)
            self._index.refresh(loan.runner_id, now)
        return [loan for loan in self._book.all_loans() if loan.in_use]

    def flush_returns(self) -> Iterable[Output]:
        """Send what was given back, in one message to each owner."""
        for seat, returns in self._book.take_returns().items():
            yield SendPeer(seat, SlotReturn(returns))
