"""Keeps content that crashes runners away from them."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass

from figshunt.directory import RunnerListed, RunnerUnlisted
from figshunt.dispatch._effects import TellPeers
from figshunt.dispatch._messages import (
    CallAdmitted,
    CallRouted,
    PeerHeard,
    SendEnded,
    SendResult,
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

# Content that was lost with this many runners is refused: one crash may be
# another request's doing, two with the same content hardly ever are.
MOST_CRASHES = 2

# A lost connection counts as a crash if the runner proves to be gone within
# this time.
CONFIRM_MS = 5_000

# Callers repeat such a request within minutes.
REMEMBER_MS = 600_000
MOST_REMEMBERED = 1_024
MOST_LOSSES = 512

RETRY_AFTER_MS = 5_000


@dataclass(frozen=True, slots=True)
class Loss:
    """A request whose connection was lost while a runner worked on it."""

    fingerprint: Fingerprint
    runner_id: RunnerId
    at_ms: int


@dataclass(slots=True)
class CrashRecord:
    """The crashes that a piece of content was part of."""

    crashes: set[str]
    last_ms: int


class CrashFilter:
    """Refuses content that was running at two runners when they crashed.

    A runner has crashed if it lost connections and then can't be reached, is
    listed as started anew, or isn't listed any more. Crashes are told to all
    peers, so that each host refuses the content.
    """

    step = Step.QUARANTINE
    accepts: tuple[type[Message], ...] = (
        CallRouted,
        SendEnded,
        PeerHeard,
        RunnerListed,
        RunnerUnlisted,
    )

    def __init__(self) -> None:
        self._losses: deque[Loss] = deque(maxlen=MOST_LOSSES)
        self._records: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._starts_by_runner: dict[RunnerId, int | None] = {}

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case CallRouted(routed):
                record = self._records.get(routed.call.fingerprint)
                if record is None or not self._is_refused(record, now):
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
            case SendEnded(_, runner_id, routed, result):
                if result is SendResult.LOST:
                    loss = Loss(routed.call.fingerprint, runner_id, now.monotonic_ms)
                    self._losses.append(loss)
                elif result is SendResult.UNREACHABLE:
                    yield from self._confirm(runner_id, now)
            case PeerHeard(status):
                for fingerprint, crash in status.crashed:
                    self._record(fingerprint, crash, now)
            case RunnerListed(_, runner_id, runner):
                started = runner.started_wall_ms if runner else None
                held = self._starts_by_runner.get(runner_id)
                if held is not None and started != held:
                    yield from self._confirm(runner_id, now)
                self._starts_by_runner[runner_id] = started
            case RunnerUnlisted(_, runner_id):
                yield from self._confirm(runner_id, now)
                self._starts_by_runner.pop(runner_id, None)
        yield message

    def _is_refused(self, record: CrashRecord, now: Moment) -> bool:
        is_recent = now.monotonic_ms - record.last_ms < REMEMBER_MS
        return is_recent and len(record.crashes) >= MOST_CRASHES

    def _confirm(self, runner_id: RunnerId, now: Moment) -> Iterable[Output]:
        since_ms = now.monotonic_ms - CONFIRM_MS
        lost = [one for one in self._losses if one.runner_id == runner_id]
        recent = [one for one in lost if one.at_ms >= since_ms]
        for loss in lost:
            self._losses.remove(loss)
        if not recent:
            return
        start = self._starts_by_runner.get(runner_id)
        crash = f"{runner_id}/{start}"
        for loss in recent:
            self._record(loss.fingerprint, crash, now)
        yield LogEvent(
            "runner_crashed",
            self.step,
            {"runner": runner_id, "requests": len(recent)},
        )
        yield TellPeers(crashed=tuple((loss.fingerprint, crash) for loss in recent))

    def _record(self, fingerprint: Fingerprint, crash: str, now: Moment) -> None:
        record = self._records.setdefault(
            fingerprint, CrashRecord(set(), now.monotonic_ms)
        )
        record.crashes.add(crash)
        record.last_ms = now.monotonic_ms
        self._records.move_to_end(fingerprint)
        while len(self._records) > MOST_REMEMBERED:
            self._records.popitem(last=False)
