"""Requests that wait for an answer from the daemon that claimed their key."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from figshunt.claims._key_time import LedgerKey
from figshunt.types import (
    AnswerPart,
    AnswerRequest,
    AnswerState,
    AnswerWanted,
    Moment,
    RequestId,
    RoutedRequest,
    SeatNumber,
    WakeAt,
)

# How long the claimant may take to say that the request is running.
FIRST_REPLY_MS = 1_000
NUMBER_BITS = 62


@dataclass(frozen=True, slots=True)
class Waiting:
    """One request, until when it waits, and the parts that it has."""

    wanted: AnswerWanted
    ends_ms: int
    data_by_part: dict[int, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FinalReply:
    """The end of a wait; ``data`` is ``None`` if there is no answer."""

    wanted: AnswerWanted
    data: bytes | None


class AnswerExchange:
    """Matches the replies of claimants to the requests that wait for them."""

    def __init__(self, random_source: random.Random) -> None:
        self._waiting_by_number: dict[int, Waiting] = {}
        self._random = random_source

    def __len__(self) -> int:
        return len(self._waiting_by_number)

    def open(self, wanted: AnswerWanted, key: LedgerKey, now: Moment) -> AnswerRequest:
        """Let a request wait, and return the message to its claimant."""
        # Random, so that no reply to an earlier occupant of the seat matches.
        number = self._random.getrandbits(NUMBER_BITS)
        deadline_ms = wanted.routed.deadline_ms
        ends_ms = min(deadline_ms, now.monotonic_ms + FIRST_REPLY_MS)
        self._waiting_by_number[number] = Waiting(wanted, ends_ms)
        fingerprint = wanted.routed.request.fingerprint
        return AnswerRequest(number, *key, fingerprint)

    def wakes(self, number: int) -> Iterable[WakeAt]:
        """Ask to be woken when the wait ends, if the request still waits."""
        waiting = self._waiting_by_number.get(number)
        if waiting is not None:
            yield WakeAt(waiting.ends_ms)

    def add(self, seat: SeatNumber, part: AnswerPart) -> FinalReply | None:
        """Add a reply; return the end of the wait if this is it."""
        waiting = self._waiting_by_number.get(part.number)
        if waiting is None or waiting.wanted.holder.seat != seat:
            return None
        if part.state is AnswerState.RUNNING:
            ends_ms = waiting.wanted.routed.deadline_ms
            self._waiting_by_number[part.number] = replace(waiting, ends_ms=ends_ms)
            return None
        if part.state is AnswerState.NOT_KEPT:
            del self._waiting_by_number[part.number]
            return FinalReply(waiting.wanted, None)
        waiting.data_by_part[part.part] = part.data
        if len(waiting.data_by_part) < part.parts:
            return None
        del self._waiting_by_number[part.number]
        data = b"".join(waiting.data_by_part[one] for one in range(part.parts))
        return FinalReply(waiting.wanted, data)

    def take_expired(self, now: Moment) -> list[AnswerWanted]:
        """Remove and return what has waited for too long."""
        return self._take(
            number
            for number, waiting in self._waiting_by_number.items()
            if waiting.ends_ms <= now.monotonic_ms
        )

    def take_lost(self, seat: SeatNumber) -> list[AnswerWanted]:
        """Remove and return what waits for a seat that can't be reached."""
        return self._take(
            number
            for number, waiting in self._waiting_by_number.items()
            if waiting.wanted.holder.seat == seat
        )

    def take_cancelled(self, request_id: RequestId) -> RoutedRequest | None:
        """Remove and return the request with this id."""
        taken = self._take(
            number
            for number, waiting in self._waiting_by_number.items()
            if waiting.wanted.routed.request_id == request_id
        )
        return taken[0].routed if taken else None

    def _take(self, numbers: Iterable[int]) -> list[AnswerWanted]:
        return [self._waiting_by_number.pop(one).wanted for one in tuple(numbers)]
