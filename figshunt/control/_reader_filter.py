"""Decides whether this daemon reads the configuration service."""

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
    TablesOffered,
    TableSourceKind,
    TimerDue,
    WatchTables,
)

SILENT_AFTER_MS = 2_000


class ReaderFilter:
    """Owns the state of the reads; the lowest live seat of a cell reads.

    Another seat reads while every lower one is silent, is leaving, or has
    announced that its reads fail. Tables older than those in force count as
    a failed read, since they show that the service is stale.
    """

    step = Step.TABLE_SOURCE
    accepts: tuple[type[Message], ...] = (
        TimerDue,
        ClockJumped,
        TablesOffered,
        TableServiceRead,
    )

    def __init__(self, seats: SeatsView, tables: TablesView) -> None:
        self._seats = seats
        self._tables = tables
        self._is_reading = False
        self._fails = False
        self._is_stale = False

    @property
    def is_reading(self) -> bool:
        """Return whether this daemon watches the configuration service."""
        return self._is_reading

    @property
    def works(self) -> bool:
        """Return whether the last read succeeded and was not stale."""
        return not self._fails and not self._is_stale

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        worked = self.works
        match message:
            case TimerDue():
                yield from self._choose(now)
            case ClockJumped():
                self._is_reading = True
                yield WatchTables(wanted=True, restart=True)
            case TableServiceRead(succeeded):
                self._fails = not succeeded
            case TablesOffered(tables, source=TableSourceKind.SERVICE):
                current = self._tables.current()
                self._is_stale = (
                    current is not None and tables.revision < current.revision
                )
        if worked != self.works:
            yield TableReadsChanged(self.works)
        yield message

    def _choose(self, now: Moment) -> Iterable[Output]:
        lower = (seat for seat in self._seats.seats if seat < self._seats.own_seat)
        should_read = not any(self._can_read(seat, now) for seat in lower)
        if should_read != self._is_reading:
            self._is_reading = should_read
            yield WatchTables(wanted=should_read)

    def _can_read(self, seat: SeatNumber, now: Moment) -> bool:
        age_ms = self._seats.heard_age_ms(seat, now)
        return (
            age_ms is not None
            and age_ms <= SILENT_AFTER_MS
            and not self._seats.is_draining(seat)
            and self._seats.reads_tables(seat)
        )
