"""Keeps what is known of each runner."""

from collections.abc import Iterable
from dataclasses import dataclass

from figshunt.control._views import TablesView
from figshunt.pipeline import Output
from figshunt.tables import Pool, Tables
from figshunt.types import (
    LoadReport,
    LoadReported,
    Message,
    Moment,
    RunnerChanged,
    RunnerId,
    RunnerPhase,
    RunnerUnreachable,
    Step,
    TablesInForce,
    WatchRunners,
)

REPORT_FRESH_MS = 3_000


@dataclass(frozen=True, slots=True)
class RunnerRecord:
    """The last report of a runner and when it was measured (monotonic)."""

    report: LoadReport
    measured_ms: int


class RunnerFilter:
    """Owns runner records and offers them as a ``RunnersView``.

    The limit grows from the cold limit with the work that the runner has
    completed since its start: it doubles with each limit's worth of
    completions. The figure comes from the runner's own report, so every host
    computes the same limit, and an older report only gives a lower one.
    """

    step = Step.RUNNER
    accepts: tuple[type[Message], ...] = (
        LoadReported,
        RunnerUnreachable,
        TablesInForce,
    )

    def __init__(self, tables: TablesView) -> None:
        self._tables = tables
        self._records_by_id: dict[RunnerId, RunnerRecord] = {}

    def phase(self, runner_id: RunnerId, now: Moment) -> RunnerPhase:
        """Return the runner's phase; an unknown runner is lost."""
        tables = self._tables.current()
        if tables is None or runner_id not in tables.runners_by_id:
            return RunnerPhase.LOST
        if tables.is_out(runner_id):
            return RunnerPhase.OUT
        pool = tables.pools_by_name[tables.runners_by_id[runner_id].pool]
        record = self._fresh_record(runner_id, now)
        if record is None:
            return RunnerPhase.LOST if pool.reports_load else RunnerPhase.COLD
        if record.report.leaving:
            return RunnerPhase.LEAVING
        limit = ramped_limit(pool, record.report.completed)
        if limit >= pool.limit:
            return RunnerPhase.WARM
        return RunnerPhase.WARMING if limit > pool.cold_limit else RunnerPhase.COLD

    def limit(self, runner_id: RunnerId, now: Moment) -> int:
        """Return how many requests the runner may carry, over all hosts."""
        phase = self.phase(runner_id, now)
        if phase in (RunnerPhase.OUT, RunnerPhase.LEAVING, RunnerPhase.LOST):
            return 0
        tables = self._tables.current()
        assert tables is not None
        pool = tables.pools_by_name[tables.runners_by_id[runner_id].pool]
        record = self._fresh_record(runner_id, now)
        return ramped_limit(pool, record.report.completed if record else 0)

    def report(self, runner_id: RunnerId) -> LoadReport | None:
        """Return the last report of the runner since it was last lost."""
        record = self._records_by_id.get(runner_id)
        return record.report if record else None

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        yield message
        match message:
            case LoadReported(runner_id, report):
                measured_ms = now.monotonic_ms - report.age_ms
                self._records_by_id[runner_id] = RunnerRecord(report, measured_ms)
                yield from self._changed(runner_id)
            case RunnerUnreachable(runner_id, _):
                self._records_by_id.pop(runner_id, None)
                yield from self._changed(runner_id)
            case TablesInForce(tables):
                for runner_id in tuple(self._records_by_id):
                    if runner_id not in tables.runners_by_id:
                        del self._records_by_id[runner_id]
                yield WatchRunners(_reporting_runners(tables))

    def _changed(self, runner_id: RunnerId) -> Iterable[Output]:
        tables = self._tables.current()
        if tables is not None and runner_id in tables.runners_by_id:
            yield RunnerChanged(runner_id, tables.runners_by_id[runner_id].pool)

    def _fresh_record(self, runner_id: RunnerId, now: Moment) -> RunnerRecord | None:
        record = self._records_by_id.get(runner_id)
        if record is None or now.monotonic_ms - record.measured_ms > REPORT_FRESH_MS:
            return None
        return record


def _reporting_runners(tables: Tables) -> dict[RunnerId, str]:
    return {
        runner_id: runner.url
        for runner_id, runner in tables.runners_by_id.items()
        if tables.pools_by_name[runner.pool].reports_load
    }


def ramped_limit(pool: Pool, completed: int) -> int:
    """Return the limit of a runner that completed so many requests."""
    limit = pool.cold_limit
    while limit < pool.limit and completed >= limit:
        completed -= limit
        limit *= 2
    return min(limit, pool.limit)
