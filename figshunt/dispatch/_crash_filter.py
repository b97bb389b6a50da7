"""Refuses requests whose content or prompt parts have crashed runners."""

from collections.abc import Iterable

from figshunt.directory import PublishedRunner, RunnerListed, RunnerUnlisted
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._crash_records import CrashRecords, Suspect, list_suspects
from figshunt.dispatch._effects import AnswerAbort, BroadcastStatus
from figshunt.dispatch._ended_runs import EndedRun, EndedRuns, RunEnd
from figshunt.dispatch._messages import (
    CallAdmitted,
    CallAttemptEnded,
    CallAttemptResult,
    CallEnded,
    CallRouted,
    CrashReport,
    PeerStarted,
    PeerStatusReceived,
)
from figshunt.dispatch._peer_filter import PeersView
from figshunt.dispatch._refusal import refuse_call
from figshunt.pipeline import Output
from figshunt.types import (
    ErrorCode,
    LogEvent,
    LogValue,
    Message,
    Moment,
    RunnerId,
    RunOutcome,
    Step,
    TimerDue,
)

# Suspects that the log event of one crash names.
MAX_LOGGED_SUSPECTS = 8

RETRY_AFTER_MS = 5_000

# Standing facts are told to a new host by this many others, since datagrams may be
# lost and hosts may be gone.
TELLERS = 3

# Ends of runs that leave open whether their runner has survived them.
OPEN_ENDS_BY_RESULT = {
    CallAttemptResult.LOST: RunEnd.LOST,
    CallAttemptResult.INVALID_ANSWER: RunEnd.GIVEN_UP,
    CallAttemptResult.STALLED: RunEnd.GIVEN_UP,
    CallAttemptResult.ABANDONED: RunEnd.GIVEN_UP,
}

# Results that prove that the runner was alive after the start of the attempt.
ANSWERED_RESULTS = frozenset(
    {
        CallAttemptResult.SERVED,
        CallAttemptResult.RUNNER_ERROR,
        CallAttemptResult.REFUSED,
    }
)


class CrashFilter:
    """Refuses contents and prompt parts that were running at runners which crashed.

    A runner counts as crashed if runs there ended without an answer and it is then
    unreachable, replaced by another process at its address or with its id, or no
    longer listed, or if a peer finds it silent or unreachable. An answer to a later
    request proves that it survived. Crashes and what is refused are told to all peers,
    and the latter also to hosts that start later. A request is checked again before
    it is repeated.
    """

    step = Step.QUARANTINE
    accepts: tuple[type[Message], ...] = (
        CallRouted,
        CallAdmitted,
        CallAttemptEnded,
        PeerStarted,
        PeerStatusReceived,
        RunnerListed,
        RunnerUnlisted,
        TimerDue,
    )

    def __init__(self, peers: PeersView) -> None:
        self._peers = peers
        self._ended_runs = EndedRuns()
        self._records = CrashRecords()
        self._entries_by_id: dict[RunnerId, PublishedRunner] = {}

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case CallRouted(routed):
                yield from self._admit(routed, now)
                return
            case CallAdmitted(routed):
                yield from self._admit(routed, now)
                return
            case PeerStarted():
                yield from self._tell_quarantined(now)
                return
            case CallAttemptEnded():
                yield from self._record_result(message, now)
            case PeerStatusReceived(status):
                for notice in status.silences:
                    yield from self._record_crash(notice.runner_id, now)
                for report in status.crash_reports:
                    time_ms = now.monotonic_ms - report.age_ms
                    yield from self._add_crash(
                        report.suspect, report.crash, time_ms, now
                    )
                for suspect in status.quarantined:
                    yield from self._quarantine(suspect, now)
                yield from self._log_cleared(self._records.clear(status.cleared))
            case RunnerListed(_, runner_id, runner):
                if runner is not None:
                    yield from self._record_entry(runner, now)
            case RunnerUnlisted(_, runner_id, after_outage):
                if not after_outage:
                    yield from self._record_removal(runner_id, now)
            case TimerDue():
                for run in self._ended_runs.take_expired(now.monotonic_ms):
                    if run.end is RunEnd.UNDELIMITED:
                        yield from self._record_success(run.suspects, now)
        yield message

    def _admit(self, routed: RoutedCall, now: Moment) -> Iterable[Output]:
        """Pass a call on, for the first time or again, or end it."""
        quarantined = [
            suspect
            for suspect in list_suspects(routed.call)
            if self._records.is_quarantined(suspect, now.monotonic_ms)
        ]
        if not quarantined:
            yield CallAdmitted(routed)
        elif routed.answer_started:
            yield AnswerAbort(routed.call_id)
            yield LogEvent("answer_broken", self.step, {"request": routed.call_id})
            yield CallEnded(routed)
        else:
            may_have_run = bool(routed.possible_runs)
            yield from refuse_call(
                routed.call_id,
                ErrorCode.RUNNER_FAILED if may_have_run else ErrorCode.QUARANTINED,
                self.step,
                RunOutcome.MAY_HAVE_RUN if may_have_run else RunOutcome.NOT_RUN,
                retry_after_ms=None if may_have_run else RETRY_AFTER_MS,
                suspect=quarantined[0].kind.value,
                fingerprint=quarantined[0].fingerprint,
                crashes=",".join(self._records.crashes(quarantined[0])),
            )
            yield CallEnded(routed)

    def _record_result(
        self, attempt: CallAttemptEnded, now: Moment
    ) -> Iterable[Output]:
        suspects = tuple(list_suspects(attempt.routed.call))
        runner_id, result = attempt.runner_id, attempt.result
        end = OPEN_ENDS_BY_RESULT.get(result)
        if result is CallAttemptResult.SERVED and not attempt.is_delimited:
            end = RunEnd.UNDELIMITED
        if result is CallAttemptResult.UNREACHABLE or attempt.is_wrong_runner:
            yield from self._record_crash(runner_id, now)
        elif result in ANSWERED_RESULTS:
            runs = self._ended_runs.take_survived(runner_id, attempt.started_ms)
            for run in runs:
                if run.end is RunEnd.UNDELIMITED:
                    yield from self._record_success(run.suspects, now)
        if end is not None:
            entry = self._entries_by_id.get(runner_id)
            process = f"{runner_id}/{entry.started_wall_ms if entry else None}"
            self._ended_runs.add(
                EndedRun(suspects, runner_id, process, end, now.monotonic_ms)
            )
        elif result is CallAttemptResult.SERVED:
            yield from self._record_success(suspects, now)

    def _record_success(
        self, suspects: Iterable[Suspect], now: Moment
    ) -> Iterable[Output]:
        cleared = self._records.record_success(suspects, now.monotonic_ms)
        if cleared:
            yield BroadcastStatus(cleared=tuple(cleared))
        yield from self._log_cleared(cleared)

    def _record_entry(self, runner: PublishedRunner, now: Moment) -> Iterable[Output]:
        """Record the crash of a process that this one replaces."""
        runner_id = runner.runner_id
        previous = self._entries_by_id.get(runner_id)
        if previous and previous.started_wall_ms != runner.started_wall_ms:
            yield from self._record_crash(runner_id, now)
        for other_id in self._ended_runs.runner_ids() - {runner_id}:
            other = self._entries_by_id.get(other_id)
            if other is not None and other.address == runner.address:
                yield from self._record_crash(other_id, now)
        self._entries_by_id[runner_id] = runner

    def _record_removal(self, runner_id: RunnerId, now: Moment) -> Iterable[Output]:
        """Record a crash unless the runner was leaving."""
        entry = self._entries_by_id.pop(runner_id, None)
        if entry is not None and not entry.is_leaving:
            yield from self._record_crash(runner_id, now)

    def _record_crash(self, runner_id: RunnerId, now: Moment) -> Iterable[Output]:
        runs = self._ended_runs.take_crashed(runner_id, now.monotonic_ms)
        if not runs:
            return
        crash = runs[0].process
        lost_ms_by_suspect = {
            suspect: run.ended_ms for run in runs for suspect in run.suspects
        }
        suspects = self._records.in_order_of_suspicion(lost_ms_by_suspect)
        fields: dict[str, LogValue] = {
            "runner": runner_id,
            "requests": len(runs),
            "suspects": len(suspects),
            "most_suspect": ",".join(
                f"{suspect.kind.value}:{suspect.fingerprint}"
                f":{len(self._records.crashes(suspect)) + 1}"
                for suspect in suspects[:MAX_LOGGED_SUSPECTS]
            ),
        }
        yield LogEvent("runner_crashed", self.step, fields)
        yield BroadcastStatus(
            crash_reports=tuple(
                CrashReport(
                    suspect, crash, now.monotonic_ms - lost_ms_by_suspect[suspect]
                )
                for suspect in suspects
            )
        )
        for suspect in suspects:
            yield from self._add_crash(suspect, crash, lost_ms_by_suspect[suspect], now)

    def _add_crash(
        self, suspect: Suspect, crash: str, time_ms: int, now: Moment
    ) -> Iterable[Output]:
        if not self._records.record_crash(suspect, crash, time_ms):
            return
        yield from self._quarantine(suspect, now)
        cleared = self._records.clear(self._records.find_explained(suspect))
        yield BroadcastStatus(quarantined=(suspect,), cleared=tuple(cleared))
        yield from self._log_cleared(cleared)

    def _quarantine(self, suspect: Suspect, now: Moment) -> Iterable[Output]:
        if self._records.quarantine(suspect, now.monotonic_ms):
            yield LogEvent(
                "quarantined",
                self.step,
                {
                    "suspect": suspect.kind.value,
                    "fingerprint": suspect.fingerprint,
                    "crashes": ",".join(self._records.crashes(suspect)),
                },
            )

    def _log_cleared(self, suspects: Iterable[Suspect]) -> Iterable[Output]:
        for suspect in suspects:
            yield LogEvent(
                "suspect_cleared",
                self.step,
                {"suspect": suspect.kind.value, "fingerprint": suspect.fingerprint},
            )

    def _tell_quarantined(self, now: Moment) -> Iterable[Output]:
        """Tell what is refused, as a host has started or was not heard for a while."""
        quarantined = self._records.quarantined(now.monotonic_ms)
        if quarantined and self._peers.is_among_first(TELLERS):
            yield BroadcastStatus(quarantined=quarantined)
