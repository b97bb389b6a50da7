"""Links between the daemons of a cell: websockets that carry CBOR messages."""

import asyncio
import logging
import random
from collections import Counter
from typing import Any

from mode import Service
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed
from websockets.protocol import State

from figshunt.codec import UnknownKind, decode_peer_message, encode_peer_message
from figshunt.runtime import EventLimit, EventLog, Feed
from figshunt.services._peer_dialler import (
    CLOSE_TIMEOUT_S,
    HANDSHAKE_TIMEOUT_S,
    MOST_MESSAGE_BYTES,
    LinkCount,
    PeerDialler,
)
from figshunt.services._peer_handshake import (
    Handshake,
    PeerIdentity,
    handshake_error,
)
from figshunt.settings import DaemonSettings
from figshunt.types import (
    Challenge,
    Clock,
    ErrorCode,
    FigshuntError,
    Hello,
    PeerReceived,
    SeatNumber,
    SendPeer,
    Step,
)

MOST_CONNECTIONS = 64
MOST_HELLO_BYTES = 4 * 1024
ERROR_LOG_INTERVAL_MS = 200
FLUSH_LIMIT_S = 0.5
CLOSE_PROTOCOL_ERROR = 1002
CLOSE_TRY_AGAIN_LATER = 1013
# Protocol error, unsupported data, bad encoding, message too large.
PROTOCOL_CLOSE_CODES = frozenset({1002, 1003, 1007, 1009})


class PeerLinks(Service):
    """Dials every peer, sends on those links, and receives on accepted ones.

    Nothing that a peer sends ends the daemon: an unknown kind is counted and
    skipped, anything malformed closes that connection and is logged.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        identity: PeerIdentity,
        feed: Feed,
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._address = settings.peer_address
        self._handshake = Handshake(identity, settings.peer_secret)
        self._feed = feed
        self._log = log
        self._error_limit = EventLimit(clock, ERROR_LOG_INTERVAL_MS)
        self._server: Server | None = None
        self._accepted_by_seat: dict[SeatNumber, ServerConnection] = {}
        self._identities_by_seat: dict[SeatNumber, PeerIdentity] = {}
        self._connections = 0
        self.counts: Counter[LinkCount] = Counter()
        self.port = settings.peer_address.port
        self._diallers_by_seat = {
            peer.seat: PeerDialler(
                peer, self._handshake, feed, clock, log, random_source, self.counts
            )
            for peer in settings.peers
        }

    def on_init_dependencies(self) -> list[Service]:
        """Return the diallers."""
        return list(self._diallers_by_seat.values())

    async def on_start(self) -> None:
        """Bind the listener; ``port`` then holds the bound port."""
        self._server = await serve(
            self._accept,
            self._address.host,
            self._address.port,
            compression=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            max_size=MOST_MESSAGE_BYTES,
            server_header=None,
            logger=logging.Logger("peer_link", logging.CRITICAL),
            create_connection=self._connection_type(),
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]

    async def on_stop(self) -> None:
        """Send what waits, as far as that is quick, and close the listener."""
        await self._flush()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def is_connected(self, seat: SeatNumber) -> bool:
        """Return whether messages to the seat can be sent now."""
        return self._diallers_by_seat[seat].is_connected

    def send(self, effect: SendPeer) -> None:
        """Queue a message for a seat; it is lost if there is no link."""
        dialler = self._diallers_by_seat.get(effect.seat)
        if dialler is not None:
            dialler.send(effect.message)

    async def _flush(self) -> None:
        try:
            async with asyncio.timeout(FLUSH_LIMIT_S):
                for dialler in self._diallers_by_seat.values():
                    await dialler.wait_sent()
        except TimeoutError:
            pass

    async def _accept(self, connection: ServerConnection) -> None:
        if self._connections >= MOST_CONNECTIONS:
            await connection.close(CLOSE_TRY_AGAIN_LATER)
            return
        self._connections += 1
        peer_name = _remote_name(connection)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                identity = await self._open(connection)
            peer_name = f"seat {identity.seat}"
            await self._receive_all(connection, identity)
        except (ConnectionClosed, OSError) as error:
            if isinstance(error, TimeoutError):
                self._report(peer_name, ErrorCode.PEER_PROTOCOL, "handshake timed out")
            elif _is_protocol_close(error):
                self._report(peer_name, ErrorCode.PEER_PROTOCOL, str(error))
        except FigshuntError as error:
            self._report(peer_name, error.code, error.detail)
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            self._report(peer_name, ErrorCode.INTERNAL, detail)
        finally:
            self._connections -= 1
            self._forget(connection)
            await connection.close(CLOSE_PROTOCOL_ERROR)

    async def _open(self, connection: ServerConnection) -> PeerIdentity:
        challenge = Challenge(self._handshake.make_nonce())
        await connection.send(encode_peer_message(challenge))
        data = await connection.recv()
        if isinstance(data, str) or len(data) > MOST_HELLO_BYTES:
            raise handshake_error("the first message is no Hello")
        try:
            hello = decode_peer_message(data)
        except UnknownKind as error:
            raise handshake_error(f"unknown kind {error}") from error
        if not isinstance(hello, Hello):
            raise handshake_error("the first message is no Hello")
        identity = self._handshake.check_hello(hello, challenge.nonce)
        if identity.seat not in self._diallers_by_seat:
            raise handshake_error("not a seat of this cell", identity.seat)
        await self._take_seat(connection, identity)
        welcome = self._handshake.make_welcome(hello, challenge.nonce)
        await connection.send(encode_peer_message(welcome))
        self._feed.feed(PeerReceived(identity.seat, hello))
        return identity

    async def _take_seat(
        self, connection: ServerConnection, identity: PeerIdentity
    ) -> None:
        """Make this the seat's only connection, unless a newer occupant has one."""
        present = self._identities_by_seat.get(identity.seat)
        if present is not None and present.incarnation > identity.incarnation:
            raise handshake_error(
                f"host {present.host} occupies the seat since a later time",
                identity.seat,
            )
        previous = self._accepted_by_seat.get(identity.seat)
        self._accepted_by_seat[identity.seat] = connection
        self._identities_by_seat[identity.seat] = identity
        if previous is not None:
            await previous.close()

    def _forget(self, connection: ServerConnection) -> None:
        for seat, accepted in tuple(self._accepted_by_seat.items()):
            if accepted is connection:
                del self._accepted_by_seat[seat]
                del self._identities_by_seat[seat]

    async def _receive_all(
        self, connection: ServerConnection, identity: PeerIdentity
    ) -> None:
        async for data in connection:
            if self._accepted_by_seat.get(identity.seat) is not connection:
                return
            self.counts[LinkCount.RECEIVED_MESSAGES] += 1
            self.counts[LinkCount.RECEIVED_BYTES] += len(data)
            if isinstance(data, str):
                raise FigshuntError(
                    ErrorCode.PEER_PROTOCOL, Step.PEER_LINK, "got text, expected CBOR"
                )
            try:
                message = decode_peer_message(data)
            except UnknownKind:
                self.counts[LinkCount.UNKNOWN_KINDS] += 1
                continue
            self._feed.feed(PeerReceived(identity.seat, message))

    def _report(self, peer: str, code: ErrorCode, detail: str) -> None:
        self.counts[LinkCount.PROTOCOL_ERRORS] += 1
        suppressed = self._error_limit.admit()
        if suppressed is not None:
            self._log.write(
                "peer_refused",
                "warning",
                code=code.value,
                step=Step.PEER_LINK.value,
                peer=peer,
                detail=detail,
                suppressed=suppressed,
            )

    def _connection_type(self) -> type[ServerConnection]:
        """Return a connection that reports a failed opening handshake.

        The library drops such a connection without a word.
        """
        report = self._report

        class PeerConnection(ServerConnection):
            async def handshake(self, *arguments: Any, **options: Any) -> None:
                detail = "not a websocket"
                try:
                    await super().handshake(*arguments, **options)
                    if self.protocol.state is State.OPEN:
                        return
                    detail = f"{detail}: {self.protocol.handshake_exc}"
                except asyncio.CancelledError:
                    detail = f"{detail} within {HANDSHAKE_TIMEOUT_S} s"
                    raise
                finally:
                    if self.protocol.state is not State.OPEN:
                        report(
                            _remote_name(self), ErrorCode.PEER_PROTOCOL, detail[:200]
                        )

        return PeerConnection


def _remote_name(connection: ServerConnection) -> str:
    address = connection.remote_address
    return f"{address[0]}:{address[1]}" if address else "unknown"


def _is_protocol_close(error: Exception) -> bool:
    """Return whether this end closed because of what the other end sent."""
    return (
        isinstance(error, ConnectionClosed)
        and error.sent is not None
        and error.sent.code in PROTOCOL_CLOSE_CODES
        and not error.rcvd_then_sent
    )
