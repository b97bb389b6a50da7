"""This host's picture of all runners."""

from collections.abc import Iterable, Mapping

from figshunt.directory import DirectoryView, PublishedPool, PublishedRunner
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._cold_limit import ColdLimit, SharedBounds
from figshunt.dispatch._effects import TellPeers
from figshunt.dispatch._messages import FirstEventSeen, PlacementNotice, QueueNotice
from figshunt.dispatch._peer_filter import PeersView
from figshunt.dispatch._prefix_memory import PartUses
from figshunt.dispatch._runner_model import RunnerModel
from figshunt.pipeline import Output
from figshunt.types import AttemptId, LogEvent, LogValue, Moment, RunnerId, Step

# Parts can be fetched only once their holder has read them, and the estimate of
# when that is errs by about this much.
READY_MARGIN_MS = 150

# A runner that fails more of its requests than this is asked for no parts.
MOST_HOLDER_FAILURES = 0.3

# A first event that is late by this part of the time that reading the fetched
# parts takes, and by this time besides for the error of the queue's estimate,
# shows that they were read after all: the holder had none or is gone. It is
# asked for none for a while.
FAILED_FETCH_SHARE = 0.7
FAILED_FETCH_MARGIN_MS = 120
FAILED_FETCH_PAUSE_MS = 1_000

# A first event that was expected later than this tells more of the queue before
# it, which is an estimate too, than of the runner's speed.
MOST_JUDGED_MS = 400

# Memory of a runner whose pool isn't published yet.
DEFAULT_KV_TOKENS = 100_000


class FleetModel:
    """Owns the models of runners, and which of them may get work now.

    It has one model for each listed runner; that of a runner that left goes
    once none of its sends is in flight.
    """

    def __init__(
        self, directory: DirectoryView, peers: PeersView, bounds: SharedBounds
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._cold = ColdLimit(bounds)
        self._part_uses = PartUses(bounds.reuse_window_ms)
        self._models: dict[RunnerId, RunnerModel] = {}
        self._starts: dict[RunnerId, int | None] = {}

    def find(self, runner_id: RunnerId) -> RunnerModel | None:
        """Return the picture of a runner, if there is one."""
        return self._models.get(runner_id)

    def model(self, runner_id: RunnerId, pool: PublishedPool | None) -> RunnerModel:
        """Return the picture of a runner, a new one if there is none."""
        model = self._models.get(runner_id)
        if model is None:
            model = RunnerModel(_kv_tokens(pool))
            self._models[runner_id] = model
        return model

    def record_send(
        self, runner_id: RunnerId, pool: PublishedPool, now: Moment
    ) -> None:
        """Count a send of this host against the limit of a cold runner."""
        if self._is_cold(pool, runner_id, now):
            self._cold.record(runner_id, now.monotonic_ms)

    def usable(
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
            if self.next_cold_ms(pool, runner.runner_id, now) <= now_ms
        ]
        reachable = [
            runner
            for runner in allowed
            if self.model(runner.runner_id, pool).may_be_tried(now_ms)
        ]
        return reachable or allowed

    def next_cold_ms(
        self, pool: PublishedPool | None, runner_id: RunnerId, now: Moment
    ) -> int:
        """Return when the runner may get a call, as far as it is cold."""
        if pool is None or not self._is_cold(pool, runner_id, now):
            return now.monotonic_ms
        return self._cold.next_ms(
            runner_id, pool.cold_per_s, self._peers.rank(now), now.monotonic_ms
        )

    def find_holder(
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
            model = self.model(runner.runner_id, pool)
            if max(model.excluded_until_ms, model.lends_from_ms) > now.monotonic_ms:
                continue
            if model.failure_share(now.monotonic_ms) > MOST_HOLDER_FAILURES:
                continue
            held = model.prefixes.ready_tokens(prompt.parts, now.monotonic_ms)
            if held > most:
                holder, most = runner, held
        return holder, most

    def pool_share(
        self,
        pool: PublishedPool,
        runners: Mapping[RunnerId, PublishedRunner],
        now: Moment,
    ) -> float:
        """Return the mean share of time that the runners of a pool read."""
        if pool.engine is None:
            return 0.0
        shares = [
            min(1.0, self.model(runner_id, pool).reading_share(now.monotonic_ms))
            for runner_id in runners
        ]
        return sum(shares) / len(shares)

    def recent_tokens(self, routed: RoutedCall, now: Moment) -> int:
        """Return how many leading tokens of a prompt were used lately."""
        prompt = routed.call.prompt
        parts = prompt.parts if prompt else ()
        return self._part_uses.recent_tokens(parts, now.monotonic_ms)

    def note(
        self,
        notice: PlacementNotice,
        now: Moment,
        attempt_id: AttemptId | None = None,
    ) -> None:
        """Count a request that this host, as ``attempt_id``, or a peer sent."""
        self._part_uses.record(notice.parts, now.monotonic_ms)
        model = self._models.get(notice.runner_id)
        if model is None:
            return
        prompt_tokens = sum(part.tokens for part in notice.parts)
        read_ms = model.add(
            notice.read_tokens,
            notice.gap_target_ms,
            notice.expected_ms,
            now.monotonic_ms,
            attempt_id,
            max(0, prompt_tokens - notice.read_tokens),
        )
        model.prefixes.remember(notice.parts, read_ms + READY_MARGIN_MS)

    def note_queue(self, notice: QueueNotice, now: Moment) -> None:
        """Count what a peer saw of a runner's queue."""
        model = self._models.get(notice.runner_id)
        if model is not None:
            model.queue.raise_backlog(notice.backlog_ms, now.monotonic_ms)

    def observe_begun(self, seen: FirstEventSeen, now: Moment) -> Iterable[Output]:
        """Correct the picture of a runner by the first event of a send."""
        model = self._models.get(seen.runner_id)
        if model is None:
            return
        model.hear(now.monotonic_ms)
        if model.queue.observe_begun(seen.attempt_id, now.monotonic_ms):
            backlog_ms = int(model.queue.backlog_ms(now.monotonic_ms))
            yield TellPeers(queues=(QueueNotice(seen.runner_id, backlog_ms),))
        fetch = model.running.get(seen.attempt_id)
        if fetch is None:
            if seen.expected_ms <= MOST_JUDGED_MS:
                model.observe_first(seen.waited_ms, seen.expected_ms)
            return
        late_ms = seen.waited_ms - seen.expected_ms
        read_ms = model.read_ms(fetch.tokens)
        holder = self._models.get(fetch.holder_id)
        if holder is None or (
            late_ms < FAILED_FETCH_MARGIN_MS + FAILED_FETCH_SHARE * read_ms
        ):
            return
        holder.lends_from_ms = now.monotonic_ms + FAILED_FETCH_PAUSE_MS
        fields: dict[str, LogValue] = {
            "holder": fetch.holder_id,
            "runner": seen.runner_id,
            "late_ms": late_ms,
        }
        yield LogEvent("fetch_failed", Step.PLACEMENT, fields)

    def list_runner(self, runner: PublishedRunner, now: Moment) -> None:
        """Note what a runner wrote of itself."""
        pool = self._directory.pool(runner.pool)
        model = self.model(runner.runner_id, pool)
        held = self._starts.get(runner.runner_id)
        cold_until_ms = now.monotonic_ms + runner.cold_left_ms
        if held is not None and held != runner.started_wall_ms:
            model.restart(cold_until_ms, _kv_tokens(pool))
        elif runner.cold_left_ms:
            model.cold_until_ms = max(model.cold_until_ms, cold_until_ms)
        if runner.cold_left_ms:
            self._cold.begin(runner.runner_id, now.monotonic_ms)
        self._starts[runner.runner_id] = runner.started_wall_ms

    def forget_unlisted(self) -> None:
        """Forget runners that left."""
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

    def _is_cold(
        self, pool: PublishedPool | None, runner_id: RunnerId, now: Moment
    ) -> bool:
        if pool is None or not pool.cold_per_s:
            return False
        return self.model(runner_id, pool).cold_until_ms > now.monotonic_ms


def _kv_tokens(pool: PublishedPool | None) -> int:
    if pool is None or pool.engine is None:
        return DEFAULT_KV_TOKENS
    return pool.engine.kv_tokens
