"""Handshake messages that open a link between peers."""

from dataclasses import dataclass, field

from figshunt.types._identifiers import HostName, IncarnationNumber, SeatNumber
from figshunt.types._peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class Challenge(PeerMessage):
    """The listening daemon's random nonce, to which the proofs are bound."""

    nonce: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """The dialling daemon's identity and its proof that it is a peer."""

    version: int
    seat: SeatNumber
    host: HostName
    incarnation: IncarnationNumber
    nonce: bytes = field(repr=False)
    proof: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Welcome(PeerMessage):
    """The listening daemon's identity and proof; the dialling one may now send."""

    seat: SeatNumber
    host: HostName
    incarnation: IncarnationNumber
    proof: bytes = field(repr=False)
