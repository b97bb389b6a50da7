"""The platform's store: items with revisions, listings and watches."""

import asyncio
import base64
import json
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from figshunt.standins._web_standin import WebStandin

PAGE_ITEMS = 2
HISTORY_LOST_STATUS = 410


class PlatformStore(WebStandin):
    """Holds items in memory; a test writes them as the operator does.

    Pages are short, so that paging is exercised. While ``failing_status`` is
    set, every call is answered with it.
    """

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.failing_status: int | None = None
        self._revision = 1
        self._items_by_key: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._first_revision = 1
        self._changed = asyncio.Event()

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
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
        self._note(item)

    def delete(self, key: str) -> None:
        """Delete an item."""
        self._revision += 1
        del self._items_by_key[key]
        self._note({"key": key, "rev": self._revision, "deleted": True})

    def discard_history(self) -> None:
        """Forget all changes so far, and cut the watches that wait."""
        self._history.clear()
        self._first_revision = self._revision
        self.drop_connections()

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _list(self, request: web.Request) -> web.Response:
        if self.failing_status is not None:
            return web.Response(status=self.failing_status)
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self._items_by_key if key.startswith(prefix) and key > after
        )
        page = [self._items_by_key[key] for key in keys[:PAGE_ITEMS]]
        return web.json_response(
            {
                "items": page,
                "hasMore": len(keys) > PAGE_ITEMS,
                "asOf": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        if self.failing_status is not None:
            return web.Response(status=self.failing_status)
        after = int(request.query["after"])
        prefix = request.query.get("prefix", "")
        if after < self._first_revision:
            return web.Response(status=HISTORY_LOST_STATUS)
        try:
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                while not (events := self._events(prefix, after)):
                    await self._changed.wait()
        except TimeoutError:
            events = []
        return web.json_response({"events": events, "asOf": self._revision})

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["rev"] > after and event["key"].startswith(prefix)
        ]
