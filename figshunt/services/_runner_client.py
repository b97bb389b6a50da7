"""HTTP client that sends attempts to runners and passes the results to the core."""

import asyncio
from collections.abc import Iterator

import aiohttp
from mode import Service
from yarl import URL

from figshunt.runtime import (
    BODY_PIECE_BYTES,
    MAX_EVENT_BYTES,
    STREAM_PIECE_BYTES,
    BoundedConnector,
    BoundedResponse,
    EventBatch,
    EventStreamReader,
    MessageSink,
    ReceiveBudget,
    ReceiveShare,
    StreamTurns,
    allow_body,
    drop_tracebacks,
    forbid_resending,
    iterate_received,
    join_events,
)
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptFailed,
    AttemptFailure,
    AttemptFinished,
    AttemptId,
    CancelAttempt,
    Clock,
    ColdEvidence,
    RunnerUnreachable,
    SendState,
    StartAttempt,
)

CONNECT_TIMEOUT_S = 2.0
OVERLOADED_STATUSES = frozenset({429, 503})
EVENT_STREAM = "text/event-stream"


class RunnerClient(Service):
    """Executes :class:`StartAttempt` and :class:`CancelAttempt`.

    Each attempt uses a new connection. A reused connection that the runner closes
    while idle would leave it unclear whether the request arrived.
    """

    def __init__(self, message_sink: MessageSink, clock: Clock) -> None:
        super().__init__()
        self._message_sink = message_sink
        self._turns = StreamTurns(clock)
        self._receive_budget = ReceiveBudget()
        self._tasks_by_attempt: dict[AttemptId, asyncio.Task[None]] = {}

    async def on_stop(self) -> None:
        """Cancel the attempts in flight."""
        for task in tuple(self._tasks_by_attempt.values()):
            task.cancel()

    def start_attempt(self, effect: StartAttempt) -> None:
        """Send an attempt in a task of its own."""
        task = asyncio.get_running_loop().create_task(self._run_attempt(effect))
        self._tasks_by_attempt[effect.attempt_id] = task
        task.add_done_callback(
            lambda _: self._tasks_by_attempt.pop(effect.attempt_id, None)
        )

    def cancel_attempt(self, effect: CancelAttempt) -> None:
        """Cancel an attempt and close its connection, which the runner can detect."""
        task = self._tasks_by_attempt.get(effect.attempt_id)
        if task is not None:
            task.cancel()

    async def _run_attempt(self, effect: StartAttempt) -> None:
        attempt_id = effect.attempt_id
        share = self._receive_budget.open_share()
        try:
            async with (
                asyncio.timeout(effect.timeout_ms / 1000),
                _open_session(share) as session,
            ):
                await self._send_request(session, effect)
        except aiohttp.ClientConnectorError as error:
            self._submit_unreachable(effect, ColdEvidence.CONNECTION_REFUSED)
            self._submit_failure(
                attempt_id, AttemptFailure.REFUSED, SendState.UNSENT, error
            )
        except TimeoutError as error:
            self._submit_failure(
                attempt_id, AttemptFailure.TIMED_OUT, _MAY_HAVE_ARRIVED, error
            )
        except (aiohttp.ClientError, OSError) as error:
            self._submit_unreachable(effect, ColdEvidence.CONNECTION_RESET)
            self._submit_failure(
                attempt_id, AttemptFailure.CONNECTION_LOST, _MAY_HAVE_ARRIVED, error
            )
        except Exception as error:
            self._submit_failure(
                attempt_id, AttemptFailure.PROTOCOL, _MAY_HAVE_ARRIVED, error
            )
        finally:
            share.close()

    async def _send_request(
        self, session: aiohttp.ClientSession, effect: StartAttempt
    ) -> None:
        request = effect.request
        url = URL(effect.url + request.path, encoded=True)
        async with session.request(
            request.method,
            url,
            data=request.body or None,
            headers=_build_headers(effect),
            allow_redirects=False,
        ) as response:
            if response.status in OVERLOADED_STATUSES:
                self._message_sink.submit(
                    AttemptFailed(
                        effect.attempt_id,
                        AttemptFailure.OVERLOADED,
                        SendState.MAY_HAVE_ARRIVED,
                        f"runner returned HTTP status {response.status}",
                        _parse_retry_after_ms(response),
                    )
                )
                return
            assert isinstance(response, BoundedResponse)
            content_type = response.headers.get(
                "Content-Type", "application/octet-stream"
            )
            self._message_sink.submit(
                AnswerHead(effect.attempt_id, response.status, content_type)
            )
            if response.content_type == EVENT_STREAM:
                await self._read_events(effect, response)
            else:
                await self._read_plain_body(effect, response)

    async def _read_events(
        self, effect: StartAttempt, response: aiohttp.ClientResponse
    ) -> None:
        reader = EventStreamReader()
        turn = self._turns.open_stream()
        offset = effect.resume_offset
        passed_bytes = 0
        is_done = False

        def pass_batches(first_piece: bytes) -> Iterator[None]:
            nonlocal offset, passed_bytes, is_done
            for piece in iterate_received(
                response.content, first_piece, STREAM_PIECE_BYTES
            ):
                for batch in join_events(reader.feed(piece), offset):
                    passed_bytes += len(batch.data)
                    if batch.tokens:
                        allow_body(response, MAX_EVENT_BYTES, passed_bytes)
                    offset = batch.offset + batch.tokens
                    self._message_sink.submit(_build_chunk(effect, batch))
                    if batch.is_done:
                        is_done = True
                        return
                yield

        allow_body(response, MAX_EVENT_BYTES)
        async for first_piece in response.content.iter_chunked(STREAM_PIECE_BYTES):
            await turn.run(pass_batches(first_piece))
            if is_done:
                self._message_sink.submit(AttemptFinished(effect.attempt_id, offset))
                return
        raise aiohttp.ClientPayloadError("event stream ended without an end marker")

    async def _read_plain_body(
        self, effect: StartAttempt, response: BoundedResponse
    ) -> None:
        turn = self._turns.open_stream()
        offset = 0

        def pass_pieces(first_piece: bytes) -> Iterator[None]:
            nonlocal offset
            for piece in iterate_received(
                response.content, first_piece, BODY_PIECE_BYTES
            ):
                self._message_sink.submit(
                    AttemptChunk(effect.attempt_id, piece, 0, offset)
                )
                offset += len(piece)
                allow_body(response, MAX_EVENT_BYTES, offset)
                yield

        allow_body(response, MAX_EVENT_BYTES)
        async for first_piece in response.content.iter_chunked(BODY_PIECE_BYTES):
            await turn.run(pass_pieces(first_piece))
        response.check_complete()
        self._message_sink.submit(AttemptFinished(effect.attempt_id, 0))

    def _submit_failure(
        self,
        attempt_id: AttemptId,
        failure: AttemptFailure,
        send_state: SendState,
        error: Exception,
    ) -> None:
        detail = f"{type(error).__name__}: {error}"
        self._message_sink.submit(
            AttemptFailed(attempt_id, failure, send_state, detail)
        )
        drop_tracebacks(error)

    def _submit_unreachable(self, effect: StartAttempt, evidence: ColdEvidence) -> None:
        self._message_sink.submit(RunnerUnreachable(effect.runner_id, evidence))


def _build_chunk(effect: StartAttempt, batch: EventBatch) -> AttemptChunk:
    return AttemptChunk(effect.attempt_id, batch.data, batch.tokens, batch.offset)


_MAY_HAVE_ARRIVED = SendState.MAY_HAVE_ARRIVED


def _open_session(share: ReceiveShare) -> aiohttp.ClientSession:
    """Return a session for one request on a connection of its own."""
    session = aiohttp.ClientSession(
        connector=BoundedConnector(share, force_close=True),
        response_class=BoundedResponse,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
    )
    forbid_resending(session)
    return session


def _build_headers(effect: StartAttempt) -> dict[str, str]:
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


def _parse_retry_after_ms(response: aiohttp.ClientResponse) -> int | None:
    value = response.headers.get("Retry-After", "")
    return int(value) * 1000 if value.isdigit() else None
