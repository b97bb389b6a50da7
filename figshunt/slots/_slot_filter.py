"""Gives each released request a slot of a runner."""

from collections import Counter
from collections.abc import Iterable

from figshunt.control import RunnersView, SeatsView, TablesView
from figshunt.pipeline import Feedback, Output
from figshunt.policy import RunnerCandidate, RunnerChooser
from figshunt.slots._ownership import count_owned_slots
from figshunt.types import (
    AttemptEnded,
    AttemptId,
    AttemptPlanned,
    CapacityChanged,
    Message,
    Moment,
    PoolName,
    RequestReleased,
    RunnerId,
    Step,
)


class SlotFilter:
    """Owns the count of attempts by runner; offers a ``CapacityView``.

    A daemon uses only the slots that its own seat owns.
    """

    step = Step.SLOT
    accepts: tuple[type[Message], ...] = (RequestReleased, AttemptEnded)

    def __init__(
        self,
        tables: TablesView,
        runners: RunnersView,
        seats: SeatsView,
        chooser: RunnerChooser,
    ) -> None:
        self._tables = tables
        self._runners = runners
        self._seats = seats
        self._chooser = chooser
        self._running_by_runner: Counter[RunnerId] = Counter()
        self._attempts_planned = 0

    def has_slot(self, pool: PoolName, now: Moment) -> bool:
        """Return whether some runner of the pool has a free slot here."""
        return bool(self._candidates(pool, now))

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case RequestReleased(routed):
                candidates = self._candidates(routed.pool, now)
                runner_id = self._chooser.choose(routed, candidates)
                self._running_by_runner[runner_id] += 1
                self._attempts_planned += 1
                attempt_id = AttemptId(f"{routed.request_id}.{routed.tries + 1}")
                lease_ends_ms = min(
                    routed.deadline_ms, now.monotonic_ms + routed.route.max_run_ms
                )
                yield AttemptPlanned(attempt_id, runner_id, routed, lease_ends_ms)
            case AttemptEnded():
                self._running_by_runner[message.runner_id] -= 1
                yield message
                yield Feedback(CapacityChanged(message.routed.pool))

    def _candidates(self, pool: PoolName, now: Moment) -> list[RunnerCandidate]:
        tables = self._tables.current()
        if tables is None or pool not in tables.pools_by_name:
            return []
        candidates = []
        for runner_id in tables.pools_by_name[pool].runner_ids:
            limit = self._runners.limit(runner_id, now)
            owned = count_owned_slots(
                runner_id, limit, self._seats.own_seat, self._seats.seats
            )
            running = self._running_by_runner[runner_id]
            if running < owned:
                report = self._runners.report(runner_id)
                reported = report.running + report.queued if report else 0
                candidates.append(RunnerCandidate(runner_id, running, reported, limit))
        return candidates
