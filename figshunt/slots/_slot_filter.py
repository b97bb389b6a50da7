"""Assigns a runner slot to each released request."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from figshunt.control import RunnersView, SeatsView, TablesView
from figshunt.pipeline import Feedback, Output
from figshunt.policy import RunnerCandidate, RunnerChooser
from figshunt.slots._borrowing import BorrowedSlots, BorrowingLedger
from figshunt.slots._demand import Demand
from figshunt.slots._leases import REQUEST_TIMEOUT_MS
from figshunt.slots._lending import LendingLedger
from figshunt.slots._runner_slots import RunnerSlots, SlotIndex
from figshunt.slots._seat_share import SeatShare
from figshunt.slots._slot_borrower import SlotBorrower
from figshunt.slots._slot_lender import SlotLender
from figshunt.types import (
    AttemptEnded,
    AttemptFailed,
    AttemptFailure,
    AttemptId,
    AttemptPlanned,
    AttemptsChecked,
    CancelAttempt,
    CancelReason,
    CapacityChanged,
    CapacityRequested,
    ClockJumped,
    Message,
    Moment,
    PeerReceived,
    PoolName,
    RequestAdmitted,
    RequestId,
    RequestReleased,
    RoutedRequest,
    RunnerChanged,
    RunnerId,
    SeatNumber,
    SendState,
    SlotLoan,
    SlotOffer,
    SlotRequest,
    SlotReturn,
    Step,
    StopRequested,
    TablesInForce,
    TimerDue,
    WakeAt,
)


@dataclass(frozen=True, slots=True)
class SlotUse:
    """The slot that an attempt uses; ``loan`` is ``None`` for an owned slot."""

    slots: RunnerSlots
    loan: BorrowedSlots | None
    routed: RoutedRequest


class SlotFilter:
    """Owns the slots of this daemon's seat; offers a ``CapacityView``.

    A slot is used either by its owner or by the one peer to which it is lent.
    A runner thus never gets more work than its limit, even when the network
    between the hosts is partitioned.
    """

    step = Step.SLOT
    accepts: tuple[type[Message], ...] = (
        RequestReleased,
        AttemptEnded,
        CapacityRequested,
        RunnerChanged,
        TablesInForce,
        PeerReceived,
        TimerDue,
        ClockJumped,
        StopRequested,
        AttemptsChecked,
    )

    def __init__(
        self,
        tables: TablesView,
        runners: RunnersView,
        seats: SeatsView,
        chooser: RunnerChooser,
    ) -> None:
        self._tables = tables
        self._chooser = chooser
        self._share = SeatShare(seats)
        lending = LendingLedger()
        self._borrowing = BorrowingLedger()
        self._index = SlotIndex(runners, seats, self._share, lending, self._borrowing)
        self._demand = Demand()
        self._lender = SlotLender(self._index, lending, self._demand, seats)
        self._borrower = SlotBorrower(self._index, self._borrowing, self._demand, seats)
        self._uses_by_attempt: dict[AttemptId, SlotUse] = {}
        self._uses_by_request: dict[RequestId, SlotUse] = {}
        # Wall time of the first message; tells this process from earlier ones in
        # its seat.
        self._session = 0
        self._had_quorum = False
        self._was_in_startup_wait = True

    def has_free_slot(self, pool: PoolName, now: Moment) -> bool:
        """Return whether this daemon has a free slot of any runner of the pool."""
        return self._index.has_free(pool, now)

    def can_reuse_slot(self, request_id: RequestId, now: Moment) -> bool:
        """Return whether other work may use a running request's slot if it ends."""
        use = self._uses_by_request.get(request_id)
        if use is None:
            return False
        if use.loan is None:
            return self._index.can_reuse(use.slots, now)
        status = self._index.status(use.slots.runner_id, now)
        return use.loan.is_usable(status, now.monotonic_ms)

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        if self._session == 0:
            self._session = now.wall_ms
            self._share.record_start(now)
            if not self._share.is_alone:
                yield WakeAt(self._share.startup_wait_ends_ms)
        match message:
            case RequestReleased(routed):
                yield from self._plan_attempt(routed, now)
            case AttemptEnded():
                yield from self._finish_attempt(message, now)
            case CapacityRequested(pool, tier, waiting):
                self._demand.replace(pool, tier, waiting, now.monotonic_ms)
                if not self._lender.is_stopping:
                    yield from self._borrower.request_slots(pool, self._session, now)
            case RunnerChanged(runner_id, pool):
                self._index.invalidate_status(runner_id)
                self._index.refresh(runner_id, now)
                yield from self._lender.serve_unmet_requests(pool, self._session, now)
                yield message
            case TablesInForce(tables):
                self._index.apply_tables(tables, now)
                yield message
            case PeerReceived():
                yield message
                yield from self._handle_peer_message(message, now)
            case TimerDue():
                yield message
                yield from self._handle_timer(now)
            case ClockJumped():
                yield from self._void_loans(now)
                yield message
            case AttemptsChecked(attempt_ids):
                yield from self._end_other_attempts(attempt_ids, now)
            case StopRequested():
                yield message
                self._lender.is_stopping = True
                self._borrower.return_overdue(now, is_stopping=True)
                yield from self._lender.offer_free(now)
                yield WakeAt(now.monotonic_ms + REQUEST_TIMEOUT_MS)
        yield from self._borrower.send_returns()

    def _plan_attempt(self, routed: RoutedRequest, now: Moment) -> Iterable[Output]:
        free_by_runner = {
            slots.runner_id: slots
            for slots in self._index.free_runners(routed.pool, now)
        }
        candidates = [
            slots.candidate for slots in free_by_runner.values() if slots.candidate
        ]
        if not candidates:
            yield Feedback(RequestAdmitted(routed))
            return
        slots = free_by_runner[self._choose_runner(routed, candidates)]
        lease_ends_ms = min(
            routed.deadline_ms, now.monotonic_ms + routed.route.max_run_ms
        )
        loan = None
        if slots.owned_free > 0:
            slots.running += 1
        else:
            loan = self._find_loan(slots, now)
            loan.in_use += 1
            lease_ends_ms = min(lease_ends_ms, loan.ends_ms)
        attempt_id = AttemptId(f"{routed.request_id}.{routed.attempts_started + 1}")
        slots.trials += routed.is_trial
        use = SlotUse(slots, loan, routed)
        self._uses_by_attempt[attempt_id] = use
        self._uses_by_request[routed.request_id] = use
        self._demand.decrement(routed.pool)
        self._index.refresh(slots.runner_id, now)
        yield AttemptPlanned(attempt_id, slots.runner_id, routed, lease_ends_ms)

    def _choose_runner(
        self, routed: RoutedRequest, candidates: Sequence[RunnerCandidate]
    ) -> RunnerId:
        """Choose a runner; for suspected content, the one with the least load.

        If the content crashes the runner, as little other work as possible is
        lost.
        """
        if not routed.is_trial:
            return self._chooser.choose(routed, candidates)
        least_loaded = min(
            candidates,
            key=lambda candidate: max(candidate.running, candidate.reported_load),
        )
        return least_loaded.runner_id

    def _find_loan(self, slots: RunnerSlots, now: Moment) -> BorrowedSlots:
        status = self._index.status(slots.runner_id, now)
        return min(
            (
                loan
                for loan in self._borrowing.loans(slots.runner_id)
                if loan.idle_count > 0 and loan.is_usable(status, now.monotonic_ms)
            ),
            key=lambda loan: loan.start_until_ms,
        )

    def _finish_attempt(self, ended: AttemptEnded, now: Moment) -> Iterable[Output]:
        yield ended
        use = self._uses_by_attempt.pop(ended.attempt_id, None)
        if use is None:
            return
        self._uses_by_request.pop(ended.routed.request_id, None)
        runner_id = use.slots.runner_id
        use.slots.trials -= ended.routed.is_trial
        if use.loan is None:
            use.slots.running -= 1
        else:
            use.loan.in_use -= 1
            use.loan.idle_since_ms = now.monotonic_ms
            if self._lender.is_stopping:
                self._borrowing.return_idle(use.loan)
            else:
                yield self._borrower.schedule_idle_check(use.loan, now)
        self._index.refresh(runner_id, now)
        yield from self._lender.serve_unmet_requests(use.slots.pool, self._session, now)
        yield Feedback(CapacityChanged(use.slots.pool))

    def _end_other_attempts(
        self, attempt_ids: frozenset[AttemptId], now: Moment
    ) -> Iterable[Output]:
        """Have the slots of planned attempts released that never started."""
        for attempt_id, use in self._uses_by_attempt.items():
            if attempt_id not in attempt_ids:
                yield Feedback(
                    AttemptEnded(
                        attempt_id=attempt_id,
                        runner_id=use.slots.runner_id,
                        routed=use.routed,
                        started_ms=now.monotonic_ms,
                        tokens=0,
                        failure=AttemptFailure.CANCELLED,
                    )
                )

    def _handle_peer_message(
        self, received: PeerReceived, now: Moment
    ) -> Iterable[Output]:
        seat = received.seat
        match received.message:
            case SlotRequest() as request:
                yield from self._lender.handle_request(
                    seat, request, self._session, now
                )
            case SlotReturn() as slot_return:
                pools = self._lender.handle_return(seat, slot_return, now)
                yield from self._announce_capacity(pools, now)
            case SlotLoan() as loan:
                yield from self._handle_loan(seat, loan, now)
            case SlotOffer() as offer:
                if not self._lender.is_stopping:
                    yield from self._borrower.handle_offer(
                        seat, offer, self._session, now
                    )
        if self._share.has_quorum(now) != self._had_quorum:
            self._had_quorum = not self._had_quorum
            yield from self._refresh_all(now)

    def _handle_loan(
        self, seat: SeatNumber, message: SlotLoan, now: Moment
    ) -> Iterable[Output]:
        pool = self._borrower.handle_loan(seat, message, self._session, now)
        if self._lender.is_stopping:
            self._borrower.return_overdue(now, is_stopping=True)
        elif pool is not None and message.slots:
            for loaned_slots in message.slots:
                for loan in self._borrowing.loans(loaned_slots.runner_id):
                    yield self._borrower.schedule_idle_check(loan, now)
            yield Feedback(CapacityChanged(pool))

    def _handle_timer(self, now: Moment) -> Iterable[Output]:
        self._borrower.return_overdue(now, self._lender.is_stopping)
        pools = self._lender.expire(now)
        yield from self._announce_capacity(pools, now)
        if self._has_startup_wait_ended(now):
            yield from self._refresh_all(now)
        if self._lender.is_stopping:
            yield from self._lender.offer_free(now)
            yield WakeAt(now.monotonic_ms + REQUEST_TIMEOUT_MS)
            return
        for pool in self._index.pools():
            yield from self._borrower.request_slots(pool, self._session, now)

    def _has_startup_wait_ended(self, now: Moment) -> bool:
        startup_wait_ends_ms = self._share.startup_wait_ends_ms
        if self._was_in_startup_wait and now.monotonic_ms >= startup_wait_ends_ms:
            self._was_in_startup_wait = False
            return True
        return False

    def _void_loans(self, now: Moment) -> Iterable[Output]:
        """Cancel the attempts on borrowed slots, whose leases may have expired."""
        self._share.restart_startup_wait(now)
        self._was_in_startup_wait = True
        loans_in_use = self._borrower.void_all(now)
        for attempt_id, use in tuple(self._uses_by_attempt.items()):
            if use.loan in loans_in_use:
                yield CancelAttempt(attempt_id, CancelReason.LEASE_ENDED)
                yield AttemptFailed(
                    attempt_id,
                    AttemptFailure.CANCELLED,
                    SendState.MAY_HAVE_ARRIVED,
                    "process paused; the lease of the borrowed slot may have expired",
                )
        for runner_id in self._index.runners():
            self._index.invalidate_status(runner_id)
            self._index.refresh(runner_id, now)
        yield WakeAt(self._share.startup_wait_ends_ms)

    def _refresh_all(self, now: Moment) -> Iterable[Output]:
        for runner_id in self._index.runners():
            self._index.refresh(runner_id, now)
        yield from self._announce_capacity(tuple(self._index.pools()), now)

    def _announce_capacity(
        self, pools: Iterable[PoolName], now: Moment
    ) -> Iterable[Output]:
        for pool in pools:
            yield from self._lender.serve_unmet_requests(pool, self._session, now)
            yield Feedback(CapacityChanged(pool))
