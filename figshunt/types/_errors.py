"""Errors with a stable code, the step, the peer and the run outcome."""

from enum import Enum

from figshunt.types._states import RunOutcome, Step


class ErrorCode(Enum):
    """Stable error codes; values appear in answers, logs and metrics."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_TEAM = "unknown_team"
    KEY_MISSING = "key_missing"
    KEY_INVALID = "key_invalid"
    KEY_EXPIRED = "key_expired"
    KEY_CLAIMED = "key_claimed"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    HEADER_TOO_SLOW = "header_too_slow"
    NO_MEMORY = "no_memory"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    QUARANTINED = "quarantined"
    NO_RUNNER = "no_runner"
    RUNNER_FAILED = "runner_failed"
    STREAM_BROKEN = "stream_broken"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    TABLES_INVALID = "tables_invalid"
    SETTINGS_INVALID = "settings_invalid"
    PEER_PROTOCOL = "peer_protocol"
    PEER_UNREACHABLE = "peer_unreachable"
    INTERNAL = "internal"


# A code without an entry is answered with status 500.
HTTP_STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.UNKNOWN_TEAM: 401,
    ErrorCode.KEY_MISSING: 400,
    ErrorCode.KEY_INVALID: 400,
    ErrorCode.KEY_EXPIRED: 409,
    ErrorCode.KEY_CLAIMED: 409,
    ErrorCode.CLAIM_UNAVAILABLE: 503,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.HEADER_TOO_LARGE: 431,
    ErrorCode.HEADER_TOO_SLOW: 408,
    ErrorCode.NO_MEMORY: 503,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.QUEUE_FULL: 429,
    ErrorCode.DEADLINE_UNREACHABLE: 503,
    ErrorCode.DEADLINE_PASSED: 504,
    ErrorCode.STOPPING: 503,
    ErrorCode.QUARANTINED: 422,
    ErrorCode.NO_RUNNER: 503,
    ErrorCode.RUNNER_FAILED: 502,
    ErrorCode.STREAM_BROKEN: 502,
    ErrorCode.NOT_READY: 503,
    ErrorCode.INTERNAL: 500,
}


class FigshuntError(Exception):
    """An error with a stable code, the step where it occurred and the run outcome.

    :param code: the stable error code.
    :param step: the filter or service in which the error occurred.
    :param peer: the other side (runner, seat, URL or file), if there was one.
    :param outcome: whether the request was run. If that is unknown, it must be
        :attr:`RunOutcome.MAY_HAVE_RUN`.
    :param detail: one human-readable sentence.
    :param retry_after_ms: the time after which the caller may retry, if known.
    """

    def __init__(
        self,
        code: ErrorCode,
        step: Step,
        detail: str,
        *,
        peer: str | None = None,
        outcome: RunOutcome = RunOutcome.NOT_RUN,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(detail)
        self.code = code
        self.step = step
        self.detail = detail
        self.peer = peer
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms

    def __str__(self) -> str:
        peer_suffix = f" peer={self.peer}" if self.peer else ""
        return (
            f"{self.code.value} at step={self.step.value}{peer_suffix}: {self.detail}"
        )
