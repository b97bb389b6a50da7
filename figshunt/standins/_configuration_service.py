"""Stand-in for the platform's configuration service."""

import asyncio
from enum import Enum

from aiohttp import web

from figshunt.standins._web_standin import WebStandin

MAX_VALUE_BYTES = 2**24


class ConfigurationMode(Enum):
    """How the service responds to readers."""

    UP = "up"
    STALE = "stale"
    DOWN = "down"


class ConfigurationService(WebStandin):
    """Stores named, versioned values that clients read and watch over HTTP.

    ``GET /v1/values/NAME`` returns a value and its version. With
    ``?after=VERSION&wait_ms=N`` it waits up to N ms for a version other than
    that, and returns 304 if there is none.

    In stale mode, readers get the values that were current when the mode was
    set; in down mode, their connections are reset. ``PUT /v1/values/NAME`` and
    ``POST /standin/mode?mode=MODE`` are for operators; daemons never use them.
    """

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self._values_by_name: dict[str, tuple[int, str]] = {}
        self._visible_by_name = self._values_by_name
        self._change_event = asyncio.Event()
        self.mode = ConfigurationMode.UP
        self.reads = 0

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=MAX_VALUE_BYTES)
        app.router.add_get("/v1/values/{name}", self._read)
        app.router.add_put("/v1/values/{name}", self._write)
        app.router.add_post("/standin/mode", self._set_mode)
        app.router.add_get("/standin/counters", self._report_counters)
        return app

    def publish(self, name: str, text: str) -> None:
        """Set a value and notify all watchers."""
        version, _ = self._values_by_name.get(name, (0, ""))
        self._values_by_name[name] = (version + 1, text)
        self._notify_watchers()

    def set_mode(self, mode: ConfigurationMode) -> None:
        """Set the mode and notify all watchers."""
        self.mode = mode
        self._visible_by_name = self._values_by_name
        if mode is ConfigurationMode.STALE:
            self._visible_by_name = dict(self._values_by_name)
        if mode is ConfigurationMode.DOWN:
            self.drop_connections()
        self._notify_watchers()

    async def _read(self, request: web.Request) -> web.Response:
        self.reads += 1
        name = request.match_info["name"]
        known_version = request.query.get("after", "")
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if self.mode is ConfigurationMode.DOWN:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        try:
            async with asyncio.timeout(wait_s):
                while self._version(name) == known_version:
                    await self._change_event.wait()
        except TimeoutError:
            return web.Response(status=304)
        if name not in self._visible_by_name:
            return web.Response(status=404)
        version, text = self._visible_by_name[name]
        return web.Response(text=text, headers={"X-Version": str(version)})

    async def _write(self, request: web.Request) -> web.Response:
        self.publish(request.match_info["name"], await request.text())
        return web.Response(status=204)

    async def _set_mode(self, request: web.Request) -> web.Response:
        try:
            self.set_mode(ConfigurationMode(request.query.get("mode", "")))
        except ValueError as error:
            return web.Response(status=400, text=f"{error}\n")
        return web.Response(status=204)

    async def _report_counters(self, _request: web.Request) -> web.Response:
        return web.json_response({"reads": self.reads, "mode": self.mode.value})

    def _notify_watchers(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _version(self, name: str) -> str:
        return str(self._visible_by_name.get(name, (0, ""))[0])
