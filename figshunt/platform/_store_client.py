"""HTTP client for the read calls of the platform's store."""

import base64
import binascii
from collections.abc import Mapping
from typing import Any

import aiohttp

from figshunt.directory import PublishedItem
from figshunt.gateway import Address, HistoryLostError, Listing, SourceError
from figshunt.platform._items import LISTED_PREFIXES
from figshunt.runtime import BoundedConnector, ReceiveBudget, allow_body
from figshunt.types import StoreEra, StoreRevision, Version

# The store responds within a few ms. A call that takes longer than this is lost or
# the store is slow, and the next attempt uses a new connection.
CALL_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 0.5

# How long a response may be overdue after a watch's wait time before it fails.
WATCH_GRACE_S = 0.5

# A published value has at most 1 MB, but a response may contain several.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

HISTORY_LOST_STATUS = 410

# A store that has not been restored from a copy may not send its era.
ERA_HEADER = "Store-Era"
FIRST_ERA = StoreEra(0)

# The empty prefix matches all items, so one watch is enough.
WATCH_PREFIX = ""


class PlatformStoreClient:
    """Implements :class:`figshunt.gateway.ItemSource` for the platform's store."""

    def __init__(self, store: Address) -> None:
        self._url = f"http://{store.ip}:{store.port}"
        self._session: aiohttp.ClientSession | None = None
        self._share = ReceiveBudget(MAX_RESPONSE_BYTES).open_share()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def list_items(self) -> Listing:
        """Return all items, with the revision of the first page.

        A watch from that revision also returns the changes made while the later
        pages were read.

        :raises HistoryLostError: if the store was restored between two pages.
        """
        items: list[PublishedItem] = []
        first_version: Version | None = None
        for prefix in LISTED_PREFIXES:
            after = ""
            while True:
                query = {"prefix": prefix, "after": after}
                era, page = await self._get("/kv-range", query, CALL_TIMEOUT_S)
                if first_version is None:
                    first_version = Version(era, StoreRevision(int(page["asOf"])))
                if era != first_version.era:
                    raise HistoryLostError(
                        f"store is in era {era}, the listing began in era "
                        f"{first_version.era}"
                    )
                page_items = [_decode_item(entry, era) for entry in page["items"]]
                items.extend(page_items)
                if not page.get("hasMore") or not page_items:
                    break
                after = page_items[-1].key
        assert first_version is not None
        return Listing(tuple(items), first_version)

    async def watch(self, after: Version, wait_ms: int) -> Listing:
        """Return the changes after a version, or no items if the wait time passed."""
        query = {
            "prefix": WATCH_PREFIX,
            "after": str(after.revision),
            "waitMs": str(wait_ms),
        }
        timeout_s = wait_ms / 1_000 + WATCH_GRACE_S
        era, document = await self._get("/kv-watch", query, timeout_s)
        items = tuple(_decode_item(entry, era) for entry in document["events"])
        return Listing(items, Version(era, StoreRevision(int(document["asOf"]))))

    async def _get(
        self, path: str, query: Mapping[str, str], timeout_s: float
    ) -> tuple[StoreEra, Mapping[str, Any]]:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=BoundedConnector(self._share),
                timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
            )
        parameters = {
            name: value for name, value in query.items() if name != "after" or value
        }
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url + path, params=parameters, timeout=timeout
            ) as response:
                allow_body(response, MAX_RESPONSE_BYTES)
                if response.status == HISTORY_LOST_STATUS:
                    raise HistoryLostError(
                        "the store has discarded the changes since this revision"
                    )
                if response.status != 200:
                    raise SourceError(
                        f"store responded to {path} with status {response.status}"
                    )
                document = await response.json(content_type=None)
                if not isinstance(document, dict):
                    raise SourceError(
                        f"expected a JSON object from {path}, "
                        f"got {type(document).__name__}"
                    )
                return _decode_era(response.headers), document
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            # The connection may never respond again, so the next call opens a new one.
            await self.close()
            raise SourceError(f"{type(error).__name__}: {error}") from error


def _decode_era(headers: Mapping[str, str]) -> StoreEra:
    """Return the era of a response.

    :raises ValueError: if it isn't a number from 0.
    """
    text = headers.get(ERA_HEADER)
    if text is None:
        return FIRST_ERA
    era = StoreEra(int(text))
    if era < FIRST_ERA:
        raise ValueError(f"expected an era from {FIRST_ERA}, got {era}")
    return era


def _decode_item(fields: Mapping[str, Any], era: StoreEra) -> PublishedItem:
    """Decode one item; a value that isn't valid base64 counts as empty.

    :raises ValueError: if the key, the revision or the value is missing.
    """
    try:
        key = str(fields["key"])
        version = Version(era, StoreRevision(int(fields["rev"])))
        if fields.get("deleted"):
            return PublishedItem(key, version, None)
        text = fields["value"]
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed item: {error}") from error
    try:
        return PublishedItem(key, version, base64.b64decode(text, validate=True))
    except (binascii.Error, TypeError, ValueError):
        return PublishedItem(key, version, b"")
