"""Sends attempts to runners over HTTP and feeds what comes back to the core."""

import asyncio

import aiohttp
from mode import Service
from yarl import URL

from figshunt.runtime import EventStreamReader, Feed, join_events
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptFailed,
    AttemptFailure,
    AttemptFinished,
    AttemptId,
    CancelAttempt,
    ColdEvidence,
    RunnerUnreachable,
    SendState,
    StartAttempt,
)

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024
OVERLOADED_STATUSES = frozenset({429, 503})
EVENT_STREAM = "text/event-stream"


class RunnerClient(Service):
    """Carries out :class:`StartAttempt` and :class:`CancelAttempt`.

    Every attempt uses a connection of its own, so a connection that the
    runner closed while idle can't make it unclear whether a request arrived,
    and the HTTP library has no reason to send a request twice.
    """

    def __init__(self, feed: Feed) -> None:
        super().__init__()
        self._feed = feed
        self._session: aiohttp.ClientSession | None = None
        self._tasks_by_attempt: dict[AttemptId, asyncio.Task[None]] = {}

    async def on_start(self) -> None:
        """Open the client session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
        )

    async def on_stop(self) -> None:
        """Cancel what is in flight and close the session."""
        for task in tuple(self._tasks_by_attempt.values()):
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def start_attempt(self, effect: StartAttempt) -> None:
        """Start sending one attempt."""
        task = asyncio.get_running_loop().create_task(self._run(effect))
        self._tasks_by_attempt[effect.attempt_id] = task
        task.add_done_callback(
            lambda _: self._tasks_by_attempt.pop(effect.attempt_id, None)
        )

    def cancel_attempt(self, effect: CancelAttempt) -> None:
        """Stop an attempt; closing its connection tells the runner."""
        task = self._tasks_by_attempt.get(effect.attempt_id)
        if task is not None:
            task.cancel()

    async def _run(self, effect: StartAttempt) -> None:
        attempt_id = effect.attempt_id
        try:
            async with asyncio.timeout(effect.timeout_ms / 1000):
                await self._exchange(effect)
        except aiohttp.ClientConnectorError as error:
            self._unreachable(effect, ColdEvidence.CONNECTION_REFUSED)
            self._fail(attempt_id, AttemptFailure.REFUSED, SendState.UNSENT, error)
        except TimeoutError as error:
            self._fail(attempt_id, AttemptFailure.TIMED_OUT, _MAY, error)
        except (aiohttp.ClientError, OSError) as error:
            self._unreachable(effect, ColdEvidence.CONNECTION_RESET)
            self._fail(attempt_id, AttemptFailure.CONNECTION_LOST, _MAY, error)
        except (ValueError, AssertionError) as error:
            self._fail(attempt_id, AttemptFailure.PROTOCOL, _MAY, error)

    async def _exchange(self, effect: StartAttempt) -> None:
        assert self._session is not None
        request = effect.request
        url = URL(effect.url + request.path, encoded=True)
        async with self._session.request(
            request.method, url, data=request.body or None, headers=_headers(effect)
        ) as response:
            if response.status in OVERLOADED_STATUSES:
                self._feed.feed(
                    AttemptFailed(
                        effect.attempt_id,
                        AttemptFailure.OVERLOADED,
                        SendState.MAY_HAVE_ARRIVED,
                        f"runner answered {response.status}",
                        _retry_after_ms(response),
                    )
                )
                return
            content_type = response.headers.get(
                "Content-Type", "application/octet-stream"
            )
            self._feed.feed(
                AnswerHead(effect.attempt_id, response.status, content_type)
            )
            if response.content_type == EVENT_STREAM:
                await self._read_events(effect, response)
            else:
                await self._read_whole(effect, response)

    async def _read_events(
        self, effect: StartAttempt, response: aiohttp.ClientResponse
    ) -> None:
        reader = EventStreamReader()
        offset = effect.resume_offset
        async for data in response.content.iter_any():
            for run in join_events(reader.feed(data), offset):
                offset = run.offset + run.tokens
                self._feed.feed(
                    AttemptChunk(effect.attempt_id, run.data, run.tokens, run.offset)
                )
                if run.is_done:
                    self._feed.feed(AttemptFinished(effect.attempt_id, offset))
                    return
        raise aiohttp.ClientPayloadError("stream ended before its end marker")

    async def _read_whole(
        self, effect: StartAttempt, response: aiohttp.ClientResponse
    ) -> None:
        received = 0
        async for data in response.content.iter_chunked(READ_BYTES):
            self._feed.feed(AttemptChunk(effect.attempt_id, data, 0, received))
            received += len(data)
        self._feed.feed(AttemptFinished(effect.attempt_id, 0))

    def _fail(
        self,
        attempt_id: AttemptId,
        failure: AttemptFailure,
        sent: SendState,
        error: Exception,
    ) -> None:
        detail = f"{type(error).__name__}: {error}"
        self._feed.feed(AttemptFailed(attempt_id, failure, sent, detail))

    def _unreachable(self, effect: StartAttempt, evidence: ColdEvidence) -> None:
        self._feed.feed(RunnerUnreachable(effect.runner_id, evidence))


_MAY = SendState.MAY_HAVE_ARRIVED


def _headers(effect: StartAttempt) -> dict[str, str]:
    headers = {
        "Content-Type": effect.request.content_type,
        "X-Attempt-Id": effect.attempt_id,
        "X-Priority": str(effect.priority),
    }
    if effect.request.key is not None:
        headers["Idempotency-Key"] = effect.request.key
    if effect.resume_offset:
        headers["Last-Event-ID"] = str(effect.resume_offset - 1)
    return headers


def _retry_after_ms(response: aiohttp.ClientResponse) -> int | None:
    value = response.headers.get("Retry-After", "")
    return int(value) * 1000 if value.isdigit() else None
