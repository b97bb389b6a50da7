"""Free slots of each runner, indexed by pool to avoid scans at each look-up."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from figshunt.control import RunnerStatus, RunnersView, SeatsView
from figshunt.policy import RunnerCandidate
from figshunt.slots._borrowing import BorrowingLedger
from figshunt.slots._leases import longest_run_ms
from figshunt.slots._lending import LendingLedger
from figshunt.slots._ownership import count_owned_slots, order_seats
from figshunt.slots._seat_share import PredecessorWork, SeatShare
from figshunt.tables import Tables
from figshunt.types import Moment, PoolName, RunnerId

# The loss of the majority and the end of a start window come without a message, so
# index entries with free slots are recomputed after this time.
RECHECK_INTERVAL_MS = 100


@dataclass(slots=True)
class RunnerSlots:
    """Slots of one runner that this daemon may use.

    ``running`` counts the attempts of this daemon on owned slots, ``owned_free``
    the owned slots that may be used or lent. ``candidate`` is set while the
    daemon has any free slot of the runner, owned or borrowed. While ``trials``
    of suspected content run, the daemon sends the runner no other work.
    """

    runner_id: RunnerId
    pool: PoolName
    rank: int
    running: int = 0
    trials: int = 0
    status: RunnerStatus | None = None
    predecessor: PredecessorWork = field(default_factory=PredecessorWork)
    owned_free: int = 0
    recheck_due_ms: int = 0
    candidate: RunnerCandidate | None = None


class SlotIndex:
    """Owns the :class:`RunnerSlots`; indexes those with a free slot by pool."""

    def __init__(
        self,
        runners: RunnersView,
        seats: SeatsView,
        share: SeatShare,
        lending: LendingLedger,
        borrowing: BorrowingLedger,
    ) -> None:
        self._runners = runners
        self._seats = seats
        self._share = share
        self._lending = lending
        self._borrowing = borrowing
        self._slots_by_runner: dict[RunnerId, RunnerSlots] = {}
        self._removed_runners: dict[RunnerId, RunnerSlots] = {}
        self._free_by_pool: dict[PoolName, dict[RunnerId, RunnerSlots]] = {}
        self._longest_runs_ms: dict[PoolName, int] = {}
        self._cold_limits: dict[PoolName, int] = {}

    def apply_tables(self, tables: Tables, now: Moment) -> None:
        """Replace the indexed runners with those of new tables."""
        self._longest_runs_ms = {
            pool: longest_run_ms(tables, pool) for pool in tables.pools_by_name
        }
        self._cold_limits = {
            name: pool.cold_limit for name, pool in tables.pools_by_name.items()
        }
        self._free_by_pool = {pool: {} for pool in tables.pools_by_name}
        known_slots = self._removed_runners | self._slots_by_runner
        self._slots_by_runner = {}
        for runner_id, runner in tables.runners_by_id.items():
            slots = known_slots.get(runner_id)
            if slots is None:
                seat_order = order_seats(runner_id, self._seats.seats)
                rank = seat_order.index(self._seats.own_seat)
                slots = RunnerSlots(runner_id, runner.pool, rank)
            slots.pool = runner.pool
            slots.status = None
            self._slots_by_runner[runner_id] = slots
            self.refresh(runner_id, now)
        # If a removed runner is added again before its last attempts have ended,
        # they must still count against its slots.
        self._removed_runners = {
            runner_id: slots
            for runner_id, slots in known_slots.items()
            if runner_id not in tables.runners_by_id and slots.running
        }

    def longest_run_ms(self, pool: PoolName) -> int:
        """Return the longest time that an attempt in the pool may run."""
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

    def status(self, runner_id: RunnerId, now: Moment) -> RunnerStatus:
        """Return the status of a runner, from the index while it is valid."""
        slots = self._slots_by_runner.get(runner_id)
        if slots is None:
            return self._runners.status(runner_id, now)
        if slots.status is None or now.monotonic_ms >= slots.status.valid_until_ms:
            slots.status = self._runners.status(runner_id, now)
        return slots.status

    def invalidate_status(self, runner_id: RunnerId) -> None:
        """Discard the indexed status; the next look-up gets the current one."""
        slots = self._slots_by_runner.get(runner_id)
        if slots is not None:
            slots.status = None

    def free_runners(self, pool: PoolName, now: Moment) -> Iterable[RunnerSlots]:
        """Yield the runners of a pool of which this daemon has a free slot."""
        free_runners = self._free_by_pool.get(pool)
        if not free_runners:
            return
        for slots in tuple(free_runners.values()):
            if now.monotonic_ms >= slots.recheck_due_ms:
                self.refresh(slots.runner_id, now)
            if slots.candidate is not None:
                yield slots

    def has_free(self, pool: PoolName, now: Moment) -> bool:
        """Return whether this daemon has a free slot of any runner of the pool."""
        free_runners = self._free_by_pool.get(pool)
        if not free_runners:
            return False
        slots = next(iter(free_runners.values()))
        if now.monotonic_ms < slots.recheck_due_ms:
            return True
        return any(True for _ in self.free_runners(pool, now))

    def refresh(self, runner_id: RunnerId, now: Moment) -> None:
        """Recompute the free slots of one runner."""
        slots = self._slots_by_runner.get(runner_id)
        if slots is None:
            return
        status = self.status(runner_id, now)
        slots.owned_free = self._count_owned_free(slots, status, now)
        in_use = 0
        borrowed_count = 0
        recheck_due_ms = min(
            status.valid_until_ms, now.monotonic_ms + RECHECK_INTERVAL_MS
        )
        for loan in self._borrowing.loans(runner_id):
            in_use += loan.in_use
            if loan.idle_count and loan.is_usable(status, now.monotonic_ms):
                borrowed_count += loan.idle_count
                recheck_due_ms = min(recheck_due_ms, loan.start_until_ms)
        slots.recheck_due_ms = recheck_due_ms
        free_runners = self._free_by_pool[slots.pool]
        if slots.owned_free + borrowed_count <= 0 or slots.trials:
            slots.candidate = None
            free_runners.pop(runner_id, None)
            return
        report = status.report
        # A runner without a fresh report may not respond at all; it counts as full,
        # so that it is chosen last.
        reported_load = report.running + report.queued if report else status.limit
        slots.candidate = RunnerCandidate(
            runner_id, slots.running + in_use, reported_load, status.limit
        )
        free_runners[runner_id] = slots

    def can_reuse(self, slots: RunnerSlots, now: Moment) -> bool:
        """Return whether an owned slot becomes usable when its attempt ends."""
        status = self.status(slots.runner_id, now)
        lent_count = self._lending.lent_count(slots.runner_id)
        usable_count = self._count_usable(slots, status, now)
        return not slots.trials and slots.running + lent_count <= usable_count

    def is_within_cold_share(self, slots: RunnerSlots, count: int, now: Moment) -> bool:
        """Return whether ``count`` more slots are within the seat's cold share.

        The cold share is what the seat owns under the cold limit of the pool,
        less the work of a predecessor that may still run.
        """
        predecessor_load = slots.predecessor.upper_bound
        if self._share.has_predecessor_work_ended(self.longest_run_ms(slots.pool), now):
            predecessor_load = 0
        if predecessor_load is None:
            return False
        used_count = (
            slots.running + self._lending.lent_count(slots.runner_id) + predecessor_load
        )
        cold_limit = self._cold_limits[slots.pool]
        return used_count + count <= self._count_owned(slots, cold_limit)

    def _count_owned(self, slots: RunnerSlots, limit: int) -> int:
        return count_owned_slots(slots.rank, limit, len(self._seats.seats))

    def _count_owned_free(
        self, slots: RunnerSlots, status: RunnerStatus, now: Moment
    ) -> int:
        if slots.trials:
            return 0
        lent_count = self._lending.lent_count(slots.runner_id)
        return max(
            0, self._count_usable(slots, status, now) - slots.running - lent_count
        )

    def _count_usable(
        self, slots: RunnerSlots, status: RunnerStatus, now: Moment
    ) -> int:
        if status.limit == 0:
            return 0
        return self._share.count_usable(
            self._count_owned(slots, status.limit),
            slots.running,
            status,
            slots.predecessor,
            self.longest_run_ms(slots.pool),
            now,
        )
