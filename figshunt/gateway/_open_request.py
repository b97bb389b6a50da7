"""Requests of callers whose response is not complete."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from enum import Enum


class RequestStage(Enum):
    """How far a request has come."""

    RECEIVING = "receiving"
    WAITING = "waiting"
    ANSWERING = "answering"


class RequestEnding(Enum):
    """What became of a request: ``UNANSWERED`` ones have no complete response."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"


class ReceivingStoppedError(Exception):
    """The rest of a request is no longer waited for; it has not run."""


class OpenRequest:
    """A request whose head was received and whose response is not complete."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.stage = RequestStage.RECEIVING
        self.ending = RequestEnding.UNANSWERED
        self._timeout: asyncio.Timeout | None = None

    @contextlib.asynccontextmanager
    async def receive(self) -> AsyncIterator[None]:
        """Receive the request within this context.

        :raises ReceivingStoppedError: if it is stopped before that.
        """
        try:
            async with asyncio.timeout(None) as self._timeout:
                yield
        except TimeoutError as error:
            raise ReceivingStoppedError from error
        finally:
            self._timeout = None
        self.stage = RequestStage.WAITING

    def stop_receiving(self) -> None:
        """Stop waiting for the rest of the request."""
        if self._timeout is not None:
            self._timeout.reschedule(0.0)


class OpenRequests:
    """The open requests of one listener."""

    def __init__(self) -> None:
        self._requests: set[OpenRequest] = set()
        self._endings: Counter[RequestEnding] = Counter()

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(tuple(self._requests))

    def add(self, request: OpenRequest) -> None:
        """Add a request whose head was received."""
        self._requests.add(request)

    def discard(self, request: OpenRequest) -> None:
        """Forget a request, which has its response or whose caller is gone."""
        self._requests.discard(request)
        self._endings[request.ending] += 1

    def count_by_stage(self) -> dict[str, int]:
        """Return the number of requests by the value of their stage."""
        counts = Counter(request.stage for request in self._requests)
        return {stage.value: counts[stage] for stage in RequestStage}

    def start_count(self) -> None:
        """Count endings from now on."""
        self._endings.clear()

    def count_by_ending(self) -> dict[str, int]:
        """Return the number of ended requests by the value of their ending."""
        return {ending.value: self._endings[ending] for ending in RequestEnding}
