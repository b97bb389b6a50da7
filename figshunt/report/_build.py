"""Builds a report from the views of one core."""

from figshunt.control import OutcomeFilter, RunnersView, SeatsView, TablesView
from figshunt.report._model import ClassLine, FleetReport, HostLine, sum_outcomes
from figshunt.tables import Tables
from figshunt.types import DataCentreState, Moment, RouteName, RouteOutcome

STALE_FIGURES_MS = 15_000


def build_report(
    outcomes: OutcomeFilter,
    tables_view: TablesView,
    runners: RunnersView,
    seats: SeatsView,
    now: Moment,
    revision_age_ms: int | None = None,
    grants_keys: bool = True,
) -> FleetReport:
    """Return what this daemon knows of the fleet now.

    :param revision_age_ms: time since the configuration service was last read.
    :param grants_keys: whether requests with an idempotency key can be run.
    """
    own = outcomes.own_notice(now)
    peers = outcomes.peer_outcomes()
    totals = sum_outcomes([own, *(peer.notice for peer in peers.values())])
    tables = tables_view.current()
    hosts = []
    for seat in seats.seats:
        is_own = seat == seats.own_seat
        peer = peers.get(seat)
        notice = own if is_own else peer.notice if peer else None
        age_ms = now.monotonic_ms - peer.heard_ms if peer and not is_own else None
        hosts.append(
            HostLine(
                seat=seat,
                host=notice.host if notice else None,
                revision=notice.revision if notice else None,
                age_ms=0 if is_own else age_ms,
                is_heard=seats.is_heard(seat, now),
            )
        )
    return FleetReport(
        host=own.host,
        wall_ms=now.wall_ms,
        span_ms=own.span_ms,
        revision=tables.revision if tables else None,
        revision_age_ms=revision_age_ms,
        classes=_class_lines(tables, totals),
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
        warnings=_find_unknowns(tuple(hosts), tables, grants_keys),
    )


def _class_lines(
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


def _find_unknowns(
    hosts: tuple[HostLine, ...], tables: Tables | None, grants_keys: bool
) -> tuple[str, ...]:
    unknowns = []
    if not grants_keys:
        unknowns.append("keyed requests are refused here")
    if tables is None:
        unknowns.append("no tables in force yet")
    for host in hosts:
        if host.host is None:
            unknowns.append(f"seat {host.seat}: never heard")
        elif not host.is_heard:
            unknowns.append(f"seat {host.seat}: silent now")
        elif host.age_ms is not None and host.age_ms > STALE_FIGURES_MS:
            unknowns.append(f"seat {host.seat}: figures are old")
        elif tables is not None and host.revision != tables.revision:
            unknowns.append(f"seat {host.seat}: revision {host.revision}")
    return tuple(unknowns)
