"""Read-only views that control filters offer to the filters behind them."""

from dataclasses import dataclass
from typing import Protocol

from figshunt.tables import Tables
from figshunt.types import (
    LoadReport,
    Moment,
    RunnerId,
    RunnerPhase,
    SeatNumber,
    StartIdentity,
)


@dataclass(frozen=True, slots=True)
class RunnerStanding:
    """What is known of one runner at one moment.

    ``report``, measured at ``measured_ms``, is ``None`` unless it is fresh;
    ``start`` and ``base`` tell on which view of the warm-up the limit rests.
    Until ``valid_until_ms`` only a :class:`figshunt.types.RunnerChanged` can
    make it wrong.
    """

    phase: RunnerPhase
    limit: int
    start: StartIdentity | None
    base: int
    report: LoadReport | None
    measured_ms: int
    valid_until_ms: int


class TablesView(Protocol):
    """The tables in force."""

    def current(self) -> Tables | None:
        """Return the tables in force, or ``None`` before the first revision."""


class RunnersView(Protocol):
    """What is known of each runner."""

    def phase(self, runner_id: RunnerId, now: Moment) -> RunnerPhase:
        """Return the runner's phase; an unknown runner is lost."""

    def limit(self, runner_id: RunnerId, now: Moment) -> int:
        """Return how many requests the runner may carry, over all hosts.

        Zero where it may receive no new work at all.
        """

    def standing(self, runner_id: RunnerId, now: Moment) -> RunnerStanding:
        """Return all that is known of the runner at once."""

    def report(self, runner_id: RunnerId) -> LoadReport | None:
        """Return the last report of the runner since it was last lost."""


class SeatsView(Protocol):
    """Which seats of the cell this daemon hears."""

    @property
    def own_seat(self) -> SeatNumber:
        """Return the seat of this daemon."""

    @property
    def seats(self) -> tuple[SeatNumber, ...]:
        """Return all seats of the cell, in order."""

    def is_heard(self, seat: SeatNumber, now: Moment) -> bool:
        """Return whether the seat sent a heartbeat recently."""

    def hears_majority(self, now: Moment) -> bool:
        """Return whether this daemon and those it hears are a majority."""

    def is_draining(self, seat: SeatNumber) -> bool:
        """Return whether the seat's daemon is shutting down."""

    def heard_age_ms(self, seat: SeatNumber, now: Moment) -> int | None:
        """Return how long ago the seat was surely alive, if it ever was."""

    def reads_tables(self, seat: SeatNumber) -> bool:
        """Return whether the seat's reads of the configuration service succeed."""
