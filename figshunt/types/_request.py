"""A caller's request, before and after routing."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from figshunt.types._clock import Moment
from figshunt.types._identifiers import (
    Fingerprint,
    PoolName,
    RequestId,
    RequestKey,
    RouteName,
    TeamName,
    Tier,
)

if TYPE_CHECKING:
    from figshunt.tables import Route


@dataclass(frozen=True, slots=True)
class Request:
    """One caller's request as it came in, decoded but not interpreted.

    ``caller_key`` is the caller's credential; ``body`` goes to the runner
    unchanged. ``prompt_tokens`` is an estimate. ``prefixes`` are hashes of
    the prompt's leading blocks, longest last.
    """

    request_id: RequestId
    route: RouteName
    caller_key: str
    key: RequestKey | None
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
    """A request with the facts that the first filters added.

    ``deadline_ms`` is a monotonic time. ``resume_offset`` counts tokens that
    the caller already received; ``tries`` counts attempts started and
    ``preemptions`` those that were suspended for a higher tier;
    ``first_token_ms`` is the monotonic time of the first token, if one came.
    """

    request: Request
    team: TeamName
    route: "Route"
    deadline_ms: int
    resume_offset: int = 0
    tries: int = 0
    alone: bool = False
    preemptions: int = 0
    first_token_ms: int | None = None

    @property
    def request_id(self) -> RequestId:
        """Return the id of the underlying request."""
        return self.request.request_id

    @property
    def tier(self) -> Tier:
        """Return the tier of the class of request."""
        return self.route.tier

    @property
    def pool(self) -> PoolName:
        """Return the pool that serves the class of request."""
        return self.route.pool
