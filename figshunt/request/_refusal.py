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

STEPS_BEFORE_CLAIM = frozenset({Step.QUARANTINE, Step.ADMISSION})


def refuse_unrouted(
    request: Request, code: ErrorCode, step: Step, detail: str
) -> FailAnswer:
    """Refuse a request that has no team or route yet.

    An earlier request with the same key may have run at another host, so "not
    run" is known only of a request without a key.
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
    """End a routed request with an error and report that it ended.

    By default the outcome is "not run", but for a request that must not be
    repeated and whose key was not claimed yet: another host may have run it.
    """
    if outcome is None:
        is_unclaimed = not routed.route.idempotent and step in STEPS_BEFORE_CLAIM
        outcome = RunOutcome.MAY_HAVE_RUN if is_unclaimed else RunOutcome.NOT_RUN
    yield FailAnswer(
        routed.request_id, code, step, outcome, detail, peer, retry_after_ms
    )
    yield Feedback(RequestEnded(routed, outcome, code))
