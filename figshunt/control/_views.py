"""Read-only views that control filters offer to later filters of the pipeline."""

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
class RunnerStatus:
    """The state of one runner at one moment.

    ``report``, measured at ``measured_ms``, and ``start`` are ``None`` unless a
    fresh report confirms how far the runner is warmed up. ``limit`` was computed
    for the runner's ``start`` and without its first ``base`` completions. The
    state remains valid until ``valid_until_ms`` unless a
    :class:`figshunt.types.RunnerChanged` is emitted for the runner.
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
    """The state of each runner."""

    def phase(self, runner_id: RunnerId, now: Moment) -> RunnerPhase:
        """Return the runner's phase, ``LOST`` for an unknown runner."""

    def limit(self, runner_id: RunnerId, now: Moment) -> int:
        """Return how many requests the runner may run at once, over all hosts.

        The limit is zero if the runner must not receive new work.
        """

    def status(self, runner_id: RunnerId, now: Moment) -> RunnerStatus:
        """Return the complete state of the runner."""

    def report(self, runner_id: RunnerId) -> LoadReport | None:
        """Return the last load report since the runner was last unreachable."""


class KeyGrantsView(Protocol):
    """Whether this daemon can run requests with an idempotency key."""

    def is_granting_keys(self, now: Moment) -> bool:
        """Return whether this seat's cell grants keys that are issued now."""


class SeatsView(Protocol):
    """The seats of the cell and whether this daemon can reach them."""

    @property
    def own_seat(self) -> SeatNumber:
        """Return the seat of this daemon."""

    @property
    def seats(self) -> tuple[SeatNumber, ...]:
        """Return all seats of the cell, in order."""

    def is_reachable(self, seat: SeatNumber, now: Moment) -> bool:
        """Return whether the seat's daemon was in contact recently."""

    def has_quorum(self, now: Moment) -> bool:
        """Return whether this daemon and its reachable peers form a majority."""

    def is_draining(self, seat: SeatNumber) -> bool:
        """Return whether the seat's daemon is stopping or its host is leaving."""

    def last_contact_age_ms(self, seat: SeatNumber, now: Moment) -> int | None:
        """Return the time since the last contact with the seat, if there was one."""

    def reads_tables(self, seat: SeatNumber) -> bool:
        """Return whether the seat's reads of the configuration service succeed."""
