"""Skips held calls that need at least what has just found no room.

This answers long queues: not every held call is compared with every runner at each
try. It keeps the invariant that a heavy call does not block lighter ones.
"""

from figshunt.types import PoolName


class FullPools:
    """The smallest demand per pool that found no room during one try.

    Calls are tried by priority, so that later ones are at most as urgent.
    """

    def __init__(self) -> None:
        self._tokens_by_pool: dict[PoolName, int] = {}

    def clear(self) -> None:
        """Begin a new try."""
        self._tokens_by_pool.clear()

    def record(self, pool: PoolName, tokens: int) -> None:
        """Record that a call of these tokens found no room."""
        self._tokens_by_pool[pool] = min(tokens, self._tokens_by_pool.get(pool, tokens))

    def has_no_room(self, pool: PoolName, tokens: int) -> bool:
        """Return whether a call of at most these tokens has found no room."""
        return pool in self._tokens_by_pool and self._tokens_by_pool[pool] <= tokens
