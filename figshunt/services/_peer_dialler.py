"""Outgoing link to one peer."""

import asyncio
import random
from collections import Counter
from enum import Enum
from typing import TypeVar

from mode import Service
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from figshunt.codec import UnknownKind, decode_peer_message, encode_peer_message
from figshunt.runtime import EventLog, LogRateLimit, MessageSink
from figshunt.services._peer_handshake import Handshake, build_handshake_error
from figshunt.services._send_queue import SendQueue
from figshunt.settings import PeerSettings
from figshunt.types import (
    Challenge,
    Clock,
    ErrorCode,
    FigshuntError,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    Step,
    Welcome,
)

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_QUEUED_MESSAGES = 1_024
MAX_QUEUED_BYTES = 2 * MAX_MESSAGE_BYTES
HANDSHAKE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
# Pings detect a half-open connection well before the kernel's retransmission
# timeout, which can expire minutes after a network partition has healed.
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 2.0
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
FAILURE_LOG_INTERVAL_MS = 10_000


ExpectedMessage = TypeVar("ExpectedMessage", bound=PeerMessage)


class LinkCounter(Enum):
    """Counters of the peer links."""

    SENT_MESSAGES = "sent_messages"
    SENT_BYTES = "sent_bytes"
    RECEIVED_MESSAGES = "received_messages"
    RECEIVED_BYTES = "received_bytes"
    DROPPED_MESSAGES = "dropped_messages"
    UNKNOWN_KINDS = "unknown_kinds"
    PROTOCOL_ERRORS = "protocol_errors"


class PeerDialler(Service):
    """Keeps a connection to one seat open and sends queued messages on it.

    Messages sent while there is no connection are dropped and counted.
    """

    def __init__(
        self,
        peer: PeerSettings,
        handshake: Handshake,
        message_sink: MessageSink,
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
        counts: "Counter[LinkCounter]",
    ) -> None:
        super().__init__()
        self._peer = peer
        self._handshake = handshake
        self._message_sink = message_sink
        self._log = log
        self._random = random_source
        self._counts = counts
        self._failure_log_limit = LogRateLimit(clock, FAILURE_LOG_INTERVAL_MS)
        self._queue = SendQueue(MAX_QUEUED_MESSAGES, MAX_QUEUED_BYTES)
        self._task: asyncio.Task[None] | None = None
        self.is_connected = False

    async def on_start(self) -> None:
        """Start connecting to the peer."""
        self._task = asyncio.get_running_loop().create_task(self._maintain_connection())

    async def on_stop(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def wait_queue_empty(self) -> None:
        """Wait until the send queue is empty."""
        await self._queue.wait_empty()

    def send(self, message: PeerMessage) -> None:
        """Queue a message for the peer, or drop it if there is no connection."""
        if not self.is_connected:
            self._counts[LinkCounter.DROPPED_MESSAGES] += 1
            return
        dropped_before = self._queue.dropped_messages
        self._queue.put(encode_peer_message(message))
        self._counts[LinkCounter.DROPPED_MESSAGES] += (
            self._queue.dropped_messages - dropped_before
        )

    async def _maintain_connection(self) -> None:
        backoff_ms = INITIAL_BACKOFF_MS
        while True:
            try:
                await self._run_connection()
                backoff_ms = INITIAL_BACKOFF_MS
            except FigshuntError as error:
                self._counts[LinkCounter.PROTOCOL_ERRORS] += 1
                self._log_failure(error.code, error.detail)
            except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed) as error:
                self._log_failure(
                    ErrorCode.PEER_UNREACHABLE, _format_error(error), "info"
                )
            await asyncio.sleep(backoff_ms * (0.5 + self._random.random()) / 1000)
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)

    async def _run_connection(self) -> None:
        address = self._peer.address
        async with connect(
            f"ws://{address.host}:{address.port}/",
            proxy=None,
            compression=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            max_size=MAX_MESSAGE_BYTES,
            user_agent_header=None,
        ) as connection:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await self._perform_handshake(connection)
            await self._send_until_closed(connection)

    async def _perform_handshake(self, connection: ClientConnection) -> None:
        challenge = await self._receive(connection, Challenge)
        nonce = self._handshake.make_nonce()
        hello = self._handshake.make_hello(challenge.nonce, nonce, self._peer.seat)
        await connection.send(encode_peer_message(hello))
        welcome = await self._receive(connection, Welcome)
        self._handshake.check_welcome(welcome, challenge.nonce, nonce, self._peer.seat)

    async def _send_until_closed(self, connection: ClientConnection) -> None:
        sender = asyncio.get_running_loop().create_task(self._send_queued(connection))
        self.is_connected = True
        self._log.write(
            "peer_connected", step=Step.PEER_LINK.value, peer=f"seat {self._peer.seat}"
        )
        self._message_sink.submit(PeerConnected(self._peer.seat))
        try:
            await connection.wait_closed()
        finally:
            self.is_connected = False
            sender.cancel()
            self._counts[LinkCounter.DROPPED_MESSAGES] += len(self._queue)
            self._queue.clear()
            self._message_sink.submit(PeerDisconnected(self._peer.seat))
        self._log.write(
            "peer_lost",
            step=Step.PEER_LINK.value,
            peer=f"seat {self._peer.seat}",
            close_code=connection.close_code,
        )

    async def _send_queued(self, connection: ClientConnection) -> None:
        try:
            while True:
                data = await self._queue.get()
                await connection.send(data)
                self._counts[LinkCounter.SENT_MESSAGES] += 1
                self._counts[LinkCounter.SENT_BYTES] += len(data)
        except ConnectionClosed:
            return

    async def _receive(
        self, connection: ClientConnection, expected_type: type[ExpectedMessage]
    ) -> ExpectedMessage:
        data = await connection.recv()
        if isinstance(data, str):
            raise build_handshake_error(
                "got a text frame, expected a binary frame", self._peer.seat
            )
        try:
            message = decode_peer_message(data)
        except UnknownKind as error:
            raise build_handshake_error(
                f"unknown message kind {error}", self._peer.seat
            ) from error
        if not isinstance(message, expected_type):
            raise build_handshake_error(
                f"got {type(message).__name__}, expected {expected_type.__name__}",
                self._peer.seat,
            )
        return message

    def _log_failure(
        self, code: ErrorCode, detail: str, level: str = "warning"
    ) -> None:
        suppressed = self._failure_log_limit.admit()
        if suppressed is not None:
            self._log.write(
                "peer_link_failed",
                level,
                code=code.value,
                step=Step.PEER_LINK.value,
                peer=f"seat {self._peer.seat}",
                detail=detail,
                suppressed=suppressed,
            )


def _format_error(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
