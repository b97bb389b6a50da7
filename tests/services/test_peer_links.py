"""Peer links over loopback sockets, with correct and with misbehaving peers."""

import asyncio
import random
import unittest
from collections.abc import Callable
from dataclasses import replace

import cbor2
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

from figshunt.codec import decode_peer_message, encode_peer_message
from figshunt.runtime import EventLog
from figshunt.services import Handshake, LinkCounter, PeerIdentity, PeerLinks
from figshunt.services._peer_dialler import MAX_MESSAGE_BYTES
from figshunt.services._send_queue import SendQueue
from figshunt.settings import Address, DaemonSettings, PeerSettings, check_settings
from figshunt.types import (
    Challenge,
    Heartbeat,
    Hello,
    HostName,
    IncarnationNumber,
    Message,
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    RevisionNumber,
    SeatNumber,
    SendPeer,
    SystemClock,
    Welcome,
)
from tests.builders import build_settings_document
from tests.harness import FaultProxy

TIMEOUT_S = 10.0
SECRET = build_settings_document()["peer_secret"]
HEARTBEAT = Heartbeat(RevisionNumber(1), False, True)


class RecordingMessageSink:
    """Records the messages that the links pass to the core."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def submit(self, message: Message) -> None:
        self.messages.append(message)

    def heartbeats(self) -> list[Message]:
        return [
            message
            for message in self.messages
            if isinstance(message, PeerReceived)
            and isinstance(message.message, Heartbeat)
        ]


def build_identity(seat: int, incarnation: int = 1) -> PeerIdentity:
    return PeerIdentity(
        SeatNumber(seat), HostName(f"host-{seat}"), IncarnationNumber(incarnation)
    )


def build_links(
    seat: int, message_sink: RecordingMessageSink, peer_port: int
) -> PeerLinks:
    settings = check_settings(build_settings_document(seat=seat)).settings
    assert isinstance(settings, DaemonSettings)
    peer = PeerSettings(SeatNumber(1 - seat), Address("127.0.0.1", peer_port))
    return PeerLinks(
        replace(settings, peers=(peer,)),
        build_identity(seat),
        message_sink,
        SystemClock(),
        EventLog({}),
        random.Random(seat),
    )


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    """Links of two daemons that reach each other through fault proxies."""

    async def asyncSetUp(self) -> None:
        self.message_sinks = [RecordingMessageSink(), RecordingMessageSink()]
        self.proxies = [await FaultProxy().start() for _ in self.message_sinks]
        self.links = [
            build_links(seat, self.message_sinks[seat], self.proxies[1 - seat].port)
            for seat in (0, 1)
        ]
        for seat, links in enumerate(self.links):
            await links.start()
            self.proxies[seat].target_port = links.port

    async def asyncTearDown(self) -> None:
        for links in self.links:
            await links.stop()
        for proxy in self.proxies:
            await proxy.stop()

    async def wait_connected(self) -> None:
        await wait_until(lambda: self.links[0].is_connected(SeatNumber(1)))

    async def send_and_wait(self, expected_count: int = 1) -> None:
        self.links[0].send(SendPeer(SeatNumber(1), HEARTBEAT))
        await wait_until(
            lambda: len(self.message_sinks[1].heartbeats()) >= expected_count
        )

    async def open_raw_link(
        self, secret: str = SECRET, identity: PeerIdentity = build_identity(0, 5)
    ) -> ClientConnection:
        """Open a link to seat 1 without ``PeerDialler`` and send a hello."""
        connection = await connect(f"ws://127.0.0.1:{self.links[1].port}/", proxy=None)
        challenge = decode_peer_message(bytes(await connection.recv()))
        assert isinstance(challenge, Challenge)
        handshake = Handshake(identity, secret)
        hello = handshake.make_hello(
            challenge.nonce, handshake.make_nonce(), SeatNumber(1)
        )
        await connection.send(encode_peer_message(hello))
        return connection

    async def test_messages_and_connection_events_reach_core(self) -> None:
        """Guards against lost or repeated messages between two connected daemons."""
        await self.wait_connected()
        await self.send_and_wait()
        self.assertIn(PeerConnected(SeatNumber(1)), self.message_sinks[0].messages)
        received = self.message_sinks[1].heartbeats()
        self.assertEqual(received, [PeerReceived(SeatNumber(0), HEARTBEAT)])

    async def test_link_reconnects_after_connection_loss(self) -> None:
        """A lost connection must be reported, and messages without one be dropped."""
        await self.wait_connected()
        self.proxies[1].cut()
        await wait_until(
            lambda: PeerDisconnected(SeatNumber(1)) in self.message_sinks[0].messages
        )
        self.links[0].send(SendPeer(SeatNumber(1), HEARTBEAT))
        self.assertEqual(self.links[0].counts[LinkCounter.DROPPED_MESSAGES], 1)
        self.proxies[1].restore()
        await self.wait_connected()
        await self.send_and_wait()

    async def test_half_open_link_is_detected_and_replaced(self) -> None:
        """Guards against a link that stays half-open after a partition has healed."""
        await self.wait_connected()
        self.proxies[1].freeze()
        await wait_until(
            lambda: PeerDisconnected(SeatNumber(1)) in self.message_sinks[0].messages
        )
        self.proxies[1].restore()
        await self.wait_connected()
        await self.send_and_wait()

    async def test_malformed_message_closes_only_its_connection(self) -> None:
        """Malformed input from one peer must not stop the daemon or its other links."""
        heartbeat = encode_peer_message(HEARTBEAT)
        cases: dict[str, bytes | str] = {
            "not CBOR": b"\xff\x00garbage",
            "text": "hello",
            "not a message": cbor2.dumps({"a": 1}),
            "wrong field type": cbor2.dumps([1, "Heartbeat", {"revision": "x"}]),
            "missing fields": cbor2.dumps([1, "Heartbeat", {}]),
            "huge number": cbor2.dumps([1, "TablesRequest", {"above": 10**5000}]),
            "deep nesting": b"\x81" * 100_000,
            "truncated": heartbeat[:-3],
            "oversized": bytes(MAX_MESSAGE_BYTES + 1),
        }
        for name, data in cases.items():
            with self.subTest(name):
                errors_before = self.links[1].counts[LinkCounter.PROTOCOL_ERRORS]
                connection = await self.open_raw_link()
                self.assertIsInstance(
                    decode_peer_message(bytes(await connection.recv())), Welcome
                )
                with self.assertRaises(ConnectionClosed):
                    await connection.send(data)
                    async with asyncio.timeout(TIMEOUT_S):
                        await connection.recv()
                await wait_until(
                    lambda: self.links[1].counts[LinkCounter.PROTOCOL_ERRORS]
                    > errors_before
                )
                self.assertFalse(self.message_sinks[1].heartbeats())
        await self.wait_connected()
        await self.send_and_wait()

    async def test_unknown_message_kind_is_counted_and_skipped(self) -> None:
        """A message kind that only newer daemons know must not close the link."""
        connection = await self.open_raw_link()
        await connection.send(cbor2.dumps([2, "FutureKind", {"a": 1}]))
        await connection.send(encode_peer_message(HEARTBEAT))
        await wait_until(self.message_sinks[1].heartbeats)
        self.assertEqual(self.links[1].counts[LinkCounter.UNKNOWN_KINDS], 1)
        await connection.close()

    async def test_peers_with_wrong_secret_or_seat_are_rejected(self) -> None:
        """Guards against messages from peers with a wrong secret or an invalid seat."""
        cases = {
            "wrong secret": ("another-secret-of-length", build_identity(0, 5)),
            "own seat": (SECRET, build_identity(1, 5)),
            "unknown seat": (SECRET, build_identity(7, 5)),
        }
        for name, (secret, identity) in cases.items():
            with self.subTest(name):
                connection = await self.open_raw_link(secret, identity)
                with self.assertRaises(ConnectionClosed):
                    await connection.recv()
        self.assertEqual(
            [
                message
                for message in self.message_sinks[1].messages
                if isinstance(message, PeerReceived)
                and isinstance(message.message, Hello)
                and message.message.incarnation == 5
            ],
            [],
        )

    async def test_proof_is_rejected_on_another_connection(self) -> None:
        """Guards against replay of a recorded handshake."""
        first = await self.open_raw_link()
        await first.recv()
        replayed_hello = Handshake(build_identity(0, 5), SECRET).make_hello(
            b"c" * 32, b"n" * 32, SeatNumber(1)
        )
        second = await connect(f"ws://127.0.0.1:{self.links[1].port}/", proxy=None)
        await second.recv()
        await second.send(encode_peer_message(replayed_hello))
        with self.assertRaises(ConnectionClosed):
            await second.recv()
        await first.close()

    async def test_non_websocket_input_is_rejected(self) -> None:
        """Bytes that are not HTTP must be counted and must not stop the daemon."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.links[1].port)
        writer.write(bytes(range(256)) * 8 + b"\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            while await reader.read(1024):
                pass
        writer.close()
        await wait_until(lambda: self.links[1].counts[LinkCounter.PROTOCOL_ERRORS])
        await self.wait_connected()
        await self.send_and_wait()

    async def test_older_occupant_does_not_replace_newer_one(self) -> None:
        """A suspended daemon that resumes must not replace its successor's link."""
        newer = await self.open_raw_link(identity=build_identity(0, 9))
        await newer.recv()
        older = await self.open_raw_link(identity=build_identity(0, 5))
        with self.assertRaises(ConnectionClosed):
            await older.recv()
        await newer.send(encode_peer_message(HEARTBEAT))
        await wait_until(self.message_sinks[1].heartbeats)
        await newer.close()


class HandshakeTest(unittest.TestCase):
    """The dialling end authenticates the listening end as well."""

    def test_listener_without_secret_is_rejected(self) -> None:
        """Guards against sending tables to another process on a peer's address."""
        dialler = Handshake(build_identity(0), SECRET)
        for secret, seat in ((SECRET, 1), ("another-secret-of-length", 1), (SECRET, 2)):
            listener = Handshake(build_identity(seat), secret)
            hello = dialler.make_hello(b"c", b"n", SeatNumber(1))
            welcome = listener.make_welcome(hello, b"c")
            accepted = True
            try:
                dialler.check_welcome(welcome, b"c", b"n", SeatNumber(1))
            except Exception:
                accepted = False
            self.assertEqual(accepted, secret == SECRET and seat == 1)


class SendQueueTest(unittest.TestCase):
    """The queue must not grow without bound if a peer doesn't read."""

    def test_oldest_messages_are_dropped_and_counted(self) -> None:
        for max_messages, max_bytes in ((3, 1000), (1000, 30)):
            queue = SendQueue(max_messages, max_bytes)
            for number in range(10):
                queue.put(bytes([number]) * 10)
            queue.put(bytes(2000))
            self.assertEqual(
                (len(queue), queue.queued_bytes, queue.dropped_messages), (3, 30, 8)
            )
            self.assertEqual(asyncio.run(queue.get()), bytes([7]) * 10)
