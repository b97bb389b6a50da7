"""Measures the runners of all pools, and exchanges the results with other hosts."""

from collections.abc import Iterable, Mapping
from math import exp, log

from figshunt.directory import PublishedPool, PublishedRunner
from figshunt.dispatch._effects import BroadcastStatus
from figshunt.dispatch._messages import (
    CallAttemptEnded,
    CallAttemptResult,
    FirstEventSeen,
    HostStatus,
    RunnerLoadSeen,
    SpeedNotice,
)
from figshunt.dispatch.fleet._runner_model import (
    PREFILL_CHUNK_TOKENS,
    PRIOR_STEP_MS,
    RunnerModel,
    RunningAttempt,
)
from figshunt.dispatch.fleet._service_times import ReferenceTimes, ServiceTimes
from figshunt.pipeline import Output
from figshunt.types import (
    CountEvent,
    LogEvent,
    LogValue,
    PoolName,
    RunnerId,
    Step,
)

# The gaps of a shorter stream are too few for a mean.
MIN_GAP_EVENTS = 6

# A lasting speed is logged again after this time if it has changed by this factor.
LOG_INTERVAL_MS = 10_000
LOGGED_CHANGE = log(1.25)

# Looking for what was told too long ago takes a while.
EXPIRY_INTERVAL_MS = 5_000


class FleetSpeeds:
    """Owns the service times of all runners, and the typical times of each pool.

    :param processes_by_runner: the starts of the processes of all listed runners.
        What is said of another process of a runner is dropped.
    """

    def __init__(self, processes_by_runner: Mapping[RunnerId, int | None]) -> None:
        self._processes_by_runner = processes_by_runner
        self._times_by_runner: dict[RunnerId, ServiceTimes] = {}
        self._references_by_pool: dict[PoolName, ReferenceTimes] = {}
        self._changed_ids: set[RunnerId] = set()
        self._logged_by_runner: dict[RunnerId, tuple[int, float]] = {}
        self._next_expiry_ms = 0

    def times(self, runner_id: RunnerId, pool: PoolName | None) -> ServiceTimes:
        """Return the service times of a runner, creating them if there are none.

        The pool is known by name only if its runner is listed before it is published.
        """
        times = self._times_by_runner.get(runner_id)
        if times is None:
            reference = ReferenceTimes()
            if pool is not None:
                reference = self._references_by_pool.setdefault(pool, reference)
            times = self._times_by_runner[runner_id] = ServiceTimes(reference)
        return times

    def record_load(self, seen: RunnerLoadSeen, now_ms: int) -> None:
        """Record the load header of an answer."""
        times = self._current_times(seen.runner_id, seen.process)
        if times is not None:
            times.record_load(seen.load, now_ms)
            self._changed_ids.add(seen.runner_id)

    def observe_first_event(
        self, event: FirstEventSeen, attempt: RunningAttempt, now_ms: int
    ) -> None:
        """Learn from the first event of a request that an engine began at once."""
        times = self._times_by_runner.get(event.runner_id)
        if times is not None and attempt.had_free_engine:
            factor = attempt.slowness * event.waited_ms / max(1, event.expected_ms)
            times.observe_first_event(factor, now_ms)
            self._changed_ids.add(event.runner_id)

    def observe_end(
        self,
        ended: CallAttemptEnded,
        attempt: RunningAttempt,
        pool: PublishedPool,
        runner: PublishedRunner,
        model: RunnerModel,
        now_ms: int,
    ) -> None:
        """Learn from a whole answer; failures say nothing of the speed."""
        if ended.result is not CallAttemptResult.SERVED:
            return
        times = model.service_times
        route = ended.routed.route.name
        if pool.engine is None:
            waited_ms = ended.first_ms
            if waited_ms is None:
                waited_ms = now_ms - ended.started_ms
            times.observe_duration(
                route, waited_ms, attempt.ahead, runner.slots, now_ms
            )
        elif ended.first_ms is not None and ended.events >= MIN_GAP_EVENTS:
            stream_ms = ended.last_received_ms - ended.started_ms - ended.first_ms
            gap_ms = stream_ms / (ended.events - 1)
            prefill_ms = model.prefill_ms(PREFILL_CHUNK_TOKENS) / model.slowness
            share = min(1.0, model.prefill_share(now_ms))
            expected_ms = max(1, pool.engine.event_tokens) * (
                PRIOR_STEP_MS + share * prefill_ms
            )
            times.observe_gaps(route, gap_ms / expected_ms, now_ms)
        self._changed_ids.add(ended.runner_id)

    def record_notices(self, status: HostStatus, now_ms: int) -> None:
        """Record what a peer measured."""
        for notice in status.speeds:
            times = self._current_times(notice.runner_id, notice.process)
            if times is not None:
                times.record_notice(status.host, notice, now_ms)

    def take_notices(self, now_ms: int) -> Iterable[Output]:
        """Tell other hosts what this one has measured, with its next status."""
        notices = []
        for runner_id in sorted(self._changed_ids):
            times = self._times_by_runner.get(runner_id)
            if times is None or runner_id not in self._processes_by_runner:
                continue
            process = self._processes_by_runner[runner_id]
            notice = times.take_notice(runner_id, process, now_ms)
            if notice is not None:
                notices.append(notice)
                yield from self._log(runner_id, notice, times, now_ms)
        self._changed_ids.clear()
        if notices:
            yield BroadcastStatus(speeds=tuple(notices), can_wait=True)
            yield CountEvent("speed_notices", amount=len(notices))

    def expire(self, now_ms: int) -> None:
        """Drop what was told too long ago."""
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
            for times in self._times_by_runner.values():
                times.expire(now_ms)

    def retain(self, runner_ids: set[RunnerId], pools: Iterable[PoolName]) -> None:
        """Remove the state of all other runners and pools."""
        for by_runner in (self._times_by_runner, self._logged_by_runner):
            for runner_id in by_runner.keys() - runner_ids:
                del by_runner[runner_id]
        used_references = {times.reference for times in self._times_by_runner.values()}
        for pool in self._references_by_pool.keys() - set(pools):
            if self._references_by_pool[pool] not in used_references:
                del self._references_by_pool[pool]

    def _current_times(
        self, runner_id: RunnerId, process: int | None
    ) -> ServiceTimes | None:
        is_listed = runner_id in self._processes_by_runner
        if not is_listed or self._processes_by_runner[runner_id] != process:
            return None
        return self._times_by_runner.get(runner_id)

    def _log(
        self, runner_id: RunnerId, notice: SpeedNotice, times: ServiceTimes, now_ms: int
    ) -> Iterable[Output]:
        logged_ms, logged = self._logged_by_runner.get(
            runner_id, (now_ms - LOG_INTERVAL_MS, times.reference.level)
        )
        lasting = times.lasting
        is_due = now_ms - logged_ms >= LOG_INTERVAL_MS
        if not is_due or abs(lasting - logged) < LOGGED_CHANGE:
            return
        self._logged_by_runner[runner_id] = (now_ms, lasting)
        fields: dict[str, LogValue] = {
            "runner": runner_id,
            "lasting": round(exp(lasting), 2),
            "now": round(times.slowness(now_ms), 2),
            "own": round(notice.lasting, 2),
            "own_answers": round(notice.weight, 1),
            "header_trust": round(times.header.trust(), 2) if times.header else None,
        }
        yield LogEvent("runner_speed", Step.PLACEMENT, fields)
