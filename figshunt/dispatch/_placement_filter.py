"""Chooses the runner that a call is sent to."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from figshunt.directory import (
    DirectoryView,
    PublishedPool,
    PublishedRunner,
    RunnerListed,
    RunnerUnlisted,
)
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._cold_limit import ColdLimit, SharedBounds
from figshunt.dispatch._effects import TellPeers
from figshunt.dispatch._messages import (
    CallAbandoned,
    CallAdmitted,
    CallEnded,
    FirstEventSeen,
    PeerHeard,
    PlacementNotice,
    SendEnded,
    SendPlanned,
    SendResult,
)
from figshunt.dispatch._peer_filter import PeersView
from figshunt.dispatch._prefix_memory import PartUses
from figshunt.dispatch._refusal import refuse_call
from figshunt.dispatch._runner_cost import Estimate, estimate_engine, estimate_plain
from figshunt.dispatch._runner_model import PRIOR_STEP_MS, RunnerModel
from figshunt.pipeline import Output
from figshunt.types import (
    AttemptId,
    DataCentreName,
    ErrorCode,
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

# A runner that can't be reached is left alone for this long at first, twice
# as long each time after, up to the longest.
FIRST_EXCLUSION_MS = 250
LONGEST_EXCLUSION_MS = 2_000

# A runner that says that another one has its address: its entry is about to go.
WRONG_RUNNER_EXCLUSION_MS = 3_000

# A call that finds no runner is held for this part of its latency target, by
# which no answer is made late, and then refused.
HELD_PART_OF_TARGET = 0.12
RETRY_AFTER_MS = 400

# Runners whose cost differs by less than this are taken as equal, and one is
# drawn: all hosts see nearly the same figures at the same time.
EQUAL_COST = 0.02

# A first event that was expected later than this tells more of the queue before
# it, which is an estimate too, than of the runner's speed.
MOST_JUDGED_MS = 400

# Parts can be fetched only once their holder has read them, and the estimate of
# when that is errs by about this much.
READY_MARGIN_MS = 150

# A runner that fails more of its requests than this is asked for no parts.
MOST_HOLDER_FAILURES = 0.3

FAILED_RESULTS = frozenset(
    {
        SendResult.RUNNER_ERROR,
        SendResult.UNREACHABLE,
        SendResult.LOST,
        SendResult.SPOILED,
        SendResult.STALLED,
    }
)
DEFAULT_KV_TOKENS = 100_000
DEFAULT_OUTPUT_TOKENS = 100


@dataclass(frozen=True, slots=True)
class HeldCall:
    """A call that waits until a runner may take it."""

    routed: RoutedCall
    until_ms: int


class PlacementFilter:
    """Owns this host's picture of each runner and sends each call at once.

    A call goes to the runner with the lowest expected cost. Only a call for
    which no runner may be used at all waits, for a part of its target.
    """

    step = Step.PLACEMENT
    accepts: tuple[type[Message], ...] = (
        RunnerListed,
        RunnerUnlisted,
        PeerHeard,
        CallAdmitted,
        CallAbandoned,
        FirstEventSeen,
        SendEnded,
        TimerDue,
    )

    def __init__(
        self,
        directory: DirectoryView,
        peers: PeersView,
        data_centre: DataCentreName,
        bounds: SharedBounds,
        random_source: random.Random,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._data_centre = data_centre
        self._random = random_source
        self._cold = ColdLimit(bounds)
        self._part_uses = PartUses(bounds.reuse_window_ms)
        self._models: dict[RunnerId, RunnerModel] = {}
        self._starts: dict[RunnerId, int | None] = {}
        self._held: dict[RequestId, HeldCall] = {}
        self._sends = 0

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case CallAdmitted(routed):
                yield from self._place(routed, now)
            case CallAbandoned(call_id):
                held = self._held.pop(call_id, None)
                yield CallEnded(held.routed) if held else message
            case FirstEventSeen():
                model = self._models.get(message.runner_id)
                if model is not None and message.expected_ms <= MOST_JUDGED_MS:
                    model.observe_first(message.waited_ms, message.expected_ms)
            case SendEnded():
                yield from self._end_send(message, now)
            case RunnerListed(_, _, runner):
                if runner is not None:
                    self._list_runner(runner, now)
                yield from self._retry_held(now)
            case RunnerUnlisted():
                self._forget_unlisted()
            case PeerHeard(status):
                for notice in status.placements:
                    self._note(notice, now)
            case TimerDue():
                yield from self._retry_held(now)
                yield message

    def _place(self, routed: RoutedCall, now: Moment) -> Iterable[Output]:
        pool = self._directory.pool(routed.pool)
        runners = self._directory.runners(routed.pool)
        untried = {
            runner_id: runner
            for runner_id, runner in runners.items()
            if runner_id not in routed.tried
        }
        usable = self._usable(pool, untried, now)
        if pool is None or not usable:
            yield from self._hold(routed, bool(untried), now)
            return
        self._held.pop(routed.call_id, None)
        pool_share = self._pool_share(pool, runners, now)
        holder, holder_tokens = self._find_holder(routed, pool, runners, now)
        estimates = {
            runner.runner_id: self._estimate(
                routed, runner, pool, holder_tokens, pool_share, now
            )
            for runner in usable
        }
        lowest = min(one.cost for one in estimates.values())
        equals = [
            runner
            for runner in usable
            if estimates[runner.runner_id].cost <= lowest + EQUAL_COST
        ]
        chosen = self._random.choice(equals)
        estimate = estimates[chosen.runner_id]
        fetch_from = holder.address if holder and estimate.fetches else None
        yield from self._send(routed, chosen, pool, estimate, fetch_from, now)

    def _usable(
        self,
        pool: PublishedPool | None,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> list[PublishedRunner]:
        """Return the runners that may get a call now.

        Runners that couldn't be reached lately are used only if there is no
        other; a cold runner never gets more than its part.
        """
        now_ms = now.monotonic_ms
        allowed = [
            runner
            for runner in runners.values()
            if self._next_cold_ms(pool, runner.runner_id, now) <= now_ms
        ]
        reachable = [
            runner
            for runner in allowed
            if self._model(runner.runner_id, pool).excluded_until_ms <= now_ms
        ]
        return reachable or allowed

    def _next_cold_ms(
        self, pool: PublishedPool | None, runner_id: RunnerId, now: Moment
    ) -> int:
        """Return when the runner may get a call, as far as it is cold."""
        if pool is None or not self._is_cold(pool, runner_id, now):
            return now.monotonic_ms
        return self._cold.next_ms(
            runner_id, pool.cold_per_s, self._peers.rank(now), now.monotonic_ms
        )

    def _is_cold(
        self, pool: PublishedPool | None, runner_id: RunnerId, now: Moment
    ) -> bool:
        if pool is None or not pool.cold_per_s:
            return False
        return self._model(runner_id, pool).cold_until_ms > now.monotonic_ms

    def _estimate(
        self,
        routed: RoutedCall,
        runner: PublishedRunner,
        pool: PublishedPool,
        fetchable_tokens: int,
        pool_share: float,
        now: Moment,
    ) -> Estimate:
        model = self._model(runner.runner_id, pool)
        if pool.engine is None:
            return estimate_plain(
                routed, runner, model, self._data_centre, now.monotonic_ms
            )
        return estimate_engine(
            routed,
            runner,
            model,
            pool.engine,
            self._data_centre,
            self._recent_tokens(routed, now),
            fetchable_tokens,
            pool_share,
            now.monotonic_ms,
        )

    def _find_holder(
        self,
        routed: RoutedCall,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> tuple[PublishedRunner | None, int]:
        """Return the sound runner that holds most of a prompt, and how much."""
        prompt = routed.call.prompt
        if prompt is None or pool.engine is None:
            return None, 0
        holder: PublishedRunner | None = None
        most = 0
        for runner in runners.values():
            model = self._model(runner.runner_id, pool)
            if model.excluded_until_ms > now.monotonic_ms:
                continue
            if model.failure_share(now.monotonic_ms) > MOST_HOLDER_FAILURES:
                continue
            held = model.prefixes.ready_tokens(prompt.parts, now.monotonic_ms)
            if held > most:
                holder, most = runner, held
        return holder, most

    def _pool_share(
        self,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> float:
        """Return the mean share of time that the runners of a pool read."""
        if pool.engine is None:
            return 0.0
        shares = [
            min(1.0, self._model(runner_id, pool).reading_share(now.monotonic_ms))
            for runner_id in runners
        ]
        return sum(shares) / len(shares)

    def _recent_tokens(self, routed: RoutedCall, now: Moment) -> int:
        prompt = routed.call.prompt
        parts = prompt.parts if prompt else ()
        return self._part_uses.recent_tokens(parts, now.monotonic_ms)

    def _send(
        self,
        routed: RoutedCall,
        runner: PublishedRunner,
        pool: PublishedPool,
        estimate: Estimate,
        fetch_from: str | None,
        now: Moment,
    ) -> Iterable[Output]:
        self._sends += 1
        attempt_id = AttemptId(f"{routed.call_id}.{self._sends}")
        model = self._model(runner.runner_id, pool)
        model.running.add(attempt_id)
        if self._is_cold(pool, runner.runner_id, now):
            self._cold.record(runner.runner_id, now.monotonic_ms)
        if pool.engine is not None:
            notice = self._notice(routed, runner, model, estimate)
            self._note(notice, now)
            yield TellPeers((notice,), ())
        yield SendPlanned(
            attempt_id,
            runner,
            routed,
            estimate.read_tokens,
            estimate.first_ms,
            fetch_from,
        )

    def _notice(
        self,
        routed: RoutedCall,
        runner: PublishedRunner,
        model: RunnerModel,
        estimate: Estimate,
    ) -> PlacementNotice:
        prompt = routed.call.prompt
        expected_tokens = DEFAULT_OUTPUT_TOKENS
        if prompt is not None:
            expected_tokens = prompt.expected_output_tokens or prompt.most_output_tokens
        step_ms = PRIOR_STEP_MS * model.slowness
        return PlacementNotice(
            runner_id=runner.runner_id,
            read_tokens=estimate.read_tokens,
            gap_target_ms=routed.route.gap_target_ms or 0,
            expected_ms=estimate.first_ms + int(expected_tokens * step_ms),
            parts=prompt.parts if prompt else (),
        )

    def _note(self, notice: PlacementNotice, now: Moment) -> None:
        self._part_uses.record(notice.parts, now.monotonic_ms)
        model = self._models.get(notice.runner_id)
        if model is None:
            return
        read_ms = model.add(
            notice.read_tokens,
            notice.gap_target_ms,
            notice.expected_ms,
            now.monotonic_ms,
        )
        model.prefixes.remember(notice.parts, read_ms + READY_MARGIN_MS)

    def _end_send(self, ended: SendEnded, now: Moment) -> Iterable[Output]:
        model = self._models.get(ended.runner_id)
        if model is None:
            return
        model.running.discard(ended.attempt_id)
        if ended.result is SendResult.ABANDONED:
            return
        model.observe_result(ended.result in FAILED_RESULTS, now.monotonic_ms)
        exclusion_ms = 0
        if ended.result is SendResult.UNREACHABLE:
            exclusion_ms = min(
                LONGEST_EXCLUSION_MS, FIRST_EXCLUSION_MS << min(model.exclusions, 4)
            )
            pool = self._directory.pool(ended.routed.pool)
            if pool is not None:
                model.cold_until_ms = now.monotonic_ms + exclusion_ms + pool.cold_ms
        elif ended.result is SendResult.REFUSED and ended.is_wrong_runner:
            exclusion_ms = WRONG_RUNNER_EXCLUSION_MS
        if exclusion_ms:
            model.exclude(now.monotonic_ms + exclusion_ms)
            fields: dict[str, LogValue] = {
                "runner": ended.runner_id,
                "for_ms": exclusion_ms,
            }
            yield LogEvent("runner_excluded", self.step, fields)

    def _hold(
        self, routed: RoutedCall, may_come: bool, now: Moment
    ) -> Iterable[Output]:
        """Keep a call that no runner may take, or refuse it."""
        held = self._held.get(routed.call_id)
        if held is None:
            wait_ms = int(routed.route.target_ms * HELD_PART_OF_TARGET)
            until_ms = min(now.monotonic_ms + wait_ms, routed.deadline_ms)
            held = HeldCall(routed, until_ms)
        if now.monotonic_ms < held.until_ms:
            self._held[routed.call_id] = held
            yield WakeAt(min(held.until_ms, self._next_chance_ms(routed, now)))
            return
        self._held.pop(routed.call_id, None)
        outcome = RunOutcome.MAY_HAVE_RUN if routed.sends else RunOutcome.NOT_RUN
        yield from refuse_call(
            routed.call_id,
            ErrorCode.RUNNER_FAILED if routed.sends else ErrorCode.NO_RUNNER,
            self.step,
            outcome,
            retry_after_ms=None if routed.sends else RETRY_AFTER_MS,
            pool=routed.pool,
            runners=len(self._directory.runners(routed.pool)),
            tried=len(routed.tried),
            may_come=may_come,
        )
        yield CallEnded(routed)

    def _next_chance_ms(self, routed: RoutedCall, now: Moment) -> int:
        pool = self._directory.pool(routed.pool)
        times_ms = [
            time_ms
            for runner_id in self._directory.runners(routed.pool)
            if (time_ms := self._next_cold_ms(pool, runner_id, now)) > now.monotonic_ms
        ]
        return min(times_ms, default=now.monotonic_ms + RETRY_AFTER_MS)

    def _retry_held(self, now: Moment) -> Iterable[Output]:
        for held in sorted(self._held.values(), key=lambda one: one.routed.urgency):
            yield from self._place(held.routed, now)

    def _list_runner(self, runner: PublishedRunner, now: Moment) -> None:
        pool = self._directory.pool(runner.pool)
        model = self._model(runner.runner_id, pool)
        held = self._starts.get(runner.runner_id)
        cold_until_ms = now.monotonic_ms + runner.cold_left_ms
        if held is not None and held != runner.started_wall_ms:
            model.restart(cold_until_ms, _kv_tokens(pool))
        elif runner.cold_left_ms:
            model.cold_until_ms = max(model.cold_until_ms, cold_until_ms)
        if runner.cold_left_ms:
            self._cold.begin(runner.runner_id, now.monotonic_ms)
        self._starts[runner.runner_id] = runner.started_wall_ms

    def _forget_unlisted(self) -> None:
        configuration = self._directory.configuration
        if configuration is None:
            return
        listed = {
            runner_id
            for pool in configuration.pools_by_name
            for runner_id in self._directory.runners(pool)
        }
        for runner_id in self._models.keys() - listed:
            if not self._models[runner_id].running:
                del self._models[runner_id]
                self._starts.pop(runner_id, None)
        self._cold.keep_only(listed)

    def _model(self, runner_id: RunnerId, pool: PublishedPool | None) -> RunnerModel:
        model = self._models.get(runner_id)
        if model is None:
            model = RunnerModel(_kv_tokens(pool))
            self._models[runner_id] = model
        return model


def _kv_tokens(pool: PublishedPool | None) -> int:
    if pool is None or pool.engine is None:
        return DEFAULT_KV_TOKENS
    return pool.engine.kv_tokens
