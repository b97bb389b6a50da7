"""One caller's connection: answers malformed HTTP with coded errors."""

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from figshunt.services._error_response import build_error_response
from figshunt.types import ErrorCode, FigshuntError, RunOutcome, Step

BAD_REQUEST_STATUS = 400


class CallerProtocol(web.RequestHandler):
    """aiohttp's connection handler with the errors of this package.

    aiohttp calls :meth:`handle_error` for input that its parser refuses and
    for exceptions that no handler caught.
    """

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a coded error and close the connection after it.

        :raises ConnectionError: if a part of an answer was sent already.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun already")
        response = build_error_response(_describe(status, exc))
        response.force_close()
        return response


def _describe(status: int, exc: BaseException | None) -> FigshuntError:
    step = Step.CALLER_LISTENER
    if isinstance(exc, LineTooLong):
        detail = "request line or header field is too long"
        return FigshuntError(ErrorCode.HEADER_TOO_LARGE, step, detail)
    if status == BAD_REQUEST_STATUS:
        detail = f"not valid HTTP: {type(exc).__name__}"
        return FigshuntError(ErrorCode.BAD_REQUEST, step, detail)
    return FigshuntError(
        ErrorCode.INTERNAL,
        step,
        f"unexpected {type(exc).__name__}",
        outcome=RunOutcome.MAY_HAVE_RUN,
    )
