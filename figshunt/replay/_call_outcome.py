"""The final outcome of one replayed request."""

from dataclasses import dataclass
from enum import Enum

from figshunt.replay._trace import TraceRequest


class CallResult(Enum):
    """The result of a request from its caller's point of view."""

    COMPLETE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The final outcome of one request, after all retries by its caller.

    ``REFUSED`` is an error response with the outcome "not run", ``FAILED`` any
    other error response, and ``BROKEN`` an answer that is neither complete nor
    ended by an explicit error. ``NOT_SENT`` is a request that wasn't sent,
    because too many calls were in progress.

    ``code`` is the error code, the fault of the answer or, if the connection
    was lost or timed out, the class name of the exception. For an error
    response that can't be decoded it is ``malformed_error``. Times are measured
    from the planned send time, which is the arrival time in the trace divided
    by the replay speed. ``tokens_discarded`` counts the tokens of attempts
    whose connection was lost or timed out.
    """

    request: TraceRequest
    result: CallResult
    code: str = ""
    key: str = ""
    first_token_ms: float | None = None
    completion_ms: float | None = None
    tokens: int = 0
    tokens_discarded: int = 0
    attempts: int = 1
