"""The control filters of one cell in virtual time, over a lossy network."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from figshunt.control import (
    MembershipFilter,
    PauseFilter,
    ReaderFilter,
    RevisionFilter,
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
    PeerConnected,
    PeerLost,
    PeerReceived,
    RecordAudit,
    SeatNumber,
    SendPeer,
    SetReady,
    TableServiceRead,
    TablesOffered,
    TableSourceKind,
    TablesTransfer,
    TimerDue,
    WakeAt,
    WatchTables,
)
from tests.builders import build_tables

READ_MS = 100


class VirtualDaemon:
    """One occupant of a seat, with what its filters asked for."""

    def __init__(self, cell: "VirtualCell", seat: SeatNumber, incarnation: int) -> None:
        self.cell = cell
        self.seat = seat
        self.incarnation = IncarnationNumber(incarnation)
        self.membership = MembershipFilter(seat, cell.seats, cell.random)
        self.revisions = RevisionFilter(self.membership)
        self.reader = ReaderFilter(self.membership, self.revisions)
        self._pipeline = Pipeline(
            [PauseFilter(), self.reader, self.revisions, self.membership]
        )
        self.is_alive = True
        self.is_ready = False
        self.ready_revision = 0
        self.reads = 0
        self.read_text: str | None = None
        self.effects: list[Any] = []
        self.in_force_ms: dict[int, int] = {}
        self.backlog: list[Message] | None = None

    @property
    def revision(self) -> int:
        tables = self.revisions.current()
        return tables.revision if tables else 0

    def count(self, kind: type) -> int:
        return sum(isinstance(one, kind) for one in self.effects)

    def feed(self, message: Message) -> None:
        if not self.is_alive:
            return
        if self.backlog is not None:
            self.backlog.append(message)
            return
        before = self.revision
        for effect in self._pipeline.handle(message, self.cell.clock.now()):
            self._carry_out(effect)
        assert self.revision >= before, "the revision in force fell"
        if self.revision > before:
            self.in_force_ms[self.revision] = self.cell.now_ms

    def _carry_out(self, effect: object) -> None:
        match effect:
            case SendPeer(seat, message):
                self.cell.send(self.seat, seat, message)
            case WakeAt(monotonic_ms):
                self.cell.at(monotonic_ms, self.feed, TimerDue())
            case SetReady(is_ready):
                self.is_ready = is_ready
                self.ready_revision = self.revision
            case WatchTables():
                self.read_text = None
        if isinstance(effect, RecordAudit | CountEvent | SendPeer):
            self.effects.append(effect)

    def read(self) -> None:
        """Read the service as the watcher does, while it is wanted."""
        if not self.is_alive:
            return
        self.cell.at(self.cell.now_ms + READ_MS, self.read)
        if self.reader.is_reading and self.backlog is None:
            self.reads += 1
            text = self.cell.text_for(self.seat)
            if text is None:
                self.feed(TableServiceRead(False, "down"))
                return
            if text != self.read_text:
                self.read_text = text
                self.feed(self.cell.offer(text, TableSourceKind.SERVICE, "service"))
            self.feed(TableServiceRead(True))


class VirtualCell:
    """Daemons, their links and the configuration service."""

    def __init__(self, seed: int, seats: int = 5, loss: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.seats = tuple(SeatNumber(number) for number in range(seats))
        self.clock = ManualClock()
        self.loss = loss
        self.published = 0
        self.down: set[SeatNumber] = set()
        self.stale_by_seat: dict[SeatNumber, int] = {}
        self.cut: set[frozenset[SeatNumber]] = set()
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._tables_by_text: dict[str, Tables] = {}
        self.daemons: dict[SeatNumber, VirtualDaemon] = {}

    def start_all(self) -> None:
        for seat in self.seats:
            self.start(seat)

    @property
    def now_ms(self) -> int:
        return self.clock.now().monotonic_ms

    def at(self, due_ms: int, call: Callable[..., None], *values: Any) -> None:
        due_ms = max(due_ms, self.now_ms)
        heapq.heappush(self._events, (due_ms, next(self._order), call, values))

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, call, values = heapq.heappop(self._events)
            self.clock.advance(due_ms - self.now_ms)
            call(*values)
        self.clock.advance(end_ms - self.now_ms)

    def start(self, seat: SeatNumber) -> VirtualDaemon:
        """Put a new, empty occupant in a seat and open its links."""
        former = self.daemons.get(seat)
        if former is not None:
            former.is_alive = False
        daemon = VirtualDaemon(self, seat, next(self._order))
        self.daemons[seat] = daemon
        daemon.feed(TimerDue())
        self.at(self.now_ms, daemon.read)
        for other in self.daemons:
            if other != seat and frozenset((seat, other)) not in self.cut:
                self._connect(seat, other)
        return daemon

    def stop(self, seat: SeatNumber) -> None:
        """End a daemon without warning."""
        self.daemons[seat].is_alive = False
        for other in self.daemons:
            self.daemons[other].feed(PeerLost(seat))

    def pause(self, seat: SeatNumber) -> None:
        self.daemons[seat].backlog = []

    def resume(self, seat: SeatNumber) -> None:
        daemon = self.daemons[seat]
        backlog, daemon.backlog = daemon.backlog or [], None
        for message in backlog:
            daemon.feed(message)

    def set_cut(self, one: SeatNumber, other: SeatNumber, is_cut: bool) -> None:
        pair = frozenset((one, other))
        if one == other or is_cut == (pair in self.cut):
            return
        if not is_cut:
            self.cut.discard(pair)
            self._connect(one, other)
            return
        self.cut.add(pair)
        self.daemons[one].feed(PeerLost(other))
        self.daemons[other].feed(PeerLost(one))

    def heal(self) -> None:
        for pair in tuple(self.cut):
            self.set_cut(*pair, is_cut=False)

    def publish(self, revision: int) -> None:
        self.published = revision

    def text_for(self, seat: SeatNumber) -> str | None:
        if seat in self.down or not self.published:
            return None
        return str(self.stale_by_seat.get(seat, self.published))

    def offer(self, text: str, source: TableSourceKind, peer: str) -> TablesOffered:
        if text not in self._tables_by_text:
            self._tables_by_text[text] = build_tables(int(text))
        tables = self._tables_by_text[text]
        return TablesOffered(tables, (text, ""), source, peer, text)

    def send(self, sender: SeatNumber, seat: SeatNumber, message: Any) -> None:
        if frozenset((sender, seat)) in self.cut or seat not in self.daemons:
            return
        received: Message = PeerReceived(sender, message)
        if isinstance(message, TablesTransfer):
            received = self.offer(message.routes, TableSourceKind.PEER, str(sender))
        copies = (self.random.random() >= self.loss) + (
            self.random.random() < self.loss
        )
        for _ in range(copies):
            delay_ms = self.random.randint(1, 20 + int(1_000 * self.loss))
            self.at(self.now_ms + delay_ms, self._deliver, seat, received)

    def _deliver(self, seat: SeatNumber, received: Message) -> None:
        self.daemons[seat].feed(received)

    def _connect(self, one: SeatNumber, other: SeatNumber) -> None:
        for seat, peer in ((one, other), (other, one)):
            hello = Hello(
                1, peer, HostName("h"), self.daemons[peer].incarnation, b"", b""
            )
            self.daemons[seat].feed(PeerReceived(peer, hello))
            self.daemons[seat].feed(PeerConnected(peer))
