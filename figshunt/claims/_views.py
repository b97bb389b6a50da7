"""Read-only view of this daemon's membership in its cell."""

from typing import Protocol

from figshunt.claims._known_incarnations import KnownIncarnations
from figshunt.types import GenerationNumber, Incarnation, SeatNumber


class EstablishmentView(Protocol):
    """Identity of this daemon in its cell, and whether it may vote."""

    @property
    def own_seat(self) -> SeatNumber:
        """Return the seat of this daemon."""

    @property
    def seats(self) -> tuple[SeatNumber, ...]:
        """Return all seats of the cell."""

    @property
    def generation(self) -> GenerationNumber | None:
        """Return the generation in the tables, ``None`` before there are any."""

    @property
    def incarnation(self) -> Incarnation | None:
        """Return this occupant's incarnation, ``None`` before there are tables."""

    @property
    def established_wall_ms(self) -> int | None:
        """Return the wall time of establishment, ``None`` while not established."""

    @property
    def known(self) -> KnownIncarnations:
        """Return the latest known occupant of each seat; not to be changed."""
