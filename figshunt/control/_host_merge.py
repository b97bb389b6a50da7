"""Merges runners from the platform's host list into the tables."""

from collections.abc import Sequence
from dataclasses import replace

from figshunt.tables import Pool, Runner, Tables
from figshunt.types import HostListEntry, PoolName, RunnerId


def merge_hosts(
    published_tables: Tables,
    hosts: Sequence[HostListEntry],
    previous_tables: Tables | None,
) -> Tables:
    """Return the published tables extended with the runners of the host list.

    Only pools with ``select_from_host_list`` are extended. Leaving hosts stay
    in their pool; the runner filter sends them no new work. If the list has no
    runner for a pool, the pool keeps its runners from ``previous_tables``,
    because an empty list more likely means that the list is wrong than that
    every runner is gone. A runner that is gone is detected when its load stream
    ends.
    """
    selecting_pools = [
        pool
        for pool in published_tables.pools_by_name.values()
        if pool.select_from_host_list
    ]
    if not selecting_pools:
        return published_tables
    pools = dict(published_tables.pools_by_name)
    runners = dict(published_tables.runners_by_id)
    for pool in selecting_pools:
        listed_runners = _listed_runners(pool.name, hosts)
        if not listed_runners and previous_tables is not None:
            listed_runners = _previous_runners(pool.name, previous_tables)
        added_runners = {
            runner_id: runner
            for runner_id, runner in listed_runners.items()
            if runner_id not in runners
        }
        runners.update(added_runners)
        pools[pool.name] = replace(
            pool, runner_ids=pool.runner_ids + tuple(added_runners)
        )
    return replace(published_tables, pools_by_name=pools, runners_by_id=runners)


def _listed_runners(
    pool: PoolName, hosts: Sequence[HostListEntry]
) -> dict[RunnerId, Runner]:
    return {
        RunnerId(host.name): Runner(
            RunnerId(host.name), host.url, host.data_centre, pool
        )
        for host in sorted(hosts, key=lambda host: host.name)
        if host.pool == pool and host.url is not None
    }


def _previous_runners(
    pool: PoolName, previous_tables: Tables
) -> dict[RunnerId, Runner]:
    previous_pool: Pool | None = previous_tables.pools_by_name.get(pool)
    if previous_pool is None or not previous_pool.select_from_host_list:
        return {}
    return {
        runner_id: previous_tables.runners_by_id[runner_id]
        for runner_id in previous_pool.runner_ids
    }
