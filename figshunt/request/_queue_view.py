"""Read-only view of the queues for the filters that precede the scheduler."""

from typing import Protocol

from figshunt.types import Moment, RoutedRequest


class QueueView(Protocol):
    """State of the queue that a new request would join."""

    def has_room(self, routed: RoutedRequest, now: Moment) -> bool:
        """Return whether the request can be queued.

        A full queue has room if another request can be shed or preempted.
        """

    def can_preempt_for(self, routed: RoutedRequest, now: Moment) -> bool:
        """Return whether a running request can be preempted for the given one."""

    def expected_wait_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return a lower estimate of the time that a new request will wait."""

    def retry_after_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the delay after which a refused request may be sent again."""
