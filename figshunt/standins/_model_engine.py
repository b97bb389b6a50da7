"""Stand-in for a model engine with continuous batching and a prefix cache."""

import asyncio
import json
import random
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass

from aiohttp import web

from figshunt.codec import DecodedBody, decode_completion_body
from figshunt.standins._content_digest import digest_content
from figshunt.standins._continuous_batch import BatchProfile, ContinuousBatch
from figshunt.standins._load_history import ReportProfile
from figshunt.standins._prefix_cache import PrefixCache
from figshunt.standins._runner_standin import NDJSON, RunnerStandin
from figshunt.standins._runner_state import RunnerState
from figshunt.types import FigshuntError, SystemClock

BLOCK_TOKENS = 256
DEFAULT_MAX_TOKENS = 16
LOWEST_PRIORITY = 9
CACHE_EVENT_INTERVAL_S = 0.1


@dataclass(frozen=True)
class EngineProfile:
    """The speed, capacity and faults of an engine.

    ``prefill_ms_per_token`` applies to prompt tokens that aren't cached. A
    request body that contains ``poison`` crashes the engine at the first token
    of the answer.
    """

    batch: BatchProfile = BatchProfile()
    reports: ReportProfile = ReportProfile()
    prefill_ms_per_token: float = 0.02
    cold_limit: int = 2
    warm_after: int = 2
    cached_blocks: int = 256
    cache_event_lag_ms: int = 500
    cache_event_gap_share: float = 0.02
    poison: bytes = b"poison-marker"


class ModelEngine(RunnerStandin):
    """Answers chat completions as a stream or as one response.

    ``Last-Event-ID`` resumes a stream after that token, ``X-Priority`` orders
    the queue (1 first), and a closed connection cancels the request. The
    answer's ``id`` contains a digest of the request body, so that a caller can
    check that the answer belongs to its request.
    """

    def __init__(
        self, profile: EngineProfile, random_source: random.Random, port: int = 0
    ) -> None:
        state = RunnerState(random_source, profile.cold_limit, profile.warm_after)
        super().__init__(state, profile.reports, port)
        self._profile = profile
        self._batch = ContinuousBatch(profile.batch, state)
        self.cache = PrefixCache(
            profile.cached_blocks,
            SystemClock(),
            random_source,
            profile.cache_event_lag_ms,
            profile.cache_event_gap_share,
        )

    async def on_start(self) -> None:
        """Bind the listener and start the batch loop."""
        await super().on_start()
        self.run_in_background(self._batch.run())

    def add_routes(self, app: web.Application) -> None:
        """Register the completion paths and the stream of cache events."""
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_get("/cache-events", self._publish_cache_events)

    def discard_work(self) -> None:
        """Discard the queue, the batch and the cache."""
        self._batch.clear()
        self.cache.clear()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        return await self.count_and_run(request, self._run_completion)

    async def _run_completion(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        try:
            decoded_body = decode_completion_body(body)
        except FigshuntError as error:
            return web.json_response({"error": error.detail}, status=400)
        end_index = int(json.loads(body).get("max_tokens", DEFAULT_MAX_TOKENS))
        first_index = int(request.headers.get("Last-Event-ID", "-1")) + 1
        answer_id = f"answer-{digest_content(body)}"
        # Without aclosing, a request whose connection is lost would remain in
        # the batch until the event loop finalizes the generator.
        async with aclosing(
            self._generate(request, decoded_body, body, first_index, end_index)
        ) as tokens:
            if decoded_body.stream:
                return await self._stream(request, tokens, answer_id)
            return await self._answer_at_once(tokens, answer_id)

    async def _generate(
        self,
        request: web.Request,
        decoded_body: DecodedBody,
        body: bytes,
        first_index: int,
        end_index: int,
    ) -> AsyncGenerator[int, None]:
        cached_tokens = self.cache.count_cached(decoded_body.prefixes) * BLOCK_TOKENS
        computed_tokens = (
            max(0, decoded_body.prompt_tokens - cached_tokens) + first_index
        )
        self.runner_state.totals.prompt_tokens_cached += cached_tokens
        self.runner_state.totals.prompt_tokens_computed += computed_tokens
        self.cache.store(decoded_body.prefixes)
        priority = int(request.headers.get("X-Priority", str(LOWEST_PRIORITY)))
        prefill_ms = computed_tokens * self._profile.prefill_ms_per_token
        entry = self._batch.add(priority, prefill_ms, first_index, end_index)
        is_complete = False
        try:
            async for index in entry.tokens():
                if self._profile.poison in body:
                    self.crash_runner()
                yield index
            is_complete = True
        finally:
            self._batch.remove(entry)
            if not is_complete:
                self.runner_state.totals.tokens_abandoned += entry.generated_tokens

    async def _stream(
        self, request: web.Request, tokens: AsyncIterator[int], answer_id: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        async for index in tokens:
            delta = {
                "id": answer_id,
                "choices": [{"index": 0, "delta": {"content": f"t{index} "}}],
            }
            event = f"id: {index}\ndata: {json.dumps(delta)}\n\n"
            await response.write(event.encode())
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _answer_at_once(
        self, tokens: AsyncIterator[int], answer_id: str
    ) -> web.Response:
        content = "".join([f"t{index} " async for index in tokens])
        message = {"role": "assistant", "content": content}
        choices = [{"index": 0, "message": message}]
        return web.json_response({"id": answer_id, "choices": choices})

    async def _publish_cache_events(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": NDJSON})
        await response.prepare(request)
        last_sequence = int(request.query.get("after", "-1"))
        while True:
            for event in self.cache.events_after(last_sequence):
                last_sequence = event.sequence
                line = {
                    "sequence": event.sequence,
                    "kind": event.kind.value,
                    "prefix": event.prefix,
                    "start": self.runner_state.start_identity,
                }
                await response.write(json.dumps(line).encode() + b"\n")
            await asyncio.sleep(CACHE_EVENT_INTERVAL_S)
