"""Queue of waiting requests in order of arrival."""

from collections import OrderedDict
from collections.abc import Iterator

from figshunt.types import RequestId, RoutedRequest


class WaitingQueue:
    """A queue in which a request that is added again keeps its position.

    Requests that were chosen before had been ahead of all fresh ones, so they
    go first, in order of arrival. Late requests are fresh requests that have
    missed their latency target. :meth:`first_on_time` relies on all requests
    having the same target, so that they miss it in order of arrival.
    """

    def __init__(self) -> None:
        self._requeued: OrderedDict[RequestId, RoutedRequest] = OrderedDict()
        self._late: OrderedDict[RequestId, RoutedRequest] = OrderedDict()
        self._fresh: OrderedDict[RequestId, RoutedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._requeued) + self.fresh_count

    def __iter__(self) -> Iterator[RoutedRequest]:
        yield from self._requeued.values()
        yield from self._late.values()
        yield from self._fresh.values()

    @property
    def fresh_count(self) -> int:
        """Return how many waiting requests have never been chosen."""
        return len(self._late) + len(self._fresh)

    def append(self, routed: RoutedRequest) -> None:
        """Add a fresh request at the end."""
        self._fresh[routed.request_id] = routed

    def requeue(self, routed: RoutedRequest) -> None:
        """Add a request that was chosen before."""
        self._requeued[routed.request_id] = routed
        in_order = sorted(
            self._requeued.values(),
            key=lambda waiting: waiting.request.arrived.monotonic_ms,
        )
        self._requeued = OrderedDict(
            (waiting.request_id, waiting) for waiting in in_order
        )

    def first(self) -> RoutedRequest | None:
        """Return the next request without removing it."""
        return next(iter(self), None)

    def first_on_time(self, now_ms: int) -> RoutedRequest | None:
        """Return the next request, preferring those that can meet their target.

        Under overload, serving in order of arrival would make all requests
        miss their latency target. Requeued requests go first, and fresh ones
        that have already missed it are only returned if there are no others.
        """
        while self._fresh:
            request_id, routed = next(iter(self._fresh.items()))
            arrived_ms = routed.request.arrived.monotonic_ms
            if arrived_ms + routed.route.latency_target_ms >= now_ms:
                break
            self._late[request_id] = self._fresh.pop(request_id)
        for requests in (self._requeued, self._fresh, self._late):
            if requests:
                return next(iter(requests.values()))
        return None

    def last_fresh(self) -> RoutedRequest | None:
        """Return the last late request, or the last other fresh one if none is late."""
        return next(reversed((self._late or self._fresh).values()), None)

    def remove(self, request_id: RequestId) -> RoutedRequest | None:
        """Remove and return a request, if it is there."""
        for requests in (self._requeued, self._late, self._fresh):
            if request_id in requests:
                return requests.pop(request_id)
        return None
