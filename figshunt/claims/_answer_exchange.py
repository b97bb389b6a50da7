"""Tracks requests that repeat a key and wait for the daemon that claimed it."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from figshunt.claims._key_time import LedgerKey
from figshunt.types import (
    AnswerPart,
    AnswerRequest,
    AnswerState,
    KeyRepeated,
    Moment,
    RequestId,
    RoutedRequest,
    SeatNumber,
    WakeAt,
)

# Limits the wait for the first reply only: once the claimant reports that the
# request is running, the wait lasts until the deadline of the waiting request.
FIRST_REPLY_TIMEOUT_MS = 1_000
REQUEST_NUMBER_BITS = 62


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a remote answer, and the parts received so far."""

    repeat: KeyRepeated
    expires_ms: int
    data_by_part: dict[int, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FinalReply:
    """Outcome of a wait; ``data`` is ``None`` if the claimant has no answer."""

    repeat: KeyRepeated
    data: bytes | None


class AnswerExchange:
    """Matches answer parts from claimants to the requests that wait for them."""

    def __init__(self, random_source: random.Random) -> None:
        self._requests_by_number: dict[int, WaitingRequest] = {}
        self._random = random_source

    def __len__(self) -> int:
        return len(self._requests_by_number)

    def __contains__(self, request_id: RequestId) -> bool:
        return any(
            waiting_request.repeat.routed.request_id == request_id
            for waiting_request in self._requests_by_number.values()
        )

    def register(
        self, repeat: KeyRepeated, key: LedgerKey, now: Moment
    ) -> AnswerRequest:
        """Register a waiting request; return the message for its claimant."""
        # Random, so that a late reply to an earlier process in this seat can't be
        # matched to a request of this one.
        number = self._random.getrandbits(REQUEST_NUMBER_BITS)
        deadline_ms = repeat.routed.deadline_ms
        expires_ms = min(deadline_ms, now.monotonic_ms + FIRST_REPLY_TIMEOUT_MS)
        self._requests_by_number[number] = WaitingRequest(repeat, expires_ms)
        fingerprint = repeat.routed.request.fingerprint
        return AnswerRequest(number, *key, fingerprint)

    def schedule_timeout(self, number: int) -> Iterable[WakeAt]:
        """Schedule a timer for the timeout of a request that still waits."""
        waiting_request = self._requests_by_number.get(number)
        if waiting_request is not None:
            yield WakeAt(waiting_request.expires_ms)

    def add_reply(self, seat: SeatNumber, part: AnswerPart) -> FinalReply | None:
        """Add a reply; return the outcome of the wait if this reply ends it.

        Replies to unknown numbers, or from a seat other than the claimant's,
        are ignored.
        """
        waiting_request = self._requests_by_number.get(part.number)
        if waiting_request is None or waiting_request.repeat.holder.seat != seat:
            return None
        if part.state is AnswerState.RUNNING:
            expires_ms = waiting_request.repeat.routed.deadline_ms
            self._requests_by_number[part.number] = replace(
                waiting_request, expires_ms=expires_ms
            )
            return None
        if part.state is AnswerState.NOT_KEPT:
            del self._requests_by_number[part.number]
            return FinalReply(waiting_request.repeat, None)
        waiting_request.data_by_part[part.part] = part.data
        if len(waiting_request.data_by_part) < part.parts:
            return None
        del self._requests_by_number[part.number]
        data = b"".join(
            waiting_request.data_by_part[index] for index in range(part.parts)
        )
        return FinalReply(waiting_request.repeat, data)

    def pop_expired(self, now: Moment) -> list[KeyRepeated]:
        """Remove and return the requests whose wait has timed out."""
        return self._pop(
            number
            for number, waiting_request in self._requests_by_number.items()
            if waiting_request.expires_ms <= now.monotonic_ms
        )

    def pop_for_seat(self, seat: SeatNumber) -> list[KeyRepeated]:
        """Remove and return the requests that wait for an unreachable seat."""
        return self._pop(
            number
            for number, waiting_request in self._requests_by_number.items()
            if waiting_request.repeat.holder.seat == seat
        )

    def pop_cancelled(self, request_id: RequestId) -> RoutedRequest | None:
        """Remove and return a cancelled request, or ``None`` if it doesn't wait."""
        removed_repeats = self._pop(
            number
            for number, waiting_request in self._requests_by_number.items()
            if waiting_request.repeat.routed.request_id == request_id
        )
        return removed_repeats[0].routed if removed_repeats else None

    def _pop(self, numbers: Iterable[int]) -> list[KeyRepeated]:
        return [
            self._requests_by_number.pop(number).repeat for number in tuple(numbers)
        ]
