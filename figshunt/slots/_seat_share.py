"""Number of owned slots that a seat may use after a change of its occupant."""

from dataclasses import dataclass

from figshunt.control import RunnerStatus, SeatsView
from figshunt.slots._leases import STARTUP_WAIT_MS
from figshunt.types import Moment, RunnerPhase


@dataclass(slots=True)
class PredecessorWork:
    """Work that an earlier occupant of the seat may still run on a runner.

    ``upper_bound`` is ``None`` before the first report that was measured after
    the predecessor must have stopped starting work. From then on it is the
    lowest load of all such reports, since the predecessor's work can only
    decrease. ``unaccounted_load`` is the load in the last report that exceeds
    the shares of the other seats and the attempts of this occupant.
    """

    upper_bound: int | None = None
    unaccounted_load: int = 0
    measured_ms: int = -1

    def record_report(
        self,
        reported_load: int,
        measured_ms: int,
        accounted_load: int,
        has_predecessor_stopped: bool,
    ) -> None:
        """Record the load of a report, unless it is already recorded.

        :param reported_load: running and queued requests in the report.
        :param accounted_load: shares of the other seats plus own attempts.
        :param has_predecessor_stopped: whether the predecessor had stopped
            starting work when the report was measured.
        """
        if measured_ms == self.measured_ms:
            return
        self.measured_ms = measured_ms
        self.unaccounted_load = max(0, reported_load - accounted_load)
        if has_predecessor_stopped and (
            self.upper_bound is None or reported_load < self.upper_bound
        ):
            self.upper_bound = reported_load


class SeatShare:
    """Decides how many of the slots that a seat owns may be used.

    A new occupant of a seat doesn't know what its predecessor runs or has
    lent. For ``STARTUP_WAIT_MS`` after its own start it uses no slots of
    runners that aren't warm; after that time a predecessor no longer starts
    work. It then subtracts the load shown by reports measured since, and
    nothing once the longest possible run has passed. Of a warm runner it uses
    the slots that a fresh report shows as free.

    The only seat of a cell doesn't wait. It subtracts the load shown by the
    reports from the first one on, but can't detect a predecessor that is still
    alive.
    """

    def __init__(self, seats: SeatsView) -> None:
        self._seats = seats
        self._has_started = False
        self._predecessor_stopped_ms = 0
        self._startup_wait_ends_ms = 0
        self._quorum_checked_ms: int | None = None
        self._has_quorum = False

    @property
    def is_alone(self) -> bool:
        """Return whether this is the only seat of its cell."""
        return len(self._seats.seats) == 1

    def record_start(self, now: Moment) -> None:
        """Record the start of this occupant; later calls have no effect."""
        if self._has_started:
            return
        self._has_started = True
        self._predecessor_stopped_ms = now.monotonic_ms
        if not self.is_alone:
            self._predecessor_stopped_ms += STARTUP_WAIT_MS
            self._startup_wait_ends_ms = self._predecessor_stopped_ms

    def restart_startup_wait(self, now: Moment) -> None:
        """Wait as after a start, since the seat may have had another occupant.

        Heartbeats that queued up during a pause can make a majority seem
        reachable; the wait is longer than the time for which they are valid.
        """
        if not self.is_alone:
            self._startup_wait_ends_ms = now.monotonic_ms + STARTUP_WAIT_MS

    @property
    def startup_wait_ends_ms(self) -> int:
        """Return when this occupant may first use slots of cold runners."""
        return self._startup_wait_ends_ms

    def has_quorum(self, now: Moment) -> bool:
        """Return whether a majority of seats is reachable, cached for 1 ms."""
        if self._quorum_checked_ms != now.monotonic_ms:
            self._quorum_checked_ms = now.monotonic_ms
            self._has_quorum = self._seats.has_quorum(now)
        return self._has_quorum

    def count_usable(
        self,
        owned: int,
        running: int,
        status: RunnerStatus,
        predecessor: PredecessorWork,
        longest_run_ms: int,
        now: Moment,
    ) -> int:
        """Return how many owned slots may be in use or lent.

        :param owned: slots that the seat owns under the runner's limit.
        :param running: attempts of this occupant on these slots.
        :param longest_run_ms: longest time that an attempt may run.
        """
        is_warm = status.phase is RunnerPhase.WARM
        if not is_warm and not self.has_quorum(now):
            return 0
        is_in_startup_wait = now.monotonic_ms < self._startup_wait_ends_ms
        if is_in_startup_wait and not is_warm:
            return 0
        return max(
            0,
            owned
            - self._count_predecessor_slots(
                owned, running, status, predecessor, longest_run_ms, now
            ),
        )

    def has_predecessor_work_ended(self, longest_run_ms: int, now: Moment) -> bool:
        """Return whether every attempt of a predecessor must have ended."""
        return now.monotonic_ms >= self._predecessor_stopped_ms + longest_run_ms

    def _count_predecessor_slots(
        self,
        owned: int,
        running: int,
        status: RunnerStatus,
        predecessor: PredecessorWork,
        longest_run_ms: int,
        now: Moment,
    ) -> int:
        if self.has_predecessor_work_ended(longest_run_ms, now):
            return 0
        report = status.report
        if report is None:
            if predecessor.upper_bound is None:
                return 0 if self.is_alone else owned
            return predecessor.upper_bound
        predecessor.record_report(
            report.running + report.queued,
            status.measured_ms,
            status.limit - owned + running,
            status.measured_ms >= self._predecessor_stopped_ms or self.is_alone,
        )
        if status.phase is not RunnerPhase.WARM:
            return owned if predecessor.upper_bound is None else predecessor.upper_bound
        if predecessor.upper_bound is None:
            return predecessor.unaccounted_load
        return min(predecessor.upper_bound, predecessor.unaccounted_load)
