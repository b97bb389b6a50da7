"""Stand-in for the platform's host list, which lags behind the actual state."""

from collections import deque
from typing import Any

from aiohttp import web

from figshunt.standins._web_standin import WebStandin
from figshunt.types import Clock


class HostListService(WebStandin):
    """Serves ``GET /v1/hosts``; a change becomes visible after ``lag_ms``.

    ``PUT`` and ``DELETE`` on ``/standin/hosts/NAME`` change the actual state.
    The body of a ``PUT`` is the host's entry without its name.
    """

    def __init__(self, clock: Clock, lag_ms: int = 0, port: int = 0) -> None:
        super().__init__(port)
        self._clock = clock
        self._lag_ms = lag_ms
        self._visible_by_name: dict[str, dict[str, Any]] = {}
        self._pending_changes: deque[tuple[int, str, dict[str, Any] | None]] = deque()
        self.reads = 0

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_get("/v1/hosts", self._read)
        app.router.add_put("/standin/hosts/{name}", self._put)
        app.router.add_delete("/standin/hosts/{name}", self._delete)
        return app

    def set_host(self, name: str, entry: dict[str, Any] | None) -> None:
        """Set a host's entry, or remove the host with ``None``."""
        visible_from_ms = self._clock.now().monotonic_ms + self._lag_ms
        self._pending_changes.append((visible_from_ms, name, entry))

    def visible_hosts(self) -> list[dict[str, Any]]:
        """Apply the changes that are due and return the list that readers get."""
        now_ms = self._clock.now().monotonic_ms
        while self._pending_changes and self._pending_changes[0][0] <= now_ms:
            _, name, entry = self._pending_changes.popleft()
            if entry is None:
                self._visible_by_name.pop(name, None)
            else:
                self._visible_by_name[name] = entry
        return [
            {"name": name, **entry} for name, entry in self._visible_by_name.items()
        ]

    async def _read(self, _request: web.Request) -> web.Response:
        self.reads += 1
        return web.json_response({"hosts": self.visible_hosts()})

    async def _put(self, request: web.Request) -> web.Response:
        entry = await request.json()
        if not isinstance(entry, dict):
            return web.Response(status=400, text="expected a JSON object\n")
        self.set_host(request.match_info["name"], entry)
        return web.Response(status=204)

    async def _delete(self, request: web.Request) -> web.Response:
        self.set_host(request.match_info["name"], None)
        return web.Response(status=204)
