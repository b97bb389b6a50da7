"""Replacements that disable single rules of the claim protocol.

Tests and trials use them to show that each rule is necessary.
"""

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


def _establish_without_joining(
    self: Any, generation: GenerationNumber, now: Moment
) -> Iterable[Output]:
    self._generation = generation
    self._start_joining(now)
    yield from self._establish(now, "without joining")


def _return_false(*_: Any) -> bool:
    return False


def _count_all_replies(self: Any, *_: Any) -> int:
    return sum(not reply.missing for reply in self._replies_by_seat.values())


def _check_one_clock_skew(_: Any, issue_ms: int, established_wall_ms: int) -> bool:
    return issue_ms <= established_wall_ms + CLOCK_SKEW_MS


def _accept_any_voter(_: Any, seat: SeatNumber, voter: Incarnation) -> bool:
    return True


REPLACEMENTS_BY_RULE: Mapping[str, tuple[type, str, Any]] = {
    "join": (EstablishmentFilter, "_enter_generation", _establish_without_joining),
    "abstain": (VoterFilter, "_may_have_been_granted", _return_false),
    "discard": (ClaimRound, "_is_counted", _accept_any_voter),
    "discard_joins": (JoinRound, "count", _count_all_replies),
    "second_skew": (VoterFilter, "_may_have_been_granted", _check_one_clock_skew),
    "stale_round": (ClaimRound, "is_over", _return_false),
}


@contextmanager
def disable_rules(*rules: str) -> Iterator[None]:
    """Disable these rules of the protocol within the context."""
    with ExitStack() as stack:
        for rule in rules:
            stack.enter_context(patch.object(*REPLACEMENTS_BY_RULE[rule]))
        yield
