"""Finds the route of a call by its host and path."""

from collections.abc import Iterable

from figshunt.directory import DirectoryView
from figshunt.dispatch._messages import CallArrived, CallMatched
from figshunt.dispatch.admission._refusal import refuse_call
from figshunt.pipeline import Output
from figshunt.types import ErrorCode, Message, Moment, RunOutcome, Step

# A newly started host reads the store within this time if the store is available.
NOT_READY_RETRY_MS = 300


class RouteFilter:
    """Assigns each call the route with the longest matching path prefix.

    A call for an unknown route gets a permanent error only while the published
    configuration can be read. Otherwise the route may exist in a newer version,
    and the caller is asked to retry.
    """

    step = Step.ROUTE
    accepts: tuple[type[Message], ...] = (CallArrived,)

    def __init__(self, directory: DirectoryView) -> None:
        self._directory = directory

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        assert isinstance(message, CallArrived)
        call = message.call
        route = self._directory.match(call.host, call.path)
        if route is not None:
            yield CallMatched(call, route)
            return
        configuration = self._directory.configuration
        is_current = configuration is not None and self._directory.is_current
        yield from refuse_call(
            call.call_id,
            ErrorCode.UNKNOWN_ROUTE if is_current else ErrorCode.NOT_READY,
            self.step,
            RunOutcome.NOT_RUN,
            retry_after_ms=None if is_current else NOT_READY_RETRY_MS,
            version=configuration.version if configuration else None,
        )
