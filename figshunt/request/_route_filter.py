"""Looks up the route of a request and computes the request's deadline."""

from collections.abc import Iterable

from figshunt.control import TablesView
from figshunt.pipeline import Output
from figshunt.request._refusal import refuse_unrouted
from figshunt.types import (
    ErrorCode,
    Message,
    Moment,
    RequestArrived,
    RequestRouted,
    RoutedRequest,
    Step,
)


class RouteFilter:
    """Turns :class:`RequestArrived` into :class:`RequestRouted`.

    Refuses requests for unknown routes and requests without a valid
    idempotency key for routes that aren't idempotent.
    """

    step = Step.ROUTE
    accepts: tuple[type[Message], ...] = (RequestArrived,)

    def __init__(self, tables: TablesView) -> None:
        self._tables = tables

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        assert isinstance(message, RequestArrived)
        request = message.request
        tables = self._tables.current()
        assert tables is not None and message.team is not None
        route = tables.routes_by_name.get(request.route)
        if route is None:
            yield refuse_unrouted(
                request,
                ErrorCode.UNKNOWN_ROUTE,
                self.step,
                f"there is no route named {request.route!r}",
            )
            return
        if not route.idempotent and request.key is None:
            yield refuse_unrouted(
                request,
                ErrorCode.KEY_MISSING,
                self.step,
                f"route {route.name!r} requires a UUIDv7 as Idempotency-Key",
            )
            return
        deadline_ms = request.arrived.monotonic_ms + route.deadline_ms
        yield RequestRouted(RoutedRequest(request, message.team, route, deadline_ms))
