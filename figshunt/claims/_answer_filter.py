"""Serves requests that repeat an idempotency key from the original answer."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from figshunt.claims._answer_exchange import AnswerExchange
from figshunt.claims._answer_store import AnswerStore, StoredAnswer
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
    AttemptChunk,
    AttemptId,
    AttemptPlanned,
    EndAnswer,
    ErrorCode,
    Fingerprint,
    KeyRepeated,
    Message,
    Moment,
    PeerDisconnected,
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

MAX_WAITERS = 1_000
MAX_PART_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class RemoteWaiter:
    """A peer that waits for an answer; its replies carry ``number``."""

    seat: SeatNumber
    number: int


class AnswerFilter:
    """Stores answers to keyed requests; owns the requests that repeat a key.

    A request that repeats a key gets the stored answer, or waits for the
    answer of the request that is still running, on this daemon or on the one
    that claimed the key. Answers are stored by team and key, so that no team
    can read the answers of another. A keyed request isn't cancelled when its
    caller disconnects: the key can't be run a second time, so the caller can
    only get the answer by repeating the key.
    """

    step = Step.ANSWER
    accepts: tuple[type[Message], ...] = (
        KeyRepeated,
        AttemptPlanned,
        AnswerHead,
        AttemptChunk,
        RequestEnded,
        RequestCancelled,
        PeerReceived,
        PeerDisconnected,
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
        # By the id of the waiting request: the id of the running request, and the
        # waiting request itself.
        self._waiters: dict[RequestId, tuple[RequestId, RoutedRequest]] = {}
        self._remote_waiters_by_request: dict[RequestId, list[RemoteWaiter]] = {}

    def owns(self, request_id: RequestId) -> bool:
        """Return whether a request waits here for the answer of another one."""
        return request_id in self._waiters or request_id in self._exchange

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case KeyRepeated():
                yield from self._handle_repeat(message, now)
                return
            case AttemptPlanned():
                self._record_attempt(message, now)
            case AnswerHead(attempt_id, status, content_type):
                if attempt_id in self._keys_by_attempt:
                    key = self._keys_by_attempt[attempt_id]
                    self._store.set_head(key, status, content_type)
            case AttemptChunk(attempt_id, data):
                if attempt_id in self._keys_by_attempt:
                    self._store.append(self._keys_by_attempt[attempt_id], data)
            case RequestEnded():
                yield from self._finish_request(message, now)
            case RequestCancelled(request_id):
                if request_id in self._attempts_by_request:
                    return
                yield from self._cancel_waiting(request_id)
            case PeerReceived(seat, AnswerRequest() as request):
                yield from self._handle_peer_request(seat, request, now)
            case PeerReceived(seat, AnswerPart() as part):
                yield from self._handle_answer_part(seat, part)
            case PeerDisconnected(seat):
                for repeat in self._exchange.pop_for_seat(seat):
                    yield from self._refuse(repeat.routed, repeat.outcome)
            case TimerDue():
                yield from self._refuse_expired(now)
        yield message

    def _record_attempt(self, planned: AttemptPlanned, now: Moment) -> None:
        routed = planned.routed
        key = None if routed.route.idempotent else find_ledger_key(routed)
        if key is not None:
            request = routed.request
            self._store.start_answer(key, request.request_id, request.fingerprint, now)
            previous_attempt_id = self._attempts_by_request.pop(
                request.request_id, None
            )
            if previous_attempt_id is not None:
                del self._keys_by_attempt[previous_attempt_id]
            self._keys_by_attempt[planned.attempt_id] = key
            self._attempts_by_request[request.request_id] = planned.attempt_id

    def _finish_request(self, ended: RequestEnded, now: Moment) -> Iterable[Output]:
        routed = ended.routed
        attempt_id = self._attempts_by_request.pop(routed.request_id, None)
        key = self._keys_by_attempt.pop(attempt_id, None) if attempt_id else None
        answer = self._store.get(key, now) if key is not None else None
        if key is not None and answer is not None:
            answer.is_complete = ended.outcome is RunOutcome.RAN and ended.code is None
            if not answer.is_complete:
                self._store.drop(key)
                answer = None
        for remote_waiter in self._remote_waiters_by_request.pop(routed.request_id, ()):
            if ended.outcome is RunOutcome.NOT_RUN:
                self._abandon_request(routed)
            yield from _send_answer_parts(remote_waiter, answer, ended.outcome)
        waiters = [
            waiter
            for running_id, waiter in self._waiters.values()
            if running_id == routed.request_id
        ]
        for waiter in waiters:
            del self._waiters[waiter.request_id]
            if answer is not None:
                yield from self._send_stored_answer(waiter, answer)
            else:
                yield from self._refuse(waiter, ended.outcome)

    def _handle_repeat(self, repeat: KeyRepeated, now: Moment) -> Iterable[Output]:
        key = find_ledger_key(repeat.routed)
        assert key is not None
        if repeat.holder.seat != self._establishment.own_seat:
            yield from self._request_from_peer(repeat, key, now)
            return
        fingerprint = repeat.routed.request.fingerprint
        state, outcome, answer, running_id = self._look_up_answer(key, fingerprint, now)
        if state is AnswerState.KEPT and answer is not None:
            yield from self._send_stored_answer(repeat.routed, answer)
        elif state is AnswerState.RUNNING and len(self._waiters) < MAX_WAITERS:
            assert running_id is not None
            self._waiters[repeat.routed.request_id] = (running_id, repeat.routed)
            yield WakeAt(repeat.routed.deadline_ms)
        else:
            yield from self._refuse(repeat.routed, outcome)

    def _look_up_answer(
        self, key: LedgerKey, fingerprint: Fingerprint, now: Moment
    ) -> tuple[AnswerState, RunOutcome, StoredAnswer | None, RequestId | None]:
        """Look up a key that this daemon claimed.

        Returns the state of the answer, the outcome to report if there is no
        answer, the answer if it is stored, and the id of the request that is
        running if there is one.
        """
        record = self._records.get(key)
        if record is None:
            return AnswerState.NOT_KEPT, RunOutcome.MAY_HAVE_RUN, None, None
        if record.state in (ClaimState.NOT_RUN, ClaimState.ABANDONED):
            return AnswerState.NOT_KEPT, RunOutcome.NOT_RUN, None, None
        if record.fingerprint != fingerprint:
            return AnswerState.NOT_KEPT, record.outcome, None, None
        if record.state is not ClaimState.ENDED:
            running_state = AnswerState.RUNNING
            return running_state, RunOutcome.MAY_HAVE_RUN, None, record.request_id
        answer = self._store.get(key, now)
        if answer is None or not answer.is_complete:
            return AnswerState.NOT_KEPT, record.outcome, None, None
        return AnswerState.KEPT, RunOutcome.RAN, answer, None

    def _request_from_peer(
        self, repeat: KeyRepeated, key: LedgerKey, now: Moment
    ) -> Iterable[Output]:
        if len(self._exchange) >= MAX_WAITERS:
            yield from self._refuse(repeat.routed, repeat.outcome)
            return
        request = self._exchange.register(repeat, key, now)
        yield SendPeer(repeat.holder.seat, request)
        yield from self._exchange.schedule_timeout(request.number)

    def _handle_peer_request(
        self, seat: SeatNumber, request: AnswerRequest, now: Moment
    ) -> Iterable[Output]:
        remote_waiter = RemoteWaiter(seat, request.number)
        key = (request.team, request.key)
        state, outcome, answer, running_id = self._look_up_answer(
            key, request.fingerprint, now
        )
        if state is not AnswerState.RUNNING:
            if outcome is RunOutcome.NOT_RUN:
                self._abandon_key(key)
            yield from _send_answer_parts(remote_waiter, answer, outcome)
            return
        assert running_id is not None
        waiters = self._remote_waiters_by_request.setdefault(running_id, [])
        if len(waiters) >= MAX_WAITERS:
            yield from _send_answer_parts(remote_waiter, None, outcome)
            return
        if remote_waiter not in waiters:
            waiters.append(remote_waiter)
        yield SendPeer(seat, AnswerPart(request.number, state, outcome))

    def _abandon_request(self, routed: RoutedRequest) -> None:
        key = find_ledger_key(routed)
        if key is not None:
            self._abandon_key(key)

    def _abandon_key(self, key: LedgerKey) -> None:
        record = self._records.get(key)
        if record is not None and record.state is ClaimState.NOT_RUN:
            self._records.abandon(key)

    def _handle_answer_part(
        self, seat: SeatNumber, part: AnswerPart
    ) -> Iterable[Output]:
        reply = self._exchange.add_reply(seat, part)
        if reply is None:
            yield from self._exchange.schedule_timeout(part.number)
            return
        routed = reply.repeat.routed
        if reply.data is None:
            yield from self._refuse(routed, part.outcome)
            return
        yield StartAnswer(routed.request_id, part.status, part.content_type)
        yield SendAnswer(routed.request_id, reply.data)
        yield EndAnswer(routed.request_id)
        yield Feedback(RequestEnded(routed, RunOutcome.RAN, None))

    def _send_stored_answer(
        self, routed: RoutedRequest, answer: StoredAnswer
    ) -> Iterable[Output]:
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

    def _cancel_waiting(self, request_id: RequestId) -> Iterable[Output]:
        waiting_entry = self._waiters.pop(request_id, None)
        routed = (
            waiting_entry[1]
            if waiting_entry
            else self._exchange.pop_cancelled(request_id)
        )
        if routed is not None:
            yield Feedback(RequestEnded(routed, RunOutcome.MAY_HAVE_RUN, None))

    def _refuse_expired(self, now: Moment) -> Iterable[Output]:
        for repeat in self._exchange.pop_expired(now):
            yield from self._refuse(repeat.routed, repeat.outcome)
        expired_waiters = [
            waiter
            for _, waiter in self._waiters.values()
            if waiter.deadline_ms <= now.monotonic_ms
        ]
        for waiter in expired_waiters:
            del self._waiters[waiter.request_id]
            yield from self._refuse(waiter, RunOutcome.MAY_HAVE_RUN)


def _send_answer_parts(
    remote_waiter: RemoteWaiter, answer: StoredAnswer | None, outcome: RunOutcome
) -> Iterable[Output]:
    """Send an answer in parts, or a single reply that there is none."""
    if answer is None:
        state = AnswerState.NOT_KEPT
        yield SendPeer(
            remote_waiter.seat, AnswerPart(remote_waiter.number, state, outcome)
        )
        return
    parts = max(1, -(-len(answer.data) // MAX_PART_BYTES))
    for part in range(parts):
        offset = part * MAX_PART_BYTES
        message = AnswerPart(
            number=remote_waiter.number,
            state=AnswerState.KEPT,
            outcome=RunOutcome.RAN,
            status=answer.status,
            content_type=answer.content_type,
            data=bytes(answer.data[offset : offset + MAX_PART_BYTES]),
            part=part,
            parts=parts,
        )
        yield SendPeer(remote_waiter.seat, message)
