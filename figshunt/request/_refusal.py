"""Refusal of requests that are not running on a runner.

Filters end such requests only through these functions.
"""

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

STEPS_BEFORE_CLAIM = frozenset({Step.QUARANTINE, Step.ADMISSION})


def refuse_unrouted(
    request: Request, code: ErrorCode, step: Step, detail: str
) -> FailAnswer:
    """Refuse a request that has no team or route yet.

    The outcome is "not run" only for a request without a key: an earlier
    request with the same key may have run on another host.
    """
    outcome = RunOutcome.MAY_HAVE_RUN if request.key else RunOutcome.NOT_RUN
    return FailAnswer(request.request_id, code, step, outcome, detail)


def refuse(
    routed: RoutedRequest,
    code: ErrorCode,
    step: Step,
    detail: str,
    *,
    outcome: RunOutcome | None = None,
    peer: str | None = None,
    retry_after_ms: int | None = None,
) -> Iterator[Output]:
    """End a routed request with an error and report its end to all filters.

    The default outcome is "not run". For a request of a non-idempotent route
    whose key hasn't been claimed yet it is "may have run", since another host
    may have run an earlier request with the same key.
    """
    if outcome is None:
        is_unclaimed = not routed.route.idempotent and step in STEPS_BEFORE_CLAIM
        outcome = RunOutcome.MAY_HAVE_RUN if is_unclaimed else RunOutcome.NOT_RUN
    yield FailAnswer(
        routed.request_id, code, step, outcome, detail, peer, retry_after_ms
    )
    yield Feedback(RequestEnded(routed, outcome, code))
