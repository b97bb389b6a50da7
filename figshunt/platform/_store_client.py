"""Read calls of the platform's store."""

import base64
import binascii
from collections.abc import Mapping
from typing import Any

import aiohttp

from figshunt.directory import Item
from figshunt.gateway import Address, HistoryLostError, Listing, SourceError
from figshunt.platform._items import PREFIXES

# The store answers in a few ms; a call that takes longer than this is lost or
# the store is slow, and another connection is tried.
CALL_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 0.5

# A watch whose answer is overdue by this much is taken for lost.
WATCH_OVERDUE_S = 0.5

HISTORY_LOST_STATUS = 410

# One watch sees all items: it has no prefix.
WATCHED_PREFIX = ""


class PlatformStoreClient:
    """Meets :class:`figshunt.gateway.ItemSource` for the platform's store."""

    def __init__(self, store: Address) -> None:
        self._url = f"http://{store.ip}:{store.port}"
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def list_items(self) -> Listing:
        """Return all items and the revision before the first was read."""
        items: list[Item] = []
        first_revision: int | None = None
        for prefix in PREFIXES:
            after = ""
            while True:
                query = {"prefix": prefix, "after": after}
                page = await self._get("/kv-range", query, CALL_TIMEOUT_S)
                revision = int(page["asOf"])
                if first_revision is None:
                    first_revision = revision
                read = [_decode_item(one) for one in page["items"]]
                items.extend(read)
                if not page.get("hasMore") or not read:
                    break
                after = read[-1].key
        return Listing(tuple(items), first_revision or 0)

    async def watch(self, after_revision: int, wait_ms: int) -> Listing:
        """Return what changed after a revision, empty if nothing did for a while."""
        query = {
            "prefix": WATCHED_PREFIX,
            "after": str(after_revision),
            "waitMs": str(wait_ms),
        }
        timeout_s = wait_ms / 1_000 + WATCH_OVERDUE_S
        answer = await self._get("/kv-watch", query, timeout_s)
        items = tuple(_decode_item(one) for one in answer["events"])
        return Listing(items, int(answer["asOf"]))

    async def _get(
        self, path: str, query: Mapping[str, str], timeout_s: float
    ) -> Mapping[str, Any]:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
            )
        wanted = {
            name: value for name, value in query.items() if name != "after" or value
        }
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url + path, params=wanted, timeout=timeout
            ) as response:
                if response.status == HISTORY_LOST_STATUS:
                    raise HistoryLostError("history was discarded")
                if response.status != 200:
                    raise SourceError(f"status {response.status}")
                answer = await response.json(content_type=None)
                if not isinstance(answer, dict):
                    raise SourceError("answer isn't an object")
                return answer
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            # The connection may be silent for good: the next call opens another.
            await self.close()
            raise SourceError(f"{type(error).__name__}: {error}") from error


def _decode_item(fields: Mapping[str, Any]) -> Item:
    """Return one item; a value that can't be decoded counts as empty.

    :raises ValueError: if there is no key or revision.
    """
    try:
        key, revision = str(fields["key"]), int(fields["rev"])
        if fields.get("deleted"):
            return Item(key, revision, None)
        text = fields["value"]
    except (KeyError, TypeError) as error:
        raise ValueError(f"not an item: {error}") from error
    try:
        return Item(key, revision, base64.b64decode(text, validate=True))
    except (binascii.Error, TypeError, ValueError):
        return Item(key, revision, b"")
