"""Callers that send their next request right behind the end of a stream."""

import asyncio
import random
from collections.abc import Callable, Sequence

from aiohttp import web

from figshunt.standins import PlatformRunner
from tests.harness._fault_proxy import LOOPBACK
from tests.harness._raw_caller import Exchange, open_raw_caller

# Streams begin within this time before the signal, so that their heads don't announce
# the close of their channels.
BEGIN_S = 2.0
SETTLE_S = 0.3

END_PATH = "/ends-at/"

# A host keeps a channel open for 0.5 s behind the end of a stream.
MAX_LATE_S = 0.4


def build_stream_path(prefix: str, end_s: float) -> str:
    """Return the path of a stream that ends at a time of the event loop, in s."""
    return f"{prefix}{END_PATH}{end_s:.4f}"


async def wait_for_stream_end(path: str, parts: int = 1) -> None:
    """Wait for one of equal parts of what is left until the time in a stream's path."""
    end_s = float(path.partition(END_PATH)[2])
    await asyncio.sleep((end_s - asyncio.get_running_loop().time()) / parts)


class TimedRunner(PlatformRunner):
    """A runner whose streams spread their events until the time that their paths say.

    Those whose paths name no time are sent at the usual interval.
    """

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        if END_PATH not in request.path:
            return await super()._stream(request, headers)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first_number = int(request.headers.get("Last-Event-Id", "-1")) + 1
        for number in range(first_number, self._events):
            if number:
                await wait_for_stream_end(request.path, self._events - number)
            await response.write(b"id: %d\ndata: token\n\n" % number)
        await response.write_eof()
        return response


class NextRequestCallers:
    """Plays streams that end around a signal, and the next requests on their channels.

    :param build_stream: returns the bytes of a request, by its id, for a stream that
        ends at a time of the event loop.
    :param build_next: returns the bytes of a request that is answered at once.
    :param name: begins the ids of all requests.

    ``late_ids`` has the requests whose channels may be closed, as they were sent late
    because this process or the host was held up.
    """

    def __init__(
        self,
        port: int,
        build_stream: Callable[[str, float], bytes],
        build_next: Callable[[str], bytes],
        rng: random.Random,
        name: str = "",
    ) -> None:
        self._port = port
        self._build_stream = build_stream
        self._build_next = build_next
        self._rng = rng
        self._name = name
        self.late_ids: set[str] = set()
        self._signal_s = 0.0

    async def play(
        self,
        send_signal: Callable[[], None],
        schedule: Sequence[tuple[float, float]],
    ) -> list[Exchange]:
        """Return how the next requests ended.

        :param schedule: for each channel, when its stream ends after the signal, and
            the time until its next request, both in s.
        """
        loop = asyncio.get_running_loop()
        self._signal_s = loop.time() + BEGIN_S + SETTLE_S
        loop.call_at(self._signal_s, send_signal)
        callers = [
            self._call(number, end_s, delay_s)
            for number, (end_s, delay_s) in enumerate(schedule)
        ]
        results = await asyncio.gather(*callers)
        return [exchange for exchange in results if exchange is not None]

    async def _call(self, number: int, end_s: float, delay_s: float) -> Exchange | None:
        """Return how the next request ended, or ``None`` if there was no channel."""
        await asyncio.sleep(self._rng.uniform(0.0, BEGIN_S))
        caller = await open_raw_caller(LOOPBACK, self._port)
        if caller is None:
            return None
        try:
            stream_id = f"{self._name} stream {number}"
            data = self._build_stream(stream_id, self._signal_s + end_s)
            stream = await caller.exchange(stream_id, [data])
            if stream.response is None or stream.response.announces_close:
                return None
            if delay_s:
                await asyncio.sleep(delay_s)
            request_id = f"{self._name} next {number}"
            late_s = asyncio.get_running_loop().time() - self._signal_s - end_s
            if late_s > MAX_LATE_S:
                self.late_ids.add(request_id)
            return await caller.exchange(request_id, [self._build_next(request_id)])
        finally:
            caller.close()
