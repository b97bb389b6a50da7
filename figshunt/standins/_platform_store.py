"""Stand-in for the platform's store: items with revisions, lists and watches."""

import asyncio
import base64
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from figshunt.standins._web_standin import WebStandin

ITEMS_PER_PAGE = 2
HISTORY_LOST_STATUS = 410
ERA_HEADER = "Store-Era"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What a store held at one moment."""

    revision: int
    items_by_key: Mapping[str, dict[str, Any]]


class PlatformStore(WebStandin):
    """Stores items in memory; tests write them in place of the operator.

    Pages are short, so that tests exercise paging. While ``failing_status`` is
    set, every call is answered with this HTTP status. A store that was restored
    from a copy sends its era.
    """

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.failing_status: int | None = None
        self.era = 0
        self._revision = 1
        self._items_by_key: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._first_revision = 1
        self._change_event = asyncio.Event()

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/kv-range", self._list)
        app.router.add_get("/kv-watch", self._watch)
        return app

    def put(self, key: str, value: Mapping[str, Any] | bytes) -> None:
        """Write an item."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self._revision,
            "created": self._revision,
            "lease": 0,
        }
        self._items_by_key[key] = item
        self._append_event(item)

    def delete(self, key: str) -> None:
        """Delete an item."""
        self._revision += 1
        del self._items_by_key[key]
        self._append_event({"key": key, "rev": self._revision, "deleted": True})

    def discard_history(self) -> None:
        """Discard the history of changes and drop the connections of all watches."""
        self._history.clear()
        self._first_revision = self._revision
        self.drop_connections()

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(self._revision, dict(self._items_by_key))

    def restore(self, copy: StoreCopy) -> None:
        """Lose everything written since a copy, and begin a new era."""
        self.era += 1
        self._revision = copy.revision
        self._items_by_key = dict(copy.items_by_key)
        self.discard_history()

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era:
            response.headers[ERA_HEADER] = str(self.era)

    def _append_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def _list(self, request: web.Request) -> web.Response:
        if self.failing_status is not None:
            return web.Response(status=self.failing_status)
        prefix = request.query.get("prefix", "")
        after_key = request.query.get("after", "")
        keys = sorted(
            key
            for key in self._items_by_key
            if key.startswith(prefix) and key > after_key
        )
        page = [self._items_by_key[key] for key in keys[:ITEMS_PER_PAGE]]
        return web.json_response(
            {
                "items": page,
                "hasMore": len(keys) > ITEMS_PER_PAGE,
                "asOf": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        if self.failing_status is not None:
            return web.Response(status=self.failing_status)
        after_revision = int(request.query["after"])
        prefix = request.query.get("prefix", "")
        if not self._first_revision <= after_revision <= self._revision:
            return web.Response(status=HISTORY_LOST_STATUS)
        try:
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                while not (events := self._events_after(prefix, after_revision)):
                    await self._change_event.wait()
        except TimeoutError:
            events = []
        return web.json_response({"events": events, "asOf": self._revision})

    def _events_after(self, prefix: str, after_revision: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["rev"] > after_revision and event["key"].startswith(prefix)
        ]
