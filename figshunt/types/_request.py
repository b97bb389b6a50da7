"""A caller's request, before and after routing."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from figshunt.types._clock import Moment
from figshunt.types._identifiers import (
    Fingerprint,
    IdempotencyKey,
    PoolName,
    RequestId,
    RouteName,
    TeamName,
    Tier,
)

if TYPE_CHECKING:
    from figshunt.tables import Route


@dataclass(frozen=True, slots=True)
class Request:
    """One caller's request, decoded but not yet authorized or routed.

    ``caller_key`` is the caller's credential; ``key`` is the idempotency key.
    ``body`` is sent to the runner unchanged. ``prompt_tokens`` is an estimate.
    ``prefixes`` are hashes of the prompt's leading blocks, the longest last.
    """

    request_id: RequestId
    route: RouteName
    caller_key: str
    key: IdempotencyKey | None
    method: str
    path: str
    content_type: str
    body: bytes = field(repr=False)
    stream: bool
    prompt_tokens: int
    prefixes: tuple[str, ...]
    fingerprint: Fingerprint
    arrived: Moment


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its team, route, deadline and progress.

    ``deadline_ms`` is a monotonic time. ``resume_offset`` is the number of
    tokens that the caller already received; ``attempts_started`` is the number of
    attempts started, and ``preemptions`` the number of those that were
    suspended for a higher tier. ``is_trial`` marks a trial of suspect content;
    its runner gets no other new work meanwhile. ``first_token_ms`` is the
    monotonic time of the first token, if there was one.
    """

    request: Request
    team: TeamName
    route: "Route"
    deadline_ms: int
    resume_offset: int = 0
    attempts_started: int = 0
    is_trial: bool = False
    preemptions: int = 0
    first_token_ms: int | None = None

    @property
    def request_id(self) -> RequestId:
        """Return the id of the underlying request."""
        return self.request.request_id

    @property
    def tier(self) -> Tier:
        """Return the tier of the request's class."""
        return self.route.tier

    @property
    def pool(self) -> PoolName:
        """Return the pool that serves the request's class."""
        return self.route.pool
