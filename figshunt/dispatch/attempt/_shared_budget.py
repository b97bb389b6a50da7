"""Shares the retries that a pool may receive among the hosts.

This answers the load of many hosts whose requests are refused unevenly: an equal part
of a small number is hardly one retry for each. It keeps the invariant that in any
window all hosts together retry at most a share of the requests plus a fixed number.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b

from figshunt.dispatch._messages import HostStatus, RepeatNotice
from figshunt.dispatch.fleet._cold_limit import SharedBounds
from figshunt.dispatch.fleet._peer_filter import PEER_LOST_MS, PeersView
from figshunt.pipeline import Output
from figshunt.types import (
    CountEvent,
    HostName,
    LogEvent,
    LogValue,
    Moment,
    PoolName,
    Step,
)

# A host may always use its equal part of the first share of the bound. The second one
# is common: each host uses of it what the others were not heard to use. A process that
# does not know what the process before it used has an equal part of the third share of
# the fixed number in its first window. All hosts may restart at once, so the three add
# up to 1.
EQUAL_SHARE = 0.5
COMMON_SHARE = 0.35
FIRST_WINDOW_SHARE = 0.15

# Up to this number of hosts exchange statuses directly. Each may use this share of its
# own requests or its equal part of that share of the fixed number, whichever is more,
# as small fleets need no common part for bursts of some retries. What is common then
# leaves a tenth of the bound as a reserve.
FEW_HOSTS = 13
FEW_HOSTS_SHARE = 0.7
FEW_HOSTS_COMMON_SHARE = 0.2

# Until a process is sure to know the other hosts it assumes so many.
UNKNOWN_HOSTS = 300

# What a host did before this time is known to all hosts that hear it, as they cease to
# hear a host whose datagrams are lost for longer. It includes the time that a status
# takes over two relays.
KNOWN_AFTER_MS = PEER_LOST_MS + 300

# Share of what is left of the common part that all hosts together may use before they
# know of each other's retries. Each decision rests on what was known one such time
# earlier; with the whole rest the sum would exceed the bound by half, with this share
# by a twentieth.
UNKNOWN_SHARE = 0.5

# This share of that is for the hosts that exceed their equal part, and the rest is
# divided among all, as another host may begin to exceed its own.
OVER_EQUAL_PART_SHARE = 0.5

# A host counts as one that exceeds its equal part for this long.
OVER_EQUAL_PART_MS = 10_000

REPORT_INTERVAL_MS = 1_000


@dataclass(frozen=True, slots=True)
class ReportedRepeats:
    """What a process of a peer reported last of a pool.

    ``common_repeats`` was reported at ``counted_ms``.
    """

    notice: RepeatNotice
    reported_ms: int
    common_repeats: int
    counted_ms: int


@dataclass(slots=True)
class PoolRepeats:
    """The requests and retries of a pool that are known to this host.

    The times are those of this host's requests and retries in the window;
    ``lasting_ms`` has those of the requests that are in it until others are reported.
    The host exceeds its equal part since ``over_since_ms``, and last did so at
    ``over_ms``. ``denied`` counts the retries that were denied since the last report.
    ``reported_by_process`` has what peers reported, by host and process.
    """

    requests_ms: deque[int] = field(default_factory=deque)
    lasting_ms: deque[int] = field(default_factory=deque)
    equal_ms: deque[int] = field(default_factory=deque)
    common_ms: deque[int] = field(default_factory=deque)
    over_since_ms: int = 0
    over_ms: int | None = None
    denied: int = 0
    reported_by_process: dict[tuple[HostName, int], ReportedRepeats] = field(
        default_factory=dict
    )

    @property
    def is_unused(self) -> bool:
        """Return whether neither this host nor a peer used the pool in the window."""
        has_times = self.requests_ms or self.equal_ms or self.common_ms
        return not (has_times or self.denied or self.reported_by_process)

    def expire(self, oldest_ms: int) -> None:
        """Drop the times that have left the window."""
        _drop_older(self.requests_ms, oldest_ms)
        _drop_older(self.lasting_ms, oldest_ms + KNOWN_AFTER_MS)
        _drop_older(self.equal_ms, oldest_ms)
        _drop_older(self.common_ms, oldest_ms)

    def expire_reports(self, oldest_ms: int) -> None:
        """Drop the reports of retries that have all left the window."""
        for process, reported in tuple(self.reported_by_process.items()):
            if reported.reported_ms < oldest_ms:
                del self.reported_by_process[process]

    def record_report(
        self, process: tuple[HostName, int], notice: RepeatNotice, now_ms: int
    ) -> None:
        """Record what a peer reported.

        Statuses may arrive in another order than sent. A lower count of retries thus
        replaces a higher one only after a while.
        """
        count, counted_ms = notice.common_repeats, now_ms
        last = self.reported_by_process.get(process)
        if (
            last is not None
            and last.common_repeats > count
            and now_ms - last.counted_ms < KNOWN_AFTER_MS
        ):
            count, counted_ms = last.common_repeats, last.counted_ms
        self.reported_by_process[process] = ReportedRepeats(
            notice, now_ms, count, counted_ms
        )

    def record_over_equal_part(self, now_ms: int) -> None:
        """Record that the equal part was too small."""
        if not self.is_over_equal_part(now_ms):
            self.over_since_ms = now_ms
        self.over_ms = now_ms

    def is_over_equal_part(self, now_ms: int) -> bool:
        """Return whether the equal part was too small lately."""
        return self.over_ms is not None and now_ms - self.over_ms <= OVER_EQUAL_PART_MS

    def common_by_host(self) -> dict[HostName, int]:
        """Return the retries of the common part that each peer reported."""
        counts: dict[HostName, int] = {}
        for (host, _), reported in self.reported_by_process.items():
            counts[host] = counts.get(host, 0) + reported.common_repeats
        return counts


class SharedRetryBudget:
    """Decides whether this host may send a request once more.

    A host has an equal part to itself: of the fixed number, and of the share of the
    requests that of its own. More than that it takes from the common part. Of that the
    hosts that hear exactly the same hosts share what is left, and each other host
    counts with its part or, if it was heard to use more, with that. Hosts with
    different views thus never use the same part, whichever links fail.
    """

    def __init__(self, host: HostName, peers: PeersView, bounds: SharedBounds) -> None:
        self._host = host
        self._peers = peers
        self._bounds = bounds
        self._repeats_by_pool: dict[PoolName, PoolRepeats] = {}
        self._next_report_ms = 0

    def record_request(self, pool: PoolName, now: Moment) -> None:
        """Count the first attempt of a request."""
        repeats = self._repeats(pool, now)
        repeats.requests_ms.append(now.monotonic_ms)
        repeats.lasting_ms.append(now.monotonic_ms)

    def take(self, pool: PoolName, now: Moment) -> bool:
        """Return whether a request may be sent again, and if so count that."""
        repeats = self._repeats(pool, now)
        if len(repeats.equal_ms) < self._equal_part(pool, repeats, now):
            repeats.equal_ms.append(now.monotonic_ms)
            return True
        repeats.record_over_equal_part(now.monotonic_ms)
        if self._take_common(pool, repeats, now):
            return True
        repeats.denied += 1
        return False

    def report_denied(self, now: Moment) -> Iterator[Output]:
        """Report the retries that the budget has denied, at most once a second.

        Pools that were not used for a window are dropped.
        """
        if now.monotonic_ms < self._next_report_ms:
            return
        self._next_report_ms = now.monotonic_ms + REPORT_INTERVAL_MS
        for pool in tuple(self._repeats_by_pool):
            repeats = self._repeats(pool, now)
            repeats.expire_reports(now.monotonic_ms - self._bounds.retry_window_ms)
            if repeats.is_unused:
                del self._repeats_by_pool[pool]
            if not repeats.denied:
                continue
            yield CountEvent("repeats_denied", {"pool": pool}, repeats.denied)
            fields: dict[str, LogValue] = {
                "pool": pool,
                "denied": repeats.denied,
                "equal": len(repeats.equal_ms),
                "common": len(repeats.common_ms),
                "agreeing_hosts": len(self._peers.agreeing_hosts(now)),
            }
            yield LogEvent("retry_budget_short", Step.ATTEMPT, fields)
            repeats.denied = 0

    def record_status(self, status: HostStatus, now: Moment) -> None:
        """Record what a peer reports of its retries, also for pools not used here.

        What an earlier process reported counts on, as its retries are in the window.
        """
        process = (status.host, status.incarnation)
        for notice in status.repeats:
            repeats = self._repeats(notice.pool, now)
            repeats.record_report(process, notice, now.monotonic_ms)

    def notices(self, now: Moment) -> tuple[RepeatNotice, ...]:
        """Return what each status of this host reports of its retries.

        It has notices only while a host exceeds its equal part.
        """
        return tuple(self._build_notices(now))

    def _build_notices(self, now: Moment) -> Iterator[RepeatNotice]:
        known_from_ms = now.monotonic_ms - KNOWN_AFTER_MS
        for pool in self._repeats_by_pool:
            repeats = self._repeats(pool, now)
            is_over_equal_part = repeats.is_over_equal_part(now.monotonic_ms)
            has_peer_over_equal_part = any(
                reported.notice.is_over_equal_part
                and reported.reported_ms > known_from_ms
                for reported in repeats.reported_by_process.values()
            )
            if is_over_equal_part or has_peer_over_equal_part or repeats.common_ms:
                yield RepeatNotice(
                    pool,
                    len(repeats.lasting_ms),
                    len(repeats.common_ms),
                    is_over_equal_part,
                )

    def _take_common(self, pool: PoolName, repeats: PoolRepeats, now: Moment) -> bool:
        """Return whether the common part allows a retry, and if so count that."""
        if self._peers.may_miss_peers(self._bounds.retry_window_ms, now):
            return False
        if not self._peers.is_undisturbed(KNOWN_AFTER_MS, now):
            return False
        known_from_ms = now.monotonic_ms - KNOWN_AFTER_MS
        recent = sum(1 for time_ms in repeats.common_ms if time_ms > known_from_ms)
        if recent >= self._common_part(pool, repeats, now):
            return False
        repeats.common_ms.append(now.monotonic_ms)
        return True

    def _equal_part(self, pool: PoolName, repeats: PoolRepeats, now: Moment) -> int:
        """Return how many retries in a window this host has to itself."""
        bounds, peers = self._bounds, self._peers
        rank = peers.rank(now)
        knows_hosts = not peers.may_miss_peers(KNOWN_AFTER_MS, now)
        hosts = rank.hosts if knows_hosts else max(rank.hosts, UNKNOWN_HOSTS)
        fixed_part = bounds.retry_slack / hosts
        own_share = bounds.retry_share * len(repeats.requests_ms)
        share = EQUAL_SHARE if hosts > 1 else EQUAL_SHARE + COMMON_SHARE
        fixed_share = share
        if peers.may_miss_peers(bounds.retry_window_ms, now):
            fixed_share = FIRST_WINDOW_SHARE
        # The offsets of successive ranks round the parts of all hosts to their sum.
        offset = (rank.rank * fixed_share * fixed_part + _fraction(pool)) % 1
        part = int(fixed_share * fixed_part + share * own_share + offset)
        if hosts <= FEW_HOSTS:
            return max(part, int(FEW_HOSTS_SHARE * max(fixed_part, own_share)))
        if not knows_hosts:
            # Nothing else is used of the share of this process's own requests.
            return max(part, int(FEW_HOSTS_SHARE * own_share))
        return part

    def _common_part(self, pool: PoolName, repeats: PoolRepeats, now: Moment) -> int:
        """Return how many of its retries may be unknown to the other hosts."""
        now_ms = now.monotonic_ms
        group = self._peers.agreeing_hosts(now)
        reported_in_group = [
            reported
            for (host, _), reported in repeats.reported_by_process.items()
            if host in group and reported.reported_ms > now_ms - KNOWN_AFTER_MS
        ]
        hosts_over_equal_part = 1 + sum(
            reported.notice.is_over_equal_part for reported in reported_in_group
        )
        requests = len(repeats.lasting_ms)
        requests += sum(reported.notice.requests for reported in reported_in_group)
        part = (1 - OVER_EQUAL_PART_SHARE) / (1 + len(group))
        if repeats.over_since_ms <= now_ms - KNOWN_AFTER_MS:
            part += OVER_EQUAL_PART_SHARE / hosts_over_equal_part
        left = self._common_left(group, requests, repeats, now)
        return int(left * UNKNOWN_SHARE * part + self._rounding(pool, now))

    def _common_left(
        self,
        group: frozenset[HostName],
        requests: int,
        repeats: PoolRepeats,
        now: Moment,
    ) -> float:
        """Return what is left of the common part of the hosts that agree."""
        bounds = self._bounds
        hosts = self._peers.rank(now).hosts
        share = COMMON_SHARE if hosts > FEW_HOSTS else FEW_HOSTS_COMMON_SHARE
        fixed_part = share * bounds.retry_slack / hosts
        left = share * bounds.retry_share * requests - len(repeats.common_ms)
        left += fixed_part * (1 + len(group))
        for host, count in repeats.common_by_host().items():
            left -= count if host in group else max(0.0, count - fixed_part)
        return max(0.0, left)

    def _rounding(self, pool: PoolName, now: Moment) -> float:
        """Return a number from 0 to 1, so that parts below one are rounded at random.

        It differs between hosts and changes as soon as retries are known to all.
        """
        span = now.monotonic_ms // KNOWN_AFTER_MS
        return _fraction(f"{self._host}/{pool}/{span}")

    def _repeats(self, pool: PoolName, now: Moment) -> PoolRepeats:
        """Return what is known of a pool, without the times that left the window."""
        repeats = self._repeats_by_pool.get(pool)
        if repeats is None:
            repeats = self._repeats_by_pool[pool] = PoolRepeats()
        repeats.expire(now.monotonic_ms - self._bounds.retry_window_ms)
        return repeats


def _drop_older(times_ms: deque[int], oldest_ms: int) -> None:
    while times_ms and times_ms[0] < oldest_ms:
        times_ms.popleft()


def _fraction(text: str) -> float:
    """Return a number from 0 to 1 that is the same for the same text."""
    digest = blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32
