"""Deficit round robin over the teams of one class."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from figshunt.policy._scheduling import RunEstimates, TeamWeights
from figshunt.policy._waiting_queue import WaitingQueue
from figshunt.types import Moment, RoutedRequest, TeamName

MAX_TEAM_DEBTS = 1_024
DEBT_TIME_CONSTANT_MS = 10_000
QUANTUM_DECAY = 0.99


@dataclass(slots=True)
class TeamQueue:
    """Waiting requests of a team and its deficit counter.

    ``balance_ms`` is the slot time that the team may still use; it is negative
    if the team is in debt. ``has_quantum`` is set once the team has received
    its quantum for the current round.
    """

    waiting: WaitingQueue = field(default_factory=WaitingQueue)
    balance_ms: float = 0.0
    has_quantum: bool = False


class TeamQueues:
    """Shares slot time among teams in proportion to their weights.

    Within a team, requeued requests go first, then those that can still meet
    their latency target.

    A team is charged the expected slot time when one of its requests is
    popped, and the difference once the actual time is known. The quantum is
    the largest recent charge, so that a team of weight 1 is served in each
    round. A team without waiting requests loses its credit; its debt is kept,
    decaying over time, for at most ``MAX_TEAM_DEBTS`` teams.
    """

    def __init__(self, weights: TeamWeights, estimates: RunEstimates) -> None:
        self._weights = weights
        self._estimates = estimates
        self._queues_by_team: OrderedDict[TeamName, TeamQueue] = OrderedDict()
        self._debts_by_team: OrderedDict[TeamName, tuple[float, int]] = OrderedDict()
        self._quantum_ms = 1.0
        self.fresh_count = 0

    def __bool__(self) -> bool:
        return bool(self._queues_by_team)

    def requests(self) -> list[RoutedRequest]:
        """Return all waiting requests."""
        queues = self._queues_by_team.values()
        return [routed for queue in queues for routed in queue.waiting]

    def append(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a fresh request at the end of its team's queue."""
        self._queue(routed.team, now).waiting.append(routed)
        self.fresh_count += 1

    def requeue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a previously popped request; its team is served next."""
        queue = self._queue(routed.team, now)
        queue.waiting.requeue(routed)
        cost_ms = self._estimates.run_ms(routed, now)
        queue.balance_ms = max(queue.balance_ms, cost_ms)
        queue.has_quantum = True
        self._queues_by_team.move_to_end(routed.team, last=False)

    def pop_next(self, now: Moment) -> tuple[RoutedRequest, int] | None:
        """Remove and return the next request and its expected slot time."""
        visits = 0
        while self._queues_by_team:
            team, queue = next(iter(self._queues_by_team.items()))
            first = queue.waiting.first_on_time(now.monotonic_ms)
            assert first is not None
            cost_ms = self._estimates.run_ms(first, now)
            self._quantum_ms = max(self._quantum_ms, cost_ms)
            if not queue.has_quantum:
                queue.balance_ms += self._quantum_ms * self._weights.weight(team)
                queue.has_quantum = True
            if queue.balance_ms >= cost_ms:
                queue.balance_ms -= cost_ms
                self._quantum_ms *= QUANTUM_DECAY
                self.remove(first, now)
                return first, cost_ms
            queue.has_quantum = False
            self._queues_by_team.move_to_end(team)
            visits += 1
            if visits % len(self._queues_by_team) == 0:
                self._credit_skipped_rounds(now)
        return None

    def remove(self, routed: RoutedRequest, now: Moment) -> None:
        """Remove a waiting request."""
        queue = self._queues_by_team[routed.team]
        fresh_before = queue.waiting.fresh_count
        queue.waiting.remove(routed.request_id)
        self.fresh_count += queue.waiting.fresh_count - fresh_before
        if not len(queue.waiting):
            del self._queues_by_team[routed.team]
            self._store_debt(routed.team, queue.balance_ms, now)

    def adjust_charge(self, team: TeamName, difference_ms: float, now: Moment) -> None:
        """Correct an earlier charge of a team.

        :param difference_ms: expected slot time minus the actual one.
        """
        queue = self._queues_by_team.get(team)
        if queue is not None:
            queue.balance_ms += difference_ms
        else:
            self._store_debt(team, self._pop_debt(team, now) + difference_ms, now)

    def longest_queue(self) -> tuple[float, RoutedRequest] | None:
        """Return the length and last request of the longest queue.

        The length of a queue is its number of fresh requests divided by the
        team's weight.
        """
        longest_queue: tuple[float, RoutedRequest] | None = None
        for team, queue in self._queues_by_team.items():
            last = queue.waiting.last_fresh()
            length = queue.waiting.fresh_count / self._weights.weight(team)
            if last is not None and (
                longest_queue is None or length > longest_queue[0]
            ):
                longest_queue = (length, last)
        return longest_queue

    def fresh_count_of_team(self, team: TeamName) -> int:
        """Return how many fresh requests of the team are waiting."""
        queue = self._queues_by_team.get(team)
        return queue.waiting.fresh_count if queue else 0

    def _queue(self, team: TeamName, now: Moment) -> TeamQueue:
        queue = self._queues_by_team.get(team)
        if queue is None:
            queue = TeamQueue(balance_ms=self._pop_debt(team, now))
            self._queues_by_team[team] = queue
        return queue

    def _credit_skipped_rounds(self, now: Moment) -> None:
        """Credit each team with the quanta of the rounds that serve no team.

        This adds up all such rounds at once instead of visiting every team in
        each of them.
        """
        rounds = math.inf
        for team, queue in self._queues_by_team.items():
            first = queue.waiting.first_on_time(now.monotonic_ms)
            assert first is not None
            missing_ms = self._estimates.run_ms(first, now) - queue.balance_ms
            quantum_ms = self._quantum_ms * self._weights.weight(team)
            rounds = min(rounds, math.ceil(missing_ms / quantum_ms) - 1)
        for team, queue in self._queues_by_team.items():
            weight = self._weights.weight(team)
            queue.balance_ms += max(0, rounds) * self._quantum_ms * weight

    def _store_debt(self, team: TeamName, balance_ms: float, now: Moment) -> None:
        if balance_ms >= 0:
            return
        self._debts_by_team[team] = (balance_ms, now.monotonic_ms)
        self._debts_by_team.move_to_end(team)
        if len(self._debts_by_team) > MAX_TEAM_DEBTS:
            self._debts_by_team.popitem(last=False)

    def _pop_debt(self, team: TeamName, now: Moment) -> float:
        balance_ms, since_ms = self._debts_by_team.pop(team, (0.0, now.monotonic_ms))
        return balance_ms * math.exp(
            (since_ms - now.monotonic_ms) / DEBT_TIME_CONSTANT_MS
        )
