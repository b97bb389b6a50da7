"""All waiting requests of a policy by id and by deadline."""

import heapq

from figshunt.types import Moment, RequestId, RoutedRequest

HEAP_SLACK = 64


class WaitingIndex:
    """Finds a waiting request by its id, and those whose deadline has passed.

    The heap may hold entries of requests that no longer wait; it is rebuilt
    when they outnumber the others.
    """

    def __init__(self) -> None:
        self._routed_by_id: dict[RequestId, RoutedRequest] = {}
        self._deadlines: list[tuple[int, RequestId]] = []

    def add(self, routed: RoutedRequest) -> None:
        """Add a request."""
        self._routed_by_id[routed.request_id] = routed
        heapq.heappush(self._deadlines, (routed.deadline_ms, routed.request_id))
        if len(self._deadlines) > 2 * len(self._routed_by_id) + HEAP_SLACK:
            self._deadlines = [
                (one.deadline_ms, one.request_id) for one in self._routed_by_id.values()
            ]
            heapq.heapify(self._deadlines)

    def discard(self, request_id: RequestId) -> RoutedRequest | None:
        """Remove and return a request, if it is there."""
        return self._routed_by_id.pop(request_id, None)

    def passed(self, now: Moment) -> list[RoutedRequest]:
        """Return the requests whose deadline has passed; they stay in the index."""
        passed: dict[RequestId, RoutedRequest] = {}
        while self._deadlines and self._deadlines[0][0] <= now.monotonic_ms:
            _, request_id = heapq.heappop(self._deadlines)
            routed = self._routed_by_id.get(request_id)
            if routed is not None:
                passed[request_id] = routed
        return list(passed.values())
