"""Messages between the scheduler and the filters after it."""

from dataclasses import dataclass

from figshunt.types._message import Message
from figshunt.types._request import RoutedRequest


@dataclass(frozen=True, slots=True)
class RequestUnplaced(Message):
    """No free slot suits a released request; fed back by the slot filter.

    The request keeps its place in the queue and is released again when the
    capacity of its pool changes. It doesn't block the requests behind it.
    """

    routed: RoutedRequest
