"""Refuses requests whose content or prompt parts have crashed runners."""

from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from typing import Protocol

from figshunt.directory import PublishedRunner, RunnerListed, RunnerUnlisted
from figshunt.dispatch._call import Call, RoutedCall
from figshunt.dispatch._effects import AnswerAbort, BroadcastStatus
from figshunt.dispatch._messages import (
    CallAdmitted,
    CallAttemptEnded,
    CallAttemptResult,
    CallEnded,
    CallRouted,
    HostStatus,
    PeerStarted,
    PeerStatusReceived,
)
from figshunt.dispatch.admission._crash_records import CrashRecords, list_suspects
from figshunt.dispatch.admission._ended_runs import (
    ANSWERED_ENDS,
    EndedRun,
    EndedRuns,
    RunEnd,
)
from figshunt.dispatch.admission._refusal import refuse_call
from figshunt.dispatch.admission._suspect import Suspect, SuspectKind
from figshunt.dispatch.admission._suspect_record import SuspectRecord, Witness
from figshunt.dispatch.admission._trial_turns import is_own_turn
from figshunt.dispatch.fleet._peer_filter import PeersView
from figshunt.pipeline import Output
from figshunt.types import (
    CountEvent,
    ErrorCode,
    HostName,
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

# Bounds of the time after which a refused caller should return. It is back soon after
# the next trial, if that comes within a time for which callers wait at all.
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000

# Hosts that tell a new one, or one that has missed something, what they know. These
# are several, since datagrams may be lost and hosts may be gone.
TELLERS = 3
TELL_INTERVAL_MS = 1_000

# A crash is told again after these times, as it is told by datagrams.
REPEAT_DELAYS_MS = (500, 2_000)
MAX_REPEATS = 256

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


class RefusalsView(Protocol):
    """Read access to what is refused."""

    def refuses(self, call: Call) -> bool:
        """Return whether a call's content or one of its prompt parts is refused."""


class CrashFilter:
    """Refuses contents and prompt parts that were running at runners which crashed.

    A runner counts as crashed if runs there ended without an answer and it is then
    unreachable, replaced by another process at its address or with its id, or no
    longer listed, or if a peer finds it silent or unreachable. An answer to a later
    request proves that it survived.

    What is known of suspects is told to all peers, also again to those whose status
    shows that they know something else. Now and then one host tries a suspect that is
    refused, with one request that is not repeated. A request is checked again before
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

    def __init__(self, host: HostName, peers: PeersView) -> None:
        self._peers = peers
        self._ended_runs = EndedRuns()
        self._records = CrashRecords(Witness(host))
        self._entries_by_id: dict[RunnerId, PublishedRunner] = {}
        self._repeats: deque[tuple[int, tuple[Suspect, ...]]] = deque(
            maxlen=MAX_REPEATS
        )
        self._told_all_ms: int | None = None

    @property
    def digest(self) -> int:
        """Return a value that is equal at hosts with the same facts; 0 for none."""
        return self._records.digest

    def refuses(self, call: Call) -> bool:
        """Return whether a call's content or one of its prompt parts is refused."""
        return any(map(self._records.is_refused, list_suspects(call)))

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
                if self._peers.is_among_first(TELLERS):
                    yield from self._tell_all(now)
                return
            case CallAttemptEnded():
                yield from self._record_result(message, now)
            case PeerStatusReceived(status):
                yield from self._merge_status(status, now)
            case RunnerListed(_, _, runner):
                if runner is not None:
                    yield from self._record_entry(runner, now)
            case RunnerUnlisted(_, runner_id, after_outage):
                if not after_outage:
                    yield from self._record_removal(runner_id, now)
            case TimerDue():
                yield from self._expire_runs(now)
                yield from self._repeat_reports(now)
        yield message

    def _admit(self, routed: RoutedCall, now: Moment) -> Iterable[Output]:
        """Pass a call on, for the first time or again, or end it."""
        refused = [
            suspect
            for suspect in list_suspects(routed.call)
            if self._records.is_refused(suspect)
        ]
        has_begun = bool(routed.possible_runs) or routed.answer_started
        if not refused or (routed.trial in refused and not has_begun):
            yield CallAdmitted(routed)
        elif len(refused) == 1 and self._may_try(refused[0], routed, now):
            yield from self._start_trial(refused[0], routed, now)
        else:
            yield from self._refuse(routed, refused[0], now)

    def _may_try(self, suspect: Suspect, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a call may serve as the trial of its only refused suspect.

        The result would be unclear if its own content were suspected as well.
        """
        record = self._records.get(suspect)
        content = Suspect(SuspectKind.CONTENT, routed.call.fingerprint)
        is_clear = suspect == content or self._records.get(content) is None
        return (
            record is not None
            and is_clear
            and not routed.tried_runner_ids
            and is_own_turn(
                record.next_trial_ms(), self._peers.rank(now), now.monotonic_ms
            )
        )

    def _start_trial(
        self, suspect: Suspect, routed: RoutedCall, now: Moment
    ) -> Iterable[Output]:
        record = self._records.get(suspect)
        assert record is not None
        record.trial_ms = now.monotonic_ms
        yield from self._tell((suspect,), now)
        yield LogEvent(
            "trial_started",
            self.step,
            {"request": routed.call_id, **_describe(suspect, record)},
        )
        yield CallAdmitted(replace(routed, trial=suspect))

    def _refuse(
        self, routed: RoutedCall, suspect: Suspect, now: Moment
    ) -> Iterable[Output]:
        if routed.answer_started:
            yield AnswerAbort(routed.call_id)
            yield LogEvent("answer_broken", self.step, {"request": routed.call_id})
            yield CallEnded(routed)
            return
        record = self._records.get(suspect)
        assert record is not None
        may_have_run = bool(routed.possible_runs)
        next_trial_ms = max(0, record.next_trial_ms() - now.monotonic_ms)
        retry_after_ms = min(MAX_RETRY_AFTER_MS, next_trial_ms + MIN_RETRY_AFTER_MS)
        yield from refuse_call(
            routed.call_id,
            ErrorCode.RUNNER_FAILED if may_have_run else ErrorCode.QUARANTINED,
            self.step,
            RunOutcome.MAY_HAVE_RUN if may_have_run else RunOutcome.NOT_RUN,
            retry_after_ms=None if may_have_run else retry_after_ms,
            **_describe(suspect, record),
            next_trial_ms=next_trial_ms,
        )
        yield CallEnded(routed)

    def _record_result(
        self, attempt: CallAttemptEnded, now: Moment
    ) -> Iterable[Output]:
        runner_id, result = attempt.runner_id, attempt.result
        end = OPEN_ENDS_BY_RESULT.get(result)
        if result is CallAttemptResult.SERVED and not attempt.is_delimited:
            end = RunEnd.UNDELIMITED
        if result is CallAttemptResult.UNREACHABLE or attempt.is_wrong_runner:
            yield from self._record_crash(runner_id, now)
        elif result in ANSWERED_RESULTS:
            runs = self._ended_runs.take_survived(runner_id, attempt.started_ms)
            yield from self._record_successes(runs, now)
        entry = self._entries_by_id.get(runner_id)
        run = EndedRun(
            tuple(list_suspects(attempt.routed.call)),
            runner_id,
            f"{runner_id}/{entry.started_wall_ms if entry else None}",
            end,
            attempt.started_ms,
            now.monotonic_ms,
        )
        if end is not None:
            self._ended_runs.add(run)
        elif result is CallAttemptResult.SERVED:
            yield from self._record_success(run, now)
        trial = attempt.routed.trial
        if trial is not None and (end or result is CallAttemptResult.SERVED):
            yield from self._end_trial(trial, end is None, now)

    def _end_trial(
        self, suspect: Suspect, has_passed: bool, now: Moment
    ) -> Iterable[Output]:
        record = self._records.get(suspect)
        if record is None:
            return
        if has_passed:
            record.passed_trials += 1
            record.trial_ms = None
        else:
            record.failed_trials += 1
        yield CountEvent("trials", {"result": "passed" if has_passed else "failed"})
        yield LogEvent(
            "trial_ended",
            self.step,
            {"has_passed": has_passed, **_describe(suspect, record)},
        )
        yield from self._judge()
        yield from self._tell((suspect,), now)

    def _record_successes(
        self, runs: Iterable[EndedRun], now: Moment
    ) -> Iterable[Output]:
        """Record the successes among runs that their runners have survived."""
        for run in runs:
            if run.end is RunEnd.UNDELIMITED:
                yield from self._record_success(run, now)

    def _record_success(self, run: EndedRun, now: Moment) -> Iterable[Output]:
        told_suspects = self._records.record_success(run.suspects, run.started_ms)
        if any(map(self._records.is_refused, run.suspects)):
            yield from self._judge()
        if told_suspects:
            yield from self._tell(told_suspects, now)

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

    def _record_crash(
        self,
        runner_id: RunnerId,
        now: Moment,
        ends: Iterable[RunEnd] = RunEnd,
    ) -> Iterable[Output]:
        runs = self._ended_runs.take_crashed(runner_id, now.monotonic_ms, ends)
        if not runs:
            return
        depths_by_suspect: dict[Suspect, int] = {}
        for run in runs:
            for depth, suspect in enumerate(run.suspects):
                depths_by_suspect[suspect] = depth
                self._records.record_crash(suspect, depth, run.process, run.ended_ms)
        fields: dict[str, LogValue] = {
            "runner": runner_id,
            "requests": len(runs),
            "suspects": len(depths_by_suspect),
            "most_suspect": self._name_most_suspect(depths_by_suspect),
        }
        yield CountEvent("runner_crashes", {})
        yield LogEvent("runner_crashed", self.step, fields)
        yield from self._judge()
        yield from self._tell(tuple(depths_by_suspect), now)
        for delay_ms in REPEAT_DELAYS_MS:
            due_ms = now.monotonic_ms + delay_ms
            self._repeats.append((due_ms, tuple(depths_by_suspect)))

    def _name_most_suspect(self, suspects: Iterable[Suspect]) -> str:
        counts = [
            (record.count(), suspect)
            for suspect in suspects
            if (record := self._records.get(suspect)) is not None
        ]
        counts.sort(key=lambda entry: -entry[0])
        return ",".join(
            f"{suspect.kind.value}:{suspect.fingerprint}:{count}"
            for count, suspect in counts[:MAX_LOGGED_SUSPECTS]
        )

    def _merge_status(self, status: HostStatus, now: Moment) -> Iterable[Output]:
        for notice in status.silences:
            # Runs are given up because their runner is silent, so a peer that finds it
            # silent as well gives no further evidence about them.
            yield from self._record_crash(notice.runner_id, now, ANSWERED_ENDS)
        witness = Witness(f"{status.host}/{status.incarnation}")
        for report in status.suspects:
            self._records.merge(report, witness, now.monotonic_ms)
        if status.suspects:
            yield from self._judge()
        elif status.suspects_digest != self._records.digest:
            yield from self._tell_different(status, now)

    def _tell_different(self, status: HostStatus, now: Moment) -> Iterable[Output]:
        """Tell a peer that knows something else what this host knows.

        Some hosts tell all others, and are told by all, so that the others need not
        tell each other.
        """
        is_due = (
            self._told_all_ms is None
            or now.monotonic_ms - self._told_all_ms >= TELL_INTERVAL_MS
        )
        is_teller = self._peers.is_among_first(TELLERS)
        if is_due and (is_teller or self._peers.is_among_first(TELLERS, status.host)):
            yield from self._tell_all(now)

    def _judge(self) -> Iterable[Output]:
        refused, cleared = self._records.judge()
        for event, suspects in (("quarantined", refused), ("suspect_cleared", cleared)):
            for suspect in suspects:
                record = self._records.get(suspect) or SuspectRecord(suspect.kind)
                yield LogEvent(event, self.step, _describe(suspect, record))

    def _tell(self, suspects: Iterable[Suspect], now: Moment) -> Iterable[Output]:
        reports = tuple(
            self._records.report(suspect, now.monotonic_ms)
            for suspect in suspects
            if self._records.get(suspect) is not None
        )
        if reports:
            yield BroadcastStatus(suspects=reports)

    def _tell_all(self, now: Moment) -> Iterable[Output]:
        self._told_all_ms = now.monotonic_ms
        reports = self._records.report_all(now.monotonic_ms)
        if reports:
            yield BroadcastStatus(suspects=reports)

    def _repeat_reports(self, now: Moment) -> Iterable[Output]:
        for repeat in tuple(self._repeats):
            due_ms, suspects = repeat
            if due_ms <= now.monotonic_ms:
                self._repeats.remove(repeat)
                yield from self._tell(suspects, now)

    def _expire_runs(self, now: Moment) -> Iterable[Output]:
        runs = self._ended_runs.take_expired(now.monotonic_ms)
        yield from self._record_successes(runs, now)


def _describe(suspect: Suspect, record: SuspectRecord) -> dict[str, str | int]:
    """Return what log events tell of a suspect."""
    return {
        "suspect": suspect.kind.value,
        "fingerprint": suspect.fingerprint,
        "crashes": ",".join(record.times_ms_by_crash),
        "successes": record.successes,
        "passed_trials": record.passed_trials,
        "failed_trials": record.failed_trials,
    }
