"""Stand-in of the platform's configuration service."""

import asyncio

from aiohttp import web

from figshunt.standins._web_standin import WebStandin


class ConfigurationService(WebStandin):
    """Holds named values with versions; readers read and watch over HTTP.

    :meth:`publish` is the operators' side and has no HTTP path except
    ``PUT``, which the daemons never use.
    """

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self._values_by_name: dict[str, tuple[int, str]] = {}
        self._changed = asyncio.Event()
        self.reads = 0

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=2**24)
        app.router.add_get("/v1/values/{name}", self._read)
        app.router.add_put("/v1/values/{name}", self._write)
        return app

    def publish(self, name: str, text: str) -> None:
        """Set a value and wake every watch."""
        version, _ = self._values_by_name.get(name, (0, ""))
        self._values_by_name[name] = (version + 1, text)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _read(self, request: web.Request) -> web.Response:
        self.reads += 1
        name = request.match_info["name"]
        after = request.query.get("after", "")
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while self._version(name) == after:
                    await self._changed.wait()
        except TimeoutError:
            return web.Response(status=304)
        if name not in self._values_by_name:
            return web.Response(status=404)
        version, text = self._values_by_name[name]
        return web.Response(text=text, headers={"X-Version": str(version)})

    async def _write(self, request: web.Request) -> web.Response:
        self.publish(request.match_info["name"], await request.text())
        return web.Response(status=204)

    def _version(self, name: str) -> str:
        return str(self._values_by_name.get(name, (0, ""))[0])
