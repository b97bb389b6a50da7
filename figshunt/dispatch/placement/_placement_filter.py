"""Chooses the runner for each call."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from figshunt.directory import (
    DirectoryView,
    PublishedPool,
    PublishedRunner,
    RunnerListed,
    RunnerUnlisted,
)
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._effects import AnswerAbort, BroadcastStatus
from figshunt.dispatch._messages import (
    CallAbandoned,
    CallAdmitted,
    CallAttemptEnded,
    CallAttemptPlanned,
    CallAttemptResult,
    CallAttemptsChecked,
    CallEnded,
    FirstEventSeen,
    GraceEnded,
    HeldNotice,
    OpenCallsChecked,
    PeerStatusReceived,
    PlacementChoice,
    PlacementNotice,
    RunnerLimitSeen,
    RunnerLoadSeen,
    SilenceNotice,
)
from figshunt.dispatch.admission._crash_filter import RefusalsView
from figshunt.dispatch.admission._refusal import refuse_call
from figshunt.dispatch.attempt._shared_budget import SharedRetryBudget
from figshunt.dispatch.fleet._cold_limit import SharedBounds
from figshunt.dispatch.fleet._fleet_model import (
    FleetModel,
    count_max_tokens,
    estimate_demand,
)
from figshunt.dispatch.fleet._peer_filter import PeersView
from figshunt.dispatch.fleet._pool_summary import MAX_UNSAMPLED_RUNNERS
from figshunt.dispatch.fleet._runner_model import (
    PRIOR_STEP_MS,
    PrefixFetch,
    RunnerModel,
    RunningAttempt,
)
from figshunt.dispatch.placement._candidates import (
    CandidateChooser,
    HolderSource,
    SampleSource,
)
from figshunt.dispatch.placement._prefix_homes import HomeSource, PrefixHomes
from figshunt.dispatch.placement._runner_cost import (
    Estimate,
    answer_value,
    estimate_engine,
    estimate_plain,
)
from figshunt.dispatch.waiting._drain_estimate import DrainEstimate
from figshunt.dispatch.waiting._full_pools import FullPools
from figshunt.dispatch.waiting._held_calls import HeldCalls, full_until_ms
from figshunt.dispatch.waiting._return_schedule import ReturnSchedule
from figshunt.pipeline import Feedback, Output
from figshunt.types import (
    AttemptId,
    CountEvent,
    DataCentreName,
    ErrorCode,
    HostName,
    LogEvent,
    LogValue,
    Message,
    Moment,
    RequestId,
    RunnerId,
    RunOutcome,
    Step,
    TimerDue,
    WakeAt,
)

# A runner that is unreachable or silent is excluded for this long. The time
# doubles with each further exclusion, up to the maximum.
FIRST_EXCLUSION_MS = 250
MAX_EXCLUSION_MS = 2_000

# Exclusions that other hosts tell of are longer by this factor, up to the maximum.
TOLD_EXCLUSION_FACTOR = 2
MAX_TOLD_EXCLUSION_MS = 4_000

# Applies when the process at a runner's address answers that it is another
# runner: the directory entry is stale and should be removed soon.
WRONG_RUNNER_EXCLUSION_MS = 3_000

# A call that waits for the retry budget alone asks for it again after this time.
BUDGET_INTERVAL_MS = 100

# Pause for callers whose calls had no usable runner.
RETRY_AFTER_MS = 400

# Runners whose costs differ by less than this are treated as equal, and one of
# them is chosen at random. All hosts see nearly the same load at the same time
# and would otherwise all choose the same runner.
COST_TIE_MARGIN = 0.02

# Of two plain runners, one that costs twice as much gets one call in 17. If the cheaper
# one always got the call, hosts with the same news would overload it in turns.
COST_SHARPNESS = 4

# A runner gets at least this share of the calls for which it is drawn: without any, one
# that was slow would seem so for good.
MIN_DRAWN_SHARE = 0.05

# A runner that fails more of its requests has no minimum share: those calls would fail
# only to measure its speed.
MAX_DRAWN_FAILURE_SHARE = 0.3

FAILED_RESULTS = frozenset(
    {
        CallAttemptResult.RUNNER_ERROR,
        CallAttemptResult.UNREACHABLE,
        CallAttemptResult.LOST,
        CallAttemptResult.INVALID_ANSWER,
        CallAttemptResult.STALLED,
    }
)
ANSWERED_RESULTS = frozenset(
    {
        CallAttemptResult.SERVED,
        CallAttemptResult.RUNNER_ERROR,
        CallAttemptResult.REFUSED,
    }
)

# Assumed output length of a request without a description of its prompt.
DEFAULT_OUTPUT_TOKENS = 100


@dataclass(frozen=True, slots=True)
class Comparison:
    """The estimates of a call at some runners, and those of them that may get it.

    ``holder`` has the longest cached prefix of its prompt. ``home_ids`` are the homes
    of that prefix, or ``None`` in a small or plain pool.
    """

    estimates_by_id: Mapping[RunnerId, Estimate]
    accepted_runners: list[PublishedRunner]
    holder: PublishedRunner | None
    home_ids: tuple[RunnerId, ...] | None


class PlacementFilter:
    """Sends each call to the runner with the lowest expected cost.

    A call is sent at once if any runner is usable and has room for it. Otherwise
    this filter holds the call for a share of its latency target. Held calls are
    placed by priority, before later ones, as soon as a runner has room.
    """

    step = Step.PLACEMENT
    accepts: tuple[type[Message], ...] = (
        RunnerListed,
        RunnerUnlisted,
        PeerStatusReceived,
        CallAdmitted,
        CallAbandoned,
        FirstEventSeen,
        RunnerLimitSeen,
        RunnerLoadSeen,
        CallAttemptEnded,
        GraceEnded,
        TimerDue,
        OpenCallsChecked,
        CallAttemptsChecked,
    )

    def __init__(
        self,
        host: HostName,
        directory: DirectoryView,
        peers: PeersView,
        refusals: RefusalsView,
        data_centre: DataCentreName,
        bounds: SharedBounds,
        retry_budget: SharedRetryBudget,
        random_source: random.Random,
    ) -> None:
        self._directory = directory
        self._refusals = refusals
        self._data_centre = data_centre
        self._random = random_source
        self._fleet = FleetModel(host, directory, peers, bounds, data_centre)
        self._home_source = HomeSource(self._fleet, PrefixHomes())
        self._candidates = CandidateChooser(
            self._fleet,
            directory,
            (
                HolderSource(self._fleet),
                self._home_source,
                SampleSource(self._fleet, random_source),
            ),
            random_source,
        )
        self._return_schedule = ReturnSchedule(random_source)
        self._held_calls = HeldCalls()
        self._full_pools = FullPools()
        self._drain_estimate = DrainEstimate()
        self._retry_budget = retry_budget
        self._attempt_count = 0

    def holds(self, call_id: RequestId) -> bool:
        """Return whether a call waits here for a runner."""
        return self._held_calls.keeps(call_id)

    def held_notices(self) -> tuple[HeldNotice, ...]:
        """Return what each status of this host tells of the calls held here."""
        return self._held_calls.notices()

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        yield from self._handle(message, now)
        limits = self._fleet.take_limit_notices(now)
        if limits:
            yield BroadcastStatus(limits=limits)

    def _handle(self, message: Message, now: Moment) -> Iterable[Output]:
        match message:
            case CallAdmitted(routed):
                if self._held_calls:
                    yield from self._place_held_calls(now)
                yield from self._place(routed, now)
            case CallAbandoned(call_id):
                held_call = self._held_calls.release(call_id)
                yield CallEnded(held_call.routed) if held_call else message
            case FirstEventSeen():
                yield from self._fleet.observe_first_event(message, now)
            case RunnerLimitSeen():
                yield from self._fleet.observe_limit(message, now)
                yield from self._try_held_calls(now)
            case RunnerLoadSeen():
                self._fleet.speeds.record_load(message, now.monotonic_ms)
            case CallAttemptEnded():
                self._return_schedule.record_end(message.routed.pool, now.monotonic_ms)
                yield from self._end_attempt(message, now)
                yield from self._place_held_calls(now)
            case RunnerListed(_, _, runner):
                if runner is not None:
                    self._fleet.update_from_entry(runner, now)
                yield from self._place_held_calls(now)
            case RunnerUnlisted():
                self._fleet.remove_unlisted(now)
            case PeerStatusReceived(status):
                for notice in status.placements:
                    self._fleet.record_placement(notice, now)
                for queue in status.queues:
                    self._fleet.record_backlog(queue, now)
                self._drain_estimate.record_status(status, now.monotonic_ms)
                for rejection in status.rejections:
                    yield from self._fleet.record_rejection(
                        rejection.runner_id, now, is_own=False
                    )
                for silence in status.silences:
                    yield from self._record_silence(status.host, silence, now)
                for limit in status.limits:
                    yield from self._fleet.record_limit_notice(status.host, limit, now)
                self._fleet.speeds.record_notices(status, now.monotonic_ms)
                has_freed = self._fleet.record_occupancies(status, now)
                if has_freed or status.limits:
                    yield from self._try_held_calls(now)
                yield message
            case GraceEnded():
                for held_call in self._held_calls.in_order(now.monotonic_ms):
                    yield from self._refuse(
                        held_call.routed, ErrorCode.NO_RUNNER, True, now
                    )
                yield message
            case TimerDue():
                self._fleet.expire_occupancies(now)
                self._fleet.speeds.expire(now.monotonic_ms)
                yield from self._fleet.speeds.take_notices(now.monotonic_ms)
                limits = self._fleet.take_refreshed_limit_notices(now)
                if limits:
                    yield BroadcastStatus(limits=limits, can_wait=True)
                yield from self._try_held_calls(now)
                yield message
            case OpenCallsChecked(open_ids):
                for held_call in self._held_calls.in_order(now.monotonic_ms):
                    if held_call.routed.call_id not in open_ids:
                        self._held_calls.release(held_call.routed.call_id)
                self._held_calls.end_try()
                yield message
            case CallAttemptsChecked(attempt_ids):
                occupancies = self._fleet.end_other_attempts(attempt_ids)
                if occupancies:
                    yield BroadcastStatus(occupancies=occupancies)

    def has_other_runner(self, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a runner that has not had the request may be used."""
        pool = self._directory.pool(routed.pool)
        runners = _without_tried(routed, self._directory.runners(routed.pool))
        return bool(self._fleet.usable_runners(pool, runners, now))

    def find_slowness(self, runner_id: RunnerId) -> float:
        """Return by which factor a runner's work takes longer than the priors say."""
        model = self._fleet.find(runner_id)
        return model.slowness if model else 1.0

    def is_limited(self, runner_id: RunnerId) -> bool:
        """Return whether a runner is known to name a limit."""
        return self._fleet.is_limited(runner_id)

    def _place(self, routed: RoutedCall, now: Moment) -> Iterable[Output]:
        pool = self._directory.pool(routed.pool)
        runners = self._directory.runners(routed.pool)
        untried_runners = _without_tried(routed, runners)
        candidates = self._candidates.choose(
            routed, pool, runners, untried_runners, now
        )
        usable_runners, open_runners = self._search(
            routed, pool, candidates, untried_runners, now
        )
        if pool is None or not usable_runners:
            wake_ms = self._next_usable_ms(routed, now)
            is_busy = self._fleet.waits_for_limit(
                pool, untried_runners, now
            ) or self._waits_for_pause(routed, untried_runners, wake_ms, now)
            reason = ErrorCode.QUEUE_FULL if is_busy else ErrorCode.NO_RUNNER
            if not routed.tried_runner_ids:
                self._full_pools.record(routed.pool, 0)
            yield from self._hold_or_refuse(
                routed, reason, wake_ms, bool(untried_runners), now
            )
            return
        open_runners = _prefer_untried(routed, open_runners)
        if not open_runners:
            if routed.trial is None and not routed.tried_runner_ids:
                self._full_pools.record(routed.pool, count_max_tokens(routed))
            if self._waits_too_long(routed, now):
                yield from self._refuse(routed, ErrorCode.QUEUE_FULL, True, now)
            else:
                yield from self._hold_for_room(routed, now)
            return
        comparison = self._compare(
            routed, pool, runners, usable_runners, open_runners, candidates, now
        )
        if not comparison.accepted_runners:
            yield from self._hold_for_room(routed, now)
            return
        if routed.is_repeat:
            if not self._retry_budget.take(routed.pool, now):
                wake_ms = now.monotonic_ms + BUDGET_INTERVAL_MS
                yield from self._hold_or_refuse(
                    routed, ErrorCode.QUEUE_FULL, wake_ms, True, now
                )
                return
            yield CountEvent("repeats", {"route": routed.route.name})
            routed = replace(routed, is_repeat=False)
        self._held_calls.release(routed.call_id)
        runner = self._select_runner(routed, pool, comparison, now)
        estimate = comparison.estimates_by_id[runner.runner_id]
        fetch_source = comparison.holder if estimate.fetched_tokens else None
        yield from self._start_attempt(
            routed, runner, pool, estimate, fetch_source, comparison.home_ids, now
        )

    def _compare(
        self,
        routed: RoutedCall,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        usable_runners: list[PublishedRunner],
        open_runners: list[PublishedRunner],
        candidates: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> Comparison:
        """Estimate a call at the runners with room, and drop those it would harm.

        :param runners: all runners of the pool, as the directory lists them.
        """
        open_runners = self._candidates.limit(pool, open_runners, candidates)
        mean_prefill_share = self._fleet.mean_prefill_share(pool, runners, now)
        holder, holder_tokens = self._fleet.find_holder(routed, pool, runners, now)
        recent_tokens = self._fleet.recent_tokens(routed, now)
        home_ids = self._find_homes(routed, pool, runners, now)
        is_least_urgent = self._fleet.is_least_urgent(routed, pool, usable_runners)
        # Full runners matter only as the ones that a least urgent call gives up.
        compared_runners = open_runners
        if is_least_urgent:
            usable_runners = self._candidates.limit(pool, usable_runners, candidates)
            compared_runners = list(dict.fromkeys((*usable_runners, *open_runners)))
        estimates_by_id = {
            runner.runner_id: self._estimate(
                routed,
                runner,
                pool,
                recent_tokens,
                holder_tokens,
                mean_prefill_share,
                home_ids is None or runner.runner_id in home_ids,
                now,
            )
            for runner in compared_runners
        }
        accepted_runners = open_runners
        if is_least_urgent:
            accepted_runners = _without_harmful(
                routed, usable_runners, open_runners, estimates_by_id
            )
        return Comparison(estimates_by_id, accepted_runners, holder, home_ids)

    def _select_runner(
        self,
        routed: RoutedCall,
        pool: PublishedPool,
        comparison: Comparison,
        now: Moment,
    ) -> PublishedRunner:
        """Return one of the cheapest accepted runners."""
        estimates_by_id = comparison.estimates_by_id
        runners = comparison.accepted_runners
        if routed.trial is not None:
            runners = _least_occupied(runners, estimates_by_id)
        if pool.engine is None:
            runners = self._draw_plain(pool, runners, estimates_by_id, now)
        lowest_cost = min(estimates_by_id[runner.runner_id].cost for runner in runners)
        cheapest_runners = [
            runner
            for runner in runners
            if estimates_by_id[runner.runner_id].cost <= lowest_cost + COST_TIE_MARGIN
        ]
        if comparison.home_ids is not None:
            # A data centre spills to others only where its own engines cost more.
            cheapest_runners = [
                runner
                for runner in cheapest_runners
                if runner.data_centre == self._data_centre
            ] or cheapest_runners
        return self._random.choice(cheapest_runners)

    def _draw_plain(
        self,
        pool: PublishedPool,
        runners: list[PublishedRunner],
        estimates: Mapping[RunnerId, Estimate],
        now: Moment,
    ) -> list[PublishedRunner]:
        """Return one of two runners drawn at random if the runners are known to differ.

        All hosts know nearly the same of the runners, and would otherwise send to the
        cheapest one at the same time. The cheaper one of the two is the more likely,
        the more their costs differ. A full runner is drawn only if all are full.
        """
        if len(runners) < 2 or not any(
            self._fleet.model(runner.runner_id, pool).service_times.is_distinct
            for runner in runners
        ):
            return runners
        free_runners = [
            runner
            for runner in runners
            if estimates[runner.runner_id].streams < runner.slots
        ] or runners
        if len(free_runners) == 1:
            return free_runners
        drawn_runners = self._random.sample(free_runners, 2)
        cheaper, costlier = sorted(
            drawn_runners, key=lambda runner: estimates[runner.runner_id].cost
        )
        ratio = estimates[costlier.runner_id].cost / estimates[cheaper.runner_id].cost
        costlier_share = 1 / (1 + ratio**COST_SHARPNESS)
        model = self._fleet.model(costlier.runner_id, pool)
        if model.failure_share(now.monotonic_ms) <= MAX_DRAWN_FAILURE_SHARE:
            costlier_share = max(MIN_DRAWN_SHARE, costlier_share)
        return [costlier if self._random.random() < costlier_share else cheaper]

    def _find_homes(
        self,
        routed: RoutedCall,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> tuple[RunnerId, ...] | None:
        """Return the homes of a prefix, or ``None`` if the pool is small or plain."""
        if pool.engine is None or len(runners) <= MAX_UNSAMPLED_RUNNERS:
            return None
        return self._home_source.find(routed, self._fleet.summary(pool, runners, now))

    def _search(
        self,
        routed: RoutedCall,
        pool: PublishedPool | None,
        candidates: Mapping[RunnerId, PublishedRunner],
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> tuple[list[PublishedRunner], list[PublishedRunner]]:
        """Return the usable runners to compare, and those of them with room.

        All runners are asked if no candidate has room. Those with a free slot and free
        memory come before those that would have to preempt a less urgent request.
        """
        if pool is None or candidates is runners:
            return self._find_room(routed, pool, runners, now)
        # A call that may have run goes even to a full runner, but not before one with
        # room anywhere in the pool.
        may_have_run = routed.possible_runs or routed.answer_started
        usable_runners: list[PublishedRunner] = []
        open_runners: list[PublishedRunner] = []
        if not may_have_run:
            usable_runners, open_runners = self._find_room(
                routed, pool, candidates, now
            )
        free_runners = [
            runner
            for runner in open_runners
            if self._fleet.is_free(routed, pool, runner)
        ]
        sampled_runners: Mapping[RunnerId, PublishedRunner] = {}
        if not free_runners:
            sampled_runners = self._candidates.sample_free(routed, pool, runners, now)
            _, free_runners = self._find_room(routed, pool, sampled_runners, now)
        if free_runners or open_runners:
            # A least urgent call is compared at those that it was meant for, too.
            return usable_runners or free_runners, free_runners or open_runners
        is_least_urgent = self._fleet.is_least_urgent(routed, pool, usable_runners)
        if usable_runners and not sampled_runners and is_least_urgent:
            # No engine is free, and none has a request that the call could preempt.
            return usable_runners, []
        return self._find_room(routed, pool, runners, now)

    def _find_room(
        self,
        routed: RoutedCall,
        pool: PublishedPool | None,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> tuple[list[PublishedRunner], list[PublishedRunner]]:
        """Return which of the runners are usable, and which of those have room."""
        usable_runners = self._fleet.usable_runners(pool, runners, now)
        if pool is None:
            return usable_runners, []
        return usable_runners, self._fleet.open_runners(
            routed, pool, usable_runners, now
        )

    def _estimate(
        self,
        routed: RoutedCall,
        runner: PublishedRunner,
        pool: PublishedPool,
        recent_tokens: int,
        fetchable_tokens: int,
        mean_prefill_share: float,
        is_home: bool,
        now: Moment,
    ) -> Estimate:
        model = self._fleet.model(runner.runner_id, pool)
        if pool.engine is None:
            return estimate_plain(
                routed, runner, model, self._data_centre, now.monotonic_ms
            )
        # In small pools, measured speeds change where requests that crash engines go,
        # so that more of them reach engines than allowed.
        model.is_in_large_pool = len(self._directory.runners(pool.name)) > (
            MAX_UNSAMPLED_RUNNERS
        )
        return estimate_engine(
            routed,
            runner,
            model,
            pool.engine,
            self._data_centre,
            recent_tokens,
            fetchable_tokens,
            mean_prefill_share,
            now.monotonic_ms,
            is_home,
        )

    def _start_attempt(
        self,
        routed: RoutedCall,
        runner: PublishedRunner,
        pool: PublishedPool,
        estimate: Estimate,
        holder: PublishedRunner | None,
        home_ids: tuple[RunnerId, ...] | None,
        now: Moment,
    ) -> Iterable[Output]:
        self._attempt_count += 1
        attempt_id = AttemptId(f"{routed.call_id}.{self._attempt_count}")
        model = self._fleet.model(runner.runner_id, pool)
        backlog_ms = model.prefill_queue.backlog_ms(now.monotonic_ms)
        occupancy = self._fleet.start_attempt(
            runner.runner_id,
            attempt_id,
            RunningAttempt(
                routed.priority,
                estimate_demand(routed, model),
                (
                    PrefixFetch(holder.runner_id, estimate.fetched_tokens)
                    if holder
                    else None
                ),
                # A load header must not explain a duration: a runner that claims a
                # long queue would look fast.
                max(len(model.running_attempts), model.load.requests),
                model.slowness,
                pool.engine is not None
                and 2 * estimate.streams < runner.slots
                and 2 * backlog_ms <= estimate.first_ms,
            ),
        )
        self._fleet.record_attempt(runner.runner_id, pool, now)
        self._held_calls.record_start(routed, now)
        if pool.engine is not None:
            notice = self._build_notice(routed, runner, model, estimate)
            self._fleet.record_placement(notice, now, attempt_id)
            yield BroadcastStatus(placements=(notice,), occupancies=(occupancy,))
        elif self._fleet.tells_occupancy(pool, now):
            yield BroadcastStatus(occupancies=(occupancy,), is_urgent=True)
        yield CallAttemptPlanned(
            attempt_id,
            runner,
            routed,
            estimate.prefill_tokens,
            estimate.first_ms,
            holder.address if holder else None,
            estimate.streams,
            _classify_choice(routed, runner.runner_id, estimate, home_ids),
        )

    def _build_notice(
        self,
        routed: RoutedCall,
        runner: PublishedRunner,
        model: RunnerModel,
        estimate: Estimate,
    ) -> PlacementNotice:
        prompt = routed.call.prompt
        expected_tokens = DEFAULT_OUTPUT_TOKENS
        if prompt is not None:
            expected_tokens = prompt.expected_output_tokens or prompt.max_output_tokens
        step_ms = PRIOR_STEP_MS * model.slowness
        return PlacementNotice(
            runner_id=runner.runner_id,
            prefill_tokens=estimate.prefill_tokens,
            gap_target_ms=routed.route.gap_target_ms or 0,
            expected_ms=estimate.first_ms + int(expected_tokens * step_ms),
            parts=prompt.parts if prompt else (),
        )

    def _end_attempt(self, attempt: CallAttemptEnded, now: Moment) -> Iterable[Output]:
        pool = self._directory.pool(attempt.routed.pool)
        is_crowded = pool is not None and self._fleet.is_crowded(
            attempt.runner_id, pool
        )
        self._fleet.observe_end(attempt, now)
        occupancy = self._fleet.end_attempt(attempt.runner_id, attempt.attempt_id)
        if (
            occupancy is not None
            and pool is not None
            and self._fleet.tells_occupancy(pool, now)
        ):
            # The work of a plain service takes less time than an engine's notice waits.
            yield BroadcastStatus(
                occupancies=(occupancy,),
                can_wait=not is_crowded,
                is_urgent=is_crowded and pool.engine is None,
            )
        yield from self._record_result(attempt, now)

    def _record_result(
        self, attempt: CallAttemptEnded, now: Moment
    ) -> Iterable[Output]:
        model = self._fleet.find(attempt.runner_id)
        if model is None:
            return
        if attempt.result is CallAttemptResult.ABANDONED:
            return
        if attempt.result is CallAttemptResult.SERVED:
            self._drain_estimate.record_duration(
                attempt.routed.pool, now.monotonic_ms - attempt.started_ms
            )
        model.update_failure_share(attempt.result in FAILED_RESULTS, now.monotonic_ms)
        if attempt.result in ANSWERED_RESULTS:
            model.record_response(now.monotonic_ms)
        if attempt.result is CallAttemptResult.REFUSED and not attempt.is_wrong_runner:
            yield from self._fleet.record_rejection(attempt.runner_id, now, is_own=True)
        if attempt.pause_ms:
            model.pause(now.monotonic_ms + attempt.pause_ms)
            pause_fields: dict[str, LogValue] = {
                "runner": attempt.runner_id,
                "for_ms": attempt.pause_ms,
            }
            yield LogEvent("runner_paused", self.step, pause_fields)
        exclusion_ms = 0
        is_silent = (
            attempt.result is CallAttemptResult.STALLED
            and model.record_silence(attempt.last_received_ms, now.monotonic_ms)
        )
        if attempt.result is CallAttemptResult.UNREACHABLE or is_silent:
            exclusion_ms = min(
                MAX_EXCLUSION_MS, FIRST_EXCLUSION_MS << min(model.exclusions, 4)
            )
        if attempt.result is CallAttemptResult.UNREACHABLE:
            pool = self._directory.pool(attempt.routed.pool)
            if pool is not None:
                model.cold_until_ms = now.monotonic_ms + exclusion_ms + pool.cold_ms
        elif attempt.result is CallAttemptResult.REFUSED and attempt.is_wrong_runner:
            exclusion_ms = WRONG_RUNNER_EXCLUSION_MS
        if exclusion_ms:
            model.exclude(now.monotonic_ms + exclusion_ms)
            if not attempt.is_wrong_runner:
                notice = SilenceNotice(attempt.runner_id, exclusion_ms)
                yield BroadcastStatus(silences=(notice,))
            fields: dict[str, LogValue] = {
                "runner": attempt.runner_id,
                "for_ms": exclusion_ms,
                "result": attempt.result.value,
            }
            yield LogEvent("runner_excluded", self.step, fields)

    def _record_silence(
        self, host: HostName, notice: SilenceNotice, now: Moment
    ) -> Iterable[Output]:
        """Leave a runner alone that other hosts found silent.

        The time is random and longer than theirs, so that only a few hosts at a time
        try whether the runner answers again.
        """
        model = self._fleet.find(notice.runner_id)
        if model is None:
            return
        factor = TOLD_EXCLUSION_FACTOR * (1 + self._random.random())
        exclusion_ms = min(MAX_TOLD_EXCLUSION_MS, int(notice.exclusion_ms * factor))
        until_ms = now.monotonic_ms + exclusion_ms
        if model.report_silence(host, until_ms, now.monotonic_ms):
            fields: dict[str, LogValue] = {
                "runner": notice.runner_id,
                "for_ms": exclusion_ms,
                "result": "told",
                "peer": host,
            }
            yield LogEvent("runner_excluded", self.step, fields)

    def _waits_too_long(self, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a new call without room would wait in vain.

        A call that a runner rejected as full is not new, and is held on.
        """
        if routed.is_repeat or routed.call_id in self._held_calls:
            return False
        wait_ms = self._drain_ms(routed, now)
        return now.monotonic_ms + wait_ms > full_until_ms(routed, now.monotonic_ms)

    def _drain_ms(self, routed: RoutedCall, now: Moment) -> int:
        """Return the expected wait behind the held calls of all hosts, if known."""
        pool = self._directory.pool(routed.pool)
        if pool is None:
            return 0
        in_flight = self._fleet.count_in_flight(
            pool, self._directory.runners(routed.pool), routed.priority, now
        )
        if in_flight is None:
            return 0
        own_ahead = self._held_calls.count_ahead(routed, now.monotonic_ms)
        wait_ms = self._drain_estimate.wait_ms(
            routed.pool, routed.priority, own_ahead, in_flight, now.monotonic_ms
        )
        return wait_ms or 0

    def _waits_for_pause(
        self,
        routed: RoutedCall,
        runners: Mapping[RunnerId, PublishedRunner],
        usable_ms: int,
        now: Moment,
    ) -> bool:
        """Return whether a runner that asked for a pause may take a call in time.

        A service that turns away what exceeds its slots may ask for a pause each time.
        """
        if usable_ms >= full_until_ms(routed, now.monotonic_ms):
            return False
        return self._fleet.has_paused(runners, now)

    def _hold_for_room(self, routed: RoutedCall, now: Moment) -> Iterable[Output]:
        """Hold a call until a request ends, or refuse it after the wait."""
        runner_ids = self._directory.runners(routed.pool)
        wake_ms = self._fleet.full_until_ms(runner_ids, now)
        yield from self._hold_or_refuse(
            routed, ErrorCode.QUEUE_FULL, wake_ms, True, now
        )

    def _hold_or_refuse(
        self,
        routed: RoutedCall,
        reason: ErrorCode,
        wake_ms: int | None,
        has_untried_runners: bool,
        now: Moment,
    ) -> Iterable[Output]:
        """Hold a call that no runner may get now, or refuse it after the wait.

        :param wake_ms: when a runner may get it if nothing else happens.
        """
        held_call = self._held_calls.hold(routed, reason, now.monotonic_ms)
        if held_call is None:
            yield from self._refuse(routed, reason, has_untried_runners, now)
        else:
            yield WakeAt(min(held_call.until_ms, wake_ms or held_call.until_ms))

    def _refuse(
        self,
        routed: RoutedCall,
        reason: ErrorCode,
        has_untried_runners: bool,
        now: Moment,
    ) -> Iterable[Output]:
        """End a call that no runner gets."""
        self._held_calls.release(routed.call_id)
        if routed.answer_started:
            yield AnswerAbort(routed.call_id)
            yield LogEvent("answer_broken", self.step, {"request": routed.call_id})
            yield CallEnded(routed)
            return
        outcome = (
            RunOutcome.MAY_HAVE_RUN if routed.possible_runs else RunOutcome.NOT_RUN
        )
        yield from refuse_call(
            routed.call_id,
            ErrorCode.RUNNER_FAILED if routed.possible_runs else reason,
            self.step,
            outcome,
            retry_after_ms=(
                None
                if routed.possible_runs
                else self._retry_after_ms(routed, reason, now)
            ),
            pool=routed.pool,
            runners=len(self._directory.runners(routed.pool)),
            tried=len(routed.tried_runner_ids),
            may_come=has_untried_runners,
        )
        yield CallEnded(routed)

    def _retry_after_ms(
        self, routed: RoutedCall, reason: ErrorCode, now: Moment
    ) -> int:
        """Return when the caller should return."""
        if reason is not ErrorCode.QUEUE_FULL:
            usable_in_ms = self._next_usable_ms(routed, now) - now.monotonic_ms
            return max(RETRY_AFTER_MS, usable_in_ms)
        pause_ms = self._return_schedule.next_pause_ms(
            routed.pool,
            routed.priority,
            routed.deadline_ms - now.monotonic_ms,
            now.monotonic_ms,
            self._drain_ms(routed, now),
        )
        return pause_ms + self._limit_wait_ms(routed, now)

    def _limit_wait_ms(self, routed: RoutedCall, now: Moment) -> int:
        """Return for how long the limits that runners name keep a call waiting."""
        pool = self._directory.pool(routed.pool)
        runners = self._directory.runners(routed.pool)
        if not self._fleet.waits_for_limit(pool, runners, now):
            return 0
        times_ms = (
            self._fleet.next_allowed_ms(pool, runner_id, now) for runner_id in runners
        )
        return max(0, min(times_ms) - now.monotonic_ms)

    def _next_usable_ms(self, routed: RoutedCall, now: Moment) -> int:
        pool = self._directory.pool(routed.pool)
        usable_times_ms = [
            time_ms
            for runner_id in self._directory.runners(routed.pool)
            if (time_ms := self._fleet.next_allowed_ms(pool, runner_id, now))
            > now.monotonic_ms
        ]
        return min(usable_times_ms, default=now.monotonic_ms + RETRY_AFTER_MS)

    def _try_held_calls(self, now: Moment) -> Iterable[Output]:
        """Place the held calls, now or as soon as they may be tried again."""
        due_ms = self._held_calls.next_try_ms
        if now.monotonic_ms >= due_ms:
            yield from self._place_held_calls(now)
        elif self._held_calls:
            yield WakeAt(due_ms)

    def _place_held_calls(self, now: Moment) -> Iterable[Output]:
        """Place the held calls by priority, and refuse those that waited too long.

        A pool without room for a call has none for less urgent ones of its size.
        """
        self._held_calls.record_try(now.monotonic_ms)
        self._full_pools.clear()
        for held_call in self._held_calls.in_order(now.monotonic_ms):
            routed = held_call.routed
            has_time = now.monotonic_ms < held_call.until_ms
            if routed.trial is None and self._refusals.refuses(routed.call):
                self._held_calls.release(routed.call_id)
                yield Feedback(CallAdmitted(routed))
                continue
            if has_time and self._full_pools.has_no_room(
                routed.pool, count_max_tokens(routed)
            ):
                continue
            self._held_calls.begin_try(routed.call_id)
            yield from self._place(routed, now)
            self._held_calls.end_try()


def _classify_choice(
    routed: RoutedCall,
    runner_id: RunnerId,
    estimate: Estimate,
    home_ids: tuple[RunnerId, ...] | None,
) -> PlacementChoice:
    prompt = routed.call.prompt
    if home_ids is None or prompt is None:
        return PlacementChoice.ANY
    if runner_id in home_ids:
        return PlacementChoice.HOME
    shares_parts = len(prompt.parts) > 1
    if shares_parts and estimate.prefill_tokens <= prompt.parts[-1].tokens:
        return PlacementChoice.HOLDER
    return PlacementChoice.OTHER


def _least_occupied(
    runners: list[PublishedRunner], estimates: Mapping[RunnerId, Estimate]
) -> list[PublishedRunner]:
    """Return the runners whose crash would harm the fewest requests."""
    fewest = min(estimates[runner.runner_id].streams for runner in runners)
    return [
        runner for runner in runners if estimates[runner.runner_id].streams == fewest
    ]


def _without_tried(
    routed: RoutedCall, runners: Mapping[RunnerId, PublishedRunner]
) -> Mapping[RunnerId, PublishedRunner]:
    """Return the runners that a call has not been sent to, or that turned it away."""
    if not routed.tried_runner_ids:
        return runners
    return {
        runner_id: runner
        for runner_id, runner in runners.items()
        if not routed.has_tried(runner_id)
    }


def _prefer_untried(
    routed: RoutedCall, runners: list[PublishedRunner]
) -> list[PublishedRunner]:
    """Return the runners that have not turned a call away, or all if each one has."""
    untried_runners = [
        runner for runner in runners if runner.runner_id not in routed.full_runner_ids
    ]
    return untried_runners or runners


def _without_harmful(
    routed: RoutedCall,
    runners: list[PublishedRunner],
    open_runners: list[PublishedRunner],
    estimates: Mapping[RunnerId, Estimate],
) -> list[PublishedRunner]:
    """Return the open runners without those where a call does more harm than good.

    A call that finds the cheapest runner full goes to another one only if it delays
    streams there by less than its own value. Otherwise long prompts that exceed their
    engines would take those that are kept free of them.
    """
    cheapest_runner = min(runners, key=lambda runner: estimates[runner.runner_id].cost)
    if cheapest_runner in open_runners:
        return open_runners
    max_delay_cost = answer_value(routed.urgency)
    return [
        runner
        for runner in open_runners
        if estimates[runner.runner_id].delay_cost <= max_delay_cost
    ]
