"""Waiting requests in order of arrival."""

from collections import OrderedDict
from collections.abc import Iterator

from figshunt.types import RequestId, RoutedRequest


class WaitingQueue:
    """A queue in which a request that is put back keeps its place.

    Requests that were chosen before started ahead of all fresh ones, so they
    go first, in order of arrival.
    """

    def __init__(self) -> None:
        self._returned: OrderedDict[RequestId, RoutedRequest] = OrderedDict()
        self._fresh: OrderedDict[RequestId, RoutedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._returned) + len(self._fresh)

    def __iter__(self) -> Iterator[RoutedRequest]:
        yield from self._returned.values()
        yield from self._fresh.values()

    @property
    def fresh_count(self) -> int:
        """Return how many waiting requests were never chosen."""
        return len(self._fresh)

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

    def last_fresh(self) -> RoutedRequest | None:
        """Return the fresh request that came last."""
        return next(reversed(self._fresh.values()), None)

    def remove(self, request_id: RequestId) -> RoutedRequest | None:
        """Remove and return a request, if it is there."""
        removed = self._returned.pop(request_id, None)
        return removed or self._fresh.pop(request_id, None)
