"""Orders waiting calls so that teams take turns.

This answers the load of one team that sends several times its usual requests: its
calls queue behind its own ones. It keeps the invariant that no team starves.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from heapq import heapify, heappop, heapreplace
from math import exp
from typing import Protocol, TypeVar

from figshunt.dispatch._call import RoutedCall
from figshunt.types import Moment, PoolName, TeamName

# The work that a team got counts for about this long. It is the window in which the
# users compare what classes and teams got.
WORK_WINDOW_MS = 10_000

# Teams beyond this number, in the order of their last work, are forgotten.
MAX_TEAMS = 1_024

TeamKey = tuple[PoolName, TeamName | None]


class WaitingCall(Protocol):
    """A call that waits for a place."""

    @property
    def routed(self) -> RoutedCall:
        """Return the call."""


WaitingCallType = TypeVar("WaitingCallType", bound=WaitingCall)


class TeamTurns:
    """The work that each team recently got of each pool, as this host placed it.

    The next call is one of the team with the least work, and of that the one with
    the least time left. Unlike the queues of a cell's scheduler it keeps no calls: the
    order in which held calls are tried also depends on their priority and on room.
    """

    def __init__(self) -> None:
        self._work_by_team: OrderedDict[TeamKey, tuple[float, int]] = OrderedDict()

    def record(self, routed: RoutedCall, now: Moment) -> None:
        """Charge the team of a call that was sent to a runner for its work."""
        key = (routed.pool, routed.team)
        work = self._recent_work(key, now.monotonic_ms) + work_of(routed)
        self._work_by_team[key] = (work, now.monotonic_ms)
        self._work_by_team.move_to_end(key)
        if len(self._work_by_team) > MAX_TEAMS:
            self._work_by_team.popitem(last=False)

    def in_turn(
        self, calls: Iterable[WaitingCallType], now_ms: int
    ) -> Iterator[WaitingCallType]:
        """Yield calls in the order of their teams' turns."""
        calls_by_team: dict[TeamKey, list[WaitingCallType]] = {}
        for call in calls:
            key = (call.routed.pool, call.routed.team)
            calls_by_team.setdefault(key, []).append(call)
        turns = []
        for number, (key, team_calls) in enumerate(calls_by_team.items()):
            # The last one has the least time left and, of equal ones, came first.
            team_calls.sort(key=lambda call: call.routed.deadline_ms)
            team_calls.reverse()
            turns.append((self._recent_work(key, now_ms), number, team_calls))
        heapify(turns)
        while turns:
            work, number, team_calls = turns[0]
            call = team_calls.pop()
            if team_calls:
                work += work_of(call.routed)
                heapreplace(turns, (work, number, team_calls))
            else:
                heappop(turns)
            yield call

    def _recent_work(self, key: TeamKey, now_ms: int) -> float:
        work, recorded_ms = self._work_by_team.get(key, (0.0, now_ms))
        return work * exp((recorded_ms - now_ms) / WORK_WINDOW_MS)


def work_of(routed: RoutedCall) -> int:
    """Return the work of a call: tokens, or 1 if it has no prompt.

    Only the calls of one pool are compared.
    """
    prompt = routed.call.prompt
    if prompt is None:
        return 1
    output_tokens = prompt.expected_output_tokens or prompt.max_output_tokens
    return max(1, prompt.input_tokens + output_tokens)
