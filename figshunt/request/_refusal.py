"""The one way in which a filter ends a request that no runner is working on."""

from collections.abc import Iterator

from figshunt.pipeline import Feedback, Output
from figshunt.types import (
    ErrorCode,
    FailAnswer,
    Request,
    RequestEnded,
    RoutedRequest,
    RunOutcome,
    Step,
)


def refuse_unrouted(
    request: Request, code: ErrorCode, step: Step, detail: str
) -> FailAnswer:
    """Refuse a request that has no team or route yet; it was not run."""
    return FailAnswer(request.request_id, code, step, RunOutcome.NOT_RUN, detail)


def refuse(
    routed: RoutedRequest,
    code: ErrorCode,
    step: Step,
    detail: str,
    *,
    outcome: RunOutcome = RunOutcome.NOT_RUN,
    peer: str | None = None,
    retry_after_ms: int | None = None,
) -> Iterator[Output]:
    """End a routed request with an error and report that it ended."""
    yield FailAnswer(
        routed.request_id, code, step, outcome, detail, peer, retry_after_ms
    )
    yield Feedback(RequestEnded(routed, outcome, code))
