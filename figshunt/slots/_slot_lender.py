"""The owner's side of lending: which free slots to lend to which peer."""

from collections import Counter
from collections.abc import Iterable

from figshunt.control import SeatsView
from figshunt.pipeline import Output
from figshunt.slots._demand import Demand
from figshunt.slots._leases import MAX_LEASE_MS, START_WINDOW_MS
from figshunt.slots._lending import LendingLedger, UnmetRequest, UnmetRequests
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

MAX_REQUESTED_SLOTS = 4_096


class SlotLender:
    """Lends owned slots to peers.

    Slots that are needed for waiting requests of this daemon of the same or a
    higher tier aren't lent. One request gets at most half of the free slots,
    rounded up, so that some are left for the next request or for requests that
    arrive at this daemon in the meantime. A daemon that shuts down lends all
    free slots.
    """

    def __init__(
        self, index: SlotIndex, ledger: LendingLedger, demand: Demand, seats: SeatsView
    ) -> None:
        self._index = index
        self._ledger = ledger
        self._demand = demand
        self._seats = seats
        self._unmet_requests = UnmetRequests()
        self.is_stopping = False

    def handle_request(
        self, seat: SeatNumber, request: SlotRequest, session: int, now: Moment
    ) -> Iterable[Output]:
        """Lend free slots; keep the unmet part of the request for a while."""
        if not 0 < request.lease_ms <= MAX_LEASE_MS:
            return
        if not 0 < request.wanted <= MAX_REQUESTED_SLOTS:
            return
        self._unmet_requests.add(seat, request, now.monotonic_ms)
        has_lent = False
        for output in self.serve_unmet_requests(request.pool, session, now):
            has_lent = has_lent or _is_loan_for(output, seat, request)
            yield output
        if not has_lent:
            yield SendPeer(seat, SlotLoan(request.ask, 0, ()))

    def handle_return(
        self, seat: SeatNumber, message: SlotReturn, now: Moment
    ) -> list[PoolName]:
        """Record returned slots; return the pools that regained some."""
        runner_ids = self._ledger.record_returns(seat, message.loans)
        return self._refresh(runner_ids, now)

    def expire(self, now: Moment) -> list[PoolName]:
        """Reclaim slots of expired leases; return the pools that regained some."""
        return self._refresh(self._ledger.expire(now.monotonic_ms), now)

    def serve_unmet_requests(
        self, pool: PoolName, session: int, now: Moment
    ) -> Iterable[Output]:
        """Lend free slots to the unmet requests of a pool, highest tier first."""
        for unmet_request in self._unmet_requests.for_pool(pool, now.monotonic_ms):
            runners = [
                slots
                for slots in self._index.free_runners(pool, now)
                if slots.owned_free > 0
            ]
            free_slots = sum(slots.owned_free for slots in runners)
            free_slots -= self._demand.waiting_count_at_or_above(
                pool, unmet_request.tier, now.monotonic_ms
            )
            if free_slots <= 0:
                continue
            share = free_slots if self.is_stopping else (free_slots + 1) // 2
            yield from self._lend(
                unmet_request, runners, min(share, unmet_request.wanted), session, now
            )

    def offer_free(self, now: Moment) -> Iterable[Output]:
        """Offer the free slots to the reachable peers, in equal parts."""
        reachable_seats = [
            seat
            for seat in self._seats.seats
            if seat != self._seats.own_seat
            and self._seats.is_reachable(seat, now)
            and not self._seats.is_draining(seat)
        ]
        for pool in self._index.pools():
            free_slots = sum(
                slots.owned_free for slots in self._index.free_runners(pool, now)
            )
            for position, seat in enumerate(reachable_seats):
                count = (free_slots + len(reachable_seats) - 1 - position) // len(
                    reachable_seats
                )
                if count > 0:
                    yield SendPeer(seat, SlotOffer(pool, count))

    def _lend(
        self,
        unmet_request: UnmetRequest,
        runners: list[RunnerSlots],
        count: int,
        session: int,
        now: Moment,
    ) -> Iterable[Output]:
        slots_by_window: dict[int, list[LoanedSlots]] = {}
        for runner, lent_count in _distribute(runners, count):
            status = self._index.status(runner.runner_id, now)
            is_cold_share = self._index.is_within_cold_share(runner, lent_count, now)
            number = self._ledger.lend(
                unmet_request.seat,
                runner.runner_id,
                lent_count,
                unmet_request.lease_ms,
                session,
                now.monotonic_ms,
            )
            loaned_slots = LoanedSlots(
                number,
                runner.runner_id,
                lent_count,
                None if is_cold_share else status.start,
                0 if is_cold_share else status.base,
            )
            window_ms = self._start_window_ms(unmet_request, status.phase)
            slots_by_window.setdefault(window_ms, []).append(loaned_slots)
            self._index.refresh(runner.runner_id, now)
        unmet_request.wanted -= count
        for window_ms, slots in slots_by_window.items():
            yield SendPeer(
                unmet_request.seat,
                SlotLoan(unmet_request.slot_request_id, window_ms, tuple(slots)),
            )
        expires_ms = self._ledger.next_expiry_ms()
        if expires_ms is not None:
            yield WakeAt(expires_ms)

    def _start_window_ms(self, unmet_request: UnmetRequest, phase: RunnerPhase) -> int:
        """Return for how long attempts may start on a loan.

        A daemon that shuts down lends slots of warm runners for longer. On other
        runners its successor relies on ``START_WINDOW_MS``.
        """
        if not self.is_stopping or phase is not RunnerPhase.WARM:
            return START_WINDOW_MS
        spare_ms = unmet_request.lease_ms - self._index.longest_run_ms(
            unmet_request.pool
        )
        return max(START_WINDOW_MS, spare_ms)

    def _refresh(self, runner_ids: Iterable[RunnerId], now: Moment) -> list[PoolName]:
        pools: dict[PoolName, None] = {}
        for runner_id in runner_ids:
            slots = self._index.get(runner_id)
            if slots is not None:
                self._index.refresh(slots.runner_id, now)
                pools[slots.pool] = None
        return list(pools)


def _is_loan_for(output: Output, seat: SeatNumber, request: SlotRequest) -> bool:
    return (
        isinstance(output, SendPeer)
        and output.seat == seat
        and isinstance(output.message, SlotLoan)
        and output.message.ask == request.ask
    )


def _distribute(
    runners: list[RunnerSlots], count: int
) -> list[tuple[RunnerSlots, int]]:
    """Distribute a loan over runners, one slot each in turn, most free first."""
    ordered_runners = sorted(runners, key=lambda runner: -runner.owned_free)
    lent_by_position: Counter[int] = Counter()
    while count > 0:
        for position, runner in enumerate(ordered_runners):
            if count > 0 and lent_by_position[position] < runner.owned_free:
                lent_by_position[position] += 1
                count -= 1
    return [
        (ordered_runners[position], lent_count)
        for position, lent_count in lent_by_position.items()
    ]
