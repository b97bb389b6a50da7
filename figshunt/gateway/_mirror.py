"""Passes published items on to hosts that can't read them themselves."""

import asyncio
import random
from collections.abc import Callable, Iterable

from mode import Service
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from figshunt.dispatch import HostStatus
from figshunt.gateway._mirror_codec import decode_items, encode_items
from figshunt.gateway._published_items import ItemOrigin, PublishedItems
from figshunt.gateway._settings import Address
from figshunt.runtime import EventLog
from figshunt.types import Step

# A published value has at most 1 MB; a copy of all items may have several.
MOST_MESSAGE_BYTES = 16 * 1024 * 1024

# Without changes a mirror says this often that it still reads the store.
BEAT_S = 0.5
LOST_S = 1.5
CONNECT_TIMEOUT_S = 0.7

# How often a host looks whether it needs a mirror, and for how long a peer has
# to know a newer revision before it is asked.
CHECK_S = 0.1
BEHIND_CHECKS = 3


class MirrorListener(Service):
    """Tells all published items, then each change.

    It says whether this host reads the store. If it doesn't, what it holds is
    still what a host needs that starts meanwhile.
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
        """Listen."""
        self._server = await serve(
            self._tell,
            self._address.ip,
            self._address.port,
            compression=None,
            max_size=MOST_MESSAGE_BYTES,
            ping_interval=None,
            close_timeout=CONNECT_TIMEOUT_S,
        )

    async def on_stop(self) -> None:
        """Close the listener and its connections."""
        if self._server is not None:
            self._server.close()

    async def _tell(self, connection: ServerConnection) -> None:
        try:
            await self._tell_changes(connection)
        except ConnectionClosed:
            # The peer reads the store itself again.
            return

    async def _tell_changes(self, connection: ServerConnection) -> None:
        told_revisions: dict[str, int] = {}
        while True:
            changed = [
                item
                for item in self._items.all_items()
                if told_revisions.get(item.key) != item.revision
            ]
            told_revisions.update((item.key, item.revision) for item in changed)
            is_current = self._items.is_open(ItemOrigin.STORE)
            await connection.send(
                encode_items(changed, self._items.revision, is_current)
            )
            try:
                async with asyncio.timeout(BEAT_S):
                    await self._items.wait_changed()
            except TimeoutError:
                continue


class MirrorReader(Service):
    """Reads from a peer while this host's own reads fail or fall behind."""

    def __init__(
        self,
        items: PublishedItems,
        port: int,
        statuses: Callable[[], Iterable[HostStatus]],
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._items = items
        self._port = port
        self._statuses = statuses
        self._log = log
        self._random = random_source
        self._behind_checks = 0
        self._running: asyncio.Task[None] | None = None

    async def on_started(self) -> None:
        """Start to look whether a mirror is needed."""
        self._running = asyncio.get_running_loop().create_task(self._run())

    async def on_stop(self) -> None:
        """Stop reading."""
        if self._running is not None:
            self._running.cancel()

    async def _run(self) -> None:
        while True:
            peer = self._choose_peer()
            if peer is None:
                await asyncio.sleep(CHECK_S)
                continue
            try:
                await self._read(peer)
            except (OSError, TimeoutError, ValueError, WebSocketException) as error:
                detail = f"{type(error).__name__}: {error}"
                self._items.set_open(ItemOrigin.PEER, False, detail)
                self._log.write(
                    "mirror_lost", step=Step.STORE.value, peer=peer, detail=detail
                )
                await asyncio.sleep(CHECK_S)

    def _choose_peer(self) -> str | None:
        """Return the address of a peer to read from, if one is needed."""
        is_behind = self._is_behind()
        if self._items.is_open(ItemOrigin.STORE) and not is_behind:
            return None
        known = [
            status
            for status in self._statuses()
            if status.is_current and status.revision >= self._items.revision
        ]
        if not known and not self._items.revision:
            known = self._most_knowing()
        return self._random.choice(known).address if known else None

    def _most_knowing(self) -> list[HostStatus]:
        """Return the peers that know the newest revision, current or not.

        A host that starts while nobody can read the store serves by what the
        others last read, as they do.
        """
        statuses = [status for status in self._statuses() if status.revision]
        newest = max((status.revision for status in statuses), default=0)
        return [status for status in statuses if status.revision == newest]

    async def _read(self, peer: str) -> None:
        async with connect(
            f"ws://{peer}:{self._port}",
            compression=None,
            max_size=MOST_MESSAGE_BYTES,
            ping_interval=None,
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=CONNECT_TIMEOUT_S,
            proxy=None,
        ) as connection:
            while True:
                async with asyncio.timeout(LOST_S):
                    data = await connection.recv()
                if isinstance(data, str):
                    raise ValueError("text instead of items")
                message = decode_items(data)
                self._items.merge(message.items, message.revision)
                if not message.is_current:
                    self._items.set_open(ItemOrigin.PEER, False, "peer lost the store")
                    return
                self._items.set_open(ItemOrigin.PEER, True, f"reading from {peer}")
                if self._is_no_longer_needed():
                    self._items.set_open(ItemOrigin.PEER, False, "not needed any more")
                    return

    def _is_no_longer_needed(self) -> bool:
        return self._items.is_open(ItemOrigin.STORE) and not self._is_behind()

    def _is_behind(self) -> bool:
        """Return whether peers have known a newer revision for a while."""
        reading = [one.revision for one in self._statuses() if one.is_current]
        if max(reading, default=0) > self._items.revision:
            self._behind_checks += 1
        else:
            self._behind_checks = 0
        return self._behind_checks >= BEHIND_CHECKS
