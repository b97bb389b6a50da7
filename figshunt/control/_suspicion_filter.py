"""Detects request content that crashes runners."""

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
    SuspicionChanged,
    SuspicionNotice,
)

MAX_ENTRIES = 1_024
ENTRY_TTL_MS = 600_000
CRASHES_TO_QUARANTINE = 2
# Bounds the crashes of content that always ran beside other suspected content.
MAX_CRASHES = 3
# A report sent before a crash may arrive after the loss was detected here or
# announced by a peer. It must not count as proof that the runner still runs.
RESTART_CHECK_DELAY_MS = 1_000
# A runner that still runs has reported it after this time.
MAX_UNDECIDED_MS = 2 * RESTART_CHECK_DELAY_MS
UNKNOWN_START = StartIdentity("")


class Suspicion(Enum):
    """Whether and how content may be run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class SuspicionView(Protocol):
    """The suspicion that request content crashes runners."""

    def suspicion(self, fingerprint: Fingerprint, now: Moment) -> Suspicion:
        """Return whether and how the content may be run."""

    def may_retry(self, fingerprint: Fingerprint) -> bool:
        """Return whether the losses so far don't suffice for a quarantine."""

    def is_undecided(self, fingerprint: Fingerprint, now: Moment) -> bool:
        """Return whether it may soon be known what the last loss was."""


@dataclass(frozen=True, slots=True)
class SuspicionEntry:
    """The lost runners of one fingerprint.

    ``losses`` are the runners whose connection was lost while they ran the
    content. ``crashes`` are those of them that are known to have crashed.
    ``changed_ms`` is the monotonic time of the last change.
    """

    losses: frozenset[Crash]
    crashes: frozenset[Crash]
    changed_ms: int


class SuspicionFilter:
    """Owns suspected fingerprints and offers them as a ``SuspicionView``.

    A lost connection makes the content suspect at once. The loss counts as a
    crash only if the runner refuses connections or returns with another start
    identity. If it reports the same start identity at least one second later,
    only the connection was lost, and the loss is discarded. Peers are notified
    of losses at once and resolve them with the reports that they receive
    themselves.

    Losses that other suspected content has in common with this count as one, as any
    of that content may have caused them: hosts try suspects without knowing what
    others try at the same runner.

    At most ``MAX_ENTRIES`` fingerprints are kept. The oldest is evicted, after
    which its content can crash one more runner than the bound allows.
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
        """Return whether and how the content may be run."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or now.monotonic_ms - entry.changed_ms > ENTRY_TTL_MS:
            return Suspicion.CLEAR
        if self._suffices(fingerprint, entry.crashes):
            return Suspicion.QUARANTINED
        return Suspicion.SUSPECT if entry.losses else Suspicion.CLEAR

    def may_retry(self, fingerprint: Fingerprint) -> bool:
        """Return whether the losses so far don't suffice for a quarantine."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        return entry is None or not self._suffices(fingerprint, entry.losses)

    def is_undecided(self, fingerprint: Fingerprint, now: Moment) -> bool:
        """Return whether it may soon be known what the last loss was."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        return (
            entry is not None
            and entry.losses != entry.crashes
            and now.monotonic_ms - entry.changed_ms < MAX_UNDECIDED_MS
        )

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case AttemptEnded():
                yield from self._handle_attempt_ended(message, now)
            case RunnerUnreachable(runner_id, ColdEvidence.CONNECTION_REFUSED):
                yield from self._resolve_losses(runner_id, None, now)
            case LoadReported(runner_id, report):
                yield from self._handle_load_report(runner_id, report.start, now)
            case PeerReceived(_, SuspicionNotice() as notice):
                yield from self._merge_notice(notice, now)
                return
            case PeerConnected(seat):
                for fingerprint in self._entries_by_fingerprint:
                    yield SendPeer(seat, self._build_notice(fingerprint))
        yield message

    def _handle_attempt_ended(
        self, ended: AttemptEnded, now: Moment
    ) -> Iterable[Output]:
        fingerprint = ended.routed.request.fingerprint
        if ended.failure is None:
            if self._entries_by_fingerprint.pop(fingerprint, None):
                yield LogEvent(
                    "suspicion_cleared", self.step, {"fingerprint": fingerprint}
                )
                yield from self._notify_peers(
                    SuspicionNotice(fingerprint, (), (), True)
                )
        elif ended.failure is AttemptFailure.CONNECTION_LOST:
            start = self._starts_by_runner.get(ended.runner_id, UNKNOWN_START)
            loss = Crash(ended.runner_id, start)
            entry = self._entry_or_empty(fingerprint, now)
            self._store_entry(
                fingerprint, replace(entry, losses=entry.losses | {loss}), now
            )
            yield LogEvent(
                "content_suspected",
                self.step,
                {"fingerprint": fingerprint, "runner": ended.runner_id},
            )
            yield from self._notify_peers(self._build_notice(fingerprint))

    def _handle_load_report(
        self, runner_id: RunnerId, start: StartIdentity, now: Moment
    ) -> Iterable[Output]:
        self._starts_by_runner[runner_id] = start
        yield from self._resolve_losses(runner_id, start, now)

    def _resolve_losses(
        self, runner_id: RunnerId, new_start: StartIdentity | None, now: Moment
    ) -> Iterable[Output]:
        """Resolve the losses of a runner that reported or refused a connection."""
        for fingerprint, entry in tuple(self._entries_by_fingerprint.items()):
            unresolved_losses = {
                loss
                for loss in entry.losses - entry.crashes
                if loss.runner_id == runner_id
            }
            if not unresolved_losses:
                continue
            losses_without_restart = {
                loss for loss in unresolved_losses if loss.start == new_start
            }
            new_crashes = unresolved_losses - losses_without_restart
            is_conclusive = (
                now.monotonic_ms - entry.changed_ms >= RESTART_CHECK_DELAY_MS
            )
            connection_losses = losses_without_restart if is_conclusive else frozenset()
            if not new_crashes and not connection_losses:
                continue
            resolved_entry = replace(
                entry,
                losses=entry.losses - connection_losses,
                crashes=entry.crashes | new_crashes,
            )
            if not resolved_entry.losses:
                del self._entries_by_fingerprint[fingerprint]
                yield SuspicionChanged(fingerprint)
                continue
            self._store_entry(fingerprint, resolved_entry, now)
            if new_crashes:
                yield from self._log_crashes(fingerprint, resolved_entry)
                yield from self._notify_peers(self._build_notice(fingerprint))
            yield SuspicionChanged(fingerprint)

    def _merge_notice(self, notice: SuspicionNotice, now: Moment) -> Iterable[Output]:
        if notice.cleared:
            self._entries_by_fingerprint.pop(notice.fingerprint, None)
            return
        entry = self._entry_or_empty(notice.fingerprint, now)
        crashes = entry.crashes | frozenset(notice.crashes)
        losses = entry.losses | crashes | frozenset(notice.losses)
        if (losses, crashes) == (entry.losses, entry.crashes):
            return
        merged_entry = replace(entry, losses=losses, crashes=crashes)
        self._store_entry(notice.fingerprint, merged_entry, now)
        if crashes != entry.crashes:
            yield from self._log_crashes(notice.fingerprint, merged_entry)
        yield SuspicionChanged(notice.fingerprint)

    def _log_crashes(
        self, fingerprint: Fingerprint, entry: SuspicionEntry
    ) -> Iterable[Output]:
        is_quarantined = self._suffices(fingerprint, entry.crashes)
        yield LogEvent(
            "content_quarantined" if is_quarantined else "content_crashed_runner",
            self.step,
            {"fingerprint": fingerprint, "crashes": len(entry.crashes)},
        )

    def _suffices(self, fingerprint: Fingerprint, losses: frozenset[Crash]) -> bool:
        """Return whether so many losses suffice for a quarantine."""
        shared_losses = {
            loss
            for loss in losses
            if any(
                loss in entry.losses
                for other, entry in self._entries_by_fingerprint.items()
                if other != fingerprint
            )
        }
        count = len(losses - shared_losses) + bool(shared_losses)
        return count >= CRASHES_TO_QUARANTINE or len(losses) >= MAX_CRASHES

    def _entry_or_empty(self, fingerprint: Fingerprint, now: Moment) -> SuspicionEntry:
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or now.monotonic_ms - entry.changed_ms > ENTRY_TTL_MS:
            return SuspicionEntry(frozenset(), frozenset(), now.monotonic_ms)
        return entry

    def _store_entry(
        self, fingerprint: Fingerprint, entry: SuspicionEntry, now: Moment
    ) -> None:
        self._entries_by_fingerprint[fingerprint] = replace(
            entry, changed_ms=now.monotonic_ms
        )
        self._entries_by_fingerprint.move_to_end(fingerprint)
        while len(self._entries_by_fingerprint) > MAX_ENTRIES:
            self._entries_by_fingerprint.popitem(last=False)

    def _build_notice(self, fingerprint: Fingerprint) -> SuspicionNotice:
        entry = self._entries_by_fingerprint[fingerprint]
        return SuspicionNotice(
            fingerprint, tuple(entry.losses), tuple(entry.crashes), False
        )

    def _notify_peers(self, notice: SuspicionNotice) -> Iterable[Output]:
        for seat in self._seats.seats:
            if seat != self._seats.own_seat:
                yield SendPeer(seat, notice)
