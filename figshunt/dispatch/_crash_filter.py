"""Refuses requests whose content has crashed runners."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass

from figshunt.directory import RunnerListed, RunnerUnlisted
from figshunt.dispatch._effects import BroadcastStatus
from figshunt.dispatch._messages import (
    CallAdmitted,
    CallAttemptEnded,
    CallAttemptResult,
    CallRouted,
    PeerStatusReceived,
)
from figshunt.dispatch._refusal import refuse_call
from figshunt.pipeline import Output
from figshunt.types import (
    ErrorCode,
    Fingerprint,
    LogEvent,
    Message,
    Moment,
    RunnerId,
    RunOutcome,
    Step,
)

# Content is refused after it was running during this many runner crashes. One
# crash may be caused by another request, but two crashes with the same content
# are very unlikely to be.
QUARANTINE_CRASHES = 2

# A lost connection counts as a crash if the runner is found to be gone within
# this time.
CRASH_CONFIRMATION_MS = 5_000

# Callers retry such a request within minutes.
QUARANTINE_MS = 600_000
MAX_RECORDS = 1_024
MAX_LOSSES = 512

RETRY_AFTER_MS = 5_000


@dataclass(frozen=True, slots=True)
class ConnectionLoss:
    """A request whose connection was lost while a runner processed it."""

    fingerprint: Fingerprint
    runner_id: RunnerId
    lost_ms: int


@dataclass(slots=True)
class CrashRecord:
    """The runner crashes during which a request content was running."""

    crashes: set[str]
    last_crash_ms: int


class CrashFilter:
    """Refuses content that was running at two runners when they crashed.

    A runner counts as crashed if connections to it were lost and it is then
    unreachable, listed with a new start time, or no longer listed. Crashes are
    sent to all peers so that every host refuses the content.
    """

    step = Step.QUARANTINE
    accepts: tuple[type[Message], ...] = (
        CallRouted,
        CallAttemptEnded,
        PeerStatusReceived,
        RunnerListed,
        RunnerUnlisted,
    )

    def __init__(self) -> None:
        self._losses: deque[ConnectionLoss] = deque(maxlen=MAX_LOSSES)
        self._records: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._starts_by_runner: dict[RunnerId, int | None] = {}

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case CallRouted(routed):
                record = self._records.get(routed.call.fingerprint)
                if record is None or not self._is_quarantined(record, now):
                    yield CallAdmitted(routed)
                    return
                yield from refuse_call(
                    routed.call_id,
                    ErrorCode.QUARANTINED,
                    self.step,
                    RunOutcome.NOT_RUN,
                    retry_after_ms=RETRY_AFTER_MS,
                    crashes=len(record.crashes),
                )
                return
            case CallAttemptEnded(_, runner_id, routed, result):
                if result is CallAttemptResult.LOST:
                    loss = ConnectionLoss(
                        routed.call.fingerprint, runner_id, now.monotonic_ms
                    )
                    self._losses.append(loss)
                elif result is CallAttemptResult.UNREACHABLE:
                    yield from self._record_crash(runner_id, now)
            case PeerStatusReceived(status):
                for fingerprint, crash in status.crash_reports:
                    self._add_crash(fingerprint, crash, now)
            case RunnerListed(_, runner_id, runner):
                start = runner.started_wall_ms if runner else None
                previous_start = self._starts_by_runner.get(runner_id)
                if previous_start is not None and start != previous_start:
                    yield from self._record_crash(runner_id, now)
                self._starts_by_runner[runner_id] = start
            case RunnerUnlisted(_, runner_id):
                yield from self._record_crash(runner_id, now)
                self._starts_by_runner.pop(runner_id, None)
        yield message

    def _is_quarantined(self, record: CrashRecord, now: Moment) -> bool:
        is_recent = now.monotonic_ms - record.last_crash_ms < QUARANTINE_MS
        return is_recent and len(record.crashes) >= QUARANTINE_CRASHES

    def _record_crash(self, runner_id: RunnerId, now: Moment) -> Iterable[Output]:
        since_ms = now.monotonic_ms - CRASH_CONFIRMATION_MS
        losses = [loss for loss in self._losses if loss.runner_id == runner_id]
        recent_losses = [loss for loss in losses if loss.lost_ms >= since_ms]
        for loss in losses:
            self._losses.remove(loss)
        if not recent_losses:
            return
        start = self._starts_by_runner.get(runner_id)
        crash = f"{runner_id}/{start}"
        for loss in recent_losses:
            self._add_crash(loss.fingerprint, crash, now)
        yield LogEvent(
            "runner_crashed",
            self.step,
            {"runner": runner_id, "requests": len(recent_losses)},
        )
        yield BroadcastStatus(
            crash_reports=tuple((loss.fingerprint, crash) for loss in recent_losses)
        )

    def _add_crash(self, fingerprint: Fingerprint, crash: str, now: Moment) -> None:
        record = self._records.setdefault(
            fingerprint, CrashRecord(set(), now.monotonic_ms)
        )
        record.crashes.add(crash)
        record.last_crash_ms = now.monotonic_ms
        self._records.move_to_end(fingerprint)
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
