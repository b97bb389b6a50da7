"""Encoding of errors as HTTP responses."""

from aiohttp import web

from figshunt.codec import encode_error
from figshunt.types import HTTP_STATUS_BY_CODE, FailAnswer, FigshuntError, RunOutcome

INTERNAL_ERROR_STATUS = 500


def error_from_failure(failure: FailAnswer) -> FigshuntError:
    """Return the error that a failed answer reports."""
    return FigshuntError(
        failure.code,
        failure.step,
        failure.detail,
        peer=failure.peer,
        outcome=failure.outcome,
        retry_after_ms=failure.retry_after_ms,
    )


def build_error_body(error: FigshuntError, request_id: str) -> bytes:
    """Return the JSON body of an error response."""
    return encode_error(
        {
            "code": error.code.value,
            "outcome": error.outcome.value,
            "step": error.step.value,
            "peer": error.peer,
            "message": error.detail,
            "request_id": request_id,
        }
    )


def build_error_response(error: FigshuntError, request_id: str = "") -> web.Response:
    """Return the HTTP response for an error."""
    headers = {"X-Run-Outcome": error.outcome.value}
    if error.retry_after_ms is not None:
        headers["Retry-After"] = str(max(1, -(-error.retry_after_ms // 1000)))
    if error.outcome is not RunOutcome.NOT_RUN:
        headers["X-Should-Retry"] = "false"
    return web.Response(
        status=HTTP_STATUS_BY_CODE.get(error.code, INTERNAL_ERROR_STATUS),
        body=build_error_body(error, request_id),
        content_type="application/json",
        headers=headers,
    )
