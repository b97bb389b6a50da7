"""Mutual authentication of peer links with a shared secret."""

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


class LinkRole(Enum):
    """Role of the end that computed a proof.

    The proof covers the role, so it can't be reflected to its sender.
    """

    DIALLER = "dialler"
    LISTENER = "listener"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Occupant of a seat: the host and its daemon's start time."""

    seat: SeatNumber
    host: HostName
    incarnation: IncarnationNumber


class Handshake:
    """Creates and verifies the handshake messages of one daemon's links.

    A proof is an HMAC over the nonces of both ends, the seat of the receiver, and
    the role and identity of the sender. The secret is never sent, and a proof is
    not valid on another connection.
    """

    def __init__(self, identity: PeerIdentity, secret: str) -> None:
        self.identity = identity
        self._secret = secret.encode()

    def make_nonce(self) -> bytes:
        """Return a new random nonce."""
        return secrets.token_bytes(NONCE_BYTES)

    def make_hello(
        self, challenge: bytes, nonce: bytes, dialled_seat: SeatNumber
    ) -> Hello:
        """Return the dialling end's reply to a challenge."""
        own_identity = self.identity
        proof = self._compute_proof(
            LinkRole.DIALLER, challenge, nonce, dialled_seat, own_identity
        )
        return Hello(
            PROTOCOL_VERSION,
            own_identity.seat,
            own_identity.host,
            own_identity.incarnation,
            nonce,
            proof,
        )

    def check_hello(self, hello: Hello, challenge: bytes) -> PeerIdentity:
        """Verify a hello and return the identity of the dialling end.

        :raises FigshuntError: if the proof is invalid.
        """
        peer = PeerIdentity(hello.seat, hello.host, hello.incarnation)
        expected_proof = self._compute_proof(
            LinkRole.DIALLER, challenge, hello.nonce, self.identity.seat, peer
        )
        self._check_proof(expected_proof, hello.proof, peer)
        return peer

    def make_welcome(self, hello: Hello, challenge: bytes) -> Welcome:
        """Return the listening end's reply to a hello."""
        own_identity = self.identity
        proof = self._compute_proof(
            LinkRole.LISTENER, challenge, hello.nonce, hello.seat, own_identity
        )
        return Welcome(
            own_identity.seat, own_identity.host, own_identity.incarnation, proof
        )

    def check_welcome(
        self, welcome: Welcome, challenge: bytes, nonce: bytes, dialled_seat: SeatNumber
    ) -> PeerIdentity:
        """Verify a welcome and return the identity of the listening end.

        :raises FigshuntError: if the proof is invalid or the listener occupies
            another seat than the dialled one.
        """
        peer = PeerIdentity(welcome.seat, welcome.host, welcome.incarnation)
        expected_proof = self._compute_proof(
            LinkRole.LISTENER, challenge, nonce, self.identity.seat, peer
        )
        self._check_proof(expected_proof, welcome.proof, peer)
        if welcome.seat != dialled_seat:
            raise build_handshake_error(
                f"expected seat {dialled_seat}, got a reply from seat {welcome.seat}",
                dialled_seat,
            )
        return peer

    def _compute_proof(
        self,
        role: LinkRole,
        challenge: bytes,
        nonce: bytes,
        receiver_seat: SeatNumber,
        sender: PeerIdentity,
    ) -> bytes:
        host = sender.host.encode("utf-8", "surrogatepass")
        fields = (
            role.value.encode(),
            challenge,
            nonce,
            f"{receiver_seat}/{sender.seat}/{sender.incarnation}".encode(),
            host,
        )
        encoded_fields = b"".join(
            len(field).to_bytes(4, "big") + field for field in fields
        )
        return hmac.new(self._secret, encoded_fields, hashlib.sha256).digest()

    def _check_proof(
        self, expected_proof: bytes, received_proof: bytes, peer: PeerIdentity
    ) -> None:
        if not hmac.compare_digest(expected_proof, received_proof):
            raise build_handshake_error("invalid proof", peer.seat)


def build_handshake_error(detail: str, seat: SeatNumber | None = None) -> FigshuntError:
    """Return the protocol error for a failed handshake."""
    peer = None if seat is None else f"seat {seat}"
    return FigshuntError(
        ErrorCode.PEER_PROTOCOL, Step.PEER_LINK, f"handshake: {detail}", peer=peer
    )
