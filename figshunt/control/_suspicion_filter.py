"""Finds content that crashes the runners that run it."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from figshunt.control._views import SeatsView
from figshunt.pipeline import Output
from figshunt.types import (
    AttemptEnded,
    AttemptFailure,
    ColdEvidence,
    Crash,
    Fingerprint,
    LoadReported,
    LogEvent,
    Message,
    Moment,
    PeerConnected,
    PeerReceived,
    RunnerId,
    RunnerUnreachable,
    SendPeer,
    StartIdentity,
    Step,
    SuspicionNotice,
)

MOST_ENTRIES = 1_024
EXPIRY_MS = 600_000
CRASHES_TO_QUARANTINE = 2
# Reports from before a crash may still arrive after the loss was noticed here
# or told by a peer; they must not pass for a runner that is still running.
CUT_OFF_AFTER_MS = 1_000
UNKNOWN_START = StartIdentity("")


class Suspicion(Enum):
    """How content may be run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class SuspicionView(Protocol):
    """What is suspected of which content."""

    def suspicion(self, fingerprint: Fingerprint, now: Moment) -> Suspicion:
        """Return how content may be run."""

    def may_retry(self, fingerprint: Fingerprint) -> bool:
        """Return whether one more attempt can't be the third lost runner."""


@dataclass(frozen=True, slots=True)
class SuspicionEntry:
    """What is held of one fingerprint.

    ``losses`` are runners lost while the content ran, ``crashes`` those of
    them that are known to have crashed rather than been cut off.
    """

    losses: frozenset[Crash]
    crashes: frozenset[Crash]
    changed_ms: int


class SuspicionFilter:
    """Owns suspected fingerprints and offers them as a ``SuspicionView``.

    A lost connection makes the content a suspect at once. It counts as a
    crash only when the runner refuses connections or comes back with another
    start identity; when it still has the same one a second later, the
    connection was cut and the suspicion is dropped. Peers are told of losses
    at once and settle them by the reports that they receive themselves. Holds
    at most ``MOST_ENTRIES`` fingerprints; the oldest are evicted, which lets
    such content crash one more runner than the bound.
    """

    step = Step.SUSPICION
    accepts: tuple[type[Message], ...] = (
        AttemptEnded,
        LoadReported,
        RunnerUnreachable,
        PeerReceived,
        PeerConnected,
    )

    def __init__(self, seats: SeatsView) -> None:
        self._seats = seats
        self._entries_by_fingerprint: OrderedDict[Fingerprint, SuspicionEntry] = (
            OrderedDict()
        )
        self._starts_by_runner: dict[RunnerId, StartIdentity] = {}

    def suspicion(self, fingerprint: Fingerprint, now: Moment) -> Suspicion:
        """Return how content may be run."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or now.monotonic_ms - entry.changed_ms > EXPIRY_MS:
            return Suspicion.CLEAR
        if len(entry.crashes) >= CRASHES_TO_QUARANTINE:
            return Suspicion.QUARANTINED
        return Suspicion.SUSPECT if entry.losses else Suspicion.CLEAR

    def may_retry(self, fingerprint: Fingerprint) -> bool:
        """Return whether one more attempt can't be the third lost runner."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        return entry is None or len(entry.losses) < CRASHES_TO_QUARANTINE

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case AttemptEnded():
                yield from self._attempt_ended(message, now)
            case RunnerUnreachable(runner_id, ColdEvidence.CONNECTION_REFUSED):
                yield from self._confirm(runner_id, None, now)
            case LoadReported(runner_id, report):
                yield from self._runner_reported(runner_id, report.start, now)
            case PeerReceived(_, SuspicionNotice() as notice):
                yield from self._merge(notice, now)
                return
            case PeerConnected(seat):
                for fingerprint in self._entries_by_fingerprint:
                    yield SendPeer(seat, self._notice(fingerprint))
        yield message

    def _attempt_ended(self, ended: AttemptEnded, now: Moment) -> Iterable[Output]:
        fingerprint = ended.routed.request.fingerprint
        if ended.failure is None:
            if self._entries_by_fingerprint.pop(fingerprint, None):
                yield LogEvent(
                    "suspicion_cleared", self.step, {"fingerprint": fingerprint}
                )
                yield from self._tell(SuspicionNotice(fingerprint, (), (), True))
        elif ended.failure is AttemptFailure.CONNECTION_LOST:
            start = self._starts_by_runner.get(ended.runner_id, UNKNOWN_START)
            loss = Crash(ended.runner_id, start)
            entry = self._entry(fingerprint, now)
            self._hold(fingerprint, replace(entry, losses=entry.losses | {loss}), now)
            yield LogEvent(
                "content_suspected",
                self.step,
                {"fingerprint": fingerprint, "runner": ended.runner_id},
            )
            yield from self._tell(self._notice(fingerprint))

    def _runner_reported(
        self, runner_id: RunnerId, start: StartIdentity, now: Moment
    ) -> Iterable[Output]:
        self._starts_by_runner[runner_id] = start
        yield from self._confirm(runner_id, start, now)

    def _confirm(
        self, runner_id: RunnerId, new_start: StartIdentity | None, now: Moment
    ) -> Iterable[Output]:
        """Settle the losses of a runner that was heard of again."""
        for fingerprint, entry in tuple(self._entries_by_fingerprint.items()):
            open_losses = {
                loss
                for loss in entry.losses - entry.crashes
                if loss.runner_id == runner_id
            }
            if not open_losses:
                continue
            same_start = {loss for loss in open_losses if loss.start == new_start}
            crashed = open_losses - same_start
            is_old = now.monotonic_ms - entry.changed_ms >= CUT_OFF_AFTER_MS
            cut_off = same_start if is_old else frozenset()
            if not crashed and not cut_off:
                continue
            settled = replace(
                entry,
                losses=entry.losses - cut_off,
                crashes=entry.crashes | crashed,
            )
            if not settled.losses:
                del self._entries_by_fingerprint[fingerprint]
                continue
            self._hold(fingerprint, settled, now)
            if crashed:
                yield from self._log_crashes(fingerprint, settled)
                yield from self._tell(self._notice(fingerprint))

    def _merge(self, notice: SuspicionNotice, now: Moment) -> Iterable[Output]:
        if notice.cleared:
            self._entries_by_fingerprint.pop(notice.fingerprint, None)
            return
        entry = self._entry(notice.fingerprint, now)
        crashes = entry.crashes | frozenset(notice.crashes)
        losses = entry.losses | crashes | frozenset(notice.losses)
        if (losses, crashes) == (entry.losses, entry.crashes):
            return
        merged = replace(entry, losses=losses, crashes=crashes)
        self._hold(notice.fingerprint, merged, now)
        if crashes != entry.crashes:
            yield from self._log_crashes(notice.fingerprint, merged)

    def _log_crashes(
        self, fingerprint: Fingerprint, entry: SuspicionEntry
    ) -> Iterable[Output]:
        quarantined = len(entry.crashes) >= CRASHES_TO_QUARANTINE
        yield LogEvent(
            "content_quarantined" if quarantined else "content_crashed_runner",
            self.step,
            {"fingerprint": fingerprint, "crashes": len(entry.crashes)},
        )

    def _entry(self, fingerprint: Fingerprint, now: Moment) -> SuspicionEntry:
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or now.monotonic_ms - entry.changed_ms > EXPIRY_MS:
            return SuspicionEntry(frozenset(), frozenset(), now.monotonic_ms)
        return entry

    def _hold(
        self, fingerprint: Fingerprint, entry: SuspicionEntry, now: Moment
    ) -> None:
        self._entries_by_fingerprint[fingerprint] = replace(
            entry, changed_ms=now.monotonic_ms
        )
        self._entries_by_fingerprint.move_to_end(fingerprint)
        while len(self._entries_by_fingerprint) > MOST_ENTRIES:
            self._entries_by_fingerprint.popitem(last=False)

    def _notice(self, fingerprint: Fingerprint) -> SuspicionNotice:
        entry = self._entries_by_fingerprint[fingerprint]
        return SuspicionNotice(
            fingerprint, tuple(entry.losses), tuple(entry.crashes), False
        )

    def _tell(self, notice: SuspicionNotice) -> Iterable[Output]:
        for seat in self._seats.seats:
            if seat != self._seats.own_seat:
                yield SendPeer(seat, notice)
