"""Keeps what is known of each runner."""

from collections.abc import Iterable
from dataclasses import replace

from figshunt.control._leaving import LEAVING_HOLDS_MS, LeavingNotices
from figshunt.control._runner_record import REPORT_FRESH_MS, RunnerRecord
from figshunt.control._token_time import TokenTimeLevel
from figshunt.control._views import RunnerStanding, SeatsView, TablesView
from figshunt.pipeline import Output, WakeQueue
from figshunt.tables import Pool, Tables
from figshunt.types import (
    ClockJumped,
    ColdEvidence,
    CountEvent,
    HostsListed,
    HostState,
    LoadReport,
    LoadReported,
    Message,
    Moment,
    PeerConnected,
    PeerReceived,
    RunnerChanged,
    RunnerId,
    RunnerNotice,
    RunnerPhase,
    RunnerUnreachable,
    SeatNumber,
    SendPeer,
    Step,
    TablesInForce,
    TimerDue,
    WakeAt,
    WatchRunners,
)

BACKLOG_MS = 1_000
NOTICE_REPEAT_MS = 3_000
# A host with a bad link to a runner loses it again and again; its peers see
# the runner themselves, so they don't have to be told each time.
EVIDENCE_NOTICE_GAP_MS = 10_000
CONNECTION_EVIDENCE = frozenset(
    {
        ColdEvidence.CONNECTION_REFUSED,
        ColdEvidence.CONNECTION_RESET,
        ColdEvidence.REPORTS_LOST,
    }
)
AWAY = (RunnerPhase.OUT, RunnerPhase.LEAVING)


class RunnerFilter:
    """Owns runner records and offers them as a ``RunnersView``.

    The limit grows from the cold limit with the work that the runner has
    completed since its start or the last cold evidence. The figure comes from
    the runner's own report, so every host computes the same limit, and an
    older report only gives a lower one. A runner that doesn't report load
    gives no evidence of being warm and stays at its cold limit.
    """

    step = Step.RUNNER
    accepts: tuple[type[Message], ...] = (
        LoadReported,
        RunnerUnreachable,
        HostsListed,
        TablesInForce,
        PeerReceived,
        PeerConnected,
        TimerDue,
        ClockJumped,
    )

    def __init__(self, tables: TablesView, seats: SeatsView | None = None) -> None:
        self._tables = tables
        self._seats = seats
        self._records_by_id: dict[RunnerId, RunnerRecord] = {}
        self._token_times_by_id: dict[RunnerId, TokenTimeLevel] = {}
        self._leaving = LeavingNotices()
        self._away: set[RunnerId] = set()
        self._first_hand_leaving: set[RunnerId] = set()
        self._noticed_ms_by_id: dict[RunnerId, int] = {}
        self._wakes_by_id: dict[RunnerId, WakeQueue] = {}
        self._repeat_notices_ms = 0

    def phase(self, runner_id: RunnerId, now: Moment) -> RunnerPhase:
        """Return the runner's phase; an unknown runner is lost."""
        tables = self._tables.current()
        record = self._records_by_id.get(runner_id)
        if tables is None or record is None or runner_id not in tables.runners_by_id:
            return RunnerPhase.LOST
        if tables.is_out(runner_id):
            return RunnerPhase.OUT
        if self._leaving.is_leaving(runner_id) or record.leaving:
            return RunnerPhase.LEAVING
        return record.own_phase(_pool_of(tables, runner_id), now.monotonic_ms)

    def limit(self, runner_id: RunnerId, now: Moment) -> int:
        """Return how many requests the runner may carry, over all hosts."""
        return self.standing(runner_id, now).limit

    def standing(self, runner_id: RunnerId, now: Moment) -> RunnerStanding:
        """Return all that is known of the runner at once."""
        phase = self.phase(runner_id, now)
        tables = self._tables.current()
        record = self._records_by_id.get(runner_id)
        if tables is None or record is None or phase is RunnerPhase.LOST:
            limit = 0
        elif phase in AWAY or (record.crowded and record.base is not None):
            limit = 0
        else:
            limit = record.ramped(_pool_of(tables, runner_id), now.monotonic_ms)
        if record is None:
            return RunnerStanding(phase, limit, None, 0, None, 0, now.monotonic_ms + 1)
        is_confirmed = record.is_confirmed(now.monotonic_ms)
        return RunnerStanding(
            phase=phase,
            limit=limit,
            start=record.start if is_confirmed else None,
            base=record.base or 0,
            report=record.report if is_confirmed else None,
            measured_ms=record.measured_ms,
            valid_until_ms=(
                record.next_change_ms(now.monotonic_ms)
                or now.monotonic_ms + REPORT_FRESH_MS
            ),
        )

    def report(self, runner_id: RunnerId) -> LoadReport | None:
        """Return the last report of the runner since it was last lost."""
        record = self._records_by_id.get(runner_id)
        return record.report if record else None

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        if isinstance(message, ClockJumped):
            self._distrust_backlog(now)
        yield message
        match message:
            case ClockJumped():
                for runner_id in self._records_by_id:
                    yield from self._changed(runner_id, now)
            case LoadReported(runner_id, report):
                yield from self._add_report(runner_id, report, now)
            case RunnerUnreachable(runner_id, evidence):
                yield from self._lose(runner_id, evidence, now)
            case HostsListed():
                self._leaving.set_listed(self._find_leaving(message))
                yield from self._update_away(now)
            case TablesInForce(tables):
                yield from self._use_tables(tables, now)
            case PeerReceived(seat, RunnerNotice() as notice):
                yield from self._take_notice(seat, notice, now)
            case PeerConnected(seat):
                yield from self._inform(seat, now)
            case TimerDue():
                yield from self._check_times(now)

    def _add_report(
        self, runner_id: RunnerId, report: LoadReport, now: Moment
    ) -> Iterable[Output]:
        pool = self._pool(runner_id)
        if pool is None:
            return
        before = self._records_by_id[runner_id]
        measured_ms = now.monotonic_ms - report.age_ms
        after = before.add_report(report, measured_ms, pool)
        evidence = None
        if after.start != before.start and before.start is not None:
            evidence = ColdEvidence.START_CHANGED
            self._token_times_by_id.pop(runner_id, None)
        if after.report is report and self._is_slower(runner_id, report):
            evidence = ColdEvidence.TOKEN_TIME_JUMP
            after = after.turn_cold(measured_ms).add_report(report, measured_ms, pool)
        self._records_by_id[runner_id] = after
        if evidence is not None:
            yield from self._tell_evidence(runner_id, evidence)
        yield from self._update_away(now, runner_id)
        yield from self._changed(runner_id, now)

    def _lose(
        self, runner_id: RunnerId, evidence: ColdEvidence, now: Moment
    ) -> Iterable[Output]:
        record = self._records_by_id.get(runner_id)
        if record is None:
            return
        had_report = record.report is not None
        if had_report and self._may_tell(runner_id, now):
            yield from self._tell_evidence(runner_id, evidence)
        record = record.turn_cold(now.monotonic_ms)
        if evidence is ColdEvidence.CONNECTION_REFUSED:
            record = replace(record, refused_ms=now.monotonic_ms)
        self._records_by_id[runner_id] = record
        yield from self._changed(runner_id, now)

    def _use_tables(self, tables: Tables, now: Moment) -> Iterable[Output]:
        is_first = not self._records_by_id
        for runner_id in tuple(self._records_by_id):
            if runner_id not in tables.runners_by_id:
                del self._records_by_id[runner_id]
                self._token_times_by_id.pop(runner_id, None)
                self._noticed_ms_by_id.pop(runner_id, None)
                self._wakes_by_id.pop(runner_id, None)
                self._away.discard(runner_id)
                self._first_hand_leaving.discard(runner_id)
        for runner_id in tables.runners_by_id:
            if runner_id not in self._records_by_id:
                self._records_by_id[runner_id] = RunnerRecord(
                    cold_since_ms=now.monotonic_ms,
                    unknown_since_ms=now.monotonic_ms,
                    is_returning=not is_first,
                )
        yield WatchRunners(_reporting_runners(tables))
        yield from self._update_away(now)
        for runner_id in tables.runners_by_id:
            yield from self._changed(runner_id, now)

    def _take_notice(
        self, seat: SeatNumber, notice: RunnerNotice, now: Moment
    ) -> Iterable[Output]:
        runner_id = notice.runner_id
        pool = self._pool(runner_id)
        if pool is None:
            return
        until_ms = now.monotonic_ms + LEAVING_HOLDS_MS if notice.leaving else None
        self._leaving.set_noticed(runner_id, seat, until_ms)
        record = self._records_by_id[runner_id]
        if notice.evidence is not None and notice.start not in record.retired_starts:
            if notice.start != record.start or notice.evidence in CONNECTION_EVIDENCE:
                record = record.verify(now.monotonic_ms)
            else:
                record = record.raise_base(notice.completed, pool)
            self._records_by_id[runner_id] = record
        yield from self._update_away(now, runner_id)
        yield from self._changed(runner_id, now)
        if until_ms is not None:
            yield WakeAt(until_ms)

    def _inform(self, seat: SeatNumber, now: Moment) -> Iterable[Output]:
        for runner_id, record in self._records_by_id.items():
            is_cold_again = bool(record.base) and record.report is not None
            if is_cold_again and self.phase(runner_id, now) is not RunnerPhase.WARM:
                notice = self._notice(runner_id, ColdEvidence.TOLD_AGAIN)
                yield SendPeer(seat, notice)
            elif runner_id in self._first_hand_leaving:
                yield SendPeer(seat, self._notice(runner_id, None))

    def _distrust_backlog(self, now: Moment) -> None:
        """Wait for reports that can't have piled up while the process stood still.

        Their age was right when they were sent, not when they were read.
        """
        for runner_id, record in self._records_by_id.items():
            verify_from_ms = now.monotonic_ms + BACKLOG_MS
            self._records_by_id[runner_id] = record.verify(verify_from_ms)

    def _check_times(self, now: Moment) -> Iterable[Output]:
        self._leaving.expire(now.monotonic_ms)
        yield from self._update_away(now)
        if self._first_hand_leaving and self._repeat_notices_ms <= now.monotonic_ms:
            for runner_id in sorted(self._first_hand_leaving):
                yield from self._tell(self._notice(runner_id, None))
            yield self._schedule_repeat(now)
        for runner_id, wakes in tuple(self._wakes_by_id.items()):
            if wakes.take_due(now.monotonic_ms):
                yield from self._changed(runner_id, now)

    def _update_away(
        self, now: Moment, only: RunnerId | None = None
    ) -> Iterable[Output]:
        """Find runners that left or came back; the latter are cold again."""
        runner_ids = (only,) if only is not None else tuple(self._records_by_id)
        for runner_id in runner_ids:
            record = self._records_by_id[runner_id]
            is_away = self.phase(runner_id, now) in AWAY
            if is_away != (runner_id in self._away):
                self._away ^= {runner_id}
                if not is_away:
                    record = record.turn_cold(now.monotonic_ms)
                    record = replace(record, is_returning=True)
                    self._records_by_id[runner_id] = record
                yield from self._changed(runner_id, now)
            leaves = record.leaving or runner_id in self._leaving.listed
            if leaves != (runner_id in self._first_hand_leaving):
                self._first_hand_leaving ^= {runner_id}
                yield from self._tell(self._notice(runner_id, None))
                if leaves:
                    yield self._schedule_repeat(now)

    def _changed(self, runner_id: RunnerId, now: Moment) -> Iterable[Output]:
        pool = self._pool(runner_id)
        if pool is None:
            return
        yield RunnerChanged(runner_id, pool.name)
        record = self._records_by_id[runner_id]
        if not record.is_confirmed(now.monotonic_ms):
            due_ms = record.next_change_ms(now.monotonic_ms)
            if due_ms is None:
                return
            self._wakes_by_id.setdefault(runner_id, WakeQueue()).add(due_ms)
            yield WakeAt(due_ms)

    def _schedule_repeat(self, now: Moment) -> WakeAt:
        self._repeat_notices_ms = now.monotonic_ms + NOTICE_REPEAT_MS
        return WakeAt(self._repeat_notices_ms)

    def _is_slower(self, runner_id: RunnerId, report: LoadReport) -> bool:
        level = self._token_times_by_id.setdefault(runner_id, TokenTimeLevel())
        return level.is_jump(report.token_time_us, report.running)

    def _find_leaving(self, listed: HostsListed) -> Iterable[RunnerId]:
        tables = self._tables.current()
        leaving = [one for one in listed.hosts if one.state is HostState.LEAVING]
        names = {str(one.name) for one in leaving}
        urls = {one.url.rstrip("/") for one in leaving if one.url}
        for runner_id, runner in (tables.runners_by_id if tables else {}).items():
            if runner_id in names or runner.url in urls:
                yield runner_id

    def _may_tell(self, runner_id: RunnerId, now: Moment) -> bool:
        last_ms = self._noticed_ms_by_id.get(runner_id)
        if last_ms is not None and now.monotonic_ms - last_ms < EVIDENCE_NOTICE_GAP_MS:
            return False
        self._noticed_ms_by_id[runner_id] = now.monotonic_ms
        return True

    def _tell_evidence(
        self, runner_id: RunnerId, evidence: ColdEvidence
    ) -> Iterable[Output]:
        yield CountEvent("runner_cold_evidence", {"evidence": evidence.value})
        yield from self._tell(self._notice(runner_id, evidence))

    def _notice(
        self, runner_id: RunnerId, evidence: ColdEvidence | None
    ) -> RunnerNotice:
        record = self._records_by_id[runner_id]
        completed = record.completed
        if evidence in (ColdEvidence.START_CHANGED, ColdEvidence.TOLD_AGAIN):
            completed = record.base or 0
        is_leaving = runner_id in self._first_hand_leaving
        return RunnerNotice(runner_id, record.start, completed, evidence, is_leaving)

    def _tell(self, notice: RunnerNotice) -> Iterable[Output]:
        if self._seats is None:
            return
        for seat in self._seats.seats:
            if seat != self._seats.own_seat:
                yield SendPeer(seat, notice)

    def _pool(self, runner_id: RunnerId) -> Pool | None:
        tables = self._tables.current()
        if tables is None or runner_id not in self._records_by_id:
            return None
        return _pool_of(tables, runner_id)


def _pool_of(tables: Tables, runner_id: RunnerId) -> Pool:
    return tables.pools_by_name[tables.runners_by_id[runner_id].pool]


def _reporting_runners(tables: Tables) -> dict[RunnerId, str]:
    return {
        runner_id: runner.url
        for runner_id, runner in tables.runners_by_id.items()
        if tables.pools_by_name[runner.pool].reports_load
    }
