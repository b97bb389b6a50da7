"""Votes on claims: grants each key of a team to at most one claimant."""

from collections.abc import Iterable

from figshunt.claims._grant_ledger import GrantLedger
from figshunt.claims._key_time import (
    CLOCK_SKEW_MS,
    GRANTED_AHEAD_MS,
    KEY_WINDOW_MS,
    parse_key,
    read_issue_ms,
)
from figshunt.claims._views import EstablishmentView
from figshunt.pipeline import Output
from figshunt.types import (
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    CountEvent,
    GrantRecord,
    GrantsReceived,
    IdempotencyKey,
    JoinerRecorded,
    JoinReply,
    Message,
    Moment,
    PeerReceived,
    SeatIncarnation,
    SeatNumber,
    SendPeer,
    Step,
)

MAX_GRANTS_PER_PART = 500


class VoterFilter:
    """Owns the grants of this occupant.

    The voter abstains while it isn't established and while its ledger is full.
    It also abstains for keys outside of the window, and for keys that may have
    been granted before it was established.
    """

    step = Step.VOTER
    accepts: tuple[type[Message], ...] = (PeerReceived, JoinerRecorded, GrantsReceived)

    def __init__(self, establishment: EstablishmentView, ledger: GrantLedger) -> None:
        self._establishment = establishment
        self._ledger = ledger
        self._snapshots_sent = 0

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case JoinerRecorded():
                yield from self._send_grants(message, now)
            case GrantsReceived(grants):
                for grant in grants:
                    self._ledger.record(grant, now)
            case PeerReceived(seat, ClaimRequest() as request):
                if request.generation == self._establishment.generation:
                    yield from self._vote(seat, request, now)
            case _:
                yield message

    def _send_grants(self, joiner: JoinerRecorded, now: Moment) -> Iterable[Output]:
        self._ledger.drop_expired(now)
        self._snapshots_sent += 1
        grants = self._ledger.records()
        parts = max(1, -(-len(grants) // MAX_GRANTS_PER_PART))
        for part in range(parts):
            offset = part * MAX_GRANTS_PER_PART
            reply = JoinReply(
                generation=joiner.generation,
                sender=joiner.sender,
                joiner=joiner.joiner,
                accepted=True,
                known=joiner.known,
                grants=tuple(grants[offset : offset + MAX_GRANTS_PER_PART]),
                snapshot=self._snapshots_sent,
                part=part,
                parts=parts,
            )
            yield SendPeer(joiner.seat, reply)

    def _vote(
        self, seat: SeatNumber, request: ClaimRequest, now: Moment
    ) -> Iterable[Output]:
        voter = self._establishment.incarnation
        assert voter is not None
        self._ledger.drop_expired(now)
        claimant = SeatIncarnation(seat, request.claimant)
        verdict = self._decide_verdict(claimant, request, now)
        yield CountEvent("claim_votes", {"verdict": verdict.value})
        reply = ClaimReply(
            generation=request.generation,
            claimant=request.claimant,
            round_number=request.round_number,
            voter=voter,
            verdict=verdict,
            holder=self._ledger.holder(request.team, request.key),
            known=self._establishment.known.entries(),
        )
        if seat == self._establishment.own_seat:
            yield PeerReceived(seat, reply)
        else:
            yield SendPeer(seat, reply)

    def _decide_verdict(
        self, claimant: SeatIncarnation, request: ClaimRequest, now: Moment
    ) -> ClaimVerdict:
        holder = self._ledger.holder(request.team, request.key)
        if holder is not None and holder != claimant:
            return ClaimVerdict.HELD
        if parse_key(request.key) != request.key:
            return ClaimVerdict.ABSTAINED
        if not self._may_grant(request.key, now):
            return ClaimVerdict.ABSTAINED
        if holder is None:
            if self._ledger.is_full():
                return ClaimVerdict.ABSTAINED
            record = GrantRecord(request.team, request.key, claimant)
            self._ledger.record(record, now)
        return ClaimVerdict.GRANTED

    def _may_grant(self, key: IdempotencyKey, now: Moment) -> bool:
        established_wall_ms = self._establishment.established_wall_ms
        if established_wall_ms is None:
            return False
        issue_ms = read_issue_ms(key)
        if self._may_have_been_granted(issue_ms, established_wall_ms):
            return False
        return now.wall_ms - KEY_WINDOW_MS <= issue_ms <= now.wall_ms + CLOCK_SKEW_MS

    def _may_have_been_granted(self, issue_ms: int, established_wall_ms: int) -> bool:
        """Return whether a key issued then may have been granted before establishment.

        Earlier occupants of the seats may have granted it, and their grants may
        be lost.
        """
        return issue_ms <= established_wall_ms + GRANTED_AHEAD_MS
