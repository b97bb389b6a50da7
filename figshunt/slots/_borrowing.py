"""What this daemon asked for and borrowed."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from figshunt.control import RunnerStanding
from figshunt.slots._leases import (
    ASK_TIMEOUT_MS,
    IDLE_RETURN_MS,
    RETURN_BATCH_MS,
    START_WINDOW_MS,
)
from figshunt.types import (
    LoanedSlots,
    PoolName,
    ReturnedSlots,
    RunnerId,
    SeatNumber,
    SlotLoan,
    StartIdentity,
)


@dataclass(slots=True)
class Ask:
    """One request for slots; all times of its loans count from ``sent_ms``."""

    seat: SeatNumber
    pool: PoolName
    wanted: int
    lease_ms: int
    sent_ms: int
    is_answered: bool = False


@dataclass(slots=True)
class BorrowedSlots:
    """One loan as its borrower counts it."""

    seat: SeatNumber
    number: int
    pool: PoolName
    runner_id: RunnerId
    count: int
    start: StartIdentity | None
    base: int
    asked_ms: int
    start_until_ms: int
    ends_ms: int
    idle_since_ms: int
    is_kept: bool
    in_use: int = 0
    returned: int = 0

    @property
    def idle(self) -> int:
        """Return how many slots are neither in use nor returned."""
        return self.count - self.in_use - self.returned

    def is_usable(self, standing: RunnerStanding, now_ms: int) -> bool:
        """Return whether an attempt may start on it.

        A loan from before cold evidence, or by an owner that hadn't heard of
        it, rests on an earlier view of the runner's warm-up and is void.
        """
        if now_ms >= self.start_until_ms or standing.limit == 0:
            return False
        if self.start is None:
            return True
        return self.start == standing.start and self.base >= standing.base

    def is_overdue(self, standing: RunnerStanding, now_ms: int) -> bool:
        """Return whether its idle slots should go back to their owner."""
        if not self.is_usable(standing, now_ms):
            return True
        return not self.is_kept and now_ms - self.idle_since_ms >= IDLE_RETURN_MS

    def due_ms(self, standing: RunnerStanding, now_ms: int) -> int:
        """Return when to look at its idle slots again.

        Times are rounded up, so that returns of one moment share a message.
        """
        due_ms = now_ms
        if self.is_usable(standing, now_ms):
            due_ms = self.start_until_ms
            if not self.is_kept:
                due_ms = min(due_ms, self.idle_since_ms + IDLE_RETURN_MS)
        return (due_ms // RETURN_BATCH_MS + 1) * RETURN_BATCH_MS


class BorrowingBook:
    """Holds open requests for slots and the loans they brought.

    A loan counts only if it answers a request of this very process, and
    once, however often it arrives. Its times count from when the request
    was sent, which is before the owner counts, so no common clock is needed.
    """

    def __init__(self) -> None:
        self._asks_by_number: dict[int, Ask] = {}
        self._loans_by_key: dict[tuple[SeatNumber, int], BorrowedSlots] = {}
        self._loans_by_runner: defaultdict[RunnerId, list[BorrowedSlots]] = defaultdict(
            list
        )
        self._returns_by_seat: defaultdict[SeatNumber, dict[int, int]] = defaultdict(
            dict
        )
        self._last_ask = 0

    def ask(
        self, seat: SeatNumber, pool: PoolName, wanted: int, lease_ms: int, now_ms: int
    ) -> int:
        """Record a request for slots and return its number."""
        self._last_ask += 1
        self._asks_by_number[self._last_ask] = Ask(seat, pool, wanted, lease_ms, now_ms)
        return self._last_ask

    def pending(self, pool: PoolName, now_ms: int) -> dict[SeatNumber, int]:
        """Return how many slots each seat was asked for without an answer."""
        return {
            one.seat: one.wanted
            for one in self._asks_by_number.values()
            if one.pool == pool
            and not one.is_answered
            and now_ms - one.sent_ms < ASK_TIMEOUT_MS
        }

    def add_loan(
        self, seat: SeatNumber, message: SlotLoan, session: int, now_ms: int
    ) -> Ask | None:
        """Take in a loan; return the request that it answers, if any.

        A loan that comes too late to be used goes back, unless a predecessor
        in this seat asked for it and may be using it.
        """
        if message.ask.session != session:
            return None
        ask = self._asks_by_number.get(message.ask.number)
        for slots in message.slots:
            if (seat, slots.loan) in self._loans_by_key:
                continue
            if ask is None or ask.seat != seat:
                self._returns_by_seat[seat][slots.loan] = slots.count
            else:
                self._add_slots(ask, slots, message.start_within_ms, now_ms)
        if ask is not None:
            ask.is_answered = True
        return ask

    def _add_slots(
        self, ask: Ask, slots: LoanedSlots, start_within_ms: int, now_ms: int
    ) -> None:
        loan = BorrowedSlots(
            seat=ask.seat,
            number=slots.loan,
            pool=ask.pool,
            runner_id=slots.runner_id,
            count=slots.count,
            start=slots.start,
            base=slots.base,
            asked_ms=ask.sent_ms,
            start_until_ms=ask.sent_ms + min(start_within_ms, ask.lease_ms),
            ends_ms=ask.sent_ms + ask.lease_ms,
            idle_since_ms=now_ms,
            is_kept=start_within_ms > START_WINDOW_MS,
        )
        self._loans_by_key[ask.seat, slots.loan] = loan
        self._loans_by_runner[slots.runner_id].append(loan)

    def loans(self, runner_id: RunnerId) -> list[BorrowedSlots]:
        """Return the loans of a runner's slots."""
        return self._loans_by_runner.get(runner_id, [])

    def all_loans(self) -> Iterator[BorrowedSlots]:
        """Return all loans, those already returned included."""
        return iter(tuple(self._loans_by_key.values()))

    def give_back(self, loan: BorrowedSlots) -> None:
        """Put the idle slots of a loan on the next return message."""
        if loan.idle > 0:
            loan.returned += loan.idle
            self._returns_by_seat[loan.seat][loan.number] = loan.returned

    def take_returns(self) -> dict[SeatNumber, tuple[ReturnedSlots, ...]]:
        """Remove and return what is to be sent back, by owner."""
        returns = {
            seat: tuple(ReturnedSlots(*one) for one in returned.items())
            for seat, returned in self._returns_by_seat.items()
        }
        self._returns_by_seat.clear()
        return returns

    def forget_asks(self) -> None:
        """Drop all open requests; what still answers them goes back."""
        self._asks_by_number.clear()

    def expire(self, now_ms: int) -> None:
        """Drop requests and loans that can't matter any more.

        A loan is kept as long as a repeated message could bring it again.
        """
        for number, ask in tuple(self._asks_by_number.items()):
            if now_ms - ask.sent_ms >= START_WINDOW_MS:
                del self._asks_by_number[number]
        for key, loan in tuple(self._loans_by_key.items()):
            is_old = now_ms - loan.asked_ms >= START_WINDOW_MS
            if is_old and loan.returned == loan.count:
                del self._loans_by_key[key]
                self._loans_by_runner[loan.runner_id].remove(loan)
                if not self._loans_by_runner[loan.runner_id]:
                    del self._loans_by_runner[loan.runner_id]
