"""Peer messages with the outcome counts for the report."""

from dataclasses import dataclass

from figshunt.types._identifiers import HostName, RevisionNumber, RouteName
from figshunt.types._peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class RefusalCount:
    """The number of requests that ended with one error code."""

    code: str
    count: int


@dataclass(frozen=True, slots=True)
class RouteOutcome:
    """Outcome counts of the requests of one class in a period of time.

    ``ended`` counts all requests that ended except those cancelled by the
    caller; ``whole`` counts complete answers, and ``attained`` those of them
    within the latency target; ``good_tokens`` counts the tokens of complete
    answers within their deadline, and ``wasted_tokens`` the tokens that were
    sent to callers in incomplete answers.
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
    """One daemon's outcome counts of the last ``span_ms``."""

    host: HostName
    revision: RevisionNumber
    span_ms: int
    routes: tuple[RouteOutcome, ...]
