"""Forwards published items to hosts that can't read the store themselves."""

import asyncio
import random
from collections.abc import Callable, Iterable

from mode import Service
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from figshunt.directory import PublishedItem
from figshunt.dispatch import HostStatus
from figshunt.gateway._directory_reader import LARGE_FLEET_HOSTS
from figshunt.gateway._mirror_codec import MirrorMessage, decode_items, encode_items
from figshunt.gateway._outage import OutageRecord
from figshunt.gateway._published_items import ItemOrigin, PublishedItems
from figshunt.gateway._settings import Address
from figshunt.runtime import EventLog
from figshunt.types import NO_VERSION, Step, Version

# A published value has at most 1 MB, but a copy of all items may have several.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

# A reader sends nothing, so that what a listener receives is bounded like this.
MAX_READER_MESSAGE_BYTES = 1_024

# Without changes a mirror sends an empty message this often, which confirms that it
# can still read the store.
HEARTBEAT_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.7

# Interval of the check whether a mirror is needed, and how many checks in a row must
# find a newer revision on a peer before this host reads from one. In a large fleet
# hosts gather changes for up to half a second before they read them.
CHECK_INTERVAL_S = 0.1
MIN_BEHIND_CHECKS = 3
LARGE_FLEET_BEHIND_CHECKS = 7


class MirrorListener(Service):
    """Sends each connected peer all published items, and then each change.

    The first message on a connection is a complete copy: an item that it lacks had
    been deleted by its revision. A copy need not have tombstones of such items.

    Each message states whether this host can read the store at present. If it
    can't, its copy is still useful to a host that starts during the outage.
    """

    def __init__(self, address: Address, items: PublishedItems) -> None:
        super().__init__()
        self._address = address
        self._items = items
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
            await connection.send(
                encode_items(
                    changed_items,
                    self._items.version,
                    self._items.era_start,
                    can_read_store,
                )
            )
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
        statuses: Callable[[], Iterable[HostStatus]],
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._items = items
        self._outage = outage
        self._port = port
        self._statuses = statuses
        self._log = log
        self._random = random_source
        self._behind_checks = 0
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
            self._learn_era_start()
            peer = self._choose_peer()
            if peer is None:
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            try:
                await self._read(peer)
            except Exception as error:
                # A peer that is gone or out of date may lead to any error.
                detail = f"{type(error).__name__}: {error}"
                self._items.set_available(ItemOrigin.PEER, False, detail)
                self._log.write(
                    "mirror_lost", step=Step.STORE.value, peer=peer, detail=detail
                )
                await asyncio.sleep(CHECK_INTERVAL_S)

    def _choose_peer(self) -> str | None:
        """Return the address of a peer to read from, or ``None`` if none is needed."""
        is_behind = self._is_behind()
        if self._items.is_available(ItemOrigin.STORE) and not is_behind:
            return None
        candidates = self._newest(
            status
            for status in self._statuses()
            if status.can_read_store and status.store_version >= self._items.version
        )
        if not candidates and self._items.version == NO_VERSION:
            # A host that starts while no host can read the store uses the items
            # that its peers read last, as they do themselves.
            candidates = self._newest(self._statuses())
        return self._random.choice(candidates).address if candidates else None

    def _newest(self, statuses: Iterable[HostStatus]) -> list[HostStatus]:
        """Return the peers with the newest version.

        An older copy may have runners that have left and keys that were withdrawn.
        """
        peers = [status for status in statuses if status.store_version > NO_VERSION]
        newest = max((status.store_version for status in peers), default=NO_VERSION)
        return [status for status in peers if status.store_version == newest]

    async def _read(self, peer: str) -> None:
        async with connect(
            f"ws://{peer}:{self._port}",
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
            open_timeout=CONNECT_TIMEOUT_S,
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
                has_lapsed = message.can_read_store and self._outage.record_success()
                self._apply(message, is_first, has_lapsed)
                is_first = False
                if not message.can_read_store:
                    self._items.set_available(
                        ItemOrigin.PEER, False, "peer can't read the store"
                    )
                    return
                self._items.set_available(ItemOrigin.PEER, True, f"reading from {peer}")
                if self._is_up_to_date():
                    self._items.set_available(
                        ItemOrigin.PEER, False, "own copy is up to date"
                    )
                    return

    def _apply(self, message: MirrorMessage, is_first: bool, has_lapsed: bool) -> None:
        """Apply one message; the first one on a connection is a complete copy.

        :raises ValueError: if the peer's copy is in another era than this host's.
            A complete copy is needed to follow it to a newer one.
        """
        if is_first:
            self._items.replace(
                message.items, message.version, has_lapsed, message.era_start
            )
        else:
            self._items.merge(message.items, message.version, has_lapsed)
        era = self._items.version.era
        if message.version.era != era:
            raise ValueError(f"peer is in era {message.version.era}, own is {era}")
        self._items.lower_era_start(era, message.era_start)

    def _learn_era_start(self) -> None:
        """Learn from the peers how early this era of the store was listed."""
        for status in self._statuses():
            self._items.lower_era_start(status.era, status.era_start)

    def _is_up_to_date(self) -> bool:
        return self._items.is_available(ItemOrigin.STORE) and not self._is_behind()

    def _is_behind(self) -> bool:
        """Count this check; return whether enough checks in a row found newer peers."""
        current_versions: list[Version] = [
            status.store_version for status in self._statuses() if status.can_read_store
        ]
        if max(current_versions, default=NO_VERSION) > self._items.version:
            self._behind_checks += 1
        else:
            self._behind_checks = 0
        is_large = len(current_versions) >= LARGE_FLEET_HOSTS
        min_checks = LARGE_FLEET_BEHIND_CHECKS if is_large else MIN_BEHIND_CHECKS
        return self._behind_checks >= min_checks
