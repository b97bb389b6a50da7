"""Index of a policy's waiting requests by id and by deadline."""

import heapq

from figshunt.types import Moment, RequestId, RoutedRequest

HEAP_REBUILD_SLACK = 64


class WaitingIndex:
    """Finds waiting requests by id and those whose deadline has passed.

    The heap of deadlines may contain stale entries of requests that are no
    longer waiting; it is rebuilt once these outnumber the current ones by
    more than ``HEAP_REBUILD_SLACK``.
    """

    def __init__(self) -> None:
        self._routed_by_id: dict[RequestId, RoutedRequest] = {}
        self._deadlines: list[tuple[int, RequestId]] = []

    def add(self, routed: RoutedRequest) -> None:
        """Add a request."""
        self._routed_by_id[routed.request_id] = routed
        heapq.heappush(self._deadlines, (routed.deadline_ms, routed.request_id))
        if len(self._deadlines) > 2 * len(self._routed_by_id) + HEAP_REBUILD_SLACK:
            self._deadlines = [
                (waiting.deadline_ms, waiting.request_id)
                for waiting in self._routed_by_id.values()
            ]
            heapq.heapify(self._deadlines)

    def discard(self, request_id: RequestId) -> RoutedRequest | None:
        """Remove and return a request, if it is there."""
        return self._routed_by_id.pop(request_id, None)

    def expired(self, now: Moment) -> list[RoutedRequest]:
        """Return the requests whose deadline has passed since the last call.

        They can still be found by id until they are discarded.
        """
        expired_by_id: dict[RequestId, RoutedRequest] = {}
        while self._deadlines and self._deadlines[0][0] <= now.monotonic_ms:
            _, request_id = heapq.heappop(self._deadlines)
            routed = self._routed_by_id.get(request_id)
            if routed is not None:
                expired_by_id[request_id] = routed
        return list(expired_by_id.values())
