"""Messages that open a peer link, before anything else is exchanged on it."""

from dataclasses import dataclass, field

from figshunt.types._identifiers import HostName, IncarnationNumber, SeatNumber
from figshunt.types._peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class Challenge(PeerMessage):
    """The listening daemon's random value, which the proofs are bound to."""

    nonce: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """Who dials: seat, host, incarnation, and a proof that it is a peer."""

    version: int
    seat: SeatNumber
    host: HostName
    incarnation: IncarnationNumber
    nonce: bytes = field(repr=False)
    proof: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Welcome(PeerMessage):
    """The listening daemon's own proof; the dialling one may send from now on."""

    seat: SeatNumber
    host: HostName
    incarnation: IncarnationNumber
    proof: bytes = field(repr=False)
