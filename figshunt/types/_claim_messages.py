"""Messages with which the seats of a cell agree on who may run a keyed request."""

from dataclasses import dataclass, field
from enum import Enum

from figshunt.types._identifiers import (
    Fingerprint,
    GenerationNumber,
    IdempotencyKey,
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
    value that it received from others; ``nonce`` is random and breaks ties.
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
    """A voter's record that it granted a key of a team to a claimant."""

    team: TeamName
    key: IdempotencyKey
    holder: SeatIncarnation


class ClaimVerdict(Enum):
    """A voter's decision on a claim.

    ``HELD`` means that the voter has granted the key to another claimant,
    ``ABSTAINED`` that it hasn't, but can't grant it to this claimant either.
    """

    GRANTED = "granted"
    HELD = "held"
    ABSTAINED = "abstained"


@dataclass(frozen=True, slots=True)
class JoinRequest(PeerMessage):
    """Sent to all other seats by an occupant that isn't established yet.

    ``candidates`` are the occupants, including the sender, that the sender
    knows not to be established either; they are used only for founding.
    """

    generation: GenerationNumber
    incarnation: Incarnation
    candidates: tuple[SeatIncarnation, ...]


@dataclass(frozen=True, slots=True)
class JoinReply(PeerMessage):
    """An established occupant's answer to :class:`JoinRequest`.

    ``accepted`` is false if the sender knows of a later occupant of the
    joiner's seat. The sender's grants may be split into several parts; all
    parts of one reply have the same ``snapshot``.
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
    """A vote to found an empty cell with exactly these ``members``.

    An occupant votes at most once in a generation and can't withdraw its vote.
    ``voters`` are the seats whose votes for these members the sender has
    received, including its own.
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
    key: IdempotencyKey


@dataclass(frozen=True, slots=True)
class ClaimReply(PeerMessage):
    """A voter's reply to a claim, with all occupants that it knows of."""

    generation: GenerationNumber
    claimant: Incarnation
    round_number: int
    voter: Incarnation
    verdict: ClaimVerdict
    holder: SeatIncarnation | None
    known: tuple[SeatIncarnation, ...]


@dataclass(frozen=True, slots=True)
class JoinerRecorded(Message):
    """This daemon recorded a joiner and must send its grants to it."""

    seat: SeatNumber
    joiner: Incarnation
    generation: GenerationNumber
    sender: Incarnation
    known: tuple[SeatIncarnation, ...]


@dataclass(frozen=True, slots=True)
class GrantsReceived(Message):
    """Another seat sent its grants to this daemon."""

    grants: tuple[GrantRecord, ...]


class AnswerState(Enum):
    """Availability of the answer to a request at the claimant of its key.

    ``RUNNING`` means that the answer isn't complete yet, ``KEPT`` that it is
    stored, and ``NOT_KEPT`` that it isn't available.
    """

    RUNNING = "running"
    KEPT = "kept"
    NOT_KEPT = "not_kept"


@dataclass(frozen=True, slots=True)
class AnswerRequest(PeerMessage):
    """Asks a claimant for the answer to a key; its replies repeat ``number``."""

    number: int
    team: TeamName
    key: IdempotencyKey
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class AnswerPart(PeerMessage):
    """A claimant's reply; in state ``KEPT``, it carries one part of the answer."""

    number: int
    state: AnswerState
    outcome: RunOutcome
    status: int = 0
    content_type: str = ""
    data: bytes = field(default=b"", repr=False)
    part: int = 0
    parts: int = 1


@dataclass(frozen=True, slots=True)
class KeyRepeated(Message):
    """A request repeats a key that ``holder`` claimed, on this or another daemon.

    ``outcome`` is the run outcome to report if the holder sends no answer.
    """

    routed: RoutedRequest
    holder: SeatIncarnation
    outcome: RunOutcome
