"""How one replayed request ended."""

from dataclasses import dataclass
from enum import Enum

from figshunt.replay._trace import TraceRequest


class CallResult(Enum):
    """How a request ended, as its caller sees it."""

    WHOLE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The end of one request, after all retries of its caller.

    ``REFUSED`` is an error with the outcome "not run", ``FAILED`` any other
    explicit error, ``BROKEN`` an answer that is neither whole nor ended by an
    explicit error. ``code`` is the error code or the fault. Times count from
    the moment at which the trace says that the request arrives.
    """

    request: TraceRequest
    result: CallResult
    code: str = ""
    key: str = ""
    first_token_ms: float | None = None
    whole_ms: float | None = None
    tokens: int = 0
    tokens_discarded: int = 0
    tries: int = 1
