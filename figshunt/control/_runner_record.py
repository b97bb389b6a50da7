"""What is known of one runner, and how evidence changes it."""

from dataclasses import dataclass, replace

from figshunt.control._ramp import ramped_limit
from figshunt.tables import Pool
from figshunt.types import LoadReport, RunnerPhase, StartIdentity

REPORT_FRESH_MS = 3_000
CONFIRM_MS = 3_000
REFUSED_MS = 1_000
MOST_RETIRED_STARTS = 4


@dataclass(frozen=True, slots=True)
class RunnerRecord:
    """Knowledge of one runner since it was listed.

    ``base`` counts the completions that don't count as warm-up. It is
    ``None`` from cold evidence at ``cold_since_ms`` until a report that was
    measured later; ``unknown_since_ms`` is the first such evidence in a row.
    A report counts only if it was measured at ``verify_from_ms`` or later.
    ``completed`` is the highest count seen since ``start``. ``is_returning``
    tells that the runner was listed before, so the completions of its first
    report don't count. ``crowded`` tells that more may be running than the
    limit since the limit fell; no work starts until a report shows otherwise.
    Where reports stay away, the shares of the cold limit are all that is left.
    """

    cold_since_ms: int
    unknown_since_ms: int
    base: int | None = None
    start: StartIdentity | None = None
    report: LoadReport | None = None
    measured_ms: int = 0
    completed: int = 0
    verify_from_ms: int = 0
    is_returning: bool = False
    leaving: bool = False
    refused_ms: int | None = None
    crowded: bool = False
    retired_starts: tuple[StartIdentity, ...] = ()

    def is_confirmed(self, now_ms: int) -> bool:
        """Return whether a fresh report tells how warm the runner is."""
        return (
            self.report is not None
            and self.base is not None
            and self.measured_ms >= self.verify_from_ms
            and now_ms - self.measured_ms <= REPORT_FRESH_MS
        )

    def is_refused(self, now_ms: int) -> bool:
        """Return whether the runner refused a connection just now."""
        return self.refused_ms is not None and now_ms - self.refused_ms < REFUSED_MS

    def own_phase(self, pool: Pool, now_ms: int) -> RunnerPhase:
        """Return the phase as far as reports and connections tell."""
        if self.is_refused(now_ms):
            return RunnerPhase.LOST
        if not pool.reports_load:
            return RunnerPhase.COLD
        if self.base is None and now_ms - self.unknown_since_ms < CONFIRM_MS:
            return RunnerPhase.LOST
        limit = self.ramped(pool, now_ms)
        if limit >= pool.limit:
            return RunnerPhase.WARM
        return RunnerPhase.WARMING if limit > pool.cold_limit else RunnerPhase.COLD

    def ramped(self, pool: Pool, now_ms: int) -> int:
        """Return the limit that the completed work allows."""
        if not self.is_confirmed(now_ms):
            return pool.cold_limit
        assert self.report is not None and self.base is not None
        return ramped_limit(pool, self.report.completed - self.base)

    def next_change_ms(self, now_ms: int) -> int | None:
        """Return when time alone may change the phase or limit, if ever."""
        times_ms = [self.measured_ms + REPORT_FRESH_MS + 1]
        if self.base is None:
            times_ms.append(self.unknown_since_ms + CONFIRM_MS)
        if self.refused_ms is not None:
            times_ms.append(self.refused_ms + REFUSED_MS)
        return min((one for one in times_ms if one > now_ms), default=None)

    def turn_cold(self, now_ms: int) -> "RunnerRecord":
        """Return the record after evidence that the warm state was lost."""
        was_unknown = self.base is None
        return replace(
            self,
            cold_since_ms=max(now_ms, self.cold_since_ms),
            unknown_since_ms=self.unknown_since_ms if was_unknown else now_ms,
            base=None,
            report=None,
            crowded=self.crowded or not was_unknown,
        )

    def verify(self, now_ms: int) -> "RunnerRecord":
        """Return the record after a peer lost its connection to the runner.

        The runner is cold until a report that was measured later shows
        whether it restarted. One host with a bad link thus can't keep a
        runner cold for its peers.
        """
        return replace(self, verify_from_ms=max(self.verify_from_ms, now_ms))

    def raise_base(self, completed: int, pool: Pool) -> "RunnerRecord":
        """Return the record after a peer saw evidence at this count.

        Counts of different peers merge to the highest, so late, repeated and
        reordered notices do no harm.
        """
        if self.base is None or self.report is None or completed <= self.base:
            return self
        limit = ramped_limit(pool, self.report.completed - completed)
        carried = self.report.running + self.report.queued
        return replace(self, base=completed, crowded=self.crowded or carried > limit)

    def add_report(
        self, report: LoadReport, measured_ms: int, pool: Pool
    ) -> "RunnerRecord":
        """Return the record with a report taken in.

        A report of an earlier start, or with fewer completions than known
        for this start, arrived late and changes nothing.
        """
        if report.start in self.retired_starts:
            return self
        if report.start != self.start:
            return self._add_first_report(report, measured_ms, pool)
        if report.completed < self.completed or measured_ms < self.measured_ms:
            return self
        stale_ms = self.measured_ms + REPORT_FRESH_MS
        known = self.turn_cold(stale_ms) if measured_ms > stale_ms else self
        if known.base is None and measured_ms < known.cold_since_ms:
            return known
        base = known.base if known.base is not None else report.completed
        return known._take_in(report, measured_ms, base, pool)

    def _add_first_report(
        self, report: LoadReport, measured_ms: int, pool: Pool
    ) -> "RunnerRecord":
        is_return = self.is_returning and self.start is None
        if is_return and measured_ms < self.cold_since_ms:
            return self
        base = report.completed if is_return else 0
        retired = self.retired_starts
        if self.start is not None:
            retired = (*retired, self.start)[-MOST_RETIRED_STARTS:]
        restarted = replace(
            self,
            start=report.start,
            retired_starts=retired,
            crowded=self.start is not None,
        )
        return restarted._take_in(report, measured_ms, base, pool)

    def _take_in(
        self, report: LoadReport, measured_ms: int, base: int, pool: Pool
    ) -> "RunnerRecord":
        limit = ramped_limit(pool, report.completed - base)
        return replace(
            self,
            base=base,
            report=report,
            measured_ms=measured_ms,
            completed=report.completed,
            leaving=report.leaving,
            refused_ms=None,
            crowded=self.crowded and report.running + report.queued > limit,
        )
