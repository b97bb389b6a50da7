"""Forwards published items to hosts that can't read the store themselves."""

import asyncio
import random
from collections.abc import Callable, Sequence

from mode import Service
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from figshunt.directory import PublishedItem
from figshunt.dispatch import HostStatus
from figshunt.gateway._mirror_codec import MirrorMessage, decode_items, encode_items
from figshunt.gateway._outage import OutageRecord
from figshunt.gateway._peer_choice import PeerChoice
from figshunt.gateway._published_items import ItemOrigin, PublishedItems
from figshunt.gateway._settings import Address
from figshunt.runtime import EventLog
from figshunt.types import Clock, Step

# A published value has at most 1 MB, but a copy of all items may have several.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

# Messages of this size take a noticeable time on a slow link.
MIN_LOGGED_BYTES = 10_000

# A reader sends nothing, so that what a listener receives is bounded like this.
MAX_READER_MESSAGE_BYTES = 1_024

# Without changes a mirror sends an empty message this often, which confirms that it
# can still read the store.
HEARTBEAT_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.7

# Opening a connection takes up to this many turns of the event loop. On an overloaded
# host each may take 0.1 s and more, so that 0.7 s were never enough. Of the turns that
# were measured the longest counts, less a tenth for each later one.
CONNECT_TURNS = 10
MAX_CONNECT_TIMEOUT_S = 3.0
TURN_DECAY = 0.9

# Interval of the check whether a mirror is needed, and the shortest time between two
# attempts to read one.
CHECK_INTERVAL_S = 0.1


class MirrorListener(Service):
    """Sends each connected peer all published items, and then each change.

    The first message on a connection is a complete copy: an item that it lacks had
    been deleted by its revision. A copy need not have tombstones of such items.

    Each message states whether this host can read the store at present. If it
    can't, its copy is still useful to a host that starts during the outage.
    """

    def __init__(self, address: Address, items: PublishedItems, log: EventLog) -> None:
        super().__init__()
        self._address = address
        self._items = items
        self._log = log
        self._server: Server | None = None

    @property
    def port(self) -> int:
        """Return the bound port."""
        assert self._server is not None
        port: int = next(iter(self._server.sockets)).getsockname()[1]
        return port

    async def on_start(self) -> None:
        """Start listening."""
        self._server = await serve(
            self._serve_peer,
            self._address.ip,
            self._address.port,
            compression=None,
            max_size=MAX_READER_MESSAGE_BYTES,
            max_queue=1,
            ping_interval=None,
            close_timeout=CONNECT_TIMEOUT_S,
        )

    async def on_stop(self) -> None:
        """Close the listener and its connections."""
        if self._server is not None:
            self._server.close()

    async def _serve_peer(self, connection: ServerConnection) -> None:
        try:
            await self._send_changes(connection)
        except ConnectionClosed:
            # The peer closes the connection once it can read the store itself.
            return

    async def _send_changes(self, connection: ServerConnection) -> None:
        sent_items: dict[str, PublishedItem] = {}
        while True:
            # A deletion may have the revision of the item that it replaces.
            changed_items = [
                item
                for item in self._items.all_items()
                if sent_items.get(item.key) is not item
            ]
            sent_items.update((item.key, item) for item in changed_items)
            can_read_store = self._items.is_available(ItemOrigin.STORE)
            data = encode_items(changed_items, self._items.version, can_read_store)
            if len(data) >= MIN_LOGGED_BYTES:
                self._log.write("mirror_sent", step=Step.STORE.value, bytes=len(data))
            await connection.send(data)
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self._items.wait_for_change()
            except TimeoutError:
                continue


class MirrorReader(Service):
    """Reads from a peer while this host's own reads fail or its copy is out of date."""

    def __init__(
        self,
        items: PublishedItems,
        outage: OutageRecord,
        port: int,
        statuses: Callable[[], Sequence[HostStatus]],
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._items = items
        self._outage = outage
        self._port = port
        self._statuses = statuses
        self._clock = clock
        self._log = log
        self._choice = PeerChoice(random_source)
        self._turn_s = 0.0
        self._task: asyncio.Task[None] | None = None

    async def on_started(self) -> None:
        """Start checking whether a mirror is needed."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def on_stop(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await self._measure_turn()
            peer = self._choice.choose(
                self._items.version,
                self._items.is_available(ItemOrigin.STORE),
                self._statuses(),
                self._now_ms(),
            )
            if peer is None:
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            try:
                await self._read(peer)
            except Exception as error:
                # A peer that is gone or out of date may lead to any error.
                detail = f"{type(error).__name__}: {error}"
                self._choice.avoid(peer, self._now_ms())
                self._items.set_available(ItemOrigin.PEER, False, detail)
                self._log.write(
                    "mirror_lost", step=Step.STORE.value, peer=peer, detail=detail
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _measure_turn(self) -> None:
        """Record how long a turn of this host's event loop takes at present."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await asyncio.sleep(0)
        self._turn_s = max(loop.time() - started_s, self._turn_s * TURN_DECAY)

    def _now_ms(self) -> int:
        return self._clock.now().monotonic_ms

    async def _read(self, peer: str) -> None:
        async with connect(
            f"ws://{peer}:{self._port}",
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
            open_timeout=connect_timeout_s(self._turn_s),
            close_timeout=CONNECT_TIMEOUT_S,
            proxy=None,
        ) as connection:
            is_first = True
            while True:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    data = await connection.recv()
                if isinstance(data, str):
                    raise ValueError("expected a binary message, got text")
                message = decode_items(data)
                self._check_era(message, is_first)
                has_lapsed = message.can_read_store and self._outage.record_success()
                self._apply(message, is_first, has_lapsed)
                is_first = False
                if not message.can_read_store:
                    self._choice.avoid(peer, self._now_ms())
                    self._items.set_available(
                        ItemOrigin.PEER, False, "peer can't read the store"
                    )
                    return
                self._items.set_available(ItemOrigin.PEER, True, f"reading from {peer}")
                is_behind = self._choice.is_behind(
                    self._items.version, self._statuses(), self._now_ms()
                )
                if is_behind:
                    raise TimeoutError("peer is behind others")
                if self._items.is_available(ItemOrigin.STORE):
                    self._items.set_available(
                        ItemOrigin.PEER, False, "own copy is up to date"
                    )
                    return

    def _check_era(self, message: MirrorMessage, is_first: bool) -> None:
        """Check that a message can be applied to this host's copy.

        :raises ValueError: if the peer's copy is in another era than this host's.
            A complete copy is needed to follow it to a newer one.
        """
        peer_era, own_era = message.version.era, self._items.version.era
        if peer_era < own_era or (peer_era > own_era and not is_first):
            raise ValueError(f"peer is in era {peer_era}, own is {own_era}")

    def _apply(self, message: MirrorMessage, is_first: bool, has_lapsed: bool) -> None:
        """Apply one message; the first one on a connection is a complete copy."""
        if is_first:
            self._items.replace(message.items, message.version, has_lapsed)
        else:
            self._items.merge(message.items, message.version, has_lapsed)


def connect_timeout_s(turn_s: float) -> float:
    """Return how long to wait for a connection if one turn of the loop takes so long.

    A peer that doesn't answer is given up early where the own loop is fast.
    """
    return min(MAX_CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_S + CONNECT_TURNS * turn_s)
