"""Peer messages that carry the figures of the report."""

from dataclasses import dataclass

from figshunt.types._identifiers import HostName, RevisionNumber, RouteName
from figshunt.types._peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class RefusalCount:
    """How many requests ended with one error code."""

    code: str
    count: int


@dataclass(frozen=True, slots=True)
class RouteOutcome:
    """What became of the requests of one class in a span of time.

    ``ended`` counts every request that ended except those that the caller
    gave up; ``attained`` those answered whole within the latency target;
    ``good_tokens`` the tokens of whole answers within their deadline.
    """

    route: RouteName
    ended: int = 0
    whole: int = 0
    attained: int = 0
    cancelled: int = 0
    good_tokens: int = 0
    wasted_tokens: int = 0
    refusals: tuple[RefusalCount, ...] = ()


@dataclass(frozen=True, slots=True)
class OutcomeNotice(PeerMessage):
    """One daemon's figures of the last ``span_ms``."""

    host: HostName
    revision: RevisionNumber
    span_ms: int
    routes: tuple[RouteOutcome, ...]
