"""Limits this host's attempts at runners that name a limit for all hosts together."""

from bisect import bisect_right
from dataclasses import dataclass, field
from hashlib import blake2b
from math import ceil

from figshunt.dispatch._messages import LimitNotice
from figshunt.dispatch.fleet._cold_limit import SECOND_MS, SharedBounds
from figshunt.types import HostName, RunnerId

# Within this time all hosts that hear each other know of an attempt. Larger fleets
# use relays.
EXCHANGE_MS = 120
RELAYED_EXCHANGE_MS = 300
MAX_DIRECT_HOSTS = 13

# Hosts that wait for the same place try it one after the other, at this distance.
STAGGER_MS = 30

# Share of the difference between bound and limit that hosts may use up before they
# know of each other's attempts. The rest is a reserve for lost messages.
SPARE_SHARE = 0.8

# A host counts as waiting for a runner for this long after its last call that could
# use it, and other hosts count it for the other time after its last notice.
DEMAND_MS = 2_000
DEMAND_TOLD_MS = 5_000

# What is known of a limit is told again after this time, and kept for the last one
# once the limit is lifted. Each host of a fleet receives the notices of all others.
REFRESH_MS = 500
RELAYED_REFRESH_MS = 2_000
LIFTED_KEPT_MS = 10_000

# A peer's word replaces what this host knows only if it is newer by more than messages
# take.
NEWER_MS = 100


@dataclass(frozen=True, slots=True)
class LimitGroup:
    """The hosts that share a limit.

    Of them ``unheard`` aren't heard; a host counts in part from its last message on,
    and wholly after a window. What all hosts sent until ``oldest_heard_ms`` is known.
    """

    hosts: int
    unheard: float
    oldest_heard_ms: int


@dataclass(slots=True)
class RunnerLimit:
    """What this host knows of the limit of one runner's process.

    ``process`` is the start of that process. ``per_s`` is ``None`` once the limit is
    lifted. An answer showed it at ``observed_ms``, here or at another host, and first
    at ``since_ms``. ``attempts_ms`` are the times of all known attempts within the
    window, and the last one, and ``own_attempts_ms`` those of this host.
    ``own_count`` and ``counts_by_host`` count attempts since the hosts know the limit.
    ``demand_ms_by_host`` has the times at which peers last told that they have calls
    for the runner, and ``demand_ms`` that of this host's last call. This host takes
    part from ``contends_from_ms`` on. Peers were last told at ``told_ms``;
    ``has_news`` is set if they have to be told at once.
    """

    process: int | None
    per_s: float | None
    observed_ms: int
    since_ms: int
    attempts_ms: list[int] = field(default_factory=list)
    own_attempts_ms: list[int] = field(default_factory=list)
    own_count: int = 0
    counts_by_host: dict[HostName, int] = field(default_factory=dict)
    demand_ms_by_host: dict[HostName, int] = field(default_factory=dict)
    demand_ms: int | None = None
    contends_from_ms: int = 0
    told_ms: int = 0
    has_news: bool = True

    def has_demand(self, now_ms: int) -> bool:
        """Return whether this host had a call for the runner lately."""
        return self.demand_ms is not None and now_ms - self.demand_ms <= DEMAND_MS

    def add_attempts(self, count: int, now_ms: int, window_ms: int) -> None:
        """Add attempts of any host, and drop those that have left the window."""
        self.attempts_ms += [now_ms] * count
        for times_ms in (self.attempts_ms, self.own_attempts_ms):
            end = max(0, len(times_ms) - 1)
            del times_ms[: bisect_right(times_ms, now_ms - window_ms, hi=end)]


class NamedLimits:
    """Computes when this host may send to a runner that names a limit.

    In any window all hosts together send at most as many requests as the limit allows
    in it, as far as they know of each other's attempts, which they tell each other.
    The bound of the platform is higher. The difference covers attempts that hosts
    make before they know of each other's: each may make an equal number of them or,
    with more hosts than that, hosts take turns. Only hosts with calls for the runner
    count in this.

    A host that isn't heard may still send. Its equal share of the limit is left to it,
    for the time since its last message, so that hosts which don't hear each other or
    cease to do so keep the limit too.
    """

    def __init__(self, host: HostName, bounds: SharedBounds) -> None:
        self._host = host
        self._bounds = bounds
        self._limits_by_runner: dict[RunnerId, RunnerLimit] = {}

    def __len__(self) -> int:
        return len(self._limits_by_runner)

    def __contains__(self, runner_id: RunnerId) -> bool:
        limit = self._limits_by_runner.get(runner_id)
        return limit is not None and limit.per_s is not None

    def record_answer(
        self,
        runner_id: RunnerId,
        process: int | None,
        per_s: float | None,
        sent_ms: int,
        now_ms: int,
    ) -> bool:
        """Record that an answer names a limit, or none; return whether that is news.

        :param sent_ms: when the request was sent. An answer to an earlier request than
            the last one that showed a limit doesn't lift it.
        """
        known = self._find(runner_id, process)
        if known is None and per_s is None:
            return False
        if known is None:
            self._limits_by_runner[runner_id] = RunnerLimit(
                process, per_s, now_ms, now_ms
            )
            return True
        if per_s is None and sent_ms < known.observed_ms:
            return False
        return self._change(known, per_s, now_ms)

    def record_notice(self, host: HostName, notice: LimitNotice, now_ms: int) -> bool:
        """Record what a peer knows of a limit; return whether that is news."""
        observed_ms = now_ms - notice.observed_age_ms
        since_ms = now_ms - notice.since_age_ms
        limit = self._find(notice.runner_id, notice.process)
        has_changed = False
        if limit is None:
            if notice.per_s is None:
                return False
            limit = RunnerLimit(notice.process, notice.per_s, observed_ms, since_ms)
            self._limits_by_runner[notice.runner_id] = limit
            has_changed = True
        elif observed_ms > limit.observed_ms + NEWER_MS:
            has_changed = self._change(limit, notice.per_s, observed_ms)
        limit.since_ms = min(limit.since_ms, since_ms)
        self._add_peer_attempts(limit, host, notice, now_ms)
        if notice.has_demand:
            limit.demand_ms_by_host[host] = now_ms
        else:
            limit.demand_ms_by_host.pop(host, None)
        return has_changed

    def record_demand(
        self, runner_id: RunnerId, group: LimitGroup, now_ms: int
    ) -> None:
        """Record that this host has a call that could use the runner.

        Other hosts have to know that before it takes part.
        """
        limit = self._limits_by_runner.get(runner_id)
        if limit is None:
            return
        if not limit.has_demand(now_ms):
            limit.has_news = True
            if group.hosts - group.unheard > 1:
                limit.contends_from_ms = now_ms + _exchange_ms(group)
        limit.demand_ms = now_ms

    def record_attempt(self, runner_id: RunnerId, now_ms: int) -> None:
        """Record an attempt of this host."""
        limit = self._limits_by_runner.get(runner_id)
        if limit is not None:
            limit.own_count += 1
            limit.own_attempts_ms.append(now_ms)
            limit.add_attempts(1, now_ms, self._bounds.limit_window_ms)
            limit.has_news = True

    def next_ms(self, runner_id: RunnerId, group: LimitGroup, now_ms: int) -> int:
        """Return the earliest time at which this host may send to the runner."""
        limit = self._limits_by_runner.get(runner_id)
        if limit is None or limit.per_s is None:
            return now_ms
        bounds = self._bounds
        window_ms = bounds.limit_window_ms
        limited = limit.per_s * window_ms / SECOND_MS
        places = max(1.0, limited)
        spare = limited * bounds.limit_overshoot + bounds.limit_slack - places
        spare *= SPARE_SHARE
        rivals = [
            host
            for host, told_ms in limit.demand_ms_by_host.items()
            if now_ms - told_ms <= DEMAND_TOLD_MS
        ]
        own_share = spare / (1 + len(rivals) + round(group.unheard))
        left = places * (1 - group.unheard / group.hosts)
        if left < 1:
            free_ms = self._next_interval_ms(runner_id, limit, window_ms / left)
        else:
            free_ms = _next_place_ms(limit, left, left / places, window_ms)
            if own_share >= 1:
                rank = sum(host < self._host for host in rivals)
                order = (rank + len(limit.attempts_ms)) % (1 + len(rivals))
                free_ms += order * STAGGER_MS
        # Hosts may not know of each other's attempts within this time.
        unseen_ms = max(_exchange_ms(group), now_ms - group.oldest_heard_ms)
        fair_attempts = places / group.hosts * unseen_ms / window_ms
        own_attempts = max(1, int(own_share + fair_attempts))
        unseen_until_ms = _place_ms(limit.own_attempts_ms, own_attempts, unseen_ms)
        earliest_ms = max(now_ms, limit.contends_from_ms, free_ms, unseen_until_ms)
        if own_share >= 1:
            return earliest_ms
        return self._next_turn_ms(limit, rivals, spare, group, earliest_ms)

    def _next_interval_ms(
        self, runner_id: RunnerId, limit: RunnerLimit, interval_ms: float
    ) -> int:
        """Return the next attempt's time if a window has less than one place.

        Hosts that don't hear each other begin at different times.
        """
        if limit.attempts_ms:
            return limit.attempts_ms[-1] + int(interval_ms)
        return limit.since_ms + int(_phase(self._host, runner_id) * interval_ms)

    def _next_turn_ms(
        self,
        limit: RunnerLimit,
        rivals: list[HostName],
        spare: float,
        group: LimitGroup,
        earliest_ms: int,
    ) -> int:
        """Return the first time from ``earliest_ms`` on at which it is the host's turn.

        Any exchange overlaps at most two turns, whose hosts may use up the spare.
        """
        turn_ms = _exchange_ms(group)
        groups = ceil((1 + len(rivals)) / max(1, int(spare / 2)))
        rank = sum(host < self._host for host in rivals)
        turn = (earliest_ms - limit.since_ms) // turn_ms
        turns_ahead = (rank - turn) % groups
        if not turns_ahead:
            return earliest_ms
        return limit.since_ms + (turn + turns_ahead) * turn_ms

    def take_notices(self, now_ms: int) -> tuple[LimitNotice, ...]:
        """Return what other hosts have to know at once."""
        return tuple(
            self._build_notice(runner_id, limit, now_ms)
            for runner_id, limit in self._limits_by_runner.items()
            if limit.has_news
        )

    def take_refreshed_notices(
        self, group: LimitGroup, now_ms: int
    ) -> tuple[LimitNotice, ...]:
        """Return what other hosts may have missed, and drop limits lifted long ago."""
        is_direct = group.hosts <= MAX_DIRECT_HOSTS
        refresh_ms = REFRESH_MS if is_direct else RELAYED_REFRESH_MS
        for runner_id, limit in tuple(self._limits_by_runner.items()):
            is_lifted = limit.per_s is None
            if is_lifted and now_ms - limit.observed_ms > LIFTED_KEPT_MS:
                del self._limits_by_runner[runner_id]
        return tuple(
            self._build_notice(runner_id, limit, now_ms)
            for runner_id, limit in self._limits_by_runner.items()
            if now_ms - limit.told_ms >= refresh_ms
            and (limit.per_s is None or limit.has_demand(now_ms))
        )

    def forget(self, runner_id: RunnerId) -> None:
        """Remove the limit of a process that has ended."""
        self._limits_by_runner.pop(runner_id, None)

    def retain(self, runner_ids: set[RunnerId]) -> None:
        """Remove the limits of all other runners."""
        for runner_id in self._limits_by_runner.keys() - runner_ids:
            del self._limits_by_runner[runner_id]

    def _find(self, runner_id: RunnerId, process: int | None) -> RunnerLimit | None:
        limit = self._limits_by_runner.get(runner_id)
        return limit if limit is not None and limit.process == process else None

    def _change(
        self, limit: RunnerLimit, per_s: float | None, observed_ms: int
    ) -> bool:
        has_changed = limit.per_s != per_s
        if limit.per_s is None and per_s is not None:
            limit.since_ms = observed_ms
        limit.per_s = per_s
        limit.observed_ms = observed_ms
        limit.has_news |= has_changed
        return has_changed

    def _add_peer_attempts(
        self, limit: RunnerLimit, host: HostName, notice: LimitNotice, now_ms: int
    ) -> None:
        window_ms = self._bounds.limit_window_ms
        known_count = limit.counts_by_host.get(host)
        if known_count is None:
            # When the earlier ones were made isn't known.
            share = min(1.0, window_ms / max(1, notice.since_age_ms))
            count = ceil(notice.attempts * share)
        elif notice.attempts >= known_count:
            count = notice.attempts - known_count
        else:
            count = notice.attempts
        limit.counts_by_host[host] = notice.attempts
        # More than that changes nothing.
        most = max(1, int((limit.per_s or 0.0) * window_ms / SECOND_MS) + 1)
        limit.add_attempts(min(count, most), now_ms, window_ms)

    def _build_notice(
        self, runner_id: RunnerId, limit: RunnerLimit, now_ms: int
    ) -> LimitNotice:
        limit.has_news = False
        limit.told_ms = now_ms
        return LimitNotice(
            runner_id=runner_id,
            process=limit.process,
            per_s=limit.per_s,
            observed_age_ms=now_ms - limit.observed_ms,
            since_age_ms=now_ms - limit.since_ms,
            attempts=limit.own_count,
            has_demand=limit.has_demand(now_ms),
        )


def _next_place_ms(
    limit: RunnerLimit, places: float, share: float, window_ms: int
) -> int:
    """Return when a window has a free place, and a second its share of the limit."""
    assert limit.per_s is not None
    places_per_s = max(1, ceil(limit.per_s * share))
    return max(
        _place_ms(limit.attempts_ms, round(places), window_ms),
        _place_ms(limit.attempts_ms, places_per_s, SECOND_MS),
    )


def _place_ms(attempts_ms: list[int], places: int, span_ms: int) -> int:
    """Return from when on fewer than ``places`` attempts are within the span."""
    return attempts_ms[-places] + span_ms if len(attempts_ms) >= places else 0


def _exchange_ms(group: LimitGroup) -> int:
    return EXCHANGE_MS if group.hosts <= MAX_DIRECT_HOSTS else RELAYED_EXCHANGE_MS


def _phase(host: HostName, runner_id: RunnerId) -> float:
    """Return a fixed number from 0 to 1 that differs between hosts."""
    digest = blake2b(f"{host}/{runner_id}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32
