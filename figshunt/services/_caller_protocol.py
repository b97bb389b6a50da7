"""Connection handler that answers malformed HTTP with error codes."""

from aiohttp import web

from figshunt.runtime import CallerConnection, CallerFault, RequestRefusedError
from figshunt.services._error_response import build_error_response
from figshunt.types import ErrorCode, FigshuntError, RunOutcome, Step

CODE_BY_FAULT = {
    CallerFault.HEAD_TOO_LARGE: ErrorCode.HEADER_TOO_LARGE,
    CallerFault.HEAD_TOO_SLOW: ErrorCode.HEADER_TOO_SLOW,
    CallerFault.NO_MEMORY: ErrorCode.NO_MEMORY,
}


class CallerProtocol(CallerConnection):
    """A caller's connection with this package's error responses.

    aiohttp calls :meth:`handle_error` for input that its parser rejects and
    for exceptions that no handler caught.
    """

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a response with an error code; the connection closes after it.

        :raises ConnectionError: if part of a response was already sent.
        """
        if request.writer.output_size > 0:
            raise ConnectionError(
                "can't send an error response: part of the answer was already sent"
            )
        response = build_error_response(_build_error(exc))
        response.force_close()
        return response


def _build_error(exc: BaseException | None) -> FigshuntError:
    step = Step.CALLER_LISTENER
    if isinstance(exc, RequestRefusedError):
        code = CODE_BY_FAULT.get(exc.fault, ErrorCode.BAD_REQUEST)
        return FigshuntError(code, step, f"request not read on: {exc.fault.value}")
    return FigshuntError(
        ErrorCode.INTERNAL,
        step,
        f"unexpected exception: {type(exc).__name__}",
        outcome=RunOutcome.MAY_HAVE_RUN,
    )
