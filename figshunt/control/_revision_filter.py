"""Keeps the tables in force and exchanges revisions with peers."""

from collections.abc import Iterable, Sequence

from figshunt.control._audit_trail import AuditTrail
from figshunt.control._host_merge import merge_hosts
from figshunt.control._revision_status import RevisionStatus
from figshunt.control._revision_sync import RevisionSync
from figshunt.control._views import SeatsView
from figshunt.pipeline import Feedback, Output
from figshunt.tables import Tables, describe_difference
from figshunt.types import (
    AuditEntry,
    CapacityChanged,
    ClockJumped,
    CountEvent,
    Heartbeat,
    HostListEntry,
    HostListReceived,
    Message,
    Moment,
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    RevisionNumber,
    RevisionQuery,
    SeatNumber,
    SendPeer,
    Step,
    StopRequested,
    TablesAnnounce,
    TableServiceRead,
    TablesInForce,
    TableSourceKind,
    TablesReceived,
    TablesRefused,
    TablesRequest,
    TablesSynchronized,
    TablesTransfer,
    TimerDue,
    WakeAt,
)

# Operators publish the two documents one after the other, so their revisions
# differ for a short time.
UNPAIRED_GRACE_MS = 5_000
MIN_REQUEST_INTERVAL_MS = 500
REFUSED_TRANSFER_RETRY_MS = 30_000
NO_REVISION = RevisionNumber(0)


class RevisionFilter:
    """Owns the tables in force and offers them as a ``TablesView``.

    A revision takes effect only if it is higher than the one in force. It is
    then announced to the peers, which request it. Every heartbeat also carries
    the sender's revision, so a lost announcement only delays the transfer.

    At the first :class:`TimerDue`, and again after a pause, the filter queries
    its peers for their revisions. The tables are synchronized once all peers
    have answered and the highest of these revisions is in force, or once the
    query has timed out.
    """

    step = Step.REVISION
    accepts: tuple[type[Message], ...] = (
        TimerDue,
        TablesReceived,
        TablesRefused,
        TableServiceRead,
        HostListReceived,
        PeerReceived,
        PeerConnected,
        PeerDisconnected,
        ClockJumped,
        StopRequested,
    )

    def __init__(self, seats: SeatsView) -> None:
        self._seats = seats
        self._peer_seats = tuple(seat for seat in seats.seats if seat != seats.own_seat)
        self._audit_trail = AuditTrail()
        self._published_tables: Tables | None = None
        self._tables_in_force: Tables | None = None
        self._text = ("", "")
        self._digest = ""
        self._hosts: Sequence[HostListEntry] = ()
        self._in_force_entry: AuditEntry | None = None
        self._unpaired_refusal: tuple[TablesRefused, Moment] | None = None
        self._connected_seats: set[SeatNumber] = set()
        self._peer_revisions_by_seat: dict[SeatNumber, RevisionNumber] = {}
        # The last requested revision and the time until which it isn't requested
        # again.
        self._last_request: tuple[RevisionNumber, int] = (NO_REVISION, 0)
        self._sync: RevisionSync | None = None
        self._is_started = False
        self._has_emitted_synchronized = False
        self._is_stopping = False
        self._last_read: Moment | None = None

    def current(self) -> Tables | None:
        """Return the tables in force, or ``None`` before the first revision."""
        return self._tables_in_force

    def is_synchronized(self) -> bool:
        """Return whether no query for newer revisions is in progress."""
        return self._sync is None

    def status(self, now: Moment) -> RevisionStatus:
        """Return the status of the revision in force and its source."""
        return RevisionStatus(
            revision=self._revision,
            digest=self._digest,
            in_force=self._in_force_entry,
            last_read_age_ms=(
                None
                if self._last_read is None
                else now.monotonic_ms - self._last_read.monotonic_ms
            ),
            reachable_peers=tuple(
                seat for seat in self._peer_seats if self._seats.is_reachable(seat, now)
            ),
            highest_peer_revision=max(
                self._peer_revisions_by_seat.values(), default=NO_REVISION
            ),
            is_synchronized=self.is_synchronized(),
            audit=self._audit_trail.entries(),
        )

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case TablesReceived():
                yield from self._apply_received(message, now)
                yield from self._finish_sync(now)
                return
            case TablesRefused():
                yield from self._handle_refused(message, now)
                return
            case TimerDue():
                yield from self._start_sync(now)
                yield from self._check_unpaired_timeout(now)
            case TableServiceRead(succeeded):
                self._record_read(succeeded, now)
            case HostListReceived(hosts):
                if hosts != self._hosts:
                    self._hosts = hosts
                    yield from self._merge_hosts()
            case PeerReceived(seat, peer_message):
                yield from self._handle_peer_message(seat, peer_message, now)
            case PeerConnected(seat):
                self._connected_seats.add(seat)
                if self._sync is not None:
                    yield SendPeer(seat, RevisionQuery(self._sync.query_number))
            case PeerDisconnected(seat):
                self._connected_seats.discard(seat)
                self._peer_revisions_by_seat.pop(seat, None)
                if self._sync is not None and self._has_emitted_synchronized:
                    self._sync = self._sync.without_seat(seat)
            case ClockJumped():
                yield from self._restart_sync(now)
            case StopRequested():
                self._is_stopping = True
        yield from self._finish_sync(now)
        yield message

    @property
    def _revision(self) -> RevisionNumber:
        return (
            NO_REVISION
            if self._published_tables is None
            else self._published_tables.revision
        )

    def _apply_received(
        self, received: TablesReceived, now: Moment
    ) -> Iterable[Output]:
        tables = received.tables
        if received.source is TableSourceKind.SERVICE:
            self._unpaired_refusal = None
        if tables.revision < self._revision:
            yield CountEvent("tables_stale", {"source": received.source.value})
            return
        if tables.revision == self._revision:
            yield from self._check_equal_revision(received, now)
            return
        entry = AuditEntry(
            revision=tables.revision,
            source=received.source,
            peer=received.peer,
            seen_ms=now.wall_ms,
            in_force_ms=now.wall_ms,
            changes=describe_difference(self._published_tables, tables),
        )
        self._published_tables = tables
        self._text = received.text
        self._digest = received.digest
        self._in_force_entry = entry
        yield from self._audit_trail.record(entry)
        yield from self._merge_hosts()
        for seat in self._peer_seats:
            yield SendPeer(seat, TablesAnnounce(tables.revision))

    def _check_equal_revision(
        self, received: TablesReceived, now: Moment
    ) -> Iterable[Output]:
        if received.tables == self._published_tables:
            return
        refusal = (
            f"revision {received.tables.revision} is already in force "
            "with other content"
        )
        entry = AuditEntry(
            revision=received.tables.revision,
            source=received.source,
            peer=received.peer,
            seen_ms=now.wall_ms,
            in_force_ms=None,
            changes=describe_difference(self._published_tables, received.tables),
            refusals=(refusal,),
        )
        content = received.digest or f"revision {received.tables.revision}"
        yield from self._audit_trail.record_refusal(content, entry)

    def _handle_refused(self, refused: TablesRefused, now: Moment) -> Iterable[Output]:
        if refused.source is TableSourceKind.PEER and refused.revision is not None:
            until_ms = now.monotonic_ms + REFUSED_TRANSFER_RETRY_MS
            self._last_request = (refused.revision, until_ms)
        if not refused.is_unpaired:
            self._unpaired_refusal = None
            yield from self._record_refusal(refused, now)
            return
        if (
            self._unpaired_refusal is None
            or self._unpaired_refusal[0].digest != refused.digest
        ):
            self._unpaired_refusal = (refused, now)
            yield WakeAt(now.monotonic_ms + UNPAIRED_GRACE_MS)

    def _check_unpaired_timeout(self, now: Moment) -> Iterable[Output]:
        if self._unpaired_refusal is None:
            return
        refused, first_seen = self._unpaired_refusal
        if now.monotonic_ms - first_seen.monotonic_ms >= UNPAIRED_GRACE_MS:
            yield from self._record_refusal(refused, first_seen)

    def _record_refusal(
        self, refused: TablesRefused, first_seen: Moment
    ) -> Iterable[Output]:
        entry = AuditEntry(
            revision=refused.revision,
            source=refused.source,
            peer=refused.peer,
            seen_ms=first_seen.wall_ms,
            in_force_ms=None,
            refusals=refused.faults,
        )
        yield from self._audit_trail.record_refusal(
            refused.digest or str(refused.faults), entry
        )

    def _record_read(self, succeeded: bool, now: Moment) -> None:
        if succeeded:
            self._last_read = now
        if self._sync is not None:
            self._sync = self._sync.with_completed_read()

    def _merge_hosts(self) -> Iterable[Output]:
        if self._published_tables is None:
            return
        merged_tables = merge_hosts(
            self._published_tables, self._hosts, self._tables_in_force
        )
        if merged_tables != self._tables_in_force:
            self._tables_in_force = merged_tables
            yield TablesInForce(merged_tables)

    def _handle_peer_message(
        self, seat: SeatNumber, peer_message: object, now: Moment
    ) -> Iterable[Output]:
        match peer_message:
            case TablesRequest(above):
                if self._published_tables is not None and self._revision > above:
                    yield SendPeer(seat, TablesTransfer(self._revision, *self._text))
            case RevisionQuery(number):
                yield SendPeer(seat, TablesAnnounce(self._revision, number))
            case TablesAnnounce(revision, answered_number):
                if self._sync is not None and answered_number is not None:
                    self._sync = self._sync.with_answer(seat, answered_number, revision)
                yield from self._request_tables(seat, revision, now)
            case Heartbeat(revision):
                yield from self._request_tables(seat, revision, now)

    def _request_tables(
        self, seat: SeatNumber, revision: RevisionNumber, now: Moment
    ) -> Iterable[Output]:
        self._peer_revisions_by_seat[seat] = revision
        requested_revision, until_ms = self._last_request
        is_requested = revision <= requested_revision and now.monotonic_ms < until_ms
        if revision > self._revision and not is_requested:
            self._last_request = (revision, now.monotonic_ms + MIN_REQUEST_INTERVAL_MS)
            yield SendPeer(seat, TablesRequest(self._revision))

    def _start_sync(self, now: Moment) -> Iterable[Output]:
        """Query all peers at the first call; unconnected ones once they connect."""
        if self._is_started:
            return
        self._is_started = True
        yield from self._query_peers(self._peer_seats, False, now)

    def _restart_sync(self, now: Moment) -> Iterable[Output]:
        """Query the peers again after a pause.

        After the startup, only connected peers are queried; a daemon that is
        still starting queries all peers. If no peer is connected, the query
        also waits for a read of the configuration service.
        """
        if self._is_started:
            self._last_request = (NO_REVISION, 0)
            connected_seats = tuple(sorted(self._connected_seats))
            queried_seats = (
                connected_seats if self._has_emitted_synchronized else self._peer_seats
            )
            yield from self._query_peers(queried_seats, not self._connected_seats, now)

    def _query_peers(
        self, seats: Sequence[SeatNumber], awaits_read: bool, now: Moment
    ) -> Iterable[Output]:
        self._sync = RevisionSync.start(
            now.wall_ms, seats, awaits_read, now.monotonic_ms
        )
        yield WakeAt(self._sync.deadline_ms)
        for seat in seats:
            yield SendPeer(seat, RevisionQuery(self._sync.query_number))

    def _finish_sync(self, now: Moment) -> Iterable[Output]:
        if (
            self._sync is None
            or self._tables_in_force is None
            or not self._sync.is_complete(self._revision, now.monotonic_ms)
        ):
            return
        self._sync = None
        if not self._has_emitted_synchronized and not self._is_stopping:
            self._has_emitted_synchronized = True
            yield TablesSynchronized()
        for pool in self._tables_in_force.pools_by_name:
            yield Feedback(CapacityChanged(pool))
