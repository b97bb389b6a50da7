"""Peer messages for lending slots between the daemons of one cell."""

from dataclasses import dataclass

from figshunt.types._identifiers import PoolName, RunnerId, StartIdentity, Tier
from figshunt.types._peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class SlotRequestId:
    """Identifies one request for slots.

    ``session`` differs between the occupants of a seat, so an occupant never
    accepts slots that an earlier one requested.
    """

    session: int
    number: int


@dataclass(frozen=True, slots=True)
class SlotRequest(PeerMessage):
    """Requests free slots of a pool from their owner.

    For the borrower, the loan ends ``lease_ms`` after it sent this request.
    The owner counts from the time at which it granted the loan, so the loan
    always ends earlier for the borrower than for the owner.
    """

    ask: SlotRequestId
    pool: PoolName
    tier: Tier
    wanted: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class LoanedSlots:
    """Slots of one runner in one loan.

    The loan is based on the runner's limit for ``start`` without its first
    ``base`` completions. ``start`` is ``None`` for slots of the cold limit.
    """

    loan: int
    runner_id: RunnerId
    count: int
    start: StartIdentity | None
    base: int


@dataclass(frozen=True, slots=True)
class SlotLoan(PeerMessage):
    """Lends slots; an empty loan means that none are free.

    Attempts may start on the slots until ``start_within_ms`` after the request
    was sent.
    """

    ask: SlotRequestId
    start_within_ms: int
    slots: tuple[LoanedSlots, ...]


@dataclass(frozen=True, slots=True)
class ReturnedSlots:
    """The number of slots of a loan returned so far, including this message."""

    loan: int
    returned: int


@dataclass(frozen=True, slots=True)
class SlotReturn(PeerMessage):
    """Returns slots before their lease ends."""

    loans: tuple[ReturnedSlots, ...]


@dataclass(frozen=True, slots=True)
class SlotOffer(PeerMessage):
    """Offers slots of a pool that a daemon can lend while it shuts down."""

    pool: PoolName
    count: int
