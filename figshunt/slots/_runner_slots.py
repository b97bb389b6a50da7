"""Free slots by runner, indexed by pool so that a look-up rescans nothing."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from figshunt.control import RunnerStanding, RunnersView, SeatsView
from figshunt.policy import RunnerCandidate
from figshunt.slots._borrowing import BorrowingBook
from figshunt.slots._leases import longest_run_ms
from figshunt.slots._lending import LendingBook
from figshunt.slots._ownership import count_slots_at, order_seats
from figshunt.slots._seat_share import PredecessorWork, SeatShare
from figshunt.tables import Tables
from figshunt.types import Moment, PoolName, RunnerId

# A majority or a start window may end without a message; what is indexed as
# free is looked at again after this long.
RECHECK_MS = 100


@dataclass(slots=True)
class RunnerSlots:
    """Slots of one runner as this daemon may use them.

    ``running`` counts own attempts on owned slots, ``own_free`` the owned
    slots that may be used or lent, ``candidate`` stands for the runner while
    it has any free slot here, owned or borrowed. While ``trials`` of suspected
    content run, the runner gets no other work from here.
    """

    runner_id: RunnerId
    pool: PoolName
    place: int
    running: int = 0
    trials: int = 0
    standing: RunnerStanding | None = None
    work: PredecessorWork = field(default_factory=PredecessorWork)
    own_free: int = 0
    checked_until_ms: int = 0
    candidate: RunnerCandidate | None = None


class SlotIndex:
    """Owns :class:`RunnerSlots`; keeps those with a free slot by pool."""

    def __init__(
        self,
        runners: RunnersView,
        seats: SeatsView,
        share: SeatShare,
        lending: LendingBook,
        borrowing: BorrowingBook,
    ) -> None:
        self._runners = runners
        self._seats = seats
        self._share = share
        self._lending = lending
        self._borrowing = borrowing
        self._slots_by_runner: dict[RunnerId, RunnerSlots] = {}
        self._removed: dict[RunnerId, RunnerSlots] = {}
        self._free_by_pool: dict[PoolName, dict[RunnerId, RunnerSlots]] = {}
        self._longest_runs_ms: dict[PoolName, int] = {}
        self._cold_limits: dict[PoolName, int] = {}

    def use_tables(self, tables: Tables, now: Moment) -> None:
        """Hold exactly the runners of these tables."""
        self._longest_runs_ms = {
            pool: longest_run_ms(tables, pool) for pool in tables.pools_by_name
        }
        self._cold_limits = {
            name: pool.cold_limit for name, pool in tables.pools_by_name.items()
        }
        self._free_by_pool = {pool: {} for pool in tables.pools_by_name}
        known = self._removed | self._slots_by_runner
        self._slots_by_runner = {}
        for runner_id, runner in tables.runners_by_id.items():
            slots = known.get(runner_id)
            if slots is None:
                order = order_seats(runner_id, self._seats.seats)
                place = order.index(self._seats.own_seat)
                slots = RunnerSlots(runner_id, runner.pool, place)
            slots.pool = runner.pool
            slots.standing = None
            self._slots_by_runner[runner_id] = slots
            self.refresh(runner_id, now)
        # A runner that comes back before its last attempts have ended must
        # still be charged with them.
        self._removed = {
            runner_id: slots
            for runner_id, slots in known.items()
            if runner_id not in tables.runners_by_id and slots.running
        }

    def longest_run_ms(self, pool: PoolName) -> int:
        """Return the longest time that an attempt in the pool may take."""
        return self._longest_runs_ms.get(pool, 0)

    def pools(self) -> Iterable[PoolName]:
        """Return all pools of the tables."""
        return self._free_by_pool.keys()

    def runners(self) -> Iterable[RunnerId]:
        """Return all runners of the tables."""
        return tuple(self._slots_by_runner)

    def get(self, runner_id: RunnerId) -> RunnerSlots | None:
        """Return the slots of one runner, if it is in the tables."""
        return self._slots_by_runner.get(runner_id)

    def standing(self, runner_id: RunnerId, now: Moment) -> RunnerStanding:
        """Return what is known of a runner, from the index if still valid."""
        slots = self._slots_by_runner.get(runner_id)
        if slots is None:
            return self._runners.standing(runner_id, now)
        if slots.standing is None or now.monotonic_ms >= slots.standing.valid_until_ms:
            slots.standing = self._runners.standing(runner_id, now)
        return slots.standing

    def forget_standing(self, runner_id: RunnerId) -> None:
        """Ask for the runner's standing again at the next look."""
        slots = self._slots_by_runner.get(runner_id)
        if slots is not None:
            slots.standing = None

    def free(self, pool: PoolName, now: Moment) -> Iterable[RunnerSlots]:
        """Return the runners of a pool that have a free slot here."""
        free = self._free_by_pool.get(pool)
        if not free:
            return
        for slots in tuple(free.values()):
            if now.monotonic_ms >= slots.checked_until_ms:
                self.refresh(slots.runner_id, now)
            if slots.candidate is not None:
                yield slots

    def has_free(self, pool: PoolName, now: Moment) -> bool:
        """Return whether any runner of the pool has a free slot here."""
        free = self._free_by_pool.get(pool)
        if not free:
            return False
        slots = next(iter(free.values()))
        if now.monotonic_ms < slots.checked_until_ms:
            return True
        return any(True for _ in self.free(pool, now))

    def refresh(self, runner_id: RunnerId, now: Moment) -> None:
        """Work out the free slots of one runner again."""
        slots = self._slots_by_runner.get(runner_id)
        if slots is None:
            return
        standing = self.standing(runner_id, now)
        slots.own_free = self._own_free(slots, standing, now)
        in_use = 0
        borrowed = 0
        checked_until_ms = min(standing.valid_until_ms, now.monotonic_ms + RECHECK_MS)
        for loan in self._borrowing.loans(runner_id):
            in_use += loan.in_use
            if loan.idle and loan.is_usable(standing, now.monotonic_ms):
                borrowed += loan.idle
                checked_until_ms = min(checked_until_ms, loan.start_until_ms)
        slots.checked_until_ms = checked_until_ms
        free = self._free_by_pool[slots.pool]
        if slots.own_free + borrowed <= 0 or slots.trials:
            slots.candidate = None
            free.pop(runner_id, None)
            return
        report = standing.report
        # Without a fresh report the runner counts as full, so that it is
        # chosen last: it may not answer at all.
        carried = report.running + report.queued if report else standing.limit
        slots.candidate = RunnerCandidate(
            runner_id, slots.running + in_use, carried, standing.limit
        )
        free[runner_id] = slots

    def reuses(self, slots: RunnerSlots, now: Moment) -> bool:
        """Return whether an owned slot of the runner is free if its work ends."""
        standing = self.standing(slots.runner_id, now)
        lent = self._lending.lent(slots.runner_id)
        usable = self._usable(slots, standing, now)
        return not slots.trials and slots.running + lent <= usable

    def lends_cold(self, slots: RunnerSlots, count: int, now: Moment) -> bool:
        """Return whether so many more are within the seat's cold share."""
        left_over = slots.work.bound
        if self._share.trusts_own_count(self.longest_run_ms(slots.pool), now):
            left_over = 0
        if left_over is None:
            return False
        used = slots.running + self._lending.lent(slots.runner_id) + left_over
        cold_limit = self._cold_limits[slots.pool]
        return used + count <= self._owned(slots, cold_limit)

    def _owned(self, slots: RunnerSlots, limit: int) -> int:
        return count_slots_at(slots.place, limit, len(self._seats.seats))

    def _own_free(
        self, slots: RunnerSlots, standing: RunnerStanding, now: Moment
    ) -> int:
        if slots.trials:
            return 0
        lent = self._lending.lent(slots.runner_id)
        return max(0, self._usable(slots, standing, now) - slots.running - lent)

    def _usable(self, slots: RunnerSlots, standing: RunnerStanding, now: Moment) -> int:
        if standing.limit == 0:
            return 0
        return self._share.usable(
            self._owned(slots, standing.limit),
            slots.running,
            standing,
            slots.work,
            self.longest_run_ms(slots.pool),
            now,
        )
