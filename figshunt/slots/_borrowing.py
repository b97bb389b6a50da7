"""Bookkeeping of slot requests to peers and of borrowed slots."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from figshunt.control import RunnerStatus
from figshunt.slots._leases import (
    IDLE_TIMEOUT_MS,
    REQUEST_TIMEOUT_MS,
    RETURN_BATCH_INTERVAL_MS,
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
class OutstandingRequest:
    """A slot request to a peer; all times of its loans count from ``sent_ms``."""

    seat: SeatNumber
    pool: PoolName
    wanted: int
    lease_ms: int
    sent_ms: int
    is_answered: bool = False


@dataclass(slots=True)
class BorrowedSlots:
    """One loan, as recorded by the borrower."""

    seat: SeatNumber
    number: int
    pool: PoolName
    runner_id: RunnerId
    count: int
    start: StartIdentity | None
    base: int
    requested_ms: int
    start_until_ms: int
    ends_ms: int
    idle_since_ms: int
    is_kept_while_idle: bool
    in_use: int = 0
    returned: int = 0

    @property
    def idle_count(self) -> int:
        """Return how many slots are neither in use nor returned."""
        return self.count - self.in_use - self.returned

    def is_usable(self, status: RunnerStatus, now_ms: int) -> bool:
        """Return whether an attempt may start on an idle slot of this loan.

        A loan is void after new evidence that the runner is cold, if the owner
        granted it before that evidence or without knowing of it. Loans without
        ``start`` don't depend on the runner's warm-up.
        """
        if now_ms >= self.start_until_ms or status.limit == 0:
            return False
        if self.start is None:
            return True
        return self.start == status.start and self.base >= status.base

    def is_overdue(self, status: RunnerStatus, now_ms: int) -> bool:
        """Return whether the idle slots should be returned to their owner."""
        if not self.is_usable(status, now_ms):
            return True
        return (
            not self.is_kept_while_idle
            and now_ms - self.idle_since_ms >= IDLE_TIMEOUT_MS
        )

    def next_check_ms(self, status: RunnerStatus, now_ms: int) -> int:
        """Return when to check the idle slots again.

        Times are rounded up to the next multiple of
        ``RETURN_BATCH_INTERVAL_MS``, so that returns that are due at about the
        same time share a message.
        """
        next_check_ms = now_ms
        if self.is_usable(status, now_ms):
            next_check_ms = self.start_until_ms
            if not self.is_kept_while_idle:
                next_check_ms = min(next_check_ms, self.idle_since_ms + IDLE_TIMEOUT_MS)
        return (
            next_check_ms // RETURN_BATCH_INTERVAL_MS + 1
        ) * RETURN_BATCH_INTERVAL_MS


class BorrowingLedger:
    """Holds outstanding slot requests and the loans received for them.

    A loan is accepted only if it answers a request of this process, and only
    once even if its message is delivered repeatedly. Its times count from the
    sending of the request. The owner counts from a later moment, so the two
    need no common clock.
    """

    def __init__(self) -> None:
        self._requests_by_number: dict[int, OutstandingRequest] = {}
        self._loans_by_key: dict[tuple[SeatNumber, int], BorrowedSlots] = {}
        self._loans_by_runner: defaultdict[RunnerId, list[BorrowedSlots]] = defaultdict(
            list
        )
        self._returns_by_seat: defaultdict[SeatNumber, dict[int, int]] = defaultdict(
            dict
        )
        self._last_request_number = 0

    def record_request(
        self, seat: SeatNumber, pool: PoolName, wanted: int, lease_ms: int, now_ms: int
    ) -> int:
        """Record a slot request and return its number."""
        self._last_request_number += 1
        self._requests_by_number[self._last_request_number] = OutstandingRequest(
            seat, pool, wanted, lease_ms, now_ms
        )
        return self._last_request_number

    def requested_by_seat(self, pool: PoolName, now_ms: int) -> dict[SeatNumber, int]:
        """Return the requested slots by seat, for requests that await a reply."""
        return {
            request.seat: request.wanted
            for request in self._requests_by_number.values()
            if request.pool == pool
            and not request.is_answered
            and now_ms - request.sent_ms < REQUEST_TIMEOUT_MS
        }

    def add_loan(
        self, seat: SeatNumber, message: SlotLoan, session: int, now_ms: int
    ) -> OutstandingRequest | None:
        """Record a loan; return the request that it answers, if any.

        Slots lent for an expired request, or by a seat to which the request was
        not sent, are returned. A loan that answers a request of an earlier
        process in this seat is ignored, since that process may be using it.
        """
        if message.ask.session != session:
            return None
        request = self._requests_by_number.get(message.ask.number)
        for slots in message.slots:
            if (seat, slots.loan) in self._loans_by_key:
                continue
            if request is None or request.seat != seat:
                self._returns_by_seat[seat][slots.loan] = slots.count
            else:
                self._add_loan(request, slots, message.start_within_ms, now_ms)
        if request is not None:
            request.is_answered = True
        return request

    def _add_loan(
        self,
        request: OutstandingRequest,
        slots: LoanedSlots,
        start_within_ms: int,
        now_ms: int,
    ) -> None:
        loan = BorrowedSlots(
            seat=request.seat,
            number=slots.loan,
            pool=request.pool,
            runner_id=slots.runner_id,
            count=slots.count,
            start=slots.start,
            base=slots.base,
            requested_ms=request.sent_ms,
            start_until_ms=request.sent_ms + min(start_within_ms, request.lease_ms),
            ends_ms=request.sent_ms + request.lease_ms,
            idle_since_ms=now_ms,
            is_kept_while_idle=start_within_ms > START_WINDOW_MS,
        )
        self._loans_by_key[request.seat, slots.loan] = loan
        self._loans_by_runner[slots.runner_id].append(loan)

    def loans(self, runner_id: RunnerId) -> list[BorrowedSlots]:
        """Return the loans of slots of a runner."""
        return self._loans_by_runner.get(runner_id, [])

    def all_loans(self) -> Iterator[BorrowedSlots]:
        """Return all loans, including those already returned."""
        return iter(tuple(self._loans_by_key.values()))

    def return_idle(self, loan: BorrowedSlots) -> None:
        """Add the idle slots of a loan to the next return message."""
        if loan.idle_count > 0:
            loan.returned += loan.idle_count
            self._returns_by_seat[loan.seat][loan.number] = loan.returned

    def pop_returns(self) -> dict[SeatNumber, tuple[ReturnedSlots, ...]]:
        """Remove and return the slots to send back, by owner."""
        returns = {
            seat: tuple(
                ReturnedSlots(*loan_returned)
                for loan_returned in returned_by_loan.items()
            )
            for seat, returned_by_loan in self._returns_by_seat.items()
        }
        self._returns_by_seat.clear()
        return returns

    def drop_requests(self) -> None:
        """Drop all outstanding requests; loans that answer them are returned."""
        self._requests_by_number.clear()

    def expire(self, now_ms: int) -> None:
        """Drop requests and loans that are no longer needed.

        A returned loan stays on record as long as a repeated message could
        deliver it again.
        """
        for number, request in tuple(self._requests_by_number.items()):
            if now_ms - request.sent_ms >= START_WINDOW_MS:
                del self._requests_by_number[number]
        for key, loan in tuple(self._loans_by_key.items()):
            is_past_window = now_ms - loan.requested_ms >= START_WINDOW_MS
            if is_past_window and loan.returned == loan.count:
                del self._loans_by_key[key]
                self._loans_by_runner[loan.runner_id].remove(loan)
                if not self._loans_by_runner[loan.runner_id]:
                    del self._loans_by_runner[loan.runner_id]
