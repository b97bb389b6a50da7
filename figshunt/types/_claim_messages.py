"""Messages by which the seats of a cell agree who may run a keyed request."""

from dataclasses import dataclass, field
from enum import Enum

from figshunt.types._identifiers import (
    Fingerprint,
    GenerationNumber,
    RequestKey,
    SeatNumber,
    TeamName,
)
from figshunt.types._message import Message
from figshunt.types._peer_messages import PeerMessage
from figshunt.types._request import RoutedRequest
from figshunt.types._states import RunOutcome


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One occupant of a seat; a later occupant compares greater.

    ``started_ms`` is the wall time of its start, or one more than the highest
    that it learned of; ``nonce`` is random and breaks ties.
    """

    started_ms: int
    nonce: int


@dataclass(frozen=True, slots=True)
class SeatIncarnation:
    """An occupant together with its seat."""

    seat: SeatNumber
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """A voter's memory that it granted a key of a team to a claimant."""

    team: TeamName
    key: RequestKey
    holder: SeatIncarnation


class ClaimVerdict(Enum):
    """A voter's answer to a claim."""

    GRANTED = "granted"
    HELD = "held"
    ABSTAINED = "abstained"


@dataclass(frozen=True, slots=True)
class JoinRequest(PeerMessage):
    """Sent by an occupant that isn't established yet to all other seats.

    ``candidates`` are the occupants, its own included, that it knows to be
    without establishment as well; they matter only for founding.
    """

    generation: GenerationNumber
    incarnation: Incarnation
    candidates: tuple[SeatIncarnation, ...]


@dataclass(frozen=True, slots=True)
class JoinReply(PeerMessage):
    """An established occupant's answer to :class:`JoinRequest`.

    ``accepted`` is false if it knows of a later occupant of the joiner's
    seat. Its grants may be spread over several parts; parts of one reply have
    the same ``snapshot``.
    """

    generation: GenerationNumber
    sender: Incarnation
    joiner: Incarnation
    accepted: bool
    known: tuple[SeatIncarnation, ...]
    grants: tuple[GrantRecord, ...]
    snapshot: int
    part: int
    parts: int


@dataclass(frozen=True, slots=True)
class FoundingVote(PeerMessage):
    """A commitment to found an empty cell with exactly these ``members``.

    ``voters`` are the seats whose vote for these members the sender has seen,
    its own included.
    """

    generation: GenerationNumber
    members: tuple[SeatIncarnation, ...]
    voters: tuple[SeatNumber, ...]


@dataclass(frozen=True, slots=True)
class ClaimRequest(PeerMessage):
    """Asks a seat to grant a key of a team to the sender."""

    generation: GenerationNumber
    claimant: Incarnation
    round_number: int
    team: TeamName
    key: RequestKey


@dataclass(frozen=True, slots=True)
class ClaimReply(PeerMessage):
    """A voter's answer, with every occupant that it knows of."""

    generation: GenerationNumber
    claimant: Incarnation
    round_number: int
    voter: Incarnation
    verdict: ClaimVerdict
    holder: SeatIncarnation | None
    known: tuple[SeatIncarnation, ...]


@dataclass(frozen=True, slots=True)
class JoinerRecorded(Message):
    """This daemon recorded a joiner; its grants are to be sent to it."""

    seat: SeatNumber
    joiner: Incarnation
    generation: GenerationNumber
    sender: Incarnation
    known: tuple[SeatIncarnation, ...]


@dataclass(frozen=True, slots=True)
class GrantsLearned(Message):
    """Another seat told its grants to this daemon."""

    grants: tuple[GrantRecord, ...]


class AnswerState(Enum):
    """What a claimant can tell of the answer to a request that it claimed."""

    RUNNING = "running"
    KEPT = "kept"
    NOT_KEPT = "not_kept"


@dataclass(frozen=True, slots=True)
class AnswerRequest(PeerMessage):
    """Asks a claimant for the answer to a key; ``number`` marks the replies."""

    number: int
    team: TeamName
    key: RequestKey
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class AnswerPart(PeerMessage):
    """A claimant's reply; with ``KEPT``, one of several parts of the answer."""

    number: int
    state: AnswerState
    outcome: RunOutcome
    status: int = 0
    content_type: str = ""
    data: bytes = field(default=b"", repr=False)
    part: int = 0
    parts: int = 1


@dataclass(frozen=True, slots=True)
class AnswerWanted(Message):
    """A request repeats a key that ``holder`` claimed, in this daemon or another.

    ``outcome`` is what can be said if the holder tells nothing.
    """

    routed: RoutedRequest
    holder: SeatIncarnation
    outcome: RunOutcome
