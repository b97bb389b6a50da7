"""Stand-in of a model engine with continuous batching."""

import asyncio
import json
import random
import uuid
from dataclasses import dataclass

from aiohttp import web

from figshunt.standins._web_standin import WebStandin

REPORT_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """How fast an engine is and how much it carries.

    A token takes ``token_ms`` plus ``token_ms_per_request`` for each request
    in the batch; ``prefill_ms_per_token`` is spent on prompt tokens that
    aren't cached. A cold engine carries ``cold_limit`` requests until it has
    completed ``warm_after`` of them; one more makes it crash.
    """

    token_ms: float = 4.0
    token_ms_per_request: float = 0.5
    prefill_ms_per_token: float = 0.02
    batch_limit: int = 16
    cold_limit: int = 2
    warm_after: int = 4
    cached_prefixes: int = 64


class ModelEngine(WebStandin):
    """Answers chat completions, streamed or whole, and reports its load."""

    def __init__(
        self, profile: EngineProfile, random_source: random.Random, port: int = 0
    ) -> None:
        super().__init__(port)
        self._profile = profile
        self._random = random_source
        self.start_identity = uuid.UUID(int=random_source.getrandbits(128)).hex
        self.completed = 0
        self.running = 0
        self.queued = 0
        self.most_running_cold = 0
        self.leaving = False
        self._slot_freed = asyncio.Event()
        self._token_time_us = 0

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=2**24)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_get("/load", self._report_load)
        return app

    @property
    def is_cold(self) -> bool:
        """Return whether the engine still carries only its cold limit."""
        return self.completed < self._profile.warm_after

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        tokens = int(body.get("max_tokens", 16))
        offset = int(request.headers.get("Last-Event-ID", "-1")) + 1
        await self._enter()
        try:
            if self.is_cold:
                self.most_running_cold = max(self.most_running_cold, self.running)
            prompt_tokens = len(await request.read()) // 4
            await asyncio.sleep(
                prompt_tokens * self._profile.prefill_ms_per_token / 1e3
            )
            if body.get("stream"):
                response = await self._stream(request, offset, tokens)
            else:
                response = await self._answer_whole(tokens)
            self.completed += 1
            return response
        finally:
            self._leave()

    async def _enter(self) -> None:
        self.queued += 1
        while self.running >= self._profile.batch_limit:
            self._slot_freed.clear()
            await self._slot_freed.wait()
        self.queued -= 1
        self.running += 1

    def _leave(self) -> None:
        self.running -= 1
        self._slot_freed.set()

    async def _stream(
        self, request: web.Request, offset: int, tokens: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        for index in range(offset, tokens):
            await self._generate_token()
            delta = {"choices": [{"index": 0, "delta": {"content": f"t{index} "}}]}
            event = f"id: {index}\ndata: {json.dumps(delta)}\n\n"
            await response.write(event.encode())
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _answer_whole(self, tokens: int) -> web.Response:
        for _ in range(tokens):
            await self._generate_token()
        content = "".join(f"t{index} " for index in range(tokens))
        message = {"role": "assistant", "content": content}
        return web.json_response({"choices": [{"index": 0, "message": message}]})

    async def _generate_token(self) -> None:
        profile = self._profile
        token_ms = profile.token_ms + profile.token_ms_per_request * self.running
        self._token_time_us = int(token_ms * 1000)
        await asyncio.sleep(token_ms / 1000)

    async def _report_load(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        while True:
            report = {
                "start": self.start_identity,
                "completed": self.completed,
                "running": self.running,
                "queued": self.queued,
                "token_time_us": self._token_time_us,
                "leaving": self.leaving,
                "age_ms": 0,
            }
            await response.write(json.dumps(report).encode() + b"\n")
            await asyncio.sleep(REPORT_INTERVAL_S)
