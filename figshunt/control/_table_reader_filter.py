"""Decides whether this daemon watches the configuration service."""

from collections.abc import Iterable

from figshunt.control._views import SeatsView, TablesView
from figshunt.pipeline import Output
from figshunt.types import (
    ClockJumped,
    Message,
    Moment,
    SeatNumber,
    Step,
    TableReadsChanged,
    TableServiceRead,
    TableSourceKind,
    TablesReceived,
    TimerDue,
    WatchTables,
)

READER_TIMEOUT_MS = 2_000


class TableReaderFilter:
    """Owns the state of this daemon's reads of the configuration service.

    A daemon reads only while no lower seat of its cell can: each lower seat had
    no contact within ``READER_TIMEOUT_MS``, is draining or has announced that
    its reads fail. After a pause, a daemon reads at once, whatever its seat, and
    decides again at the next timer. Tables older than those in force count as a
    failed read, because they show that the service returned stale data.
    """

    step = Step.TABLE_SOURCE
    accepts: tuple[type[Message], ...] = (
        TimerDue,
        ClockJumped,
        TablesReceived,
        TableServiceRead,
    )

    def __init__(self, seats: SeatsView, tables: TablesView) -> None:
        self._seats = seats
        self._tables = tables
        self._is_reading = False
        self._last_read_failed = False
        self._is_stale = False

    @property
    def is_reading(self) -> bool:
        """Return whether this daemon watches the configuration service."""
        return self._is_reading

    @property
    def reads_succeed(self) -> bool:
        """Return whether the last read succeeded and its tables were not stale."""
        return not self._last_read_failed and not self._is_stale

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        previously_succeeded = self.reads_succeed
        match message:
            case TimerDue():
                yield from self._update_watch(now)
            case ClockJumped():
                self._is_reading = True
                yield WatchTables(enabled=True, restart=True)
            case TableServiceRead(succeeded):
                self._last_read_failed = not succeeded
            case TablesReceived(tables, source=TableSourceKind.SERVICE):
                current_tables = self._tables.current()
                self._is_stale = (
                    current_tables is not None
                    and tables.revision < current_tables.revision
                )
        if previously_succeeded != self.reads_succeed:
            yield TableReadsChanged(self.reads_succeed)
        yield message

    def _update_watch(self, now: Moment) -> Iterable[Output]:
        lower_seats = (
            seat for seat in self._seats.seats if seat < self._seats.own_seat
        )
        should_read = not any(
            self._is_available_reader(seat, now) for seat in lower_seats
        )
        if should_read != self._is_reading:
            self._is_reading = should_read
            yield WatchTables(enabled=should_read)

    def _is_available_reader(self, seat: SeatNumber, now: Moment) -> bool:
        age_ms = self._seats.last_contact_age_ms(seat, now)
        return (
            age_ms is not None
            and age_ms <= READER_TIMEOUT_MS
            and not self._seats.is_draining(seat)
            and self._seats.reads_tables(seat)
        )
