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
# is common: each host uses of it what the others were not heard to use. The rest is a
# reserve for a common part that several hosts exceed at the same time.
EQUAL_SHARE = 0.5
COMMON_SHARE = 0.4

# Share of its equal part that a process uses in its first window, in which it does not
# know what the process before it used, and uses nothing of the common part. All hosts
# may restart at once. Until it is sure to know the other hosts it assumes so many.
FIRST_WINDOW_SHARE = 0.5
UNKNOWN_HOSTS = 100

# What a host did before this time is known to all hosts that hear it, as they cease to
# hear a host whose datagrams are lost for longer. It includes the time that a status
# takes over two relays.
KNOWN_AFTER_MS = PEER_LOST_MS + 300

# Share of what is left of the common part that all hosts together may use before they
# know of each other's retries. Each decision rests on what was known one such time
# earlier; with the whole rest the sum would exceed the bound by half, with this share
# by a twentieth.
UNKNOWN_SHARE = 0.5

# This share of that is for the hosts that need more than their equal part, and the rest
# is divided among all, as another host may begin to need it.
NEEDING_SHARE = 0.5

# A host counts as one that needs more than its equal part for this long.
NEED_MS = 10_000

REPORT_INTERVAL_MS = 1_000


@dataclass(frozen=True, slots=True)
class ToldRepeats:
    """What a process of a peer told last of a pool."""

    notice: RepeatNotice
    told_ms: int


@dataclass(slots=True)
class PoolRepeats:
    """The requests and retries of a pool that are known to this host.

    The times are those of this host's requests and retries in the window. It counts
    as one that needs more than its equal part since ``need_since_ms``, and last did
    at ``needed_ms``. ``denied`` counts the retries that were denied since the last
    report. ``told_by_process`` has what peers told, by host and process.
    """

    since_ms: int
    requests_ms: deque[int] = field(default_factory=deque)
    equal_ms: deque[int] = field(default_factory=deque)
    common_ms: deque[int] = field(default_factory=deque)
    need_since_ms: int = 0
    needed_ms: int | None = None
    denied: int = 0
    told_by_process: dict[tuple[HostName, int], ToldRepeats] = field(
        default_factory=dict
    )

    def expire(self, oldest_ms: int) -> None:
        """Drop what has left the window."""
        for times_ms in (self.requests_ms, self.equal_ms, self.common_ms):
            while times_ms and times_ms[0] < oldest_ms:
                times_ms.popleft()
        for process, told in tuple(self.told_by_process.items()):
            if told.told_ms < oldest_ms:
                del self.told_by_process[process]

    def record_need(self, now_ms: int) -> None:
        """Record that the equal part was too small."""
        if not self.is_in_need(now_ms):
            self.need_since_ms = now_ms
        self.needed_ms = now_ms

    def is_in_need(self, now_ms: int) -> bool:
        """Return whether the equal part was too small lately."""
        return self.needed_ms is not None and now_ms - self.needed_ms <= NEED_MS

    def common_by_host(self) -> dict[HostName, int]:
        """Return the retries of the common part that each peer told."""
        counts: dict[HostName, int] = {}
        for (host, _), told in self.told_by_process.items():
            counts[host] = counts.get(host, 0) + told.notice.common_repeats
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
        self._repeats(pool, now).requests_ms.append(now.monotonic_ms)

    def take(self, pool: PoolName, now: Moment) -> bool:
        """Return whether a request may be sent again, and if so count that."""
        repeats = self._repeats(pool, now)
        if len(repeats.equal_ms) < self._equal_part(pool, repeats, now):
            repeats.equal_ms.append(now.monotonic_ms)
            return True
        repeats.record_need(now.monotonic_ms)
        if self._take_common(pool, repeats, now):
            return True
        repeats.denied += 1
        return False

    def report_denied(self, now: Moment) -> Iterator[Output]:
        """Report the retries that the budget has denied, at most once a second."""
        if now.monotonic_ms < self._next_report_ms:
            return
        self._next_report_ms = now.monotonic_ms + REPORT_INTERVAL_MS
        for pool, repeats in self._repeats_by_pool.items():
            if not repeats.denied:
                continue
            yield CountEvent("repeats_denied", {"pool": pool}, repeats.denied)
            fields: dict[str, LogValue] = {
                "pool": pool,
                "denied": repeats.denied,
                "equal": len(repeats.equal_ms),
                "common": len(repeats.common_ms),
                "agreeing_hosts": len(self._peers.agreeing_hosts()),
            }
            yield LogEvent("retry_budget_short", Step.ATTEMPT, fields)
            repeats.denied = 0

    def record_status(self, status: HostStatus, now: Moment) -> None:
        """Record what a peer tells of its retries.

        What an earlier process told counts on, as its retries are in the window.
        """
        for notice in status.repeats:
            repeats = self._repeats_by_pool.get(notice.pool)
            if repeats is not None:
                process = (status.host, status.incarnation)
                told = ToldRepeats(notice, now.monotonic_ms)
                repeats.told_by_process[process] = told

    def notices(self, now: Moment) -> tuple[RepeatNotice, ...]:
        """Return what each status of this host tells of its retries.

        It tells something only while a host needs more than its equal part.
        """
        return tuple(self._build_notices(now))

    def _build_notices(self, now: Moment) -> Iterator[RepeatNotice]:
        known_from_ms = now.monotonic_ms - KNOWN_AFTER_MS
        for pool in self._repeats_by_pool:
            repeats = self._repeats(pool, now)
            is_in_need = repeats.is_in_need(now.monotonic_ms)
            has_peer_in_need = any(
                told.notice.is_in_need and told.told_ms > known_from_ms
                for told in repeats.told_by_process.values()
            )
            if is_in_need or has_peer_in_need or repeats.common_ms:
                yield RepeatNotice(
                    pool,
                    self._lasting_requests(repeats, now),
                    len(repeats.common_ms),
                    is_in_need,
                )

    def _take_common(self, pool: PoolName, repeats: PoolRepeats, now: Moment) -> bool:
        """Return whether the common part allows a retry, and if so count that."""
        known_from_ms = now.monotonic_ms - KNOWN_AFTER_MS
        is_new = repeats.since_ms > known_from_ms
        if is_new or self._peers.is_younger(self._bounds.retry_window_ms, now):
            return False
        recent = sum(1 for time_ms in repeats.common_ms if time_ms > known_from_ms)
        if recent >= self._common_part(pool, repeats, now):
            return False
        repeats.common_ms.append(now.monotonic_ms)
        return True

    def _equal_part(self, pool: PoolName, repeats: PoolRepeats, now: Moment) -> int:
        """Return how many retries in a window this host has to itself.

        Parts below one are rounded up at as many hosts as add up to their sum.
        """
        bounds = self._bounds
        hosts = self._peers.rank(now).hosts
        share = EQUAL_SHARE if hosts > 1 else EQUAL_SHARE + COMMON_SHARE
        if self._peers.is_younger(bounds.retry_window_ms, now):
            share *= FIRST_WINDOW_SHARE
        if self._peers.is_younger(KNOWN_AFTER_MS, now):
            hosts = max(hosts, UNKNOWN_HOSTS)
        own_share = bounds.retry_share * len(repeats.requests_ms)
        part = share * (bounds.retry_slack / hosts + own_share)
        return int(part + _fraction(f"{self._host}/{pool}"))

    def _common_part(self, pool: PoolName, repeats: PoolRepeats, now: Moment) -> int:
        """Return how many of its retries may be unknown to the other hosts."""
        bounds = self._bounds
        now_ms = now.monotonic_ms
        hosts = self._peers.rank(now).hosts
        group = self._peers.agreeing_hosts()
        told_in_group = [
            told
            for (host, _), told in repeats.told_by_process.items()
            if host in group and told.told_ms > now_ms - KNOWN_AFTER_MS
        ]
        requests = self._lasting_requests(repeats, now)
        requests += sum(told.notice.requests for told in told_in_group)
        equal_part = COMMON_SHARE * bounds.retry_slack / hosts
        common_by_host = repeats.common_by_host()
        left = COMMON_SHARE * bounds.retry_share * requests - len(repeats.common_ms)
        left += equal_part * (1 + len(group))
        for host, count in common_by_host.items():
            left -= count if host in group else max(0.0, count - equal_part)
        needing = 1 + sum(told.notice.is_in_need for told in told_in_group)
        part = (1 - NEEDING_SHARE) / (1 + len(group))
        if repeats.need_since_ms <= now_ms - KNOWN_AFTER_MS:
            part += NEEDING_SHARE / needing
        span = now_ms // KNOWN_AFTER_MS
        draw = _fraction(f"{self._host}/{pool}/{span}")
        return int(max(0.0, left) * UNKNOWN_SHARE * part + draw)

    def _lasting_requests(self, repeats: PoolRepeats, now: Moment) -> int:
        """Return the requests that are in the window until others are told anew."""
        window_ms = self._bounds.retry_window_ms - KNOWN_AFTER_MS
        oldest_ms = now.monotonic_ms - window_ms
        return sum(1 for time_ms in repeats.requests_ms if time_ms >= oldest_ms)

    def _repeats(self, pool: PoolName, now: Moment) -> PoolRepeats:
        """Return what is known of a pool, without what has left the window."""
        repeats = self._repeats_by_pool.get(pool)
        if repeats is None:
            repeats = self._repeats_by_pool[pool] = PoolRepeats(now.monotonic_ms)
        repeats.expire(now.monotonic_ms - self._bounds.retry_window_ms)
        return repeats


def _fraction(text: str) -> float:
    """Return a number from 0 to 1 that differs between hosts, but not between calls."""
    digest = blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32
