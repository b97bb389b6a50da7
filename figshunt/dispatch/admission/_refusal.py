"""Error answers that this host generates itself."""

from collections.abc import Iterable

from figshunt.dispatch._effects import AnswerError
from figshunt.pipeline import Output
from figshunt.types import (
    CountEvent,
    ErrorCode,
    LogEvent,
    RequestId,
    RunOutcome,
    Step,
)

# 503 means that the request did not run. A request that may have run gets a
# status that leaves this open.
STATUS_BY_CODE = {
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.UNKNOWN_TEAM: 401,
    ErrorCode.NOT_READY: 503,
    ErrorCode.STOPPING: 503,
    ErrorCode.NO_RUNNER: 503,
    ErrorCode.QUEUE_FULL: 503,
    ErrorCode.QUARANTINED: 503,
    ErrorCode.DEADLINE_UNREACHABLE: 503,
    ErrorCode.DEADLINE_PASSED: 504,
    ErrorCode.RUNNER_FAILED: 502,
    ErrorCode.INTERNAL: 500,
}


def refuse_call(
    call_id: RequestId,
    code: ErrorCode,
    step: Step,
    outcome: RunOutcome,
    *,
    retry_after_ms: int | None = None,
    **log_fields: str | int | float | bool | None,
) -> Iterable[Output]:
    """Yield the error answer, the counter and the log event of a refused call.

    :param log_fields: values that led to the refusal, for the log event.
    """
    status = STATUS_BY_CODE[code]
    if outcome is RunOutcome.NOT_RUN and status > 500:
        status = 503
    yield AnswerError(call_id, code, status, retry_after_ms)
    yield CountEvent("refusals", {"code": code.value, "step": step.value})
    yield LogEvent(
        "call_refused",
        step,
        {
            "request": call_id,
            "code": code.value,
            "outcome": outcome.value,
            "status": status,
            "retry_after_ms": retry_after_ms,
            **log_fields,
        },
    )
