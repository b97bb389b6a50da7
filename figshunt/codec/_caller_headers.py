"""Decodes the headers and the request target of a caller's request."""

from figshunt.types import ErrorCode, FigshuntError, IdempotencyKey, Step

MAX_KEY_BYTES = 256
# ``/route/NAME/REST`` splits into an empty part, ``route``, ``NAME`` and ``REST``.
ROUTE_PATH_PARTS = 4


def decode_bearer_key(authorization: str) -> str:
    """Return the caller key, or an empty string if there is no valid one.

    Keys with characters outside ASCII match no published hash, so they are
    treated as missing.
    """
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key.isascii():
        return ""
    return key.strip()


def decode_content_type(value: str | None) -> str:
    """Return the content type with its parameters for the request to the runner.

    A missing or non-ASCII value yields ``application/octet-stream``.
    """
    if not value or not value.isascii():
        return "application/octet-stream"
    return value


def decode_idempotency_key(value: str | None) -> IdempotencyKey | None:
    """Return the idempotency key, if there is one.

    :raises FigshuntError: with :attr:`ErrorCode.KEY_INVALID` if the key can't
        be forwarded in a header.
    """
    if not value:
        return None
    if not value.isascii() or not value.isprintable() or len(value) > MAX_KEY_BYTES:
        raise FigshuntError(
            ErrorCode.KEY_INVALID,
            Step.CALLER_LISTENER,
            f"Idempotency-Key must be at most {MAX_KEY_BYTES} printable ASCII bytes",
        )
    return IdempotencyKey(value)


def decode_runner_path(raw_path: str, raw_query: str) -> str:
    """Return the path after ``/route/NAME`` and the query, without decoding.

    Percent-encoding is preserved, because a decoded line break would end the
    request line that is sent to the runner.

    :raises FigshuntError: with :attr:`ErrorCode.BAD_REQUEST` if the path
        or the query contains characters outside ASCII.
    """
    parts = raw_path.split("/", ROUTE_PATH_PARTS - 1)
    relative_path = parts[-1] if len(parts) == ROUTE_PATH_PARTS else ""
    path = f"/{relative_path}?{raw_query}" if raw_query else f"/{relative_path}"
    if not path.isascii():
        raise FigshuntError(
            ErrorCode.BAD_REQUEST, Step.CALLER_LISTENER, "path and query must be ASCII"
        )
    return path
