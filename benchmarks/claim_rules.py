"""Switches that drop one rule of the claim protocol, to show what it is for."""

from collections.abc import Iterable, Iterator, Mapping
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

from figshunt.claims import (
    CLOCK_SKEW_MS,
    ClaimRound,
    EstablishmentFilter,
    JoinRound,
    VoterFilter,
)
from figshunt.pipeline import Output
from figshunt.types import GenerationNumber, Incarnation, Moment, SeatNumber


def _establish_at_once(
    self: Any, generation: GenerationNumber, now: Moment
) -> Iterable[Output]:
    self._generation = generation
    self._start_joining(now)
    yield from self._establish(now, "without joining")


def _never(*_: Any) -> bool:
    return False


def _count_all(self: Any, *_: Any) -> int:
    return sum(not reply.missing for reply in self._replies_by_seat.values())


def _abstain_for_one_skew(_: Any, issue_ms: int, established_wall_ms: int) -> bool:
    return issue_ms <= established_wall_ms + CLOCK_SKEW_MS


def _count_any_voter(_: Any, seat: SeatNumber, voter: Incarnation) -> bool:
    return True


REPLACEMENTS_BY_RULE: Mapping[str, tuple[type, str, Any]] = {
    "join": (EstablishmentFilter, "_enter_generation", _establish_at_once),
    "abstain": (VoterFilter, "_may_have_been_granted", _never),
    "discard": (ClaimRound, "_is_counted", _count_any_voter),
    "discard_joins": (JoinRound, "count", _count_all),
    "second_skew": (VoterFilter, "_may_have_been_granted", _abstain_for_one_skew),
    "stale_round": (ClaimRound, "is_over", _never),
}


@contextmanager
def without(*rules: str) -> Iterator[None]:
    """Run the protocol without these rules."""
    with ExitStack() as stack:
        for rule in rules:
            stack.enter_context(patch.object(*REPLACEMENTS_BY_RULE[rule]))
        yield
