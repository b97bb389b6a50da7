"""State of one runner and its changes with reports and evidence."""

from dataclasses import dataclass, replace

from figshunt.control._ramp import ramp_up_limit
from figshunt.tables import Pool
from figshunt.types import LoadReport, RunnerPhase, StartIdentity

MAX_REPORT_AGE_MS = 3_000
CONFIRMATION_TIMEOUT_MS = 3_000
REFUSAL_PERIOD_MS = 1_000
MAX_RETIRED_STARTS = 4


@dataclass(frozen=True, slots=True)
class RunnerRecord:
    """The state of one runner since it was added to the tables.

    ``base`` is the number of the runner's completions that don't count as
    warm-up. Cold evidence, at ``cold_since_ms``, sets it to ``None`` until a
    report that was measured later arrives; ``unconfirmed_since_ms`` is the time
    of the first cold evidence since the last such report. Only reports measured
    at ``min_measured_ms`` or later confirm the warm-up.

    ``completed`` is the highest completion count seen since ``start``. With
    ``discounts_first_report``, the completions of the first report don't count
    as warm-up, because the runner may have been in use before. With
    ``may_exceed_limit``, the limit fell and the runner may still run more
    requests than it allows; no work starts until a report shows otherwise.
    If no report arrives within ``CONFIRMATION_TIMEOUT_MS`` of the cold evidence,
    the runner gets its cold limit in spite of this.
    """

    cold_since_ms: int
    unconfirmed_since_ms: int
    base: int | None = None
    start: StartIdentity | None = None
    report: LoadReport | None = None
    measured_ms: int = 0
    completed: int = 0
    min_measured_ms: int = 0
    discounts_first_report: bool = False
    leaving: bool = False
    refused_ms: int | None = None
    may_exceed_limit: bool = False
    retired_starts: tuple[StartIdentity, ...] = ()

    def is_confirmed(self, now_ms: int) -> bool:
        """Return whether a fresh report shows how far the runner is warmed up."""
        return (
            self.report is not None
            and self.base is not None
            and self.measured_ms >= self.min_measured_ms
            and now_ms - self.measured_ms <= MAX_REPORT_AGE_MS
        )

    def is_refused(self, now_ms: int) -> bool:
        """Return whether the runner refused a connection within the last second."""
        return (
            self.refused_ms is not None and now_ms - self.refused_ms < REFUSAL_PERIOD_MS
        )

    def observed_phase(self, pool: Pool, now_ms: int) -> RunnerPhase:
        """Return the phase according to load reports and refused connections."""
        if self.is_refused(now_ms):
            return RunnerPhase.LOST
        if not pool.reports_load:
            return RunnerPhase.COLD
        if (
            self.base is None
            and now_ms - self.unconfirmed_since_ms < CONFIRMATION_TIMEOUT_MS
        ):
            return RunnerPhase.LOST
        limit = self.current_limit(pool, now_ms)
        if limit >= pool.limit:
            return RunnerPhase.WARM
        return RunnerPhase.WARMING if limit > pool.cold_limit else RunnerPhase.COLD

    def current_limit(self, pool: Pool, now_ms: int) -> int:
        """Return the limit for the work that the runner has completed."""
        if not self.is_confirmed(now_ms):
            return pool.cold_limit
        assert self.report is not None and self.base is not None
        return ramp_up_limit(pool, self.report.completed - self.base)

    def next_change_ms(self, now_ms: int) -> int | None:
        """Return the next time at which the phase or limit may change with time."""
        change_times_ms = [self.measured_ms + MAX_REPORT_AGE_MS + 1]
        if self.base is None:
            change_times_ms.append(self.unconfirmed_since_ms + CONFIRMATION_TIMEOUT_MS)
        if self.refused_ms is not None:
            change_times_ms.append(self.refused_ms + REFUSAL_PERIOD_MS)
        return min(
            (time_ms for time_ms in change_times_ms if time_ms > now_ms), default=None
        )

    def with_cold_evidence(self, now_ms: int) -> "RunnerRecord":
        """Return the record after evidence that the runner lost its warm state."""
        was_unconfirmed = self.base is None
        return replace(
            self,
            cold_since_ms=max(now_ms, self.cold_since_ms),
            unconfirmed_since_ms=(
                self.unconfirmed_since_ms if was_unconfirmed else now_ms
            ),
            base=None,
            report=None,
            may_exceed_limit=self.may_exceed_limit or not was_unconfirmed,
        )

    def require_report_since(self, min_measured_ms: int) -> "RunnerRecord":
        """Return the record after its last report became doubtful.

        This is the case after a peer lost its connection to the runner and
        after a pause of this process. The runner counts as cold until a report
        measured at ``min_measured_ms`` or later shows whether it restarted. A
        host with a bad link therefore can't keep the runner cold for its peers.
        """
        return replace(self, min_measured_ms=max(self.min_measured_ms, min_measured_ms))

    def raise_base(self, completed: int, pool: Pool) -> "RunnerRecord":
        """Return the record after a peer reported cold evidence.

        The highest count of all peers applies, so late, repeated and reordered
        notices have no effect.

        :param completed: the runner's completions at the time of the evidence.
        """
        if self.base is None or self.report is None or completed <= self.base:
            return self
        limit = ramp_up_limit(pool, self.report.completed - completed)
        load = self.report.running + self.report.queued
        return replace(
            self, base=completed, may_exceed_limit=self.may_exceed_limit or load > limit
        )

    def add_report(
        self, report: LoadReport, measured_ms: int, pool: Pool
    ) -> "RunnerRecord":
        """Return the record after a load report.

        A report of an earlier start, or with fewer completions than were
        already reported for this start, arrived late and changes nothing.
        """
        if report.start in self.retired_starts:
            return self
        if report.start != self.start:
            return self._add_first_report(report, measured_ms, pool)
        if report.completed < self.completed or measured_ms < self.measured_ms:
            return self
        expired_ms = self.measured_ms + MAX_REPORT_AGE_MS
        current_record = (
            self.with_cold_evidence(expired_ms) if measured_ms > expired_ms else self
        )
        if current_record.base is None and measured_ms < current_record.cold_since_ms:
            return current_record
        base = (
            current_record.base if current_record.base is not None else report.completed
        )
        return current_record._with_report(report, measured_ms, base, pool)

    def _add_first_report(
        self, report: LoadReport, measured_ms: int, pool: Pool
    ) -> "RunnerRecord":
        discounts_report = self.discounts_first_report and self.start is None
        if discounts_report and measured_ms < self.cold_since_ms:
            return self
        base = report.completed if discounts_report else 0
        retired_starts = self.retired_starts
        if self.start is not None:
            retired_starts = (*retired_starts, self.start)[-MAX_RETIRED_STARTS:]
        restarted_record = replace(
            self,
            start=report.start,
            retired_starts=retired_starts,
            may_exceed_limit=self.start is not None,
        )
        return restarted_record._with_report(report, measured_ms, base, pool)

    def _with_report(
        self, report: LoadReport, measured_ms: int, base: int, pool: Pool
    ) -> "RunnerRecord":
        limit = ramp_up_limit(pool, report.completed - base)
        return replace(
            self,
            base=base,
            report=report,
            measured_ms=measured_ms,
            completed=report.completed,
            leaving=report.leaving,
            refused_ms=None,
            may_exceed_limit=self.may_exceed_limit
            and report.running + report.queued > limit,
        )
