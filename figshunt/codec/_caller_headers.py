"""Reads what the router needs from the headers and target of a request."""

from figshunt.types import ErrorCode, FigshuntError, RequestKey, Step

LONGEST_KEY = 256
ROUTE_PATH_PARTS = 4


def decode_bearer_key(authorization: str) -> str:
    """Return the caller key, or an empty string if there is no usable one.

    Keys outside ASCII match no published hash, so they count as absent.
    """
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key.isascii():
        return ""
    return key.strip()


def decode_content_type(value: str | None) -> str:
    """Return the content type with its parameters, to be passed on."""
    if not value or not value.isascii():
        return "application/octet-stream"
    return value


def decode_request_key(value: str | None) -> RequestKey | None:
    """Return the idempotency key, if there is one.

    :raises FigshuntError: with :attr:`ErrorCode.KEY_INVALID` if it can't be
        passed on in a header.
    """
    if not value:
        return None
    if not value.isascii() or not value.isprintable() or len(value) > LONGEST_KEY:
        raise FigshuntError(
            ErrorCode.KEY_INVALID,
            Step.CALLER_LISTENER,
            f"Idempotency-Key isn't printable ASCII of at most {LONGEST_KEY} bytes",
        )
    return RequestKey(value)


def decode_runner_path(raw_path: str, raw_query: str) -> str:
    """Return what follows ``/route/NAME`` as it was sent.

    The escapes stay as they are: a decoded line break would end the request
    line that is sent to the runner.

    :raises FigshuntError: with :attr:`ErrorCode.BAD_REQUEST` if the path
        isn't ASCII.
    """
    parts = raw_path.split("/", ROUTE_PATH_PARTS - 1)
    tail = parts[-1] if len(parts) == ROUTE_PATH_PARTS else ""
    path = f"/{tail}?{raw_query}" if raw_query else f"/{tail}"
    if not path.isascii():
        raise FigshuntError(
            ErrorCode.BAD_REQUEST, Step.CALLER_LISTENER, "path isn't ASCII"
        )
    return path
