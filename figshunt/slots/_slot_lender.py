"""The owner's side of lending: which free slots go to which peer."""

from collections import Counter
from collections.abc import Iterable

from figshunt.control import SeatsView
from figshunt.pipeline import Output
from figshunt.slots._demand import Demand
from figshunt.slots._leases import MAX_LEASE_MS, START_WINDOW_MS
from figshunt.slots._lending import LendingBook, Wish, WishList
from figshunt.slots._runner_slots import RunnerSlots, SlotIndex
from figshunt.types import (
    LoanedSlots,
    Moment,
    PoolName,
    RunnerId,
    RunnerPhase,
    SeatNumber,
    SendPeer,
    SlotLoan,
    SlotOffer,
    SlotRequest,
    SlotReturn,
    WakeAt,
)

MOST_WANTED = 4_096


class SlotLender:
    """Lends owned slots that own work of an equal or higher tier can spare.

    Half of what is free goes to one wish, so that the next wish, or own work
    that arrives just then, finds some; a daemon that shuts down lends all.
    """

    def __init__(
        self, index: SlotIndex, book: LendingBook, demand: Demand, seats: SeatsView
    ) -> None:
        self._index = index
        self._book = book
        self._demand = demand
        self._seats = seats
        self._wishes = WishList()
        self.is_stopping = False

    def take_request(
        self, seat: SeatNumber, request: SlotRequest, session: int, now: Moment
    ) -> Iterable[Output]:
        """Lend what is free; remember the rest of the wish for a while."""
        if not 0 < request.lease_ms <= MAX_LEASE_MS:
            return
        if not 0 < request.wanted <= MOST_WANTED:
            return
        self._wishes.add(seat, request, now.monotonic_ms)
        has_lent = False
        for output in self.serve_wishes(request.pool, session, now):
            has_lent = has_lent or _answers(output, seat, request)
            yield output
        if not has_lent:
            yield SendPeer(seat, SlotLoan(request.ask, 0, ()))

    def take_return(
        self, seat: SeatNumber, message: SlotReturn, now: Moment
    ) -> set[PoolName]:
        """Take slots back; return the pools that have more now."""
        runner_ids = self._book.take_back(seat, message.loans)
        return self._refresh(runner_ids, now)

    def expire(self, now: Moment) -> set[PoolName]:
        """Take back what is over; return the pools that have more now."""
        return self._refresh(self._book.expire(now.monotonic_ms), now)

    def serve_wishes(
        self, pool: PoolName, session: int, now: Moment
    ) -> Iterable[Output]:
        """Lend free slots to the open wishes of a pool, highest tier first."""
        for wish in self._wishes.open(pool, now.monotonic_ms):
            runners = [one for one in self._index.free(pool, now) if one.own_free > 0]
            free = sum(one.own_free for one in runners)
            free -= self._demand.waiting(pool, wish.tier, now.monotonic_ms)
            if free <= 0:
                continue
            share = free if self.is_stopping else (free + 1) // 2
            yield from self._lend(wish, runners, min(share, wish.wanted), session, now)

    def offer_free(self, now: Moment) -> Iterable[Output]:
        """Tell the peers that are heard what they can have."""
        heard = [
            seat
            for seat in self._seats.seats
            if seat != self._seats.own_seat
            and self._seats.is_heard(seat, now)
            and not self._seats.is_draining(seat)
        ]
        for pool in self._index.pools():
            free = sum(one.own_free for one in self._index.free(pool, now))
            for place, seat in enumerate(heard):
                count = (free + len(heard) - 1 - place) // len(heard)
                if count > 0:
                    yield SendPeer(seat, SlotOffer(pool, count))

    def _lend(
        self,
        wish: Wish,
        runners: list[RunnerSlots],
        count: int,
        session: int,
        now: Moment,
    ) -> Iterable[Output]:
        slots_by_window: dict[int, list[LoanedSlots]] = {}
        for runner, lent in _spread(runners, count):
            standing = self._index.standing(runner.runner_id, now)
            is_cold_share = self._index.lends_cold(runner, lent, now)
            number = self._book.lend(
                wish.seat,
                runner.runner_id,
                lent,
                wish.lease_ms,
                session,
                now.monotonic_ms,
            )
            loaned = LoanedSlots(
                number,
                runner.runner_id,
                lent,
                None if is_cold_share else standing.start,
                0 if is_cold_share else standing.base,
            )
            window_ms = self._start_window_ms(wish, standing.phase)
            slots_by_window.setdefault(window_ms, []).append(loaned)
            self._index.refresh(runner.runner_id, now)
        wish.wanted -= count
        for window_ms, slots in slots_by_window.items():
            yield SendPeer(wish.seat, SlotLoan(wish.ask, window_ms, tuple(slots)))
        over_ms = self._book.next_over_ms()
        if over_ms is not None:
            yield WakeAt(over_ms)

    def _start_window_ms(self, wish: Wish, phase: RunnerPhase) -> int:
        if not self.is_stopping or phase is not RunnerPhase.WARM:
            return START_WINDOW_MS
        spare_ms = wish.lease_ms - self._index.longest_run_ms(wish.pool)
        return max(START_WINDOW_MS, spare_ms)

    def _refresh(self, runner_ids: Iterable[RunnerId], now: Moment) -> set[PoolName]:
        pools = set()
        for runner_id in runner_ids:
            slots = self._index.get(runner_id)
            if slots is not None:
                self._index.refresh(slots.runner_id, now)
                pools.add(slots.pool)
        return pools


def _answers(output: Output, seat: SeatNumber, request: SlotRequest) -> bool:
    return (
        isinstance(output, SendPeer)
        and output.seat == seat
        and isinstance(output.message, SlotLoan)
        and output.message.ask == request.ask
    )


def _spread(runners: list[RunnerSlots], count: int) -> list[tuple[RunnerSlots, int]]:
    """Take one slot of each runner in turn, most free first."""
    ordered = sorted(runners, key=lambda one: -one.own_free)
    taken: Counter[int] = Counter()
    while count > 0:
        for place, runner in enumerate(ordered):
            if count > 0 and taken[place] < runner.own_free:
                taken[place] += 1
                count -= 1
    return [(ordered[place], lent) for place, lent in taken.items()]
