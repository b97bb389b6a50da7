"""Answers a repeated key with the one answer that its request got."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from figshunt.claims._answer_exchange import AnswerExchange
from figshunt.claims._answer_store import AnswerStore, KeptAnswer
from figshunt.claims._claim_records import ClaimRecords, ClaimState
from figshunt.claims._key_time import LedgerKey, find_ledger_key
from figshunt.claims._views import EstablishmentView
from figshunt.pipeline import Feedback, Output
from figshunt.request import refuse
from figshunt.types import (
    AnswerHead,
    AnswerPart,
    AnswerRequest,
    AnswerState,
    AnswerWanted,
    AttemptChunk,
    AttemptId,
    AttemptPlanned,
    EndAnswer,
    ErrorCode,
    Fingerprint,
    Message,
    Moment,
    PeerLost,
    PeerReceived,
    RequestCancelled,
    RequestEnded,
    RequestId,
    RoutedRequest,
    RunOutcome,
    SeatNumber,
    SendAnswer,
    SendPeer,
    StartAnswer,
    Step,
    TimerDue,
    WakeAt,
)

MOST_FOLLOWERS = 1_000
PART_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class RemoteFollower:
    """A daemon that waits for an answer, and how it marks the replies."""

    seat: SeatNumber
    number: int


class AnswerFilter:
    """Keeps answers to keyed requests; owns the requests that repeat a key.

    A repeated key waits for the running answer or gets the kept one, from
    this daemon or from the one that claimed the key. Answers are found by
    team and key, so no team can read another's. A keyed run goes on when its
    caller goes away, since the caller may repeat the key and can't run it anew.
    """

    step = Step.ANSWER
    accepts: tuple[type[Message], ...] = (
        AnswerWanted,
        AttemptPlanned,
        AnswerHead,
        AttemptChunk,
        RequestEnded,
        RequestCancelled,
        PeerReceived,
        PeerLost,
        TimerDue,
    )

    def __init__(
        self,
        establishment: EstablishmentView,
        records: ClaimRecords,
        store: AnswerStore,
        random_source: random.Random,
    ) -> None:
        self._establishment = establishment
        self._records = records
        self._store = store
        self._exchange = AnswerExchange(random_source)
        self._keys_by_attempt: dict[AttemptId, LedgerKey] = {}
        self._attempts_by_request: dict[RequestId, AttemptId] = {}
        self._followers: dict[RequestId, tuple[RequestId, RoutedRequest]] = {}
        self._remote_by_request: dict[RequestId, list[RemoteFollower]] = {}

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case AnswerWanted():
                yield from self._want(message, now)
                return
            case AttemptPlanned():
                self._begin(message, now)
            case AnswerHead(attempt_id, status, content_type):
                if attempt_id in self._keys_by_attempt:
                    key = self._keys_by_attempt[attempt_id]
                    self._store.set_head(key, status, content_type)
            case AttemptChunk(attempt_id, data):
                if attempt_id in self._keys_by_attempt:
                    self._store.append(self._keys_by_attempt[attempt_id], data)
            case RequestEnded():
                yield from self._end(message, now)
            case RequestCancelled(request_id):
                if request_id in self._attempts_by_request:
                    return
                yield from self._cancel(request_id)
            case PeerReceived(seat, AnswerRequest() as request):
                yield from self._answer_peer(seat, request, now)
            case PeerReceived(seat, AnswerPart() as part):
                yield from self._take_part(seat, part)
            case PeerLost(seat):
                for wanted in self._exchange.take_lost(seat):
                    yield from self._refuse(wanted.routed, wanted.outcome)
            case TimerDue():
                yield from self._expire(now)
        yield message

    def _begin(self, planned: AttemptPlanned, now: Moment) -> None:
        routed = planned.routed
        key = None if routed.route.idempotent else find_ledger_key(routed)
        if key is not None:
            request = routed.request
            self._store.begin(key, request.request_id, request.fingerprint, now)
            previous = self._attempts_by_request.pop(request.request_id, None)
            if previous is not None:
                del self._keys_by_attempt[previous]
            self._keys_by_attempt[planned.attempt_id] = key
            self._attempts_by_request[request.request_id] = planned.attempt_id

    def _end(self, ended: RequestEnded, now: Moment) -> Iterable[Output]:
        routed = ended.routed
        attempt_id = self._attempts_by_request.pop(routed.request_id, None)
        key = self._keys_by_attempt.pop(attempt_id, None) if attempt_id else None
        answer = self._store.get(key, now) if key is not None else None
        if key is not None and answer is not None:
            answer.whole = ended.outcome is RunOutcome.RAN and ended.code is None
            if not answer.whole:
                self._store.drop(key)
                answer = None
        for remote in self._remote_by_request.pop(routed.request_id, ()):
            if ended.outcome is RunOutcome.NOT_RUN:
                self._abandon(routed)
            yield from _send_answer(remote, answer, ended.outcome)
        followers = [
            follower
            for followed, follower in self._followers.values()
            if followed == routed.request_id
        ]
        for follower in followers:
            del self._followers[follower.request_id]
            if answer is not None:
                yield from self._give(follower, answer)
            else:
                yield from self._refuse(follower, ended.outcome)

    def _want(self, wanted: AnswerWanted, now: Moment) -> Iterable[Output]:
        key = find_ledger_key(wanted.routed)
        assert key is not None
        if wanted.holder.seat != self._establishment.own_seat:
            yield from self._ask_peer(wanted, key, now)
            return
        fingerprint = wanted.routed.request.fingerprint
        state, outcome, answer, followed = self._look_up(key, fingerprint, now)
        if state is AnswerState.KEPT and answer is not None:
            yield from self._give(wanted.routed, answer)
        elif state is AnswerState.RUNNING and len(self._followers) < MOST_FOLLOWERS:
            assert followed is not None
            self._followers[wanted.routed.request_id] = (followed, wanted.routed)
            yield WakeAt(wanted.routed.deadline_ms)
        else:
            yield from self._refuse(wanted.routed, outcome)

    def _look_up(
        self, key: LedgerKey, fingerprint: Fingerprint, now: Moment
    ) -> tuple[AnswerState, RunOutcome, KeptAnswer | None, RequestId | None]:
        """Return what this daemon knows of a key that it claimed."""
        record = self._records.get(key)
        if record is None:
            return AnswerState.NOT_KEPT, RunOutcome.MAY_HAVE_RUN, None, None
        if record.state in (ClaimState.NOT_RUN, ClaimState.ABANDONED):
            return AnswerState.NOT_KEPT, RunOutcome.NOT_RUN, None, None
        if record.fingerprint != fingerprint:
            return AnswerState.NOT_KEPT, record.outcome, None, None
        if record.state is not ClaimState.ENDED:
            running = AnswerState.RUNNING
            return running, RunOutcome.MAY_HAVE_RUN, None, record.request_id
        answer = self._store.get(key, now)
        if answer is None or not answer.whole:
            return AnswerState.NOT_KEPT, record.outcome, None, None
        return AnswerState.KEPT, RunOutcome.RAN, answer, None

    def _ask_peer(
        self, wanted: AnswerWanted, key: LedgerKey, now: Moment
    ) -> Iterable[Output]:
        if len(self._exchange) >= MOST_FOLLOWERS:
            yield from self._refuse(wanted.routed, wanted.outcome)
            return
        request = self._exchange.open(wanted, key, now)
        yield SendPeer(wanted.holder.seat, request)
        yield from self._exchange.wakes(request.number)

    def _answer_peer(
        self, seat: SeatNumber, request: AnswerRequest, now: Moment
    ) -> Iterable[Output]:
        remote = RemoteFollower(seat, request.number)
        key = (request.team, request.key)
        state, outcome, answer, followed = self._look_up(key, request.fingerprint, now)
        if state is not AnswerState.RUNNING:
            if outcome is RunOutcome.NOT_RUN:
                self._abandon_key(key)
            yield from _send_answer(remote, answer, outcome)
            return
        assert followed is not None
        followers = self._remote_by_request.setdefault(followed, [])
        if len(followers) >= MOST_FOLLOWERS:
            yield from _send_answer(remote, None, outcome)
            return
        if remote not in followers:
            followers.append(remote)
        yield SendPeer(seat, AnswerPart(request.number, state, outcome))

    def _abandon(self, routed: RoutedRequest) -> None:
        key = find_ledger_key(routed)
        if key is not None:
            self._abandon_key(key)

    def _abandon_key(self, key: LedgerKey) -> None:
        record = self._records.get(key)
        if record is not None and record.state is ClaimState.NOT_RUN:
            self._records.abandon(key)

    def _take_part(self, seat: SeatNumber, part: AnswerPart) -> Iterable[Output]:
        reply = self._exchange.add(seat, part)
        if reply is None:
            yield from self._exchange.wakes(part.number)
            return
        routed = reply.wanted.routed
        if reply.data is None:
            yield from self._refuse(routed, part.outcome)
            return
        yield StartAnswer(routed.request_id, part.status, part.content_type)
        yield SendAnswer(routed.request_id, reply.data)
        yield EndAnswer(routed.request_id)
        yield Feedback(RequestEnded(routed, RunOutcome.RAN, None))

    def _give(self, routed: RoutedRequest, answer: KeptAnswer) -> Iterable[Output]:
        yield StartAnswer(routed.request_id, answer.status, answer.content_type)
        yield SendAnswer(routed.request_id, bytes(answer.data))
        yield EndAnswer(routed.request_id)
        yield Feedback(RequestEnded(routed, RunOutcome.RAN, None))

    def _refuse(self, routed: RoutedRequest, outcome: RunOutcome) -> Iterable[Output]:
        yield from refuse(
            routed,
            ErrorCode.KEY_CLAIMED,
            self.step,
            "the Idempotency-Key was used before and its answer isn't available",
            outcome=outcome,
        )

    def _cancel(self, request_id: RequestId) -> Iterable[Output]:
        held = self._followers.pop(request_id, None)
        routed = held[1] if held else self._exchange.take_cancelled(request_id)
        if routed is not None:
            yield Feedback(RequestEnded(routed, RunOutcome.MAY_HAVE_RUN, None))

    def _expire(self, now: Moment) -> Iterable[Output]:
        for wanted in self._exchange.take_expired(now):
            yield from self._refuse(wanted.routed, wanted.outcome)
        late = [
            follower
            for _, follower in self._followers.values()
            if follower.deadline_ms <= now.monotonic_ms
        ]
        for follower in late:
            del self._followers[follower.request_id]
            yield from self._refuse(follower, RunOutcome.MAY_HAVE_RUN)


def _send_answer(
    remote: RemoteFollower, answer: KeptAnswer | None, outcome: RunOutcome
) -> Iterable[Output]:
    """Send an answer in parts, or that there is none."""
    if answer is None:
        state = AnswerState.NOT_KEPT
        yield SendPeer(remote.seat, AnswerPart(remote.number, state, outcome))
        return
    parts = max(1, -(-len(answer.data) // PART_BYTES))
    for part in range(parts):
        first = part * PART_BYTES
        message = AnswerPart(
            number=remote.number,
            state=AnswerState.KEPT,
            outcome=RunOutcome.RAN,
            status=answer.status,
            content_type=answer.content_type,
            data=bytes(answer.data[first : first + PART_BYTES]),
            part=part,
            parts=parts,
        )
        yield SendPeer(remote.seat, message)
