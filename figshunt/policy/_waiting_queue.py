"""Waiting requests in order of arrival."""

from collections import OrderedDict
from collections.abc import Iterator

from figshunt.types import RequestId, RoutedRequest


class WaitingQueue:
    """A queue of one class in which a request that is put back keeps its place.

    Requests that were chosen before started ahead of all fresh ones, so they
    go first, in order of arrival. All requests have the same latency target,
    so those that have missed it are the first of the fresh ones.
    """

    def __init__(self) -> None:
        self._returned: OrderedDict[RequestId, RoutedRequest] = OrderedDict()
        self._late: OrderedDict[RequestId, RoutedRequest] = OrderedDict()
        self._fresh: OrderedDict[RequestId, RoutedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._returned) + self.fresh_count

    def __iter__(self) -> Iterator[RoutedRequest]:
        yield from self._returned.values()
        yield from self._late.values()
        yield from self._fresh.values()

    @property
    def fresh_count(self) -> int:
        """Return how many waiting requests were never chosen."""
        return len(self._late) + len(self._fresh)

    def append(self, routed: RoutedRequest) -> None:
        """Add a fresh request at the end."""
        self._fresh[routed.request_id] = routed

    def put_back(self, routed: RoutedRequest) -> None:
        """Add a request that was chosen before."""
        self._returned[routed.request_id] = routed
        in_order = sorted(
            self._returned.values(),
            key=lambda one: one.request.arrived.monotonic_ms,
        )
        self._returned = OrderedDict((one.request_id, one) for one in in_order)

    def first(self) -> RoutedRequest | None:
        """Return the next request without removing it."""
        return next(iter(self), None)

    def first_in_time(self, now_ms: int) -> RoutedRequest | None:
        """Return the next request that can still meet its latency target.

        In an overload, order of arrival makes all requests miss it. Those
        that have missed it are returned when there are no others.
        """
        while self._fresh:
            request_id, routed = next(iter(self._fresh.items()))
            arrived_ms = routed.request.arrived.monotonic_ms
            if arrived_ms + routed.route.latency_target_ms >= now_ms:
                break
            self._late[request_id] = self._fresh.pop(request_id)
        for requests in (self._returned, self._fresh, self._late):
            if requests:
                return next(iter(requests.values()))
        return None

    def last_fresh(self) -> RoutedRequest | None:
        """Return the last fresh request, of those known to be late if any is."""
        return next(reversed((self._late or self._fresh).values()), None)

    def remove(self, request_id: RequestId) -> RoutedRequest | None:
        """Remove and return a request, if it is there."""
        for requests in (self._returned, self._late, self._fresh):
            if request_id in requests:
                return requests.pop(request_id)
        return None
