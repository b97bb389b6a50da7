"""Sends calls to runners over HTTP and passes the responses to the core."""

import asyncio
from collections.abc import Iterator
from typing import Any

import aiohttp
from mode import Service
from yarl import URL

from figshunt.dispatch import (
    CallAttemptFailed,
    CancelCallAttempt,
    ReplyComplete,
    ReplyEnded,
    ReplyEvent,
    ReplyHead,
    ReplyStarted,
    StartCallAttempt,
)
from figshunt.gateway._codecs import CallCodec
from figshunt.gateway._runner_channels import Channel, ChannelPool
from figshunt.runtime import (
    BODY_PIECE_BYTES,
    MAX_EVENT_BYTES,
    STREAM_PIECE_BYTES,
    BoundedResponse,
    EventLog,
    EventStreamReader,
    MessageSink,
    OversizedResponseError,
    ReceiveBudget,
    ServerSentEvent,
    StreamTurns,
    allow_body,
    attach_comments,
    drop_tracebacks,
    iterate_received,
)
from figshunt.types import AttemptFailure, AttemptId, Clock, SendState, Step

# Headers that the HTTP library must not add to the caller's own.
SUPPRESSED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")

EXPIRY_CHECK_INTERVAL_S = 2.0

# As large as the largest request body that the front listener accepts.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class RunnerCaller(Service):
    """Applies the effects :class:`StartCallAttempt` and :class:`CancelCallAttempt`."""

    def __init__(
        self,
        codec: CallCodec,
        message_sink: MessageSink,
        log: EventLog,
        clock: Clock,
        budget: ReceiveBudget | None = None,
    ) -> None:
        super().__init__()
        self._codec = codec
        self._message_sink = message_sink
        self._log = log
        self._channels = ChannelPool(budget or ReceiveBudget())
        self._turns = StreamTurns(clock)
        self._tasks_by_attempt: dict[AttemptId, asyncio.Task[None]] = {}
        self._expiry_task: asyncio.Task[None] | None = None

    async def on_started(self) -> None:
        """Start the periodic closing of expired idle connections."""
        self._expiry_task = asyncio.get_running_loop().create_task(
            self._close_expired()
        )

    async def on_stop(self) -> None:
        """Cancel the attempts in flight and close all connections."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        for task in tuple(self._tasks_by_attempt.values()):
            task.cancel()
        await self._channels.close()

    def start_attempt(self, attempt: StartCallAttempt) -> None:
        """Start sending a call in a task of its own."""
        task = asyncio.get_running_loop().create_task(self._send_call(attempt))
        self._tasks_by_attempt[attempt.attempt_id] = task
        task.add_done_callback(
            lambda _: self._tasks_by_attempt.pop(attempt.attempt_id, None)
        )

    def cancel_attempt(self, cancel: CancelCallAttempt) -> None:
        """Cancel an attempt and close its connection, which makes the runner stop."""
        task = self._tasks_by_attempt.get(cancel.attempt_id)
        if task is not None:
            task.cancel()

    async def _close_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            await self._channels.close_expired()

    async def _send_call(self, attempt: StartCallAttempt) -> None:
        channel: Channel | None = None
        is_reusable = False
        try:
            request_ids = self._codec.decode_request_ids(attempt.call.headers)
            if self._channels.has_sent(attempt.address, request_ids):
                self._log.write(
                    "request_id_repeated",
                    step=Step.RUNNER_CALLER.value,
                    request=attempt.call.call_id,
                    runner=attempt.runner_id,
                    address=attempt.address,
                )
            channel = self._channels.acquire(attempt.address, request_ids)
            async with channel.request(
                attempt.call.method,
                URL(f"http://{attempt.address}{attempt.call.target}", encoded=True),
                request_ids,
                data=attempt.call.body or None,
                headers=self._codec.encode_attempt(attempt),
                skip_auto_headers=SUPPRESSED_HEADERS,
                allow_redirects=False,
            ) as response:
                channel.record_response(response)
                head = await self._read_response(attempt, response)
                # After an answer to another request, the next one may be this
                # request's.
                is_reusable = head.matches_request
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._report_failure(
                attempt, AttemptFailure.REFUSED, error, SendState.UNSENT
            )
        except (aiohttp.ServerConnectionError, aiohttp.ClientOSError) as error:
            self._report_failure(attempt, AttemptFailure.CONNECTION_LOST, error)
        except OversizedResponseError as error:
            self._report_failure(attempt, AttemptFailure.PROTOCOL, error)
        except aiohttp.ClientPayloadError as error:
            # The connection ended within the body.
            self._report_failure(attempt, AttemptFailure.CONNECTION_LOST, error)
        except (aiohttp.ClientError, ValueError) as error:
            self._report_failure(attempt, AttemptFailure.PROTOCOL, error)
        except OSError as error:
            self._report_failure(attempt, AttemptFailure.CONNECTION_LOST, error)
        except Exception as error:
            # The caller would wait for its deadline if the attempt didn't end.
            self._report_failure(attempt, AttemptFailure.PROTOCOL, error)
        finally:
            if channel is not None and is_reusable:
                await self._channels.release(channel)
            elif channel is not None:
                await channel.close()

    async def _read_response(
        self,
        attempt: StartCallAttempt,
        response: BoundedResponse,
    ) -> ReplyHead:
        head = self._codec.decode_head(
            attempt, response.status, _list_headers(response)
        )
        if head.is_stream:
            await self._read_events(attempt, head, response)
            return head
        body = await self._read_body(response)
        response.check_complete()
        self._message_sink.submit(ReplyComplete(attempt.attempt_id, head, body))
        return head

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        turn = self._turns.open_stream()
        pieces: list[bytes] = []

        def read_pieces(first_piece: bytes) -> Iterator[None]:
            for piece in iterate_received(
                response.content, first_piece, BODY_PIECE_BYTES
            ):
                pieces.append(piece)
                yield

        allow_body(response, MAX_ANSWER_BYTES)
        async for first_piece in response.content.iter_chunked(BODY_PIECE_BYTES):
            await turn.run(read_pieces(first_piece))
        return b"".join(pieces)

    async def _read_events(
        self,
        attempt: StartCallAttempt,
        head: ReplyHead,
        response: BoundedResponse,
    ) -> None:
        self._message_sink.submit(ReplyStarted(attempt.attempt_id, head))
        reader = EventStreamReader()
        turn = self._turns.open_stream()
        passed_bytes = 0

        def pass_events(first_piece: bytes) -> Iterator[None]:
            nonlocal passed_bytes
            for piece in iterate_received(
                response.content, first_piece, STREAM_PIECE_BYTES
            ):
                steps = 0
                for event in attach_comments(reader.feed(piece)):
                    if event is not None:
                        passed_bytes += len(event.raw)
                        if event.data:
                            allow_body(response, MAX_EVENT_BYTES, passed_bytes)
                        self._message_sink.submit(_build_event(attempt, event))
                    steps += 1
                    yield
                if not steps:
                    # Reading a piece without an event takes time as well.
                    yield

        allow_body(response, MAX_EVENT_BYTES)
        async for first_piece in response.content.iter_chunked(STREAM_PIECE_BYTES):
            await turn.run(pass_events(first_piece))
        response.check_complete()
        if reader.pending_bytes:
            raise aiohttp.ClientPayloadError("stream ended within an event")
        self._message_sink.submit(ReplyEnded(attempt.attempt_id))

    def _report_failure(
        self,
        attempt: StartCallAttempt,
        failure: AttemptFailure,
        error: Exception,
        send_state: SendState = SendState.MAY_HAVE_ARRIVED,
    ) -> None:
        detail = f"{type(error).__name__}: {error}"
        self._message_sink.submit(
            CallAttemptFailed(attempt.attempt_id, failure, send_state, detail)
        )
        drop_tracebacks(error)


def _build_event(attempt: StartCallAttempt, event: ServerSentEvent) -> ReplyEvent:
    return ReplyEvent(
        attempt.attempt_id,
        event.event_id,
        event.raw,
        event.is_comment,
        bool(event.data),
    )


def _list_headers(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    headers: Any = response.headers
    return list(headers.items())
