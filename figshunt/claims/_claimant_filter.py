"""Holds a non-idempotent request until a majority has granted its key."""

from collections.abc import Iterable

from figshunt.claims._claim_records import ClaimRecord, ClaimRecords, ClaimState
from figshunt.claims._claim_round import ClaimRound, RoundResult
from figshunt.claims._key_time import (
    CLOCK_SKEW_MS,
    GRANTED_AHEAD_MS,
    KEY_WINDOW_MS,
    LedgerKey,
    find_ledger_key,
    read_issue_ms,
)
from figshunt.claims._views import EstablishmentView
from figshunt.pipeline import Feedback, Output
from figshunt.request import refuse
from figshunt.types import (
    ClaimReply,
    ClaimRequest,
    ClockJumped,
    CountEvent,
    ErrorCode,
    KeyRepeated,
    Message,
    Moment,
    PeerReceived,
    RequestAdmitted,
    RequestCancelled,
    RequestEnded,
    RequestId,
    RoutedRequest,
    RunOutcome,
    SeatIncarnation,
    SeatNumber,
    SendPeer,
    Step,
    TimerDue,
    WakeAt,
)

RETRY_AFTER_MS = 1_000


class ClaimantFilter:
    """Claims the keys of this daemon's requests and records their outcomes.

    A refusal says "not run" only if the key was granted to this daemon, which
    has not run it, or if no seat can ever grant the key. In all other cases
    another host may have run an earlier request with the same key.
    """

    step = Step.CLAIMANT
    accepts: tuple[type[Message], ...] = (
        RequestAdmitted,
        RequestCancelled,
        RequestEnded,
        PeerReceived,
        TimerDue,
        ClockJumped,
    )

    def __init__(self, establishment: EstablishmentView, records: ClaimRecords) -> None:
        self._establishment = establishment
        self._records = records
        self._rounds_by_number: dict[int, ClaimRound] = {}
        self._round_numbers_by_request: dict[RequestId, int] = {}
        self._rounds_started = 0

    def owns(self, request_id: RequestId) -> bool:
        """Return whether a request waits here for votes."""
        return request_id in self._round_numbers_by_request

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case RequestAdmitted(routed):
                if routed.route.idempotent:
                    yield message
                else:
                    yield from self._admit(message, now)
            case RequestEnded(routed, outcome):
                key = find_ledger_key(routed)
                if not routed.route.idempotent and key is not None:
                    self._records.record_outcome(key, routed.request_id, outcome)
                yield message
            case RequestCancelled(request_id):
                if request_id in self._round_numbers_by_request:
                    yield from self._cancel_claim(request_id)
                else:
                    yield message
            case PeerReceived(seat, ClaimReply() as reply):
                yield from self._handle_reply(seat, reply, now)
            case TimerDue():
                yield message
                yield from self._process_due_rounds(now)
            case ClockJumped():
                for number in tuple(self._rounds_by_number):
                    yield from self._finish_lost(
                        number, now, "the process was paused during the claim round"
                    )
                yield message
            case _:
                yield message

    def _admit(self, admitted: RequestAdmitted, now: Moment) -> Iterable[Output]:
        routed = admitted.routed
        key = find_ledger_key(routed)
        if key is None:
            yield from refuse(
                routed,
                ErrorCode.KEY_INVALID,
                self.step,
                "the Idempotency-Key is not a UUIDv7",
                outcome=RunOutcome.NOT_RUN,
            )
            return
        self._records.drop_expired(now)
        record = self._records.get(key)
        if record is not None and self._owns_key(record, routed):
            yield admitted
            return
        if record is not None and record.state is not ClaimState.NOT_RUN:
            yield from self._request_own_answer(routed, record)
            return
        yield from self._start_round(routed, key, record, now)

    def _owns_key(self, record: ClaimRecord, routed: RoutedRequest) -> bool:
        """Return whether the request owns its key and returns to retry or resume."""
        return (
            record.state is ClaimState.OWNED and record.request_id == routed.request_id
        )

    def _request_own_answer(
        self, routed: RoutedRequest, record: ClaimRecord
    ) -> Iterable[Output]:
        incarnation = self._establishment.incarnation
        assert incarnation is not None
        holder = SeatIncarnation(self._establishment.own_seat, incarnation)
        yield KeyRepeated(routed, holder, record.outcome)

    def _start_round(
        self,
        routed: RoutedRequest,
        key: LedgerKey,
        record: ClaimRecord | None,
        now: Moment,
    ) -> Iterable[Output]:
        refusal = self._find_refusal(routed, key, record, now)
        if refusal is not None:
            yield from refusal
            return
        generation = self._establishment.generation
        claimant = self._establishment.incarnation
        assert generation is not None and claimant is not None
        self._rounds_started += 1
        request = ClaimRequest(generation, claimant, self._rounds_started, *key)
        claim_round = ClaimRound(routed, request, self._establishment.seats, now)
        self._records.start_round(key, routed.request_id, routed.request.fingerprint)
        self._rounds_by_number[request.round_number] = claim_round
        self._round_numbers_by_request[routed.request_id] = request.round_number
        yield from self._send_requests(claim_round)

    def _find_refusal(
        self,
        routed: RoutedRequest,
        key: LedgerKey,
        record: ClaimRecord | None,
        now: Moment,
    ) -> Iterable[Output] | None:
        """Return the refusal if the key can't be claimed now, ``None`` if it can."""
        issue_ms = read_issue_ms(key[1])
        is_known_not_run = record is not None and record.was_granted
        known_outcome = (
            RunOutcome.NOT_RUN if is_known_not_run else RunOutcome.MAY_HAVE_RUN
        )
        if routed.attempts_started > 0 or routed.resume_offset > 0:
            return refuse(
                routed,
                ErrorCode.KEY_CLAIMED,
                self.step,
                "the claim of this request is no longer on record",
                outcome=RunOutcome.MAY_HAVE_RUN,
            )
        if issue_ms < now.wall_ms - KEY_WINDOW_MS:
            return refuse(
                routed,
                ErrorCode.KEY_EXPIRED,
                self.step,
                f"the Idempotency-Key is older than {KEY_WINDOW_MS} ms",
                outcome=known_outcome,
            )
        if issue_ms > now.wall_ms + CLOCK_SKEW_MS:
            # A host whose clock is ahead of this one may have granted the key.
            if issue_ms > now.wall_ms + GRANTED_AHEAD_MS:
                known_outcome = RunOutcome.NOT_RUN
            return refuse(
                routed,
                ErrorCode.KEY_INVALID,
                self.step,
                "the Idempotency-Key is dated in the future",
                outcome=known_outcome,
            )
        if self._establishment.incarnation is None or (
            record is None and self._records.is_full()
        ):
            return refuse(
                routed,
                ErrorCode.CLAIM_UNAVAILABLE,
                self.step,
                "this daemon has no tables yet, or its claim records are full",
                outcome=known_outcome,
                retry_after_ms=RETRY_AFTER_MS,
            )
        return None

    def _send_requests(self, claim_round: ClaimRound) -> Iterable[Output]:
        for seat in claim_round.seats_without_reply():
            if seat == self._establishment.own_seat:
                yield Feedback(PeerReceived(seat, claim_round.request))
            else:
                yield SendPeer(seat, claim_round.request)
        yield WakeAt(min(claim_round.resend_ms, claim_round.expires_ms))

    def _handle_reply(
        self, seat: SeatNumber, reply: ClaimReply, now: Moment
    ) -> Iterable[Output]:
        claim_round = self._rounds_by_number.get(reply.round_number)
        if claim_round is None or claim_round.request.claimant != reply.claimant:
            return
        if claim_round.request.generation != self._establishment.generation:
            yield from self._finish_lost(
                reply.round_number,
                now,
                "the cell entered a new generation during the claim round",
            )
            return
        if claim_round.is_over(now):
            yield from self._finish_lost(
                reply.round_number,
                now,
                "the claim round had timed out when a vote arrived",
            )
            return
        claim_round.add_reply(seat, reply)
        match claim_round.result(self._establishment.known):
            case RoundResult.WON:
                yield from self._finish_granted(reply.round_number, now)
            case RoundResult.LOST:
                yield from self._finish_lost(
                    reply.round_number, now, "no majority of the seats granted the key"
                )

    def _finish_granted(self, number: int, now: Moment) -> Iterable[Output]:
        claim_round = self._remove_round(number)
        key = find_ledger_key(claim_round.routed)
        assert key is not None
        self._records.record_grant(key, now)
        yield CountEvent("claims", {"result": RoundResult.WON.value})
        yield RequestAdmitted(claim_round.routed)

    def _finish_lost(self, number: int, now: Moment, detail: str) -> Iterable[Output]:
        claim_round = self._remove_round(number)
        routed = claim_round.routed
        key = find_ledger_key(routed)
        assert key is not None
        outcome = self._records.record_lost_round(key)
        holder = claim_round.holder()
        yield CountEvent("claims", {"result": RoundResult.LOST.value})
        if holder is not None and outcome is not RunOutcome.NOT_RUN:
            yield KeyRepeated(routed, holder, outcome)
            return
        yield from refuse(
            routed,
            ErrorCode.CLAIM_UNAVAILABLE,
            self.step,
            detail,
            outcome=outcome,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _cancel_claim(self, request_id: RequestId) -> Iterable[Output]:
        claim_round = self._remove_round(self._round_numbers_by_request[request_id])
        key = find_ledger_key(claim_round.routed)
        assert key is not None
        outcome = self._records.record_lost_round(key)
        yield Feedback(RequestEnded(claim_round.routed, outcome, None))

    def _remove_round(self, number: int) -> ClaimRound:
        claim_round = self._rounds_by_number.pop(number)
        del self._round_numbers_by_request[claim_round.routed.request_id]
        return claim_round

    def _process_due_rounds(self, now: Moment) -> Iterable[Output]:
        for number, claim_round in tuple(self._rounds_by_number.items()):
            if claim_round.is_over(now):
                yield from self._finish_lost(
                    number,
                    now,
                    "too few seats replied before the claim round timed out",
                )
            elif now.monotonic_ms >= claim_round.resend_ms:
                claim_round.schedule_resend(now)
                yield from self._send_requests(claim_round)
