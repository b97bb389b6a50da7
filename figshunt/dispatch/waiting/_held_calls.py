"""Calls that wait at this host for a runner.

One queue serves engines and plain services. It answers bursts beyond the places that
all hosts know to be free, and keeps two invariants: a more urgent call never gives way
to a less urgent one, and no team starves.
"""

from collections import Counter
from dataclasses import dataclass, replace

from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._messages import HeldNotice
from figshunt.dispatch.waiting._team_turns import TeamTurns
from figshunt.types import ErrorCode, Moment, RequestId

# A call without a usable runner is held for this share of its latency target
# and then refused. The share is small enough not to make an answer late.
HOLD_TARGET_SHARE = 0.12

# If runners are usable but full, a call is held on, behind those of its priority that
# can still be in time: up to this multiple of its target, but no longer than this
# share of its time limit, so that its caller has time to return.
FULL_HOLD_TARGETS = 2.0
FULL_HOLD_TIME_SHARE = 0.2

# Hosts tell of freed places far more often than a held call finds one. Held calls are
# tried on their word at most this often, which is short for any latency target.
HELD_CALLS_INTERVAL_MS = 20


@dataclass(frozen=True, slots=True)
class HeldCall:
    """A call that waits for a runner, at most until ``until_ms``.

    After ``in_time_until_ms`` it gives way to others of its priority.
    """

    routed: RoutedCall
    in_time_until_ms: int
    until_ms: int

    def order(self, now_ms: int) -> tuple[int, bool]:
        """Return the sort key by which held calls are placed."""
        return self.routed.priority, now_ms >= self.in_time_until_ms


class HeldCalls:
    """The held calls of this host."""

    def __init__(self) -> None:
        self._by_id: dict[RequestId, HeldCall] = {}
        self._team_turns = TeamTurns()
        self._tried_id: RequestId | None = None
        self._tried_ms = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, call_id: RequestId) -> bool:
        return call_id in self._by_id

    def hold(
        self, routed: RoutedCall, reason: ErrorCode, now_ms: int
    ) -> HeldCall | None:
        """Hold a call for the first time or on.

        :param reason: why no runner may get the call.
        :returns: the held call, or ``None`` if it has waited long enough.
        """
        held_call = self._by_id.get(routed.call_id)
        if held_call is None:
            held_call = _build_held_call(routed, reason, now_ms)
        if now_ms >= held_call.until_ms:
            return None
        self._by_id[routed.call_id] = held_call
        return held_call

    def keeps(self, call_id: RequestId) -> bool:
        """Return whether a call is held and no error has ended its placement."""
        return call_id in self._by_id and call_id != self._tried_id

    def begin_try(self, call_id: RequestId) -> None:
        """Record which call is being placed, in case that fails with an error."""
        self._tried_id = call_id

    def end_try(self) -> None:
        """Record that no call is being placed."""
        self._tried_id = None

    def release(self, call_id: RequestId) -> HeldCall | None:
        """Remove a call and return it if it was held."""
        return self._by_id.pop(call_id, None)

    @property
    def next_try_ms(self) -> int:
        """Return when other hosts' notices may cause the next try to place calls."""
        return self._tried_ms + HELD_CALLS_INTERVAL_MS

    def record_try(self, now_ms: int) -> None:
        """Record that all calls are tried now."""
        if self._by_id:
            self._tried_ms = now_ms

    def count_ahead(self, routed: RoutedCall, now_ms: int) -> int:
        """Return how many calls of its pool go before a new call."""
        return sum(
            held_call.routed.pool == routed.pool
            and held_call.order(now_ms) <= (routed.priority, False)
            for held_call in self._by_id.values()
        )

    def notices(self) -> tuple[HeldNotice, ...]:
        """Return what each status of this host tells of its held calls."""
        counts = Counter(
            (held_call.routed.pool, held_call.routed.priority)
            for held_call in self._by_id.values()
        )
        return tuple(
            HeldNotice(pool, priority, calls)
            for (pool, priority), calls in counts.items()
        )

    def record_start(self, routed: RoutedCall, now: Moment) -> None:
        """Charge a team for a call that was sent to a runner, held before or not."""
        self._team_turns.record(routed, now)

    def in_order(self, now_ms: int) -> list[HeldCall]:
        """Return all calls in the order in which they are placed."""
        if len(self._by_id) < 2:
            return list(self._by_id.values())
        # The sort keeps the teams' turns within each place of the order.
        return sorted(
            self._team_turns.in_turn(self._by_id.values(), now_ms),
            key=lambda held_call: held_call.order(now_ms),
        )


def _build_held_call(routed: RoutedCall, reason: ErrorCode, now_ms: int) -> HeldCall:
    if routed.held_since_ms is None:
        routed = replace(routed, held_since_ms=now_ms)
    else:
        now_ms = routed.held_since_ms
    wait_ms = routed.route.target_ms * HOLD_TARGET_SHARE
    in_time_until_ms = min(now_ms + int(wait_ms), routed.deadline_ms)
    if reason is not ErrorCode.QUEUE_FULL:
        return HeldCall(routed, in_time_until_ms, in_time_until_ms)
    return HeldCall(routed, in_time_until_ms, full_until_ms(routed, now_ms))


def full_until_ms(routed: RoutedCall, now_ms: int) -> int:
    """Return until when a call that arrives now is held while runners are full."""
    max_wait_ms = max(
        routed.route.target_ms * HOLD_TARGET_SHARE,
        min(
            routed.route.target_ms * FULL_HOLD_TARGETS,
            (routed.deadline_ms - now_ms) * FULL_HOLD_TIME_SHARE,
        ),
    )
    return min(now_ms + int(max_wait_ms), routed.deadline_ms)
