"""Lending of slots between the daemons of one cell."""

from dataclasses import dataclass

from figshunt.types._identifiers import PoolName, RunnerId, StartIdentity, Tier
from figshunt.types._peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class AskId:
    """Identifies one request for slots.

    ``session`` differs between the occupants of a seat, so that a successor
    never takes up what its predecessor asked for.
    """

    session: int
    number: int


@dataclass(frozen=True, slots=True)
class SlotRequest(PeerMessage):
    """Asks the owner for free slots of a pool.

    A loan ends ``lease_ms`` after the borrower sent this, which is before it
    ends for the owner, who counts from when the loan was granted.
    """

    ask: AskId
    pool: PoolName
    tier: Tier
    wanted: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class LoanedSlots:
    """Slots of one runner in one loan.

    ``start`` and ``base`` tell which view of the runner's warm-up the loan
    rests on; ``start`` is ``None`` for slots that the runner has when cold.
    """

    loan: int
    runner_id: RunnerId
    count: int
    start: StartIdentity | None
    base: int


@dataclass(frozen=True, slots=True)
class SlotLoan(PeerMessage):
    """Lends slots; without any, tells that none are free.

    Attempts may start on them until ``start_within_ms`` after the request
    was sent.
    """

    ask: AskId
    start_within_ms: int
    slots: tuple[LoanedSlots, ...]


@dataclass(frozen=True, slots=True)
class ReturnedSlots:
    """How many slots of a loan were returned so far, this message included."""

    loan: int
    returned: int


@dataclass(frozen=True, slots=True)
class SlotReturn(PeerMessage):
    """Gives slots back before their lease ends."""

    loans: tuple[ReturnedSlots, ...]


@dataclass(frozen=True, slots=True)
class SlotOffer(PeerMessage):
    """Tells that a daemon that shuts down can lend so many slots of a pool."""

    pool: PoolName
    count: int
