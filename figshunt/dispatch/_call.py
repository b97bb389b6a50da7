"""A caller's request on an entry host that keeps no shared state."""

from dataclasses import dataclass, field, replace
from typing import NewType

from figshunt.directory import PublishedRoute
from figshunt.types import (
    Fingerprint,
    Moment,
    PoolName,
    RequestId,
    RunnerId,
    TeamName,
)

PartId = NewType("PartId", str)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A leading part of a prompt that other requests may share."""

    part_id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a caller tells about a generation; ``parts`` are in order."""

    input_tokens: int
    most_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """One request as it was read from a caller's connection.

    ``call_id`` is made by this host; ``headers`` are those that go to the
    runner unchanged. ``patience_ms`` is how long the caller waits, counted
    from ``received``. ``resume_after`` is the last event that the caller has.
    """

    call_id: RequestId
    host: str
    method: str
    target: str
    caller_key: str | None = field(repr=False)
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    received: Moment
    patience_ms: int | None
    prompt: Prompt | None
    resume_after: int | None
    fingerprint: Fingerprint

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A call with what the first filters added.

    ``sends`` counts the runners that it was sent to and may have run on,
    ``refusals`` those that said that they did not run it; ``tried`` names
    all of them. ``delivered`` is the id of the last event that was passed
    on whole, and ``answering`` tells that the answer has begun.
    """

    call: Call
    route: PublishedRoute
    pool: PoolName
    team: TeamName | None
    urgency: int
    deadline_ms: int
    sends: int = 0
    refusals: int = 0
    tried: tuple[RunnerId, ...] = ()
    delivered: int | None = None
    answering: bool = False

    @property
    def call_id(self) -> RequestId:
        """Return the id of the underlying call."""
        return self.call.call_id

    def sent_to(self, runner_id: RunnerId) -> "RoutedCall":
        """Return the call as it stands once it was sent to a runner."""
        return replace(self, sends=self.sends + 1, tried=(*self.tried, runner_id))
