"""Keeps the tables in force; revisions only rise."""

from collections.abc import Iterable, Sequence

from figshunt.control._audit_trail import AuditTrail
from figshunt.control._host_merge import merge_hosts
from figshunt.control._revision_status import RevisionStatus
from figshunt.control._settling import Settling
from figshunt.control._views import SeatsView
from figshunt.pipeline import Feedback, Output
from figshunt.tables import Tables, describe_difference
from figshunt.types import (
    AuditEntry,
    CapacityChanged,
    ClockJumped,
    CountEvent,
    Heartbeat,
    HostsListed,
    ListedHost,
    Message,
    Moment,
    PeerConnected,
    PeerLost,
    PeerReceived,
    RevisionNumber,
    RevisionQuery,
    SeatNumber,
    SendPeer,
    SetReady,
    Step,
    StopRequested,
    TablesAnnounce,
    TableServiceRead,
    TablesInForce,
    TablesOffered,
    TableSourceKind,
    TablesRefused,
    TablesRequest,
    TablesTransfer,
    TimerDue,
    WakeAt,
)

# Operators publish the two documents one after the other.
PAIR_GRACE_MS = 5_000
REQUEST_INTERVAL_MS = 1_000
REFUSED_TRANSFER_INTERVAL_MS = 30_000
NO_REVISION = RevisionNumber(0)


class RevisionFilter:
    """Owns the tables in force and offers them as a ``TablesView``.

    A revision takes effect if it is higher than the one in force, and is
    announced to the peers, who ask for it. Every heartbeat tells the sender's
    revision, so a lost announcement only delays a revision.

    From the first :class:`TimerDue` on, and again after a pause, the filter
    asks its peers for the highest revision; until they have answered, or a
    time limit has passed, the tables are not settled.
    """

    step = Step.REVISION
    accepts: tuple[type[Message], ...] = (
        TimerDue,
        TablesOffered,
        TablesRefused,
        TableServiceRead,
        HostsListed,
        PeerReceived,
        PeerConnected,
        PeerLost,
        ClockJumped,
        StopRequested,
    )

    def __init__(self, seats: SeatsView) -> None:
        self._seats = seats
        self._others = tuple(one for one in seats.seats if one != seats.own_seat)
        self._trail = AuditTrail()
        self._published: Tables | None = None
        self._merged: Tables | None = None
        self._text = ("", "")
        self._digest = ""
        self._hosts: Sequence[ListedHost] = ()
        self._in_force_entry: AuditEntry | None = None
        self._unpaired: tuple[TablesRefused, Moment] | None = None
        self._connected: set[SeatNumber] = set()
        self._peer_revisions_by_seat: dict[SeatNumber, RevisionNumber] = {}
        self._asked: tuple[RevisionNumber, int] = (NO_REVISION, 0)
        self._settling: Settling | None = None
        self._has_begun = False
        self._is_ready = False
        self._is_stopping = False
        self._last_read: Moment | None = None

    def current(self) -> Tables | None:
        """Return the tables in force, or ``None`` before the first revision."""
        return self._merged

    def is_settled(self) -> bool:
        """Return whether no newer revision is awaited from a peer."""
        return self._settling is None

    def status(self, now: Moment) -> RevisionStatus:
        """Return what is known of the revision in force and its source."""
        return RevisionStatus(
            revision=self._revision,
            digest=self._digest,
            in_force=self._in_force_entry,
            last_read_age_ms=(
                None
                if self._last_read is None
                else now.monotonic_ms - self._last_read.monotonic_ms
            ),
            peers_heard=tuple(
                seat for seat in self._others if self._seats.is_heard(seat, now)
            ),
            highest_peer_revision=max(
                self._peer_revisions_by_seat.values(), default=NO_REVISION
            ),
            is_settled=self.is_settled(),
            audit=self._trail.entries(),
        )

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case TablesOffered():
                yield from self._consider(message, now)
                yield from self._settle(now)
                return
            case TablesRefused():
                yield from self._refuse(message, now)
                return
            case TimerDue():
                yield from self._begin(now)
                yield from self._end_grace(now)
            case TableServiceRead(succeeded):
                self._note_read(succeeded, now)
            case HostsListed(hosts):
                if hosts != self._hosts:
                    self._hosts = hosts
                    yield from self._merge()
            case PeerReceived(seat, received):
                yield from self._answer_peer(seat, received, now)
            case PeerConnected(seat):
                self._connected.add(seat)
                if self._settling is not None:
                    yield SendPeer(seat, RevisionQuery(self._settling.number))
            case PeerLost(seat):
                self._connected.discard(seat)
                self._peer_revisions_by_seat.pop(seat, None)
                if self._settling is not None and self._is_ready:
                    self._settling = self._settling.without(seat)
            case ClockJumped():
                yield from self._ask_again(now)
            case StopRequested():
                self._is_stopping = True
                yield SetReady(False)
        yield from self._settle(now)
        yield message

    @property
    def _revision(self) -> RevisionNumber:
        return NO_REVISION if self._published is None else self._published.revision

    def _consider(self, offered: TablesOffered, now: Moment) -> Iterable[Output]:
        tables = offered.tables
        if offered.source is TableSourceKind.SERVICE:
            self._unpaired = None
        if tables.revision < self._revision:
            yield CountEvent("tables_stale", {"source": offered.source.value})
            return
        if tables.revision == self._revision:
            yield from self._compare_equal_revision(offered, now)
            return
        entry = AuditEntry(
            revision=tables.revision,
            source=offered.source,
            peer=offered.peer,
            seen_ms=now.wall_ms,
            in_force_ms=now.wall_ms,
            changes=describe_difference(self._published, tables),
        )
        self._published = tables
        self._text = offered.text
        self._digest = offered.digest
        self._in_force_entry = entry
        yield from self._trail.record(entry)
        yield from self._merge()
        for seat in self._others:
            yield SendPeer(seat, TablesAnnounce(tables.revision))

    def _compare_equal_revision(
        self, offered: TablesOffered, now: Moment
    ) -> Iterable[Output]:
        if offered.tables == self._published:
            return
        refusal = f"revision {offered.tables.revision} has other content in force"
        entry = AuditEntry(
            revision=offered.tables.revision,
            source=offered.source,
            peer=offered.peer,
            seen_ms=now.wall_ms,
            in_force_ms=None,
            changes=describe_difference(self._published, offered.tables),
            refusals=(refusal,),
        )
        content = offered.digest or f"revision {offered.tables.revision}"
        yield from self._trail.record_refusal(content, entry)

    def _refuse(self, refused: TablesRefused, now: Moment) -> Iterable[Output]:
        if refused.source is TableSourceKind.PEER and refused.revision is not None:
            until_ms = now.monotonic_ms + REFUSED_TRANSFER_INTERVAL_MS
            self._asked = (refused.revision, until_ms)
        if not refused.is_unpaired:
            self._unpaired = None
            yield from self._record_refusal(refused, now)
            return
        if self._unpaired is None or self._unpaired[0].digest != refused.digest:
            self._unpaired = (refused, now)
            yield WakeAt(now.monotonic_ms + PAIR_GRACE_MS)

    def _end_grace(self, now: Moment) -> Iterable[Output]:
        if self._unpaired is None:
            return
        refused, since = self._unpaired
        if now.monotonic_ms - since.monotonic_ms >= PAIR_GRACE_MS:
            yield from self._record_refusal(refused, since)

    def _record_refusal(self, refused: TablesRefused, seen: Moment) -> Iterable[Output]:
        entry = AuditEntry(
            revision=refused.revision,
            source=refused.source,
            peer=refused.peer,
            seen_ms=seen.wall_ms,
            in_force_ms=None,
            refusals=refused.faults,
        )
        yield from self._trail.record_refusal(
            refused.digest or str(refused.faults), entry
        )

    def _note_read(self, succeeded: bool, now: Moment) -> None:
        if succeeded:
            self._last_read = now
        if self._settling is not None:
            self._settling = self._settling.after_read()

    def _merge(self) -> Iterable[Output]:
        if self._published is None:
            return
        merged = merge_hosts(self._published, self._hosts, self._merged)
        if merged != self._merged:
            self._merged = merged
            yield TablesInForce(merged)

    def _answer_peer(
        self, seat: SeatNumber, received: object, now: Moment
    ) -> Iterable[Output]:
        match received:
            case TablesRequest(above):
                if self._published is not None and self._revision > above:
                    yield SendPeer(seat, TablesTransfer(self._revision, *self._text))
            case RevisionQuery(number):
                yield SendPeer(seat, TablesAnnounce(self._revision, number))
            case TablesAnnounce(revision, answers):
                if self._settling is not None and answers is not None:
                    self._settling = self._settling.after_answer(
                        seat, answers, revision
                    )
                yield from self._ask_for(seat, revision, now)
            case Heartbeat(revision):
                yield from self._ask_for(seat, revision, now)

    def _ask_for(
        self, seat: SeatNumber, revision: RevisionNumber, now: Moment
    ) -> Iterable[Output]:
        self._peer_revisions_by_seat[seat] = revision
        asked_revision, until_ms = self._asked
        is_asked = revision <= asked_revision and now.monotonic_ms < until_ms
        if revision > self._revision and not is_asked:
            self._asked = (revision, now.monotonic_ms + REQUEST_INTERVAL_MS)
            yield SendPeer(seat, TablesRequest(self._revision))

    def _begin(self, now: Moment) -> Iterable[Output]:
        """Ask all peers once, at the start; those not yet linked when they are."""
        if self._has_begun:
            return
        self._has_begun = True
        yield from self._await(self._others, False, now)

    def _ask_again(self, now: Moment) -> Iterable[Output]:
        """Ask the linked peers after a pause; without any, await a read."""
        if self._has_begun:
            self._asked = (NO_REVISION, 0)
            connected = tuple(sorted(self._connected))
            awaited = connected if self._is_ready else self._others
            yield from self._await(awaited, not self._connected, now)

    def _await(
        self, seats: Sequence[SeatNumber], awaits_read: bool, now: Moment
    ) -> Iterable[Output]:
        self._settling = Settling.begin(
            now.wall_ms, seats, awaits_read, now.monotonic_ms
        )
        yield WakeAt(self._settling.ends_ms)
        for seat in seats:
            yield SendPeer(seat, RevisionQuery(self._settling.number))

    def _settle(self, now: Moment) -> Iterable[Output]:
        if (
            self._settling is None
            or self._merged is None
            or not self._settling.is_over(self._revision, now.monotonic_ms)
        ):
            return
        self._settling = None
        if not self._is_ready and not self._is_stopping:
            self._is_ready = True
            yield SetReady(True)
        for pool in self._merged.pools_by_name:
            yield Feedback(CapacityChanged(pool))
