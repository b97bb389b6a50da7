"""A simulation of the control filters of a cell in virtual time.

The simulated network delays, loses and duplicates messages.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from figshunt.control import (
    MembershipFilter,
    PauseFilter,
    ReadinessFilter,
    RevisionFilter,
    TableReaderFilter,
)
from figshunt.pipeline import Pipeline
from figshunt.tables import Tables
from figshunt.types import (
    CountEvent,
    Hello,
    HostName,
    IncarnationNumber,
    ManualClock,
    Message,
    Moment,
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    RecordAudit,
    SeatNumber,
    SendPeer,
    SetReady,
    TableServiceRead,
    TableSourceKind,
    TablesReceived,
    TablesTransfer,
    TimerDue,
    WakeAt,
    WatchTables,
)
from tests.builders import build_tables

POLL_INTERVAL_MS = 100


class AlwaysGrantingKeys:
    """A stub ``KeyGrantsView`` for a cell that grants keys at all times."""

    def is_granting_keys(self, now: Moment) -> bool:
        return True


class VirtualDaemon:
    """One daemon in a seat of the cell and the effects of its filters.

    ``effects`` holds the audit records, counters and peer messages that the
    filters yielded. ``in_force_ms`` maps each revision to the time from which it
    was in force.
    """

    def __init__(self, cell: "VirtualCell", seat: SeatNumber, incarnation: int) -> None:
        self.cell = cell
        self.seat = seat
        self.incarnation = IncarnationNumber(incarnation)
        self.membership = MembershipFilter(seat, cell.seats, cell.random)
        self.revisions = RevisionFilter(self.membership)
        self.table_reader = TableReaderFilter(self.membership, self.revisions)
        self._pipeline = Pipeline(
            [
                PauseFilter(),
                self.table_reader,
                self.revisions,
                self.membership,
                ReadinessFilter(AlwaysGrantingKeys()),
            ]
        )
        self.is_alive = True
        self.is_ready = False
        self.ready_revision = 0
        self.read_count = 0
        self.last_read_text: str | None = None
        self.effects: list[Any] = []
        self.in_force_ms: dict[int, int] = {}
        self.deferred_messages: list[Message] | None = None

    @property
    def revision(self) -> int:
        tables = self.revisions.current()
        return tables.revision if tables else 0

    def count_effects(self, kind: type) -> int:
        return sum(isinstance(effect, kind) for effect in self.effects)

    def handle_message(self, message: Message) -> None:
        """Process a message, or defer it while the daemon is paused.

        :raises AssertionError: if the revision in force decreases.
        """
        if not self.is_alive:
            return
        if self.deferred_messages is not None:
            self.deferred_messages.append(message)
            return
        previous_revision = self.revision
        for effect in self._pipeline.handle(message, self.cell.clock.now()):
            self._apply_effect(effect)
        assert self.revision >= previous_revision, "the revision in force decreased"
        if self.revision > previous_revision:
            self.in_force_ms[self.revision] = self.cell.now_ms

    def _apply_effect(self, effect: object) -> None:
        match effect:
            case SendPeer(seat, message):
                self.cell.send(self.seat, seat, message)
            case WakeAt(monotonic_ms):
                self.cell.schedule(monotonic_ms, self.handle_message, TimerDue())
            case SetReady(is_ready):
                self.is_ready = is_ready
                self.ready_revision = self.revision
            case WatchTables():
                self.last_read_text = None
        if isinstance(effect, RecordAudit | CountEvent | SendPeer):
            self.effects.append(effect)

    def poll_service(self) -> None:
        """Read the configuration service periodically, as the table watcher does.

        The service is read only while the table reader of the daemon has
        reading enabled and the daemon is not paused.
        """
        if not self.is_alive:
            return
        self.cell.schedule(self.cell.now_ms + POLL_INTERVAL_MS, self.poll_service)
        if self.table_reader.is_reading and self.deferred_messages is None:
            self.read_count += 1
            text = self.cell.published_text(self.seat)
            if text is None:
                self.handle_message(TableServiceRead(False, "down"))
                return
            if text != self.last_read_text:
                self.last_read_text = text
                self.handle_message(
                    self.cell.build_tables_message(
                        text, TableSourceKind.SERVICE, "service"
                    )
                )
            self.handle_message(TableServiceRead(True))


class VirtualCell:
    """The daemons of a cell, the links between them and the configuration service.

    A message is lost with the probability ``loss_rate``, and a second copy of it is
    delivered with the same probability. ``published_revision`` is the revision that
    the service holds, or 0 for none. Seats in ``seats_without_service`` can't read
    the service, and those in ``stale_revision_by_seat`` read an older revision.
    Links in ``cut_links`` carry no messages.
    """

    def __init__(self, seed: int, seats: int = 5, loss_rate: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.seats = tuple(SeatNumber(number) for number in range(seats))
        self.clock = ManualClock()
        self.loss_rate = loss_rate
        self.published_revision = 0
        self.seats_without_service: set[SeatNumber] = set()
        self.stale_revision_by_seat: dict[SeatNumber, int] = {}
        self.cut_links: set[frozenset[SeatNumber]] = set()
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()
        self._tables_by_text: dict[str, Tables] = {}
        self.daemons: dict[SeatNumber, VirtualDaemon] = {}

    def start_all(self) -> None:
        for seat in self.seats:
            self.start(seat)

    @property
    def now_ms(self) -> int:
        return self.clock.now().monotonic_ms

    def schedule(
        self, due_ms: int, callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a call for a virtual time, at the earliest for now."""
        due_ms = max(due_ms, self.now_ms)
        heapq.heappush(
            self._events, (due_ms, next(self._sequence), callback, arguments)
        )

    def run(self, duration_ms: int) -> None:
        """Advance the virtual time and make the scheduled calls in order."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, callback, arguments = heapq.heappop(self._events)
            self.clock.advance(due_ms - self.now_ms)
            callback(*arguments)
        self.clock.advance(end_ms - self.now_ms)

    def start(self, seat: SeatNumber) -> VirtualDaemon:
        """Start a daemon without state in a seat and connect it to the others.

        A daemon that was running in the seat ends without notice to its peers.
        """
        previous = self.daemons.get(seat)
        if previous is not None:
            previous.is_alive = False
        daemon = VirtualDaemon(self, seat, next(self._sequence))
        self.daemons[seat] = daemon
        daemon.handle_message(TimerDue())
        self.schedule(self.now_ms, daemon.poll_service)
        for other in self.daemons:
            if other != seat and frozenset((seat, other)) not in self.cut_links:
                self._connect(seat, other)
        return daemon

    def stop(self, seat: SeatNumber) -> None:
        """End a daemon; its peers see the connection close."""
        self.daemons[seat].is_alive = False
        for other in self.daemons:
            self.daemons[other].handle_message(PeerDisconnected(seat))

    def pause(self, seat: SeatNumber) -> None:
        """Suspend a daemon; messages to it are deferred until it resumes."""
        self.daemons[seat].deferred_messages = []

    def resume(self, seat: SeatNumber) -> None:
        """Resume a suspended daemon, which then processes deferred messages."""
        daemon = self.daemons[seat]
        messages, daemon.deferred_messages = daemon.deferred_messages or [], None
        for message in messages:
            daemon.handle_message(message)

    def set_cut(self, first: SeatNumber, other: SeatNumber, is_cut: bool) -> None:
        """Cut or restore the link between two seats."""
        link = frozenset((first, other))
        if first == other or is_cut == (link in self.cut_links):
            return
        if not is_cut:
            self.cut_links.discard(link)
            self._connect(first, other)
            return
        self.cut_links.add(link)
        self.daemons[first].handle_message(PeerDisconnected(other))
        self.daemons[other].handle_message(PeerDisconnected(first))

    def heal(self) -> None:
        """Restore all links that are cut."""
        for link in tuple(self.cut_links):
            self.set_cut(*link, is_cut=False)

    def publish(self, revision: int) -> None:
        """Replace the revision that the configuration service holds."""
        self.published_revision = revision

    def published_text(self, seat: SeatNumber) -> str | None:
        """Return what the service serves to a seat, or ``None`` if it fails.

        The text is the number of the revision.
        """
        if seat in self.seats_without_service or not self.published_revision:
            return None
        return str(self.stale_revision_by_seat.get(seat, self.published_revision))

    def build_tables_message(
        self, text: str, source: TableSourceKind, peer: str
    ) -> TablesReceived:
        """Return the message with the tables of the revision in ``text``."""
        if text not in self._tables_by_text:
            self._tables_by_text[text] = build_tables(int(text))
        tables = self._tables_by_text[text]
        return TablesReceived(tables, (text, ""), source, peer, text)

    def send(self, sender: SeatNumber, receiver: SeatNumber, message: Any) -> None:
        """Schedule the delivery of a peer message, with loss and duplication."""
        if (
            frozenset((sender, receiver)) in self.cut_links
            or receiver not in self.daemons
        ):
            return
        received: Message = PeerReceived(sender, message)
        if isinstance(message, TablesTransfer):
            received = self.build_tables_message(
                message.routes, TableSourceKind.PEER, str(sender)
            )
        copies = (self.random.random() >= self.loss_rate) + (
            self.random.random() < self.loss_rate
        )
        for _ in range(copies):
            delay_ms = self.random.randint(1, 20 + int(1_000 * self.loss_rate))
            self.schedule(self.now_ms + delay_ms, self._deliver, receiver, received)

    def _deliver(self, seat: SeatNumber, received: Message) -> None:
        self.daemons[seat].handle_message(received)

    def _connect(self, first: SeatNumber, other: SeatNumber) -> None:
        for seat, peer in ((first, other), (other, first)):
            hello = Hello(
                1, peer, HostName("h"), self.daemons[peer].incarnation, b"", b""
            )
            self.daemons[seat].handle_message(PeerReceived(peer, hello))
            self.daemons[seat].handle_message(PeerConnected(peer))
