"""Proofs that both ends of a peer link know the shared secret."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from enum import Enum

from figshunt.types import (
    ErrorCode,
    FigshuntError,
    Hello,
    HostName,
    IncarnationNumber,
    SeatNumber,
    Step,
    Welcome,
)

NONCE_BYTES = 32
PROTOCOL_VERSION = 1


class LinkEnd(Enum):
    """Which end made a proof, so that none can be sent back to its maker."""

    DIALLER = "dialler"
    LISTENER = "listener"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """The occupant of a seat: a host and the start time of its daemon."""

    seat: SeatNumber
    host: HostName
    incarnation: IncarnationNumber


class Handshake:
    """Makes and checks the proofs of one daemon's links.

    A proof is an HMAC over both ends' random values, the seat that was
    dialled and the identity of the end that makes it. The secret is never
    sent, and a proof is of no use on another connection.
    """

    def __init__(self, identity: PeerIdentity, secret: str) -> None:
        self.identity = identity
        self._secret = secret.encode()

    def make_nonce(self) -> bytes:
        """Return a new random value."""
        return secrets.token_bytes(NONCE_BYTES)

    def make_hello(self, challenge: bytes, nonce: bytes, dialled: SeatNumber) -> Hello:
        """Return the dialling end's answer to a challenge."""
        own = self.identity
        proof = self._prove(LinkEnd.DIALLER, challenge, nonce, dialled, own)
        return Hello(
            PROTOCOL_VERSION, own.seat, own.host, own.incarnation, nonce, proof
        )

    def check_hello(self, hello: Hello, challenge: bytes) -> PeerIdentity:
        """Return who dialled.

        :raises FigshuntError: if the proof is wrong.
        """
        peer = PeerIdentity(hello.seat, hello.host, hello.incarnation)
        expected = self._prove(
            LinkEnd.DIALLER, challenge, hello.nonce, self.identity.seat, peer
        )
        self._compare(expected, hello.proof, peer)
        return peer

    def make_welcome(self, hello: Hello, challenge: bytes) -> Welcome:
        """Return the listening end's proof."""
        own = self.identity
        proof = self._prove(LinkEnd.LISTENER, challenge, hello.nonce, hello.seat, own)
        return Welcome(own.seat, own.host, own.incarnation, proof)

    def check_welcome(
        self, welcome: Welcome, challenge: bytes, nonce: bytes, dialled: SeatNumber
    ) -> PeerIdentity:
        """Return who listens.

        :raises FigshuntError: if the proof is wrong or the seat isn't the one
            that was dialled.
        """
        peer = PeerIdentity(welcome.seat, welcome.host, welcome.incarnation)
        expected = self._prove(
            LinkEnd.LISTENER, challenge, nonce, self.identity.seat, peer
        )
        self._compare(expected, welcome.proof, peer)
        if welcome.seat != dialled:
            raise handshake_error(f"seat {welcome.seat} answered", dialled)
        return peer

    def _prove(
        self,
        end: LinkEnd,
        challenge: bytes,
        nonce: bytes,
        addressee: SeatNumber,
        maker: PeerIdentity,
    ) -> bytes:
        host = maker.host.encode("utf-8", "surrogatepass")
        parts = (
            end.value.encode(),
            challenge,
            nonce,
            f"{addressee}/{maker.seat}/{maker.incarnation}".encode(),
            host,
        )
        framed = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
        return hmac.new(self._secret, framed, hashlib.sha256).digest()

    def _compare(self, expected: bytes, actual: bytes, peer: PeerIdentity) -> None:
        if not hmac.compare_digest(expected, actual):
            raise handshake_error("the proof is wrong", peer.seat)


def handshake_error(detail: str, seat: SeatNumber | None = None) -> FigshuntError:
    """Return a protocol error at the opening of a link."""
    peer = None if seat is None else f"seat {seat}"
    return FigshuntError(
        ErrorCode.PEER_PROTOCOL, Step.PEER_LINK, f"handshake: {detail}", peer=peer
    )
