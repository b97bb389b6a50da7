"""Computes the limit of a runner that is warming up."""

from figshunt.tables import Pool


def ramp_up_limit(pool: Pool, completed: int) -> int:
    """Return the limit of a runner after ``completed`` requests.

    The limit starts at the pool's cold limit. It doubles, up to the pool's
    limit, each time that the runner has completed as many requests as the
    current limit.
    """
    limit = pool.cold_limit
    while limit < pool.limit and completed >= limit:
        completed -= limit
        limit *= 2
    return min(limit, pool.limit)
