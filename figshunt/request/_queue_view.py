"""Read-only view of the queues for the filters in front of them."""

from typing import Protocol

from figshunt.types import Moment, RoutedRequest


class QueueView(Protocol):
    """What a new request can expect of the queue of its pool."""

    def has_room(self, routed: RoutedRequest, now: Moment) -> bool:
        """Return whether the request can be queued, if need be in another's place."""

    def would_yield(self, routed: RoutedRequest, now: Moment) -> bool:
        """Return whether some running work yields its slot to the request."""

    def expected_wait_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the least time that a new request is expected to wait."""

    def retry_after_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return when a refused request may try again."""
