"""Counts the outcomes of requests and exchanges the counts with peers."""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from figshunt.control._views import SeatsView, TablesView
from figshunt.pipeline import Output
from figshunt.types import (
    CountEvent,
    HostName,
    Message,
    Moment,
    ObserveDuration,
    OutcomeNotice,
    PeerReceived,
    RefusalCount,
    RequestEnded,
    RevisionNumber,
    RouteName,
    RouteOutcome,
    RunOutcome,
    SeatNumber,
    SendPeer,
    Step,
    TablesInForce,
    TimerDue,
    WakeAt,
)

BUCKET_MS = 60_000
BUCKET_COUNT = 15
SPAN_MS = BUCKET_MS * BUCKET_COUNT
NOTICE_INTERVAL_MS = 5_000
NO_REVISION = RevisionNumber(0)


@dataclass(slots=True)
class _RouteCounts:
    ended: int = 0
    completed: int = 0
    attained: int = 0
    cancelled: int = 0
    good_tokens: int = 0
    wasted_tokens: int = 0
    refusals: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class PeerOutcome:
    """The last outcome notice of one peer and its arrival time (monotonic)."""

    notice: OutcomeNotice
    received_ms: int


class OutcomeFilter:
    """Owns the outcome counts of the last ``SPAN_MS``, by minute and route.

    Holds at most ``BUCKET_COUNT`` counts for each route and one notice for each
    peer. A restart discards them.
    """

    step = Step.OUTCOME
    accepts: tuple[type[Message], ...] = (
        RequestEnded,
        PeerReceived,
        TablesInForce,
        TimerDue,
    )

    def __init__(self, host: HostName, seats: SeatsView, tables: TablesView) -> None:
        self._host = host
        self._seats = seats
        self._tables = tables
        self._buckets: deque[tuple[int, dict[RouteName, _RouteCounts]]] = deque()
        self._notices_by_seat: dict[SeatNumber, PeerOutcome] = {}
        self._next_notice_ms: int | None = None

    def own_notice(self, now: Moment) -> OutcomeNotice:
        """Return this daemon's outcome counts of the last ``SPAN_MS``."""
        self._drop_expired_buckets(now)
        tables = self._tables.current()
        route_names: dict[RouteName, None] = dict.fromkeys(
            tables.routes_by_name if tables else ()
        )
        for _, counts_by_route in self._buckets:
            route_names.update(dict.fromkeys(counts_by_route))
        return OutcomeNotice(
            host=self._host,
            revision=tables.revision if tables else NO_REVISION,
            span_ms=SPAN_MS,
            routes=tuple(self._sum_route(name) for name in route_names),
        )

    def peer_outcomes(self) -> Mapping[SeatNumber, PeerOutcome]:
        """Return the last notice of each peer that has sent one."""
        return dict(self._notices_by_seat)

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case RequestEnded():
                yield from self._count_request(message, now)
            case PeerReceived(seat, OutcomeNotice() as notice):
                self._notices_by_seat[seat] = PeerOutcome(notice, now.monotonic_ms)
                return
            case TimerDue() | TablesInForce():
                yield from self._notify_peers_when_due(now)
        yield message

    def _count_request(self, ended: RequestEnded, now: Moment) -> Iterable[Output]:
        route = ended.routed.route
        counts = self._current_counts(route.name, now)
        counts.wasted_tokens += ended.wasted_tokens
        result = "whole"
        if ended.code is None and ended.outcome is not RunOutcome.RAN:
            counts.cancelled += 1
            result = "cancelled"
        else:
            counts.ended += 1
        if ended.code is not None:
            counts.refusals[ended.code.value] += 1
            result = ended.code.value
        elif ended.outcome is RunOutcome.RAN:
            counts.completed += 1
            counts.good_tokens += ended.tokens
            latency_ms = target_latency_ms(ended)
            counts.attained += latency_ms <= route.latency_target_ms
            yield ObserveDuration("latency", {"route": route.name}, latency_ms)
        yield CountEvent("requests", {"route": route.name, "result": result})
        if ended.wasted_tokens:
            yield CountEvent(
                "wasted_tokens", {"route": route.name}, ended.wasted_tokens
            )

    def _notify_peers_when_due(self, now: Moment) -> Iterable[Output]:
        due_ms = self._next_notice_ms
        if due_ms is not None and now.monotonic_ms < due_ms:
            return
        self._next_notice_ms = now.monotonic_ms + NOTICE_INTERVAL_MS
        yield WakeAt(self._next_notice_ms)
        peers = [seat for seat in self._seats.seats if seat != self._seats.own_seat]
        if peers:
            notice = self.own_notice(now)
            for seat in peers:
                yield SendPeer(seat, notice)

    def _current_counts(self, route: RouteName, now: Moment) -> _RouteCounts:
        bucket = now.monotonic_ms // BUCKET_MS
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append((bucket, {}))
            self._drop_expired_buckets(now)
        return self._buckets[-1][1].setdefault(route, _RouteCounts())

    def _drop_expired_buckets(self, now: Moment) -> None:
        last_expired_bucket = now.monotonic_ms // BUCKET_MS - BUCKET_COUNT
        while self._buckets and self._buckets[0][0] <= last_expired_bucket:
            self._buckets.popleft()

    def _sum_route(self, route: RouteName) -> RouteOutcome:
        total_counts = _RouteCounts()
        for _, counts_by_route in self._buckets:
            counts = counts_by_route.get(route)
            if counts is None:
                continue
            total_counts.ended += counts.ended
            total_counts.completed += counts.completed
            total_counts.attained += counts.attained
            total_counts.cancelled += counts.cancelled
            total_counts.good_tokens += counts.good_tokens
            total_counts.wasted_tokens += counts.wasted_tokens
            total_counts.refusals += counts.refusals
        return RouteOutcome(
            route=route,
            ended=total_counts.ended,
            whole=total_counts.completed,
            attained=total_counts.attained,
            cancelled=total_counts.cancelled,
            good_tokens=total_counts.good_tokens,
            wasted_tokens=total_counts.wasted_tokens,
            refusals=tuple(
                RefusalCount(code, count)
                for code, count in sorted(total_counts.refusals.items())
            ),
        )


def target_latency_ms(ended: RequestEnded) -> int:
    """Return the latency that is compared with the route's latency target.

    This is the time to the first token for streams and the time to the
    complete answer for all other requests.
    """
    if ended.routed.request.stream and ended.first_token_ms is not None:
        return ended.first_token_ms
    return ended.completion_ms or 0
