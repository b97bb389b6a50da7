"""Tracks the state of each runner."""

import heapq
from collections.abc import Iterable
from dataclasses import replace

from figshunt.control._leaving_notices import LEAVING_NOTICE_TTL_MS, LeavingNotices
from figshunt.control._runner_record import MAX_REPORT_AGE_MS, RunnerRecord
from figshunt.control._token_time import TokenTimeMonitor
from figshunt.control._views import RunnerStatus, SeatsView, TablesView
from figshunt.pipeline import Output
from figshunt.tables import Pool, Tables
from figshunt.types import (
    ClockJumped,
    ColdEvidence,
    CountEvent,
    HostListReceived,
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

REPORT_BACKLOG_MS = 1_000
NOTICE_REPEAT_INTERVAL_MS = 3_000
# A host with a bad link loses its connection to a runner repeatedly. Its peers
# observe the runner themselves, so they don't need a notice each time.
MIN_EVIDENCE_NOTICE_INTERVAL_MS = 10_000
CONNECTION_EVIDENCE = frozenset(
    {
        ColdEvidence.CONNECTION_REFUSED,
        ColdEvidence.CONNECTION_RESET,
        ColdEvidence.REPORTS_LOST,
    }
)
EXCLUDED_PHASES = (RunnerPhase.OUT, RunnerPhase.LEAVING)


class RunnerFilter:
    """Owns runner records and offers them as a ``RunnersView``.

    The limit grows from the cold limit with the work that the runner has
    completed since its start or the last cold evidence. The number of
    completions comes from the runner's own report, so every host computes the
    same limit, and an older report only yields a lower one. A runner that
    doesn't report load gives no evidence of being warm and stays at its cold
    limit.
    """

    step = Step.RUNNER
    accepts: tuple[type[Message], ...] = (
        LoadReported,
        RunnerUnreachable,
        HostListReceived,
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
        self._token_time_monitors_by_id: dict[RunnerId, TokenTimeMonitor] = {}
        self._leaving_notices = LeavingNotices()
        self._excluded_ids: set[RunnerId] = set()
        self._locally_leaving_ids: set[RunnerId] = set()
        self._evidence_notice_ms_by_id: dict[RunnerId, int] = {}
        self._scheduled_checks: list[tuple[int, RunnerId]] = []
        self._scheduled_check_keys: set[tuple[int, RunnerId]] = set()
        self._next_repeat_ms = 0

    def phase(self, runner_id: RunnerId, now: Moment) -> RunnerPhase:
        """Return the runner's phase, ``LOST`` for an unknown runner."""
        tables = self._tables.current()
        record = self._records_by_id.get(runner_id)
        if tables is None or record is None or runner_id not in tables.runners_by_id:
            return RunnerPhase.LOST
        if tables.is_data_centre_out(runner_id):
            return RunnerPhase.OUT
        if self._leaving_notices.is_leaving(runner_id) or record.leaving:
            return RunnerPhase.LEAVING
        return record.observed_phase(_get_pool(tables, runner_id), now.monotonic_ms)

    def limit(self, runner_id: RunnerId, now: Moment) -> int:
        """Return how many requests the runner may run at once, over all hosts."""
        return self.status(runner_id, now).limit

    def status(self, runner_id: RunnerId, now: Moment) -> RunnerStatus:
        """Return the complete state of the runner."""
        phase = self.phase(runner_id, now)
        tables = self._tables.current()
        record = self._records_by_id.get(runner_id)
        if tables is None or record is None or phase is RunnerPhase.LOST:
            limit = 0
        elif phase in EXCLUDED_PHASES or (
            record.may_exceed_limit and record.base is not None
        ):
            limit = 0
        else:
            limit = record.current_limit(_get_pool(tables, runner_id), now.monotonic_ms)
        if record is None:
            return RunnerStatus(phase, limit, None, 0, None, 0, now.monotonic_ms + 1)
        is_confirmed = record.is_confirmed(now.monotonic_ms)
        return RunnerStatus(
            phase=phase,
            limit=limit,
            start=record.start if is_confirmed else None,
            base=record.base or 0,
            report=record.report if is_confirmed else None,
            measured_ms=record.measured_ms,
            valid_until_ms=(
                record.next_change_ms(now.monotonic_ms)
                or now.monotonic_ms + MAX_REPORT_AGE_MS
            ),
        )

    def report(self, runner_id: RunnerId) -> LoadReport | None:
        """Return the last load report since the runner was last unreachable."""
        record = self._records_by_id.get(runner_id)
        return record.report if record else None

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        if isinstance(message, ClockJumped):
            self._reject_backlog(now)
        yield message
        match message:
            case ClockJumped():
                for runner_id in self._records_by_id:
                    yield from self._emit_change(runner_id, now)
            case LoadReported(runner_id, report):
                yield from self._add_report(runner_id, report, now)
            case RunnerUnreachable(runner_id, evidence):
                yield from self._handle_unreachable(runner_id, evidence, now)
            case HostListReceived():
                self._leaving_notices.set_listed_runner_ids(
                    self._find_listed_leaving(message)
                )
                yield from self._update_excluded(now)
            case TablesInForce(tables):
                yield from self._apply_tables(tables, now)
            case PeerReceived(seat, RunnerNotice() as notice):
                yield from self._apply_notice(seat, notice, now)
            case PeerConnected(seat):
                yield from self._send_notices(seat, now)
            case TimerDue():
                yield from self._handle_timer(now)

    def _add_report(
        self, runner_id: RunnerId, report: LoadReport, now: Moment
    ) -> Iterable[Output]:
        pool = self._find_pool(runner_id)
        if pool is None:
            return
        previous_record = self._records_by_id[runner_id]
        measured_ms = now.monotonic_ms - report.age_ms
        updated_record = previous_record.add_report(report, measured_ms, pool)
        evidence = None
        if (
            updated_record.start != previous_record.start
            and previous_record.start is not None
        ):
            evidence = ColdEvidence.START_CHANGED
            self._token_time_monitors_by_id.pop(runner_id, None)
        if updated_record.report is report and self._is_token_time_jump(
            runner_id, report
        ):
            evidence = ColdEvidence.TOKEN_TIME_JUMP
            updated_record = updated_record.with_cold_evidence(measured_ms).add_report(
                report, measured_ms, pool
            )
        self._records_by_id[runner_id] = updated_record
        if evidence is not None:
            yield from self._send_evidence(runner_id, evidence)
        yield from self._update_excluded(now, runner_id)
        yield from self._emit_change(runner_id, now)

    def _handle_unreachable(
        self, runner_id: RunnerId, evidence: ColdEvidence, now: Moment
    ) -> Iterable[Output]:
        record = self._records_by_id.get(runner_id)
        if record is None:
            return
        had_report = record.report is not None
        if had_report and self._may_send_evidence(runner_id, now):
            yield from self._send_evidence(runner_id, evidence)
        record = record.with_cold_evidence(now.monotonic_ms)
        if evidence is ColdEvidence.CONNECTION_REFUSED:
            record = replace(record, refused_ms=now.monotonic_ms)
        self._records_by_id[runner_id] = record
        yield from self._emit_change(runner_id, now)

    def _apply_tables(self, tables: Tables, now: Moment) -> Iterable[Output]:
        is_first_revision = not self._records_by_id
        for runner_id in tuple(self._records_by_id):
            if runner_id not in tables.runners_by_id:
                del self._records_by_id[runner_id]
                self._token_time_monitors_by_id.pop(runner_id, None)
                self._evidence_notice_ms_by_id.pop(runner_id, None)
                self._excluded_ids.discard(runner_id)
                self._locally_leaving_ids.discard(runner_id)
        for runner_id in tables.runners_by_id:
            if runner_id not in self._records_by_id:
                self._records_by_id[runner_id] = RunnerRecord(
                    cold_since_ms=now.monotonic_ms,
                    unconfirmed_since_ms=now.monotonic_ms,
                    discounts_first_report=not is_first_revision,
                )
        yield WatchRunners(_reporting_runners(tables))
        yield from self._update_excluded(now)
        for runner_id in tables.runners_by_id:
            yield from self._emit_change(runner_id, now)

    def _apply_notice(
        self, seat: SeatNumber, notice: RunnerNotice, now: Moment
    ) -> Iterable[Output]:
        runner_id = notice.runner_id
        pool = self._find_pool(runner_id)
        if pool is None:
            return
        expiry_ms = now.monotonic_ms + LEAVING_NOTICE_TTL_MS if notice.leaving else None
        self._leaving_notices.set_peer_notice(runner_id, seat, expiry_ms)
        record = self._records_by_id[runner_id]
        if notice.evidence is not None and notice.start not in record.retired_starts:
            if notice.start != record.start or notice.evidence in CONNECTION_EVIDENCE:
                record = record.require_report_since(now.monotonic_ms)
            else:
                record = record.raise_base(notice.completed, pool)
            self._records_by_id[runner_id] = record
        yield from self._update_excluded(now, runner_id)
        yield from self._emit_change(runner_id, now)
        if expiry_ms is not None:
            yield WakeAt(expiry_ms)

    def _send_notices(self, seat: SeatNumber, now: Moment) -> Iterable[Output]:
        for runner_id, record in self._records_by_id.items():
            has_cold_evidence = bool(record.base) and record.report is not None
            if has_cold_evidence and self.phase(runner_id, now) is not RunnerPhase.WARM:
                notice = self._build_notice(runner_id, ColdEvidence.REPEATED_NOTICE)
                yield SendPeer(seat, notice)
            elif runner_id in self._locally_leaving_ids:
                yield SendPeer(seat, self._build_notice(runner_id, None))

    def _reject_backlog(self, now: Moment) -> None:
        """Don't let reports that were buffered during a pause confirm a warm-up.

        The age in such a report was correct when the report was sent, not when
        it is read. Only reports measured at least ``REPORT_BACKLOG_MS`` after
        the pause confirm the warm-up again.
        """
        for runner_id, record in self._records_by_id.items():
            min_measured_ms = now.monotonic_ms + REPORT_BACKLOG_MS
            self._records_by_id[runner_id] = record.require_report_since(
                min_measured_ms
            )

    def _handle_timer(self, now: Moment) -> Iterable[Output]:
        for runner_id in self._leaving_notices.expire(now.monotonic_ms):
            if runner_id in self._records_by_id:
                yield from self._update_excluded(now, runner_id)
        if self._locally_leaving_ids and self._next_repeat_ms <= now.monotonic_ms:
            for runner_id in sorted(self._locally_leaving_ids):
                yield from self._notify_peers(self._build_notice(runner_id, None))
            yield self._schedule_notice_repeat(now)
        while (
            self._scheduled_checks and self._scheduled_checks[0][0] <= now.monotonic_ms
        ):
            due_check = heapq.heappop(self._scheduled_checks)
            self._scheduled_check_keys.discard(due_check)
            yield from self._emit_change(due_check[1], now)

    def _update_excluded(
        self, now: Moment, only_id: RunnerId | None = None
    ) -> Iterable[Output]:
        """Update the excluded and leaving runners; returning runners become cold."""
        runner_ids = (only_id,) if only_id is not None else tuple(self._records_by_id)
        for runner_id in runner_ids:
            record = self._records_by_id[runner_id]
            is_excluded = self.phase(runner_id, now) in EXCLUDED_PHASES
            if is_excluded != (runner_id in self._excluded_ids):
                self._excluded_ids ^= {runner_id}
                if not is_excluded:
                    record = record.with_cold_evidence(now.monotonic_ms)
                    record = replace(record, discounts_first_report=True)
                    self._records_by_id[runner_id] = record
                yield from self._emit_change(runner_id, now)
            is_locally_leaving = (
                record.leaving or runner_id in self._leaving_notices.listed_runner_ids
            )
            if is_locally_leaving != (runner_id in self._locally_leaving_ids):
                self._locally_leaving_ids ^= {runner_id}
                yield from self._notify_peers(self._build_notice(runner_id, None))
                if is_locally_leaving:
                    yield self._schedule_notice_repeat(now)

    def _emit_change(self, runner_id: RunnerId, now: Moment) -> Iterable[Output]:
        pool = self._find_pool(runner_id)
        if pool is None:
            return
        yield RunnerChanged(runner_id, pool.name)
        record = self._records_by_id[runner_id]
        if not record.is_confirmed(now.monotonic_ms):
            due_ms = record.next_change_ms(now.monotonic_ms)
            if due_ms is None:
                return
            if (due_ms, runner_id) not in self._scheduled_check_keys:
                self._scheduled_check_keys.add((due_ms, runner_id))
                heapq.heappush(self._scheduled_checks, (due_ms, runner_id))
                yield WakeAt(due_ms)

    def _schedule_notice_repeat(self, now: Moment) -> WakeAt:
        self._next_repeat_ms = now.monotonic_ms + NOTICE_REPEAT_INTERVAL_MS
        return WakeAt(self._next_repeat_ms)

    def _is_token_time_jump(self, runner_id: RunnerId, report: LoadReport) -> bool:
        monitor = self._token_time_monitors_by_id.setdefault(
            runner_id, TokenTimeMonitor()
        )
        return monitor.detect_jump(report.token_time_us, report.running)

    def _find_listed_leaving(self, host_list: HostListReceived) -> Iterable[RunnerId]:
        tables = self._tables.current()
        leaving_hosts = [
            host for host in host_list.hosts if host.state is HostState.LEAVING
        ]
        leaving_names = {str(host.name) for host in leaving_hosts}
        leaving_urls = {host.url.rstrip("/") for host in leaving_hosts if host.url}
        for runner_id, runner in (tables.runners_by_id if tables else {}).items():
            if runner_id in leaving_names or runner.url in leaving_urls:
                yield runner_id

    def _may_send_evidence(self, runner_id: RunnerId, now: Moment) -> bool:
        last_notice_ms = self._evidence_notice_ms_by_id.get(runner_id)
        if (
            last_notice_ms is not None
            and now.monotonic_ms - last_notice_ms < MIN_EVIDENCE_NOTICE_INTERVAL_MS
        ):
            return False
        self._evidence_notice_ms_by_id[runner_id] = now.monotonic_ms
        return True

    def _send_evidence(
        self, runner_id: RunnerId, evidence: ColdEvidence
    ) -> Iterable[Output]:
        yield CountEvent("runner_cold_evidence", {"evidence": evidence.value})
        yield from self._notify_peers(self._build_notice(runner_id, evidence))

    def _build_notice(
        self, runner_id: RunnerId, evidence: ColdEvidence | None
    ) -> RunnerNotice:
        record = self._records_by_id[runner_id]
        completed = record.completed
        if evidence in (ColdEvidence.START_CHANGED, ColdEvidence.REPEATED_NOTICE):
            completed = record.base or 0
        is_leaving = runner_id in self._locally_leaving_ids
        return RunnerNotice(runner_id, record.start, completed, evidence, is_leaving)

    def _notify_peers(self, notice: RunnerNotice) -> Iterable[Output]:
        if self._seats is None:
            return
        for seat in self._seats.seats:
            if seat != self._seats.own_seat:
                yield SendPeer(seat, notice)

    def _find_pool(self, runner_id: RunnerId) -> Pool | None:
        tables = self._tables.current()
        if tables is None or runner_id not in self._records_by_id:
            return None
        return _get_pool(tables, runner_id)


def _get_pool(tables: Tables, runner_id: RunnerId) -> Pool:
    return tables.pools_by_name[tables.runners_by_id[runner_id].pool]


def _reporting_runners(tables: Tables) -> dict[RunnerId, str]:
    return {
        runner_id: runner.url
        for runner_id, runner in tables.runners_by_id.items()
        if tables.pools_by_name[runner.pool].reports_load
    }
