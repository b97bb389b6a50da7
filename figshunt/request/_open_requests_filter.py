"""Keeps the routed requests that have not ended."""

from collections.abc import Iterable

from figshunt.pipeline import Feedback, Output
from figshunt.types import (
    ErrorCode,
    Message,
    Moment,
    OpenRequestsChecked,
    RequestEnded,
    RequestId,
    RequestRouted,
    RoutedRequest,
    RunOutcome,
    Step,
)


class OpenRequestsFilter:
    """Reports the end of routed requests that an error has ended."""

    step = Step.ROUTE
    accepts: tuple[type[Message], ...] = (
        RequestRouted,
        RequestEnded,
        OpenRequestsChecked,
    )

    def __init__(self) -> None:
        self._routed_by_id: dict[RequestId, RoutedRequest] = {}

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case RequestRouted(routed):
                self._routed_by_id[routed.request_id] = routed
            case RequestEnded(routed):
                self._routed_by_id.pop(routed.request_id, None)
            case OpenRequestsChecked(open_ids):
                for routed in self._routed_by_id.values():
                    if routed.request_id not in open_ids:
                        yield Feedback(
                            RequestEnded(
                                routed, RunOutcome.MAY_HAVE_RUN, ErrorCode.INTERNAL
                            )
                        )
        yield message
