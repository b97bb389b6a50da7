"""WebSocket links between the daemons of a cell, with CBOR messages."""

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
from figshunt.runtime import EventLog, LogRateLimit, MessageSink
from figshunt.services._peer_dialler import (
    CLOSE_TIMEOUT_S,
    HANDSHAKE_TIMEOUT_S,
    MAX_MESSAGE_BYTES,
    LinkCounter,
    PeerDialler,
)
from figshunt.services._peer_handshake import (
    Handshake,
    PeerIdentity,
    build_handshake_error,
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

MAX_CONNECTIONS = 64
MAX_HELLO_BYTES = 4 * 1024
ERROR_LOG_INTERVAL_MS = 200
FLUSH_TIMEOUT_S = 0.5
CLOSE_PROTOCOL_ERROR = 1002
CLOSE_TRY_AGAIN_LATER = 1013
# Protocol error, unsupported data, invalid payload data, message too big (RFC 6455).
PROTOCOL_CLOSE_CODES = frozenset({1002, 1003, 1007, 1009})


class PeerLinks(Service):
    """Sends on the links that it dials and receives on the links that it accepts.

    No input from a peer stops the daemon: messages of an unknown kind are counted
    and skipped, and malformed input is logged and closes its connection.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        identity: PeerIdentity,
        message_sink: MessageSink,
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._address = settings.peer_address
        self._handshake = Handshake(identity, settings.peer_secret)
        self._message_sink = message_sink
        self._log = log
        self._error_log_limit = LogRateLimit(clock, ERROR_LOG_INTERVAL_MS)
        self._server: Server | None = None
        self._connections_by_seat: dict[SeatNumber, ServerConnection] = {}
        self._identities_by_seat: dict[SeatNumber, PeerIdentity] = {}
        self._connection_count = 0
        self.counts: Counter[LinkCounter] = Counter()
        self.port = settings.peer_address.port
        self._diallers_by_seat = {
            peer.seat: PeerDialler(
                peer,
                self._handshake,
                message_sink,
                clock,
                log,
                random_source,
                self.counts,
            )
            for peer in settings.peers
        }

    def on_init_dependencies(self) -> list[Service]:
        """Return the diallers, which start and stop with this service."""
        return list(self._diallers_by_seat.values())

    async def on_start(self) -> None:
        """Bind the listener and set ``port`` to the bound port."""
        self._server = await serve(
            self._handle_connection,
            self._address.host,
            self._address.port,
            compression=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
            server_header=None,
            logger=logging.Logger("peer_link", logging.CRITICAL),
            create_connection=self._build_connection_class(),
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]

    async def on_stop(self) -> None:
        """Send queued messages within ``FLUSH_TIMEOUT_S`` and close the listener."""
        await self._flush()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def is_connected(self, seat: SeatNumber) -> bool:
        """Return whether the link to the seat is open."""
        return self._diallers_by_seat[seat].is_connected

    def send(self, effect: SendPeer) -> None:
        """Queue a message for a seat; without an open link the message is dropped."""
        dialler = self._diallers_by_seat.get(effect.seat)
        if dialler is not None:
            dialler.send(effect.message)

    async def _flush(self) -> None:
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                for dialler in self._diallers_by_seat.values():
                    await dialler.wait_queue_empty()
        except TimeoutError:
            pass

    async def _handle_connection(self, connection: ServerConnection) -> None:
        if self._connection_count >= MAX_CONNECTIONS:
            await connection.close(CLOSE_TRY_AGAIN_LATER)
            return
        self._connection_count += 1
        peer_name = _format_remote_address(connection)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                identity = await self._perform_handshake(connection)
            peer_name = f"seat {identity.seat}"
            await self._receive_messages(connection, identity)
        except (ConnectionClosed, OSError) as error:
            if isinstance(error, TimeoutError):
                self._record_link_error(
                    peer_name,
                    ErrorCode.PEER_PROTOCOL,
                    f"handshake timed out after {HANDSHAKE_TIMEOUT_S} s",
                )
            elif _closed_for_protocol_error(error):
                self._record_link_error(peer_name, ErrorCode.PEER_PROTOCOL, str(error))
        except FigshuntError as error:
            self._record_link_error(peer_name, error.code, error.detail)
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            self._record_link_error(peer_name, ErrorCode.INTERNAL, detail)
        finally:
            self._connection_count -= 1
            self._unregister_connection(connection)
            await connection.close(CLOSE_PROTOCOL_ERROR)

    async def _perform_handshake(self, connection: ServerConnection) -> PeerIdentity:
        challenge = Challenge(self._handshake.make_nonce())
        await connection.send(encode_peer_message(challenge))
        data = await connection.recv()
        if isinstance(data, str) or len(data) > MAX_HELLO_BYTES:
            raise build_handshake_error(
                "expected Hello as the first message, in a binary frame of at most "
                f"{MAX_HELLO_BYTES} bytes"
            )
        try:
            hello = decode_peer_message(data)
        except UnknownKind as error:
            raise build_handshake_error(f"unknown message kind {error}") from error
        if not isinstance(hello, Hello):
            raise build_handshake_error(
                f"expected Hello as the first message, got {type(hello).__name__}"
            )
        identity = self._handshake.check_hello(hello, challenge.nonce)
        if identity.seat not in self._diallers_by_seat:
            raise build_handshake_error(
                f"seat {identity.seat} does not belong to this cell", identity.seat
            )
        await self._register_connection(connection, identity)
        welcome = self._handshake.make_welcome(hello, challenge.nonce)
        await connection.send(encode_peer_message(welcome))
        self._message_sink.submit(PeerReceived(identity.seat, hello))
        return identity

    async def _register_connection(
        self, connection: ServerConnection, identity: PeerIdentity
    ) -> None:
        """Replace the seat's connection.

        :raises FigshuntError: if an occupant with a later start time is connected.
        """
        registered_identity = self._identities_by_seat.get(identity.seat)
        if (
            registered_identity is not None
            and registered_identity.incarnation > identity.incarnation
        ):
            raise build_handshake_error(
                f"host {registered_identity.host} with a later start time occupies "
                "the seat",
                identity.seat,
            )
        previous_connection = self._connections_by_seat.get(identity.seat)
        self._connections_by_seat[identity.seat] = connection
        self._identities_by_seat[identity.seat] = identity
        if previous_connection is not None:
            await previous_connection.close()

    def _unregister_connection(self, connection: ServerConnection) -> None:
        for seat, registered_connection in tuple(self._connections_by_seat.items()):
            if registered_connection is connection:
                del self._connections_by_seat[seat]
                del self._identities_by_seat[seat]

    async def _receive_messages(
        self, connection: ServerConnection, identity: PeerIdentity
    ) -> None:
        async for data in connection:
            if self._connections_by_seat.get(identity.seat) is not connection:
                return
            self.counts[LinkCounter.RECEIVED_MESSAGES] += 1
            self.counts[LinkCounter.RECEIVED_BYTES] += len(data)
            if isinstance(data, str):
                raise FigshuntError(
                    ErrorCode.PEER_PROTOCOL,
                    Step.PEER_LINK,
                    "got a text frame, expected CBOR in a binary frame",
                )
            try:
                message = decode_peer_message(data)
            except UnknownKind:
                self.counts[LinkCounter.UNKNOWN_KINDS] += 1
                continue
            self._message_sink.submit(PeerReceived(identity.seat, message))

    def _record_link_error(self, peer: str, code: ErrorCode, detail: str) -> None:
        self.counts[LinkCounter.PROTOCOL_ERRORS] += 1
        suppressed = self._error_log_limit.admit()
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

    def _build_connection_class(self) -> type[ServerConnection]:
        """Return a connection class that records failed WebSocket handshakes.

        The library itself closes such connections without an error.
        """
        record_error = self._record_link_error

        class PeerConnection(ServerConnection):
            async def handshake(self, *arguments: Any, **options: Any) -> None:
                detail = "no valid WebSocket handshake"
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
                        record_error(
                            _format_remote_address(self),
                            ErrorCode.PEER_PROTOCOL,
                            detail[:200],
                        )

        return PeerConnection


def _format_remote_address(connection: ServerConnection) -> str:
    address = connection.remote_address
    return f"{address[0]}:{address[1]}" if address else "unknown"


def _closed_for_protocol_error(error: Exception) -> bool:
    """Return whether this end closed the connection for a peer's protocol error."""
    return (
        isinstance(error, ConnectionClosed)
        and error.sent is not None
        and error.sent.code in PROTOCOL_CLOSE_CODES
        and not error.rcvd_then_sent
    )
