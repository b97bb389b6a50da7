"""Owns this host's models of all runners."""

from collections.abc import Iterable, Mapping, Sequence
from math import inf

from figshunt.directory import DirectoryView, PublishedPool, PublishedRunner
from figshunt.dispatch._call import PromptPart, RoutedCall
from figshunt.dispatch._effects import BroadcastStatus
from figshunt.dispatch._messages import (
    CallAttemptEnded,
    FirstEventSeen,
    HostStatus,
    LimitNotice,
    OccupancyNotice,
    PlacementNotice,
    QueueNotice,
    RejectionNotice,
    RunnerLimitSeen,
)
from figshunt.dispatch.fleet._cold_limit import ColdLimit, SharedBounds
from figshunt.dispatch.fleet._engine_bounds import find_free_tokens, is_crowded
from figshunt.dispatch.fleet._engine_load import Demand, PoolLoad
from figshunt.dispatch.fleet._fleet_speeds import FleetSpeeds
from figshunt.dispatch.fleet._named_limit import LimitGroup, NamedLimits
from figshunt.dispatch.fleet._peer_filter import PeersView
from figshunt.dispatch.fleet._plain_bounds import (
    TOLD_CALLS_MS,
    PlainBounds,
    find_emptiest,
)
from figshunt.dispatch.fleet._plain_bounds import is_crowded as is_plain_crowded
from figshunt.dispatch.fleet._pool_summary import (
    MAX_UNSAMPLED_RUNNERS,
    PoolSummary,
    summarize_pool,
)
from figshunt.dispatch.fleet._prefix_cache import RecentParts
from figshunt.dispatch.fleet._prefix_index import PrefixIndex
from figshunt.dispatch.fleet._runner_model import RunnerModel, RunningAttempt
from figshunt.pipeline import Output
from figshunt.types import (
    AttemptId,
    DataCentreName,
    HostName,
    LogEvent,
    LogValue,
    Moment,
    PoolName,
    RunnerId,
    Step,
)

# Prompt parts can be fetched only after their holder has processed them. The
# estimate of that time is off by up to about this much.
READY_MARGIN_MS = 150

# Nothing is fetched from a runner that fails a larger share of its requests.
MAX_HOLDER_FAILURE_SHARE = 0.3

# A fetch counts as failed if the first event is late by this share of the prefill
# time of the fetched parts plus a margin for the error of the queue estimate:
# the runner has processed the parts itself because the holder no longer has
# them or is gone. Nothing is fetched from that holder during the pause.
FAILED_FETCH_SHARE = 0.7
FAILED_FETCH_MARGIN_MS = 120
FAILED_FETCH_PAUSE_MS = 1_000

# If a first event was expected later than this, its delay depends more on the
# error of the queue estimate than on the speed of the runner, so it is not used
# for the average slowness.
MAX_SLOWNESS_SAMPLE_MS = 400

# Looking for outdated occupancies at all runners takes a while.
EXPIRY_INTERVAL_MS = 500

# Assumed KV cache size of a runner whose pool is not published yet.
DEFAULT_KV_TOKENS = 100_000


class FleetModel:
    """Owns one model per listed runner and selects the usable runners.

    The model of a runner that is no longer listed is removed once none of its
    attempts is in flight.
    """

    def __init__(
        self,
        host: HostName,
        directory: DirectoryView,
        peers: PeersView,
        bounds: SharedBounds,
        data_centre: DataCentreName,
    ) -> None:
        self._directory = directory
        self._data_centre = data_centre
        self._peers = peers
        self._bounds = bounds
        self._cold_limit = ColdLimit(bounds)
        self._named_limits = NamedLimits(host, bounds)
        self._plain_bounds = PlainBounds()
        self._group: LimitGroup | None = None
        self._group_ms = 0
        self._recent_parts = RecentParts(bounds.reuse_window_ms)
        self._models_by_runner: dict[RunnerId, RunnerModel] = {}
        self._starts_by_runner: dict[RunnerId, int | None] = {}
        self.speeds = FleetSpeeds(self._starts_by_runner)
        self._incarnations_by_host: dict[HostName, int] = {}
        self._next_expiry_ms = 0
        self._prefix_index = PrefixIndex()
        self._loads_by_pool: dict[PoolName, PoolLoad] = {}
        self._summaries_by_pool: dict[PoolName, PoolSummary] = {}

    def find(self, runner_id: RunnerId) -> RunnerModel | None:
        """Return the model of a runner, or ``None`` if there is none."""
        return self._models_by_runner.get(runner_id)

    def model(self, runner_id: RunnerId, pool: PublishedPool | None) -> RunnerModel:
        """Return the model of a runner, creating it if there is none."""
        model = self._models_by_runner.get(runner_id)
        if model is None:
            model = self._add_model(runner_id, pool, pool.name if pool else None)
        return model

    def is_available(self, runner_id: RunnerId, now: Moment) -> bool:
        """Return whether a runner is neither excluded nor asked for a pause."""
        model = self._models_by_runner.get(runner_id)
        return model is not None and (
            model.is_available(now.monotonic_ms)
            and model.paused_until_ms <= now.monotonic_ms
        )

    def requests(self, runner_id: RunnerId) -> int:
        """Return the requests known to be in flight at a runner."""
        model = self._models_by_runner.get(runner_id)
        return model.load.requests if model else 0

    def is_free(
        self, routed: RoutedCall, pool: PublishedPool, runner: PublishedRunner
    ) -> bool:
        """Return whether an engine can run a call without preempting any request."""
        model = self._models_by_runner.get(runner.runner_id)
        if model is None or pool.engine is None or not model.load.requests:
            return True
        if model.load.requests >= runner.slots:
            return False
        free_tokens = pool.engine.kv_tokens - model.load.tokens
        return (
            count_max_tokens(routed) <= free_tokens
            or estimate_demand(routed, model).tokens <= free_tokens
        )

    def occupancy(self, runner: PublishedRunner) -> float:
        """Return the requests known to be in flight at a runner for each slot."""
        model = self._models_by_runner.get(runner.runner_id)
        return model.load.requests / max(1, runner.slots) if model else 0.0

    def holders(self, parts: Sequence[PromptPart]) -> Iterable[RunnerId]:
        """Return the runners with the longest cached prefix of a prompt."""
        return self._prefix_index.holders(parts)

    def summary(
        self,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> PoolSummary:
        """Return a recent summary of a pool's runners, as the directory lists them."""
        summary = self._summaries_by_pool.get(pool.name)
        if summary is None or not summary.is_current(runners, now.monotonic_ms):
            models_by_id = {
                runner_id: self.model(runner_id, pool) for runner_id in runners
            }
            summary = summarize_pool(
                models_by_id,
                runners,
                pool.engine.event_tokens if pool.engine else 1,
                self._data_centre,
                now.monotonic_ms,
            )
            self._summaries_by_pool[pool.name] = summary
        return summary

    def record_attempt(
        self, runner_id: RunnerId, pool: PublishedPool, now: Moment
    ) -> None:
        """Count an attempt of this host against the runner's limits."""
        self._named_limits.record_attempt(runner_id, now.monotonic_ms)
        if self._is_cold(pool, runner_id, now):
            self._cold_limit.record(runner_id, now.monotonic_ms)

    def start_attempt(
        self, runner_id: RunnerId, attempt_id: AttemptId, attempt: RunningAttempt
    ) -> OccupancyNotice:
        """Record an attempt of this host and return what it has in flight now."""
        model = self._models_by_runner[runner_id]
        model.running_attempts[attempt_id] = attempt
        own = model.load.add(attempt.priority, attempt.demand)
        return _occupancy_notice(runner_id, attempt.priority, own)

    def observe_end(self, ended: CallAttemptEnded, now: Moment) -> None:
        """Learn the speed of a runner from an attempt, before that is removed."""
        pool = self._directory.pool(ended.routed.pool)
        runner = self._directory.runners(ended.routed.pool).get(ended.runner_id)
        model = self._models_by_runner.get(ended.runner_id)
        attempt = model.running_attempts.get(ended.attempt_id) if model else None
        if pool and runner and model and attempt:
            now_ms = now.monotonic_ms
            self.speeds.observe_end(ended, attempt, pool, runner, model, now_ms)

    def end_attempt(
        self, runner_id: RunnerId, attempt_id: AttemptId
    ) -> OccupancyNotice | None:
        """Remove an attempt and return what this host still has in flight."""
        model = self._models_by_runner.get(runner_id)
        attempt = model.running_attempts.pop(attempt_id, None) if model else None
        if model is None or attempt is None:
            return None
        own = model.load.remove(attempt.priority, attempt.demand)
        return _occupancy_notice(runner_id, attempt.priority, own)

    def end_other_attempts(
        self, attempt_ids: frozenset[AttemptId]
    ) -> tuple[OccupancyNotice, ...]:
        """Remove all attempts but these, and return what is left in flight."""
        notices = []
        for runner_id, model in self._models_by_runner.items():
            for attempt_id in model.running_attempts.keys() - attempt_ids:
                notice = self.end_attempt(runner_id, attempt_id)
                if notice is not None:
                    notices.append(notice)
        return tuple(notices)

    def is_crowded(self, runner_id: RunnerId, pool: PublishedPool) -> bool:
        """Return whether a runner may soon have no room for some request."""
        runner = self._directory.runners(pool.name).get(runner_id)
        model = self._models_by_runner.get(runner_id)
        if runner is None or model is None:
            return False
        if pool.engine is None:
            return is_plain_crowded(model.load, runner)
        return is_crowded(model.load, runner, pool.engine)

    def tells_occupancy(self, pool: PublishedPool, now: Moment) -> bool:
        """Return whether the hosts tell each other what they have in flight there."""
        if pool.engine is not None:
            return True
        return self._plain_bounds.is_bounded(pool.name, now.monotonic_ms)

    def record_rejection(
        self, runner_id: RunnerId, now: Moment, is_own: bool
    ) -> Iterable[Output]:
        """Record that a runner turned a call away, here or at a peer.

        One that is leaving turns all calls away, and isn't among the listed ones.
        """
        if is_own:
            self._plain_bounds.mark_full(runner_id, now.monotonic_ms)
        pool = self._find_plain_pool(runner_id)
        if pool is None or runner_id in self._named_limits:
            return
        if self._plain_bounds.record_rejection(pool.name, now.monotonic_ms):
            fields: dict[str, LogValue] = {"pool": pool.name, "runner": runner_id}
            yield LogEvent("pool_bounded", Step.PLACEMENT, fields)
        if is_own:
            yield BroadcastStatus(rejections=(RejectionNotice(runner_id),))

    def record_occupancies(self, status: HostStatus, now: Moment) -> bool:
        """Account for what a peer has in flight.

        The requests of an earlier process of the peer ended with it.

        :returns: whether that frees places.
        """
        incarnation = self._incarnations_by_host.get(status.host)
        if incarnation is not None and incarnation != status.incarnation:
            self._forget_host(status.host)
        self._incarnations_by_host[status.host] = status.incarnation
        has_freed = False
        for notice in status.occupancies:
            model = self._models_by_runner.get(notice.runner_id)
            if model is not None:
                demand = Demand(notice.requests, notice.tokens)
                has_freed |= model.load.record_told(
                    status.host, notice.priority, demand, now.monotonic_ms
                )
        return has_freed

    def expire_occupancies(self, now: Moment) -> None:
        """Drop what lost peers had in flight, and what was told too long ago."""
        if now.monotonic_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now.monotonic_ms + EXPIRY_INTERVAL_MS
        for host in tuple(self._incarnations_by_host):
            if not self._peers.is_heard(host):
                self._forget_host(host)
                del self._incarnations_by_host[host]
        for model in self._models_by_runner.values():
            model.load.expire(now.monotonic_ms)
        self._expire_plain(now)

    def open_runners(
        self,
        routed: RoutedCall,
        pool: PublishedPool,
        runners: list[PublishedRunner],
        now: Moment,
    ) -> list[PublishedRunner]:
        """Return the runners whose load leaves room for a call.

        A request that may have run already is not kept waiting.
        """
        open_runners = self._find_open(routed, pool, runners, now)
        if routed.possible_runs or routed.answer_started:
            return open_runners or runners
        return open_runners

    def _find_open(
        self,
        routed: RoutedCall,
        pool: PublishedPool,
        runners: list[PublishedRunner],
        now: Moment,
    ) -> list[PublishedRunner]:
        engine = pool.engine
        if engine is None:
            return self._find_open_plain(pool, runners, now)
        max_tokens = count_max_tokens(routed)
        open_runners = []
        for runner in runners:
            if self._plain_bounds.is_full(runner.runner_id, now.monotonic_ms):
                continue
            model = self.model(runner.runner_id, pool)
            free_tokens = find_free_tokens(model.load, runner, engine, routed.priority)
            if free_tokens is None:
                continue
            # What is cached matters only if memory is short.
            if (
                max_tokens <= free_tokens
                or estimate_demand(routed, model).tokens <= free_tokens
            ):
                open_runners.append(runner)
        return open_runners

    def _find_open_plain(
        self, pool: PublishedPool, runners: list[PublishedRunner], now: Moment
    ) -> list[PublishedRunner]:
        if not self._plain_bounds.is_bounded(pool.name, now.monotonic_ms):
            return runners
        return find_emptiest(
            [
                (runner, self.model(runner.runner_id, pool).load)
                for runner in runners
                if not self._plain_bounds.is_full(runner.runner_id, now.monotonic_ms)
            ]
        )

    def count_in_flight(
        self,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        priority: int,
        now: Moment,
    ) -> int | None:
        """Return how many requests of all hosts have to end to make room for a call.

        An engine admits a call before less urgent ones. At a plain service the number
        is at least that of the slots, as peers' requests are reported late, and not
        known while a runner with a free slot counts as full after a rejection.
        """
        if pool.engine is not None:
            return sum(
                self.model(runner_id, pool).load.requests_ahead(priority)
                for runner_id in runners
            )
        in_flight = slots = 0
        for runner in self.usable_runners(pool, runners, now):
            requests = self.model(runner.runner_id, pool).load.requests
            if requests < runner.slots and self._plain_bounds.is_full(
                runner.runner_id, now.monotonic_ms
            ):
                return None
            in_flight += requests
            slots += max(1, runner.slots)
        return max(in_flight, slots)

    def has_paused(self, runner_ids: Iterable[RunnerId], now: Moment) -> bool:
        """Return whether one of these runners has asked for a pause."""
        models = map(self._models_by_runner.get, runner_ids)
        return any(
            model and model.paused_until_ms > now.monotonic_ms for model in models
        )

    def full_until_ms(self, runner_ids: Iterable[RunnerId], now: Moment) -> int | None:
        """Return when the next runner that turned a call away may be tried again."""
        times_ms = map(self._plain_bounds.full_until_ms, runner_ids)
        return min((ms for ms in times_ms if ms > now.monotonic_ms), default=None)

    def is_least_urgent(
        self, routed: RoutedCall, pool: PublishedPool, runners: list[PublishedRunner]
    ) -> bool:
        """Return whether nothing less urgent than a call is in flight."""
        if len(self._directory.runners(pool.name)) > MAX_UNSAMPLED_RUNNERS:
            return not self._pool_load(pool.name).has_less_urgent(routed.priority)
        return not any(
            self.model(runner.runner_id, pool).load.has_less_urgent(routed.priority)
            for runner in runners
        )

    def usable_runners(
        self,
        pool: PublishedPool | None,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> list[PublishedRunner]:
        """Return the runners that may get a call now.

        A runner that is excluded, or that has not answered since its exclusion
        and has a call running, is returned only if there is no other one. A runner
        that is cold or asked for a pause is never returned before this host may send
        to it again.
        """
        now_ms = now.monotonic_ms
        if self._named_limits:
            group = self._limit_group(now)
            for runner_id in runners:
                self._named_limits.record_demand(runner_id, group, now_ms)
        allowed_runners = [
            runner
            for runner in runners.values()
            if self.next_allowed_ms(pool, runner.runner_id, now) <= now_ms
        ]
        available_runners = [
            runner
            for runner in allowed_runners
            if self.model(runner.runner_id, pool).is_available(now_ms)
        ]
        return available_runners or allowed_runners

    def next_allowed_ms(
        self, pool: PublishedPool | None, runner_id: RunnerId, now: Moment
    ) -> int:
        """Return when the runner may get a call.

        That is after a pause that it asked for, within its limit while it is cold, and
        within the limit that it names.
        """
        earliest_ms = self._next_unlimited_ms(pool, runner_id, now)
        if runner_id not in self._named_limits:
            return earliest_ms
        limit_ms = self._named_limits.next_ms(
            runner_id, self._limit_group(now), now.monotonic_ms
        )
        return max(earliest_ms, limit_ms)

    def _next_unlimited_ms(
        self, pool: PublishedPool | None, runner_id: RunnerId, now: Moment
    ) -> int:
        """Return when the runner might get a call if it named no limit."""
        now_ms = now.monotonic_ms
        model = self._models_by_runner.get(runner_id)
        earliest_ms = max(now_ms, model.paused_until_ms) if model else now_ms
        if pool is None or not self._is_cold(pool, runner_id, now):
            return earliest_ms
        cold_ms = self._cold_limit.next_ms(
            runner_id, pool.cold_per_s, self._peers.rank(now), now_ms
        )
        return max(earliest_ms, cold_ms)

    def is_limited(self, runner_id: RunnerId) -> bool:
        """Return whether a runner is known to name a limit."""
        return runner_id in self._named_limits

    def observe_limit(self, seen: RunnerLimitSeen, now: Moment) -> Iterable[Output]:
        """Record the limit that an answer names, or that it names none."""
        runner_id, per_s = seen.runner_id, seen.limit_per_s
        if not self._is_current(runner_id, seen.process):
            return
        if self._named_limits.record_answer(
            runner_id, seen.process, per_s, seen.sent_ms, now.monotonic_ms
        ):
            fields: dict[str, LogValue] = {"runner": runner_id, "limit_per_s": per_s}
            yield LogEvent("runner_limit", Step.PLACEMENT, fields)

    def record_limit_notice(
        self, host: HostName, notice: LimitNotice, now: Moment
    ) -> Iterable[Output]:
        """Record what a peer knows of a runner's limit and does about it."""
        if not self._is_current(notice.runner_id, notice.process):
            return
        if self._named_limits.record_notice(host, notice, now.monotonic_ms):
            fields: dict[str, LogValue] = {
                "runner": notice.runner_id,
                "limit_per_s": notice.per_s,
                "peer": host,
            }
            yield LogEvent("runner_limit", Step.PLACEMENT, fields)

    def take_limit_notices(self, now: Moment) -> tuple[LimitNotice, ...]:
        """Return what other hosts have to know of limits at once."""
        return self._named_limits.take_notices(now.monotonic_ms)

    def take_refreshed_limit_notices(self, now: Moment) -> tuple[LimitNotice, ...]:
        """Return what other hosts may have missed of limits."""
        if not self._named_limits:
            return ()
        return self._named_limits.take_refreshed_notices(
            self._limit_group(now), now.monotonic_ms
        )

    def waits_for_limit(
        self,
        pool: PublishedPool | None,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> bool:
        """Return whether only the limit that it names may keep a runner from a call."""
        now_ms = now.monotonic_ms
        return any(
            runner_id in self._named_limits
            and self._next_unlimited_ms(pool, runner_id, now) <= now_ms
            and self.model(runner_id, pool).is_available(now_ms)
            for runner_id in runners
        )

    def find_holder(
        self,
        routed: RoutedCall,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> tuple[PublishedRunner | None, int]:
        """Return the healthy runner with the longest cached prefix, and its length.

        The prefix is that of the call's prompt, and its length is in tokens. Only
        parts that can already be fetched count.
        """
        prompt = routed.call.prompt
        if prompt is None or pool.engine is None or not pool.engine.fetch_tokens_per_ms:
            return None, 0
        holder: PublishedRunner | None = None
        holder_tokens = 0
        holders: Iterable[tuple[float, RunnerId]] = ((inf, name) for name in runners)
        if len(runners) > MAX_UNSAMPLED_RUNNERS:
            holders = self._prefix_index.holders_by_length(prompt.parts)
        for max_tokens, runner_id in holders:
            if holder_tokens >= max_tokens:
                break
            runner = runners.get(runner_id)
            if runner is None:
                continue
            model = self.model(runner_id, pool)
            if max(model.excluded_until_ms, model.fetchable_from_ms) > now.monotonic_ms:
                continue
            if model.failure_share(now.monotonic_ms) > MAX_HOLDER_FAILURE_SHARE:
                continue
            cached_tokens = model.prefix_cache.fetchable_tokens(
                prompt.parts, now.monotonic_ms
            )
            if cached_tokens > holder_tokens:
                holder, holder_tokens = runner, cached_tokens
        return holder, holder_tokens

    def mean_prefill_share(
        self,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> float:
        """Return the mean share of time that a pool's runners spend on prefill."""
        if pool.engine is None:
            return 0.0
        if len(runners) > MAX_UNSAMPLED_RUNNERS:
            return self.summary(pool, runners, now).mean_prefill_share
        shares = [
            min(1.0, self.model(runner_id, pool).prefill_share(now.monotonic_ms))
            for runner_id in runners
        ]
        return sum(shares) / len(shares)

    def recent_tokens(self, routed: RoutedCall, now: Moment) -> int:
        """Return how many leading tokens of a prompt were sent to a runner recently."""
        prompt = routed.call.prompt
        parts = prompt.parts if prompt else ()
        return self._recent_parts.recent_tokens(parts, now.monotonic_ms)

    def record_placement(
        self,
        notice: PlacementNotice,
        now: Moment,
        attempt_id: AttemptId | None = None,
    ) -> None:
        """Account for a request that this host (with ``attempt_id``) or a peer sent."""
        self._recent_parts.record(notice.parts, now.monotonic_ms)
        model = self._models_by_runner.get(notice.runner_id)
        if model is None:
            return
        prompt_tokens = sum(part.tokens for part in notice.parts)
        prefill_end_ms = model.add(
            notice.prefill_tokens,
            notice.gap_target_ms,
            notice.expected_ms,
            now.monotonic_ms,
            attempt_id,
            max(0, prompt_tokens - notice.prefill_tokens),
        )
        self._prefix_index.add(notice.runner_id, notice.parts)
        evicted_ids = model.prefix_cache.record(
            notice.parts, prefill_end_ms + READY_MARGIN_MS
        )
        self._prefix_index.remove(notice.runner_id, evicted_ids)

    def record_backlog(self, notice: QueueNotice, now: Moment) -> None:
        """Account for the backlog of a runner that a peer observed."""
        model = self._models_by_runner.get(notice.runner_id)
        if model is not None:
            model.prefill_queue.raise_backlog(notice.backlog_ms, now.monotonic_ms)

    def observe_first_event(
        self, event: FirstEventSeen, now: Moment
    ) -> Iterable[Output]:
        """Update the model of a runner from the first event of an attempt."""
        model = self._models_by_runner.get(event.runner_id)
        if model is None:
            return
        model.record_response(now.monotonic_ms)
        if model.prefill_queue.observe_first_event(event.attempt_id, now.monotonic_ms):
            backlog_ms = int(model.prefill_queue.backlog_ms(now.monotonic_ms))
            yield BroadcastStatus(queues=(QueueNotice(event.runner_id, backlog_ms),))
        running_attempt = model.running_attempts.get(event.attempt_id)
        fetch = running_attempt.fetch if running_attempt else None
        if fetch is None:
            if event.expected_ms <= MAX_SLOWNESS_SAMPLE_MS:
                model.average_slowness(event.waited_ms, event.expected_ms)
            if running_attempt is not None:
                self.speeds.observe_first_event(
                    event, running_attempt, now.monotonic_ms
                )
            return
        late_ms = event.waited_ms - event.expected_ms
        prefill_ms = model.prefill_ms(fetch.tokens)
        holder = self._models_by_runner.get(fetch.holder_id)
        if holder is None or (
            late_ms < FAILED_FETCH_MARGIN_MS + FAILED_FETCH_SHARE * prefill_ms
        ):
            return
        holder.fetchable_from_ms = now.monotonic_ms + FAILED_FETCH_PAUSE_MS
        fields: dict[str, LogValue] = {
            "holder": fetch.holder_id,
            "runner": event.runner_id,
            "late_ms": late_ms,
        }
        yield LogEvent("fetch_failed", Step.PLACEMENT, fields)

    def update_from_entry(self, runner: PublishedRunner, now: Moment) -> None:
        """Update the model of a runner from its directory entry."""
        pool = self._directory.pool(runner.pool)
        model = self._models_by_runner.get(runner.runner_id) or self._add_model(
            runner.runner_id, pool, runner.pool
        )
        known_start = self._starts_by_runner.get(runner.runner_id)
        cold_until_ms = now.monotonic_ms + runner.cold_left_ms
        if known_start is not None and known_start != runner.started_wall_ms:
            self._named_limits.forget(runner.runner_id)
            self._prefix_index.remove(runner.runner_id, model.prefix_cache.part_ids())
            model.restart(cold_until_ms, _kv_tokens(pool))
        elif runner.cold_left_ms:
            model.cold_until_ms = max(model.cold_until_ms, cold_until_ms)
        if runner.cold_left_ms:
            self._cold_limit.mark_cold(runner.runner_id, now.monotonic_ms)
        self._starts_by_runner[runner.runner_id] = runner.started_wall_ms

    def remove_unlisted(self, now: Moment) -> None:
        """Remove the models of runners that are no longer listed.

        A runner that asked for a pause may be listed again before that is over.
        """
        configuration = self._directory.configuration
        if configuration is None:
            return
        listed_ids = {
            runner_id
            for pool in configuration.pools_by_name
            for runner_id in self._directory.runners(pool)
        }
        for runner_id in self._models_by_runner.keys() - listed_ids:
            model = self._models_by_runner[runner_id]
            is_paused = model.paused_until_ms > now.monotonic_ms
            if not model.running_attempts and not is_paused:
                model.load.forget_all()
                self._prefix_index.remove(runner_id, model.prefix_cache.part_ids())
                del self._models_by_runner[runner_id]
                self._starts_by_runner.pop(runner_id, None)
        for name in self._summaries_by_pool.keys() - set(configuration.pools_by_name):
            del self._summaries_by_pool[name]
        for name in self._loads_by_pool.keys() - set(configuration.pools_by_name):
            # Runners that leave still count their last requests here.
            if not any(self._loads_by_pool[name].requests_by_level):
                del self._loads_by_pool[name]
        self._cold_limit.retain(listed_ids)
        self._plain_bounds.retain(listed_ids)
        self._named_limits.retain(listed_ids)
        self.speeds.retain(
            listed_ids | self._models_by_runner.keys(), configuration.pools_by_name
        )

    def _add_model(
        self, runner_id: RunnerId, pool: PublishedPool | None, name: PoolName | None
    ) -> RunnerModel:
        pool_load = None if name is None else self._pool_load(name)
        times = self.speeds.times(runner_id, name)
        model = RunnerModel(_kv_tokens(pool), pool_load, times)
        self._models_by_runner[runner_id] = model
        return model

    def _pool_load(self, pool: PoolName) -> PoolLoad:
        return self._loads_by_pool.setdefault(pool, PoolLoad())

    def _expire_plain(self, now: Moment) -> None:
        for pool in self._plain_pools():
            for runner_id in self._directory.runners(pool.name):
                load = self.model(runner_id, pool).load
                load.expire(now.monotonic_ms, TOLD_CALLS_MS)

    def _find_plain_pool(self, runner_id: RunnerId) -> PublishedPool | None:
        for pool in self._plain_pools():
            if runner_id in self._directory.runners(pool.name):
                return pool
        return None

    def _plain_pools(self) -> list[PublishedPool]:
        configuration = self._directory.configuration
        pools = configuration.pools_by_name.values() if configuration else ()
        return [pool for pool in pools if pool.engine is None]

    def _forget_host(self, host: HostName) -> None:
        for model in self._models_by_runner.values():
            model.load.forget(host)

    def _is_current(self, runner_id: RunnerId, process: int | None) -> bool:
        """Return whether a runner is listed with that start of its process."""
        is_listed = runner_id in self._starts_by_runner
        return is_listed and self._starts_by_runner[runner_id] == process

    def _limit_group(self, now: Moment) -> LimitGroup:
        """Return the hosts that share limits, derived once for each time."""
        if self._group is None or self._group_ms != now.monotonic_ms:
            window_ms = self._bounds.limit_window_ms
            self._group_ms = now.monotonic_ms
            self._group = LimitGroup(
                hosts=self._peers.rank(now).hosts,
                unheard=self._peers.count_unheard(now, window_ms),
                oldest_heard_ms=self._peers.oldest_heard_ms(now, window_ms),
            )
        return self._group

    def _is_cold(
        self, pool: PublishedPool | None, runner_id: RunnerId, now: Moment
    ) -> bool:
        if pool is None or not pool.cold_per_s:
            return False
        return self.model(runner_id, pool).cold_until_ms > now.monotonic_ms


def estimate_demand(routed: RoutedCall, model: RunnerModel) -> Demand:
    """Return what a call takes of an engine; shared cached parts take nothing."""
    prompt = routed.call.prompt
    if prompt is None:
        return Demand(requests=1)
    cached_tokens = model.prefix_cache.cached_tokens(prompt.parts)
    return Demand(1, count_max_tokens(routed) - min(prompt.input_tokens, cached_tokens))


def count_max_tokens(routed: RoutedCall) -> int:
    """Return the KV cache tokens of a call, none of which are cached."""
    prompt = routed.call.prompt
    if prompt is None:
        return 0
    output_tokens = prompt.expected_output_tokens or prompt.max_output_tokens
    return prompt.input_tokens + output_tokens


def _occupancy_notice(
    runner_id: RunnerId, priority: int, demand: Demand
) -> OccupancyNotice:
    return OccupancyNotice(runner_id, priority, demand.requests, demand.tokens)


def _kv_tokens(pool: PublishedPool | None) -> int:
    if pool is None or pool.engine is None:
        return DEFAULT_KV_TOKENS
    return pool.engine.kv_tokens
