"""Builds the report from the views of one core."""

from figshunt.control import OutcomeFilter, RunnersView, SeatsView, TablesView
from figshunt.report._model import ClassLine, FleetReport, HostLine, sum_outcomes
from figshunt.tables import Tables
from figshunt.types import DataCentreState, Moment, RouteName, RouteOutcome

MAX_NOTICE_AGE_MS = 15_000


def build_report(
    outcomes: OutcomeFilter,
    tables_view: TablesView,
    runners: RunnersView,
    seats: SeatsView,
    now: Moment,
    revision_age_ms: int | None = None,
    is_granting_keys: bool = True,
) -> FleetReport:
    """Return the present state of the fleet as this daemon sees it.

    :param revision_age_ms: time since the last read of the configuration service.
    :param is_granting_keys: whether requests with an idempotency key are accepted.
    """
    own_notice = outcomes.own_notice(now)
    peers = outcomes.peer_outcomes()
    totals = sum_outcomes([own_notice, *(peer.notice for peer in peers.values())])
    tables = tables_view.current()
    hosts = []
    for seat in seats.seats:
        is_own = seat == seats.own_seat
        peer = peers.get(seat)
        notice = own_notice if is_own else peer.notice if peer else None
        age_ms = now.monotonic_ms - peer.received_ms if peer and not is_own else None
        hosts.append(
            HostLine(
                seat=seat,
                host=notice.host if notice else None,
                revision=notice.revision if notice else None,
                age_ms=0 if is_own else age_ms,
                is_reachable=seats.is_reachable(seat, now),
            )
        )
    return FleetReport(
        host=own_notice.host,
        wall_ms=now.wall_ms,
        span_ms=own_notice.span_ms,
        revision=tables.revision if tables else None,
        revision_age_ms=revision_age_ms,
        classes=_build_class_lines(tables, totals),
        hosts=tuple(hosts),
        phases_by_runner={
            runner_id: runners.phase(runner_id, now)
            for runner_id in (tables.runners_by_id if tables else ())
        },
        data_centres_out=tuple(
            name
            for name, state in (
                tables.data_centre_states_by_name.items() if tables else ()
            )
            if state is DataCentreState.OUT
        ),
        warnings=_find_warnings(tuple(hosts), tables, is_granting_keys),
    )


def _build_class_lines(
    tables: Tables | None, totals: dict[RouteName, RouteOutcome]
) -> tuple[ClassLine, ...]:
    routes = tables.routes_by_name.values() if tables else ()
    lines = [
        ClassLine(
            route.name,
            route.tier,
            route.latency_target_ms,
            totals.get(route.name, RouteOutcome(route.name)),
        )
        for route in routes
    ]
    return tuple(sorted(lines, key=lambda line: (line.tier, line.route)))


def _find_warnings(
    hosts: tuple[HostLine, ...], tables: Tables | None, is_granting_keys: bool
) -> tuple[str, ...]:
    warnings = []
    if not is_granting_keys:
        warnings.append("keyed requests are refused here")
    if tables is None:
        warnings.append("no tables in force yet")
    for host in hosts:
        if host.host is None:
            warnings.append(f"seat {host.seat}: never heard")
        elif not host.is_reachable:
            warnings.append(f"seat {host.seat}: silent now")
        elif host.age_ms is not None and host.age_ms > MAX_NOTICE_AGE_MS:
            warnings.append(f"seat {host.seat}: figures are old")
        elif tables is not None and host.revision != tables.revision:
            warnings.append(f"seat {host.seat}: revision {host.revision}")
    return tuple(warnings)
