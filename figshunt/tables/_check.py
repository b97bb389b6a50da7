"""Checks the decoded routes and pools documents and builds :class:`Tables`."""

from collections import defaultdict
from collections.abc import Container, Hashable
from dataclasses import dataclass

from figshunt.tables._fields import Fault, FaultList, FieldReader, describe
from figshunt.tables._model import Pool, Route, Runner, Tables, Team
from figshunt.types import (
    HIGHEST_TIER,
    LOWEST_TIER,
    DataCentreName,
    DataCentreState,
    GenerationNumber,
    PoolKind,
    PoolName,
    RevisionNumber,
    RouteName,
    RunnerId,
    TeamName,
    Tier,
)

MAX_REVISION = 2**53
MAX_DURATION_MS = 24 * 60 * 60 * 1000
MAX_POOL_LIMIT = 4096
MAX_FLOOR_SHARE_SUM = 0.5
SHA256_HEX_LENGTH = 64


@dataclass(frozen=True, slots=True)
class CheckedTables:
    """The result of a check: the tables, or the faults if there were any.

    ``revision`` is the revision of the routes document, if both revisions are
    valid. ``is_unpaired`` is true if both are valid but differ.
    """

    tables: Tables | None
    faults: tuple[Fault, ...]
    revision: RevisionNumber | None = None
    is_unpaired: bool = False


def check_tables(routes_document: object, pools_document: object) -> CheckedTables:
    """Check the decoded routes and pools documents as one pair.

    The path of each fault starts with ``routes:`` or ``pools:``, the name of the
    document.
    """
    faults = FaultList()
    routes_reader = FieldReader(routes_document, "routes:", faults)
    pools_reader = FieldReader(pools_document, "pools:", faults)
    revision = routes_reader.integer("revision", 1, MAX_REVISION)
    pools_revision = pools_reader.integer("revision", 1, MAX_REVISION)
    has_revisions = not faults
    is_unpaired = has_revisions and revision != pools_revision
    if is_unpaired:
        pools_reader.fault(
            "revision", f"the revision of the routes, {revision}, got {pools_revision}"
        )
    generation = routes_reader.integer("generation", 1, MAX_REVISION, default=1)
    states_by_name = _read_data_centres(pools_reader)
    pools, runners = _read_pools(pools_reader, states_by_name, faults)
    routes = _read_routes(routes_reader, pools, faults)
    teams = _read_teams(routes_reader, faults)
    routes_reader.finish()
    pools_reader.finish()
    if faults:
        return CheckedTables(
            None,
            faults.as_tuple(),
            RevisionNumber(revision) if has_revisions else None,
            is_unpaired,
        )
    tables = Tables(
        revision=RevisionNumber(revision),
        generation=GenerationNumber(generation),
        routes_by_name=routes,
        pools_by_name=pools,
        runners_by_id=runners,
        teams_by_key_sha256=teams,
        data_centre_states_by_name=states_by_name,
        teams_by_name={team.name: team for team in teams.values()},
    )
    return CheckedTables(tables, (), tables.revision)


def _read_data_centres(
    reader: FieldReader,
) -> dict[DataCentreName, DataCentreState]:
    states_by_name: dict[DataCentreName, DataCentreState] = {}
    choices = tuple(state.value for state in DataCentreState)
    for item in reader.objects("data_centres"):
        name = DataCentreName(item.text("name"))
        state = DataCentreState(item.choice("state", choices))
        item.finish()
        _check_unique(item, name, states_by_name)
        states_by_name[name] = state
    return states_by_name


def _read_pools(
    reader: FieldReader,
    states_by_name: dict[DataCentreName, DataCentreState],
    faults: FaultList,
) -> tuple[dict[PoolName, Pool], dict[RunnerId, Runner]]:
    pools: dict[PoolName, Pool] = {}
    runners: dict[RunnerId, Runner] = {}
    kinds = tuple(kind.value for kind in PoolKind)
    for item in reader.objects("pools"):
        name = PoolName(item.text("name"))
        limit = item.integer("limit", 1, MAX_POOL_LIMIT)
        runner_ids = []
        for runner_item in item.objects("runners", optional=True):
            runner = _read_runner(runner_item, name, states_by_name)
            _check_unique(runner_item, runner.runner_id, runners, "id")
            runners[runner.runner_id] = runner
            runner_ids.append(runner.runner_id)
        pool = Pool(
            name=name,
            kind=PoolKind(item.choice("kind", kinds)),
            limit=limit,
            cold_limit=item.integer("cold_limit", 1, limit),
            runner_ids=tuple(runner_ids),
            reports_load=item.boolean("reports_load", default=True),
            checks_fencing=item.boolean("checks_fencing", default=False),
            select_from_host_list=item.boolean("select_from_host_list", default=False),
        )
        if not pool.runner_ids and not pool.select_from_host_list:
            item.fault(
                "runners", "at least one runner, or select_from_host_list set to true"
            )
        item.finish()
        _check_unique(item, name, pools)
        pools[name] = pool
    return pools, runners


def _read_runner(
    item: FieldReader,
    pool: PoolName,
    states_by_name: dict[DataCentreName, DataCentreState],
) -> Runner:
    runner = Runner(
        runner_id=RunnerId(item.text("id")),
        url=item.text("url").rstrip("/"),
        data_centre=DataCentreName(item.text("data_centre")),
        pool=pool,
    )
    item.finish()
    if not runner.url.startswith(("http://", "https://")):
        item.fault(
            "url",
            f"a URL that starts with http:// or https://, got {describe(runner.url)}",
        )
    if runner.data_centre and runner.data_centre not in states_by_name:
        item.fault(
            "data_centre",
            "the name of a data centre in this document,"
            f" got {describe(runner.data_centre)}",
        )
    return runner


def _read_routes(
    reader: FieldReader, pools: dict[PoolName, Pool], faults: FaultList
) -> dict[RouteName, Route]:
    routes: dict[RouteName, Route] = {}
    floor_share_sums: defaultdict[PoolName, float] = defaultdict(float)
    for item in reader.objects("routes"):
        deadline_ms = item.integer("deadline_ms", 1, MAX_DURATION_MS)
        route = Route(
            name=RouteName(item.text("name")),
            pool=PoolName(item.text("pool")),
            tier=Tier(item.integer("tier", HIGHEST_TIER, LOWEST_TIER)),
            latency_target_ms=item.integer("latency_target_ms", 1, MAX_DURATION_MS),
            idempotent=item.boolean("idempotent"),
            deadline_ms=deadline_ms,
            max_run_ms=item.integer("max_run_ms", 1, deadline_ms, default=deadline_ms),
            floor_share=item.number("floor_share", 0.0, 1.0, default=0.0),
            weight=item.number("weight", 0.01, 100.0, default=1.0),
            token_gap_target_ms=(
                item.integer("token_gap_target_ms", 1, MAX_DURATION_MS)
                if item.has("token_gap_target_ms")
                else None
            ),
        )
        item.finish()
        _check_unique(item, route.name, routes)
        if route.pool and route.pool not in pools:
            item.fault(
                "pool",
                f"the name of a pool in the pools document, got {describe(route.pool)}",
            )
        routes[route.name] = route
        floor_share_sums[route.pool] += route.floor_share
    for pool, floor_share_sum in floor_share_sums.items():
        if floor_share_sum > MAX_FLOOR_SHARE_SUM:
            faults.add(
                f"routes:.routes[pool={pool}].floor_share",
                f"a sum of at most {MAX_FLOOR_SHARE_SUM} over the pool's routes,"
                f" got {floor_share_sum:.3f}",
            )
    return routes


def _read_teams(reader: FieldReader, faults: FaultList) -> dict[str, Team]:
    teams_by_key: dict[str, Team] = {}
    teams_by_name: dict[TeamName, Team] = {}
    for item in reader.objects("teams"):
        team = Team(
            name=TeamName(item.text("name")),
            key_sha256=item.text("key_sha256").lower(),
            weight=item.number("weight", 0.01, 1000.0, default=1.0),
            requests_per_minute=(
                item.integer("requests_per_minute", 1, 10_000_000)
                if item.has("requests_per_minute")
                else None
            ),
        )
        item.finish()
        _check_unique(item, team.name, teams_by_name)
        _check_unique(item, team.key_sha256, teams_by_key, "key_sha256")
        if not _is_sha256(team.key_sha256):
            item.fault("key_sha256", f"{SHA256_HEX_LENGTH} hexadecimal digits")
        teams_by_name[team.name] = team
        teams_by_key[team.key_sha256] = team
    return teams_by_key


def _is_sha256(text: str) -> bool:
    return len(text) == SHA256_HEX_LENGTH and set(text) <= set("0123456789abcdef")


def _check_unique(
    item: FieldReader,
    key: Hashable,
    used_keys: Container[Hashable],
    field_name: str = "name",
) -> None:
    if key and key in used_keys:
        item.fault(field_name, f"a unique value, got {key!r} more than once")
