"""How the limit of a runner grows with the work it has completed."""

from figshunt.tables import Pool


def ramped_limit(pool: Pool, completed: int) -> int:
    """Return the limit of a runner that completed so many requests.

    The limit starts at the cold limit and doubles with each limit's worth of
    completions.
    """
    limit = pool.cold_limit
    while limit < pool.limit and completed >= limit:
        completed -= limit
        limit *= 2
    return min(limit, pool.limit)
