"""Sends calls to runners over HTTP and feeds what comes back to the core."""

import asyncio
from typing import Any

import aiohttp
from mode import Service
from yarl import URL

from figshunt.dispatch import (
    CancelSend,
    ReplyEnded,
    ReplyEvent,
    ReplyHead,
    ReplyStarted,
    ReplyWhole,
    SendCall,
    SendFailed,
)
from figshunt.gateway._runner_channels import Channel, ChannelPool
from figshunt.gateway._wire import CallCodec
from figshunt.runtime import EventStreamReader, Feed
from figshunt.types import AttemptFailure, AttemptId, SendState

# Headers that the HTTP library would add to what the caller sent.
NO_OWN_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")

CLOSE_EXPIRED_S = 2.0


class RunnerCaller(Service):
    """Carries out :class:`SendCall` and :class:`CancelSend`."""

    def __init__(self, codec: CallCodec, feed: Feed) -> None:
        super().__init__()
        self._codec = codec
        self._feed = feed
        self._channels = ChannelPool()
        self._tasks_by_attempt: dict[AttemptId, asyncio.Task[None]] = {}
        self._closing: asyncio.Task[None] | None = None

    async def on_started(self) -> None:
        """Start to close connections that were idle for too long."""
        self._closing = asyncio.get_running_loop().create_task(self._close_expired())

    async def on_stop(self) -> None:
        """Cancel what is in flight and close all connections."""
        if self._closing is not None:
            self._closing.cancel()
        for task in tuple(self._tasks_by_attempt.values()):
            task.cancel()
        await self._channels.close()

    def start_send(self, send: SendCall) -> None:
        """Start one send."""
        task = asyncio.get_running_loop().create_task(self._run(send))
        self._tasks_by_attempt[send.attempt_id] = task
        task.add_done_callback(
            lambda _: self._tasks_by_attempt.pop(send.attempt_id, None)
        )

    def cancel_send(self, cancel: CancelSend) -> None:
        """Stop a send; closing its connection tells the runner."""
        task = self._tasks_by_attempt.get(cancel.attempt_id)
        if task is not None:
            task.cancel()

    async def _close_expired(self) -> None:
        while True:
            await asyncio.sleep(CLOSE_EXPIRED_S)
            await self._channels.close_expired()

    async def _run(self, send: SendCall) -> None:
        channel = await self._channels.take(send.address)
        is_whole = False
        try:
            async with channel.request(
                send.call.method,
                URL(f"http://{send.address}{send.call.target}", encoded=True),
                data=send.call.body or None,
                headers=self._codec.encode_send(send),
                skip_auto_headers=NO_OWN_HEADERS,
                allow_redirects=False,
            ) as response:
                channel.note(response)
                await self._read_answer(send, channel, response)
                is_whole = True
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._fail(send, AttemptFailure.REFUSED, error, SendState.UNSENT)
        except (aiohttp.ServerConnectionError, aiohttp.ClientOSError) as error:
            self._fail(send, AttemptFailure.CONNECTION_LOST, error)
        except (aiohttp.ClientError, ValueError) as error:
            self._fail(send, AttemptFailure.PROTOCOL, error)
        except OSError as error:
            self._fail(send, AttemptFailure.CONNECTION_LOST, error)
        finally:
            if is_whole:
                await self._channels.give_back(channel)
            else:
                await channel.close()

    async def _read_answer(
        self, send: SendCall, channel: Channel, response: aiohttp.ClientResponse
    ) -> None:
        head = self._codec.decode_head(send, response.status, _decode_pairs(response))
        if head.is_stream:
            await self._read_events(send, channel, head, response)
            return
        body = await response.read()
        self._check_end(channel, response)
        self._feed.feed(ReplyWhole(send.attempt_id, head, body))

    async def _read_events(
        self,
        send: SendCall,
        channel: Channel,
        head: ReplyHead,
        response: aiohttp.ClientResponse,
    ) -> None:
        self._feed.feed(ReplyStarted(send.attempt_id, head))
        reader = EventStreamReader()
        async for data in response.content.iter_any():
            for event in reader.feed(data):
                self._feed.feed(ReplyEvent(send.attempt_id, event.event_id, event.raw))
        self._check_end(channel, response)
        if reader.rest:
            raise aiohttp.ClientPayloadError("stream ended inside an event")
        self._feed.feed(ReplyEnded(send.attempt_id))

    def _check_end(self, channel: Channel, response: aiohttp.ClientResponse) -> None:
        """Raise if an answer that ends with its connection was cut by a reset."""
        headers = response.headers
        is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if not is_framed and channel.was_reset():
            raise aiohttp.ServerDisconnectedError("answer was cut by a reset")

    def _fail(
        self,
        send: SendCall,
        failure: AttemptFailure,
        error: Exception,
        sent: SendState = SendState.MAY_HAVE_ARRIVED,
    ) -> None:
        detail = f"{type(error).__name__}: {error}"
        self._feed.feed(SendFailed(send.attempt_id, failure, sent, detail))


def _decode_pairs(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    headers: Any = response.headers
    return list(headers.items())
