"""Adds the runners that the platform's host list names to the tables."""

from collections.abc import Sequence
from dataclasses import replace

from figshunt.tables import Pool, Runner, Tables
from figshunt.types import ListedHost, PoolName, RunnerId


def merge_hosts(
    published: Tables, hosts: Sequence[ListedHost], before: Tables | None
) -> Tables:
    """Return the tables with listed runners in the pools that select them.

    Leaving hosts stay in their pool: the runner filter gives them no new work.
    A pool for which the list has no runner at all keeps those of ``before``,
    as an empty list is more likely a fault of the list than of every runner;
    a runner that is really gone is noticed by its load stream.
    """
    selecting = [
        pool for pool in published.pools_by_name.values() if pool.select_from_host_list
    ]
    if not selecting:
        return published
    pools = dict(published.pools_by_name)
    runners = dict(published.runners_by_id)
    for pool in selecting:
        listed = _listed_runners(pool.name, hosts)
        if not listed and before is not None:
            listed = _runners_before(pool.name, before)
        added = {key: one for key, one in listed.items() if key not in runners}
        runners.update(added)
        pools[pool.name] = replace(pool, runner_ids=pool.runner_ids + tuple(added))
    return replace(published, pools_by_name=pools, runners_by_id=runners)


def _listed_runners(
    pool: PoolName, hosts: Sequence[ListedHost]
) -> dict[RunnerId, Runner]:
    return {
        RunnerId(host.name): Runner(
            RunnerId(host.name), host.url, host.data_centre, pool
        )
        for host in sorted(hosts, key=lambda one: one.name)
        if host.pool == pool and host.url is not None
    }


def _runners_before(pool: PoolName, before: Tables) -> dict[RunnerId, Runner]:
    former: Pool | None = before.pools_by_name.get(pool)
    if former is None or not former.select_from_host_list:
        return {}
    return {key: before.runners_by_id[key] for key in former.runner_ids}
