"""Checks what reached the runners of a soak against the bounds of the platform.

The bounds are those of the deployments and of the settings that the hosts get.
"""

import math
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from figshunt.standins import Arrival
from tests.harness import RAW_CALL_TIMEOUT_S, Ending, Exchange
from tests.soak._callers import Callers, SentRequest
from tests.soak._disturbances import STABLE_S, Part
from tests.soak._fleet import GRACE_S, ProxiedRunner, SoakFleet, Stop

RETRY_RATIO = 0.2
RETRY_SLACK = 50
BUDGET_WINDOW_S = 10.0
DRAIN_S = 2.0

# A run that was given up may go on for this long after the next one has begun.
OVERLAP_S = 0.4

# A runner that asked for a pause may still get two requests after this time.
PAUSE_NOTICE_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2

# A request sent within the first of these times after SIGTERM may be cut off if its
# runner still works on it at the second.
LAST_SENT_S = 3.0
LAST_WORK_S = GRACE_S * 5 / 6

# From the first of these times on, a runner gets in any such window at most that share
# of the limit that it names and a number more, from hosts that passed on an answer with
# the limit at least the second time ago.
LIMIT_TOLD_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5

UNANSWERED = (Ending.LOST, Ending.CLOSED_BEFORE)

# Requests sent this soon behind a response that didn't announce a close find their
# channel open, except for a share and a number of them.
NEXT_REQUEST_S = 0.3
MAX_CLOSED_SHARE = 1 / 50
MAX_CLOSED = 3


@dataclass(frozen=True, slots=True)
class RunnerArrival:
    """A request that reached one of the runners."""

    runner: ProxiedRunner
    arrival: Arrival


def find_violations(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    """Yield a description of each broken bound."""
    yield from _check_retry_budget(fleet, callers)
    yield from _check_overlapping_runs(fleet, callers)
    yield from _check_leaving(fleet, callers)
    yield from _check_pauses(fleet, callers)
    yield from _check_limits(fleet, callers)
    yield from _check_lost(fleet, callers)
    yield from _check_next_requests(fleet, callers)
    yield from _check_stops(fleet)


def _list_arrivals(fleet: SoakFleet) -> list[RunnerArrival]:
    arrivals = [
        RunnerArrival(runner, arrival)
        for runner in fleet.runners
        for arrival in runner.standin.arrivals
    ]
    return sorted(arrivals, key=lambda entry: entry.arrival.arrived_s)


def _check_retry_budget(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    """Check the repeats in each window against the requests of the pool."""
    arrivals = _list_arrivals(fleet)
    for pool in sorted({runner.pool for runner in fleet.runners}):
        sent_s = sorted(
            request.sent_s
            for request in callers.sent_by_id.values()
            if request.pool == pool
        )
        repeats_s = list(
            _list_repeat_times(
                (entry for entry in arrivals if entry.runner.pool == pool),
                callers.repeats_by_id,
            )
        )
        worst = 0.0
        for index, start_s in enumerate(repeats_s):
            end_s = start_s + BUDGET_WINDOW_S
            repeats = bisect_right(repeats_s, end_s) - index
            requests = max(
                _count_between(sent_s, start_s - shift_s, end_s - shift_s)
                for shift_s in (0.0, BUDGET_WINDOW_S / 2, BUDGET_WINDOW_S)
            )
            worst = max(worst, repeats - RETRY_RATIO * requests - RETRY_SLACK)
        if worst > 0:
            yield f"pool {pool} got {worst:.0f} repeats more than its budget"


def _list_repeat_times(
    arrivals: Iterable[RunnerArrival], repeats_by_id: Counter[str]
) -> Iterator[float]:
    """Yield the times of arrivals beyond one for each time a caller sent the id."""
    arrivals_by_id: Counter[str] = Counter()
    for entry in arrivals:
        request_id = entry.arrival.request_id
        arrivals_by_id[request_id] += 1
        if arrivals_by_id[request_id] > 1 + repeats_by_id[request_id]:
            yield entry.arrival.arrived_s


def _count_between(times_s: list[float], start_s: float, end_s: float) -> int:
    return bisect_right(times_s, end_s) - bisect_left(times_s, start_s)


def _check_overlapping_runs(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    """Check that no run goes on while the next one of its request works.

    A disturbed link may deliver a request that was given up after the next one, so
    runs are ordered by the time that they were given.
    """
    previous_by_id: dict[str, RunnerArrival] = {}
    runs = [entry for entry in _list_arrivals(fleet) if entry.arrival.has_run]
    for entry in sorted(runs, key=lambda entry: -entry.arrival.time_limit_ms):
        request_id = entry.arrival.request_id
        previous = previous_by_id.get(request_id)
        previous_by_id[request_id] = entry
        if previous is None or request_id not in callers.sent_by_id:
            continue
        since_s = previous.arrival.arrived_s
        until_s = max(since_s, entry.arrival.arrived_s)
        host_name = callers.sent_by_id[request_id].host_name
        is_excused = not (
            fleet.disturbances.is_calm(
                Part.HOST, host_name, since_s - STABLE_S, until_s + OVERLAP_S
            )
            and fleet.disturbances.is_calm(
                Part.RUNNER,
                previous.runner.standin.runner_id,
                since_s,
                until_s + OVERLAP_S,
            )
        )
        ended_s = previous.arrival.ended_s
        if not is_excused and (ended_s is None or ended_s > until_s + OVERLAP_S):
            over = "for good" if ended_s is None else f"{ended_s - until_s:.2f} s"
            yield (
                f"{request_id} ran on at {previous.runner.standin.runner_id} {over}"
                f" after it began at {entry.runner.standin.runner_id}"
            )


def _check_leaving(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    """Check that runners get nothing once their leaving is known."""
    late: Counter[str] = Counter()
    for runner, arrival in _with_host(fleet, callers):
        runner_id = runner.standin.runner_id
        request = callers.sent_by_id[arrival.request_id]
        host = request.host_name
        for left_s, returned_s in runner.absences:
            if not left_s < arrival.arrived_s < returned_s:
                continue
            told_s = callers.leaving_told_s.get((host, runner_id), returned_s)
            has_told = left_s < told_s and request.sent_s > told_s + DRAIN_S
            if has_told and fleet.disturbances.is_calm(
                Part.HOST, host, told_s, arrival.arrived_s
            ):
                late[
                    f"{runner_id} from {host}, which had passed on its announcement"
                ] += 1
            bound_s = fleet.disturbances.calm_from(Part.STORE, "", left_s) + DRAIN_S
            since_s = arrival.arrived_s - STABLE_S
            in_touch = (
                fleet.disturbances.is_calm(part, name, since_s, arrival.arrived_s)
                for part, name in (
                    (Part.HOST, host),
                    (Part.STORE_LINK, host),
                    (Part.STORE, ""),
                )
            )
            if request.sent_s > bound_s and all(in_touch):
                late[f"{runner_id} from {host}"] += 1
    for description, count in late.items():
        yield f"{count} late requests reached the leaving {description}"


def _check_pauses(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    """Check that a runner which asked for a pause is left alone."""
    for runner in fleet.runners:
        arrivals_by_host: dict[str, list[Arrival]] = {}
        for arrival in runner.standin.arrivals:
            request = callers.sent_by_id.get(arrival.request_id)
            if request is not None:
                arrivals_by_host.setdefault(request.host_name, []).append(arrival)
        for host, arrivals in arrivals_by_host.items():
            worst = 0
            for refusal in arrivals:
                if refusal.pause_s is None:
                    continue
                start_s = refusal.arrived_s + PAUSE_NOTICE_S
                end_s = refusal.arrived_s + refusal.pause_s
                count = sum(start_s < one.arrived_s < end_s for one in arrivals)
                is_calm = all(
                    fleet.disturbances.is_calm(part, name, refusal.arrived_s, end_s)
                    for part, name in (
                        (Part.HOST, host),
                        (Part.RUNNER, runner.standin.runner_id),
                    )
                )
                if is_calm:
                    worst = max(worst, count)
            if worst > MAX_REQUESTS_IN_PAUSE:
                yield (
                    f"{worst} requests of {host} reached {runner.standin.runner_id}"
                    " in a pause that it had asked for"
                )


def _check_limits(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    """Check that hosts together keep the limits that runners name.

    A host that was disturbed since the limit was named isn't counted, nor are arrivals
    while the runner's link was disturbed, which may have held them up.
    """
    for runner in fleet.runners:
        runner_id = runner.standin.runner_id
        for limit in runner.limits:
            counted_s = []
            for arrival in runner.standin.arrivals:
                request = callers.sent_by_id.get(arrival.request_id)
                host = request.host_name if request else ""
                is_told = any(
                    limit.started_s <= told_s <= arrival.arrived_s - LIMIT_TOLD_S
                    for told_s in callers.limit_told_s.get((host, runner_id), ())
                )
                since_s = limit.started_s + STABLE_S
                is_calm = all(
                    fleet.disturbances.is_calm(
                        part, name, limit.started_s, arrival.arrived_s
                    )
                    for part, name in ((Part.HOST, host), (Part.RUNNER, runner_id))
                )
                if (
                    since_s <= arrival.arrived_s <= limit.ended_s
                    and is_told
                    and is_calm
                ):
                    counted_s.append(arrival.arrived_s)
            worst = max(
                (
                    _count_between(sorted(counted_s), start_s, start_s + LIMIT_WINDOW_S)
                    for start_s in counted_s
                ),
                default=0,
            )
            allowed = LIMIT_OVERSHOOT * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
            if worst > allowed:
                yield (
                    f"{worst} requests in {LIMIT_WINDOW_S:g} s reached {runner_id},"
                    f" which named {limit.per_s:g} a second; allowed {allowed:g}"
                )


def _check_lost(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    """Check that whole requests around planned work are answered or refused.

    Behind a request that may end unanswered, its channel ends for others too. A request
    that reached a runner gets an answer or a refusal at any time.
    """
    arrivals_by_id: dict[str, list[RunnerArrival]] = {}
    for entry in _list_arrivals(fleet):
        arrivals_by_id.setdefault(entry.arrival.request_id, []).append(entry)
    excused_ids: set[str] = set()
    for exchange in callers.exchanges:
        request = callers.sent_by_id[exchange.request_id]
        arrivals = arrivals_by_id.get(exchange.request_id, [])
        is_passed_on = bool(arrivals) and exchange.ending in UNANSWERED
        if not is_passed_on and exchange.ending not in (Ending.LOST, Ending.CUT):
            continue
        preceding_id = callers.preceding_ids.get(exchange.request_id)
        if preceding_id in excused_ids or _may_end_unanswered(
            fleet, request, exchange, arrivals
        ):
            excused_ids.add(exchange.request_id)
            continue
        stops_s = [s for s in _stop_times(fleet, request) if s <= exchange.ended_s]
        since_s = max(stops_s, default=request.sent_s)
        runs = [
            f"{run.runner.standin.runner_id} at {run.arrival.arrived_s - since_s:.2f}"
            for run in arrivals
        ]
        yield (
            f"LOST at {request.host_name}: {exchange}; limit {request.limit_s:g} s;"
            f" sent {request.sent_s - since_s:.2f} s after SIGTERM; runs {runs}"
        )


def _may_end_unanswered(
    fleet: SoakFleet,
    request: SentRequest,
    exchange: Exchange,
    arrivals: list[RunnerArrival],
) -> bool:
    is_calm = fleet.disturbances.is_calm
    if not is_calm(Part.FLEET, "", request.sent_s - STABLE_S, exchange.ended_s):
        return True
    for run in arrivals:
        runner_id = run.runner.standin.runner_id
        if not is_calm(Part.RUNNER, runner_id, request.sent_s, exchange.ended_s):
            return True
    if arrivals and exchange.ending in UNANSWERED:
        return False
    # A caller that waits until its own timeout has got nothing at the time limit.
    if request.limit_s <= exchange.ended_s - request.sent_s < RAW_CALL_TIMEOUT_S:
        return True
    work_ends_s = [run.arrival.ended_s or math.inf for run in arrivals]
    return any(
        request.sent_s <= stop_s + LAST_SENT_S
        and stop_s + LAST_WORK_S <= min(exchange.ended_s, max(work_ends_s, default=0.0))
        for stop_s in _stop_times(fleet, request)
    )


def _check_next_requests(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    """Check that channels stay open for requests right behind a response."""
    closed, count = [], 0
    for exchange in callers.exchanges:
        request = callers.sent_by_id[exchange.request_id]
        invited_s = callers.invited_s.get(exchange.request_id, 0.0)
        is_killed = any(
            stop.exit_status != 0
            and stop.started_s <= exchange.ended_s
            and request.sent_s <= stop.ended_s
            for stop in _list_stops(fleet, request)
        )
        is_calm = fleet.disturbances.is_calm(
            Part.FLEET, "", request.sent_s - STABLE_S, exchange.ended_s
        )
        if request.sent_s - invited_s > NEXT_REQUEST_S or is_killed or not is_calm:
            continue
        count += 1
        if exchange.ending in UNANSWERED:
            closed.append(f"{request.host_name} {exchange}")
    callers.results["next requests"] = count
    callers.results["closed next requests"] = len(closed)
    if len(closed) > max(MAX_CLOSED, MAX_CLOSED_SHARE * count):
        yield f"{len(closed)} of {count} next requests got a closed channel: {closed}"


def _list_stops(fleet: SoakFleet, request: SentRequest) -> list[Stop]:
    return next(one.stops for one in fleet.hosts if one.name == request.host_name)


def _stop_times(fleet: SoakFleet, request: SentRequest) -> list[float]:
    return [stop.started_s for stop in _list_stops(fleet, request)]


def _check_stops(fleet: SoakFleet) -> Iterator[str]:
    """Check that hosts end by themselves within their grace period."""
    for host in fleet.hosts:
        for stop in host.stops:
            since_s = stop.started_s - STABLE_S
            is_calm = fleet.disturbances.is_calm(Part.FLEET, "", since_s, stop.ended_s)
            if stop.exit_status != 0 and is_calm:
                took_s = stop.ended_s - stop.started_s
                yield f"{host.name} ended with {stop.exit_status} after {took_s:.2f} s"


def _with_host(
    fleet: SoakFleet, callers: Callers
) -> Iterator[tuple[ProxiedRunner, Arrival]]:
    for entry in _list_arrivals(fleet):
        is_known = entry.arrival.request_id in callers.sent_by_id
        if is_known and not entry.arrival.is_wrong_runner:
            yield entry.runner, entry.arrival
