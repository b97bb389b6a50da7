"""How much of a runner this seat may use, given that its seat had others."""

from dataclasses import dataclass

from figshunt.control import RunnerStanding, SeatsView
from figshunt.slots._leases import SETTLE_MS
from figshunt.types import Moment, RunnerPhase


@dataclass(slots=True)
class PredecessorWork:
    """What a predecessor may still have running on a runner.

    ``bound`` is ``None`` until a report that was measured after the
    predecessor must have stopped; from then on the lowest load of any report,
    since what a predecessor runs only ends. ``beyond_others`` is what the
    last report shows beyond the other seats' shares and the own attempts.
    """

    bound: int | None = None
    beyond_others: int = 0
    measured_ms: int = -1

    def take_report(
        self, carried: int, measured_ms: int, accounted: int, is_settled: bool
    ) -> None:
        """Take in the load of a report, once.

        :param accounted: the other seats' shares and the own attempts.
        """
        if measured_ms == self.measured_ms:
            return
        self.measured_ms = measured_ms
        self.beyond_others = max(0, carried - accounted)
        if is_settled and (self.bound is None or carried < self.bound):
            self.bound = carried


class SeatShare:
    """Decides when the slots that a seat owns may be used.

    A new occupant of a seat doesn't know what its predecessor runs or lent.
    It uses no slot of a runner that isn't warm until ``SETTLE_MS`` after its
    own start, when a predecessor has stopped starting work; then it subtracts
    the work that reports since then show, and after the longest run nothing.
    Of a warm runner it uses what a fresh report shows to be free. The only
    seat of a cell doesn't wait: it subtracts what the reports show from the
    first one on, but a predecessor that still runs isn't noticed.
    """

    def __init__(self, seats: SeatsView) -> None:
        self._seats = seats
        self._has_begun = False
        self._settled_ms = 0
        self._quiet_until_ms = 0
        self._majority_at_ms: int | None = None
        self._hears_majority = False

    @property
    def is_alone(self) -> bool:
        """Return whether this is the only seat of its cell."""
        return len(self._seats.seats) == 1

    def begin(self, now: Moment) -> None:
        """Take the first moment as the start of this occupant."""
        if self._has_begun:
            return
        self._has_begun = True
        self._settled_ms = now.monotonic_ms
        if not self.is_alone:
            self._settled_ms += SETTLE_MS
            self._quiet_until_ms = self._settled_ms

    def begin_again(self, now: Moment) -> None:
        """Wait as after a start: the seat may have had another occupant.

        Heartbeats that piled up during a pause can make a majority seem to
        be heard; the wait is longer than they count.
        """
        if not self.is_alone:
            self._quiet_until_ms = now.monotonic_ms + SETTLE_MS

    @property
    def quiet_until_ms(self) -> int:
        """Return when slots of cold runners may first be used."""
        return self._quiet_until_ms

    def hears_majority(self, now: Moment) -> bool:
        """Return whether a majority is heard, worked out once a millisecond."""
        if self._majority_at_ms != now.monotonic_ms:
            self._majority_at_ms = now.monotonic_ms
            self._hears_majority = self._seats.hears_majority(now)
        return self._hears_majority

    def usable(
        self,
        owned: int,
        running: int,
        standing: RunnerStanding,
        work: PredecessorWork,
        longest_run: int,
        now: Moment,
    ) -> int:
        """Return how many owned slots may be in use or lent.

        :param owned: slots that the seat owns under the runner's limit.
        :param running: own attempts on them.
        :param longest_run: longest time an attempt may take, in ms.
        """
        is_warm = standing.phase is RunnerPhase.WARM
        if not is_warm and not self.hears_majority(now):
            return 0
        is_quiet = now.monotonic_ms < self._quiet_until_ms
        if is_quiet and not is_warm:
            return 0
        return max(
            0, owned - self._leftover(owned, running, standing, work, longest_run, now)
        )

    def trusts_own_count(self, longest_run: int, now: Moment) -> bool:
        """Return whether all that a predecessor started must have ended."""
        return now.monotonic_ms >= self._settled_ms + longest_run

    def _leftover(
        self,
        owned: int,
        running: int,
        standing: RunnerStanding,
        work: PredecessorWork,
        longest_run: int,
        now: Moment,
    ) -> int:
        if self.trusts_own_count(longest_run, now):
            return 0
        report = standing.report
        if report is None:
            if work.bound is None:
                return 0 if self.is_alone else owned
            return work.bound
        work.take_report(
            report.running + report.queued,
            standing.measured_ms,
            standing.limit - owned + running,
            standing.measured_ms >= self._settled_ms or self.is_alone,
        )
        if standing.phase is not RunnerPhase.WARM:
            return owned if work.bound is None else work.bound
        if work.bound is None:
            return work.beyond_others
        return min(work.bound, work.beyond_others)
