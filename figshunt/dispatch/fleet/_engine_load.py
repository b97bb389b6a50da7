"""Counts the requests that all hosts have in flight at one runner."""

from dataclasses import dataclass

from figshunt.dispatch.admission._priority_scale import PRIORITY_LEVELS
from figshunt.types import HostName

# What a host told is dropped after this long, as its last datagram may be lost. It
# is about as long as the longest requests take.
TOLD_DEMAND_MS = 8_000


@dataclass(frozen=True, slots=True)
class Demand:
    """A number of requests and the KV cache tokens that they need."""

    requests: int = 0
    tokens: int = 0

    def __add__(self, other: "Demand") -> "Demand":
        return Demand(self.requests + other.requests, self.tokens + other.tokens)

    def __sub__(self, other: "Demand") -> "Demand":
        return Demand(self.requests - other.requests, self.tokens - other.tokens)


NO_DEMAND = Demand()


@dataclass(frozen=True, slots=True)
class ToldDemand:
    """The demand of one host at one priority, and when it told it."""

    demand: Demand
    told_ms: int


class PoolLoad:
    """The requests in flight at all engines of a pool, by priority."""

    def __init__(self) -> None:
        self.requests_by_level = [0] * PRIORITY_LEVELS

    def has_less_urgent(self, priority: int) -> bool:
        """Return whether a less urgent request is in flight."""
        return any(self.requests_by_level[priority + 1 :])


class EngineLoad:
    """The demand in flight at one runner, by priority.

    This host's part is exact. Other hosts tell theirs as a whole, not as a change,
    so that a lost datagram matters only until the next one. Each change is also counted
    in ``pool_load``.
    """

    def __init__(self, pool_load: PoolLoad | None = None) -> None:
        self.requests = 0
        self._pool_load = pool_load or PoolLoad()
        self._requests_by_level = [0] * PRIORITY_LEVELS
        self._tokens_by_level = [0] * PRIORITY_LEVELS
        self._own_by_level = [NO_DEMAND] * PRIORITY_LEVELS
        self._told_by_host: dict[HostName, dict[int, ToldDemand]] = {}

    def add(self, priority: int, demand: Demand) -> Demand:
        """Add a request of this host and return this host's demand at the priority."""
        own = self._own_by_level[priority] + demand
        self._own_by_level[priority] = own
        self._change(priority, demand)
        return own

    def remove(self, priority: int, demand: Demand) -> Demand:
        """Remove a request that was added, and return the rest at the priority."""
        return self.add(priority, NO_DEMAND - demand)

    def record_told(
        self, host: HostName, priority: int, demand: Demand, now_ms: int
    ) -> bool:
        """Replace the demand of another host at one priority.

        :returns: whether that frees places.
        """
        told_by_level = self._told_by_host.setdefault(host, {})
        previous = told_by_level.get(priority)
        change = demand - previous.demand if previous else demand
        self._change(priority, change)
        told_by_level[priority] = ToldDemand(demand, now_ms)
        return change.requests < 0

    def forget(self, host: HostName) -> None:
        """Drop what another host told."""
        for priority, told in self._told_by_host.pop(host, {}).items():
            self._change(priority, NO_DEMAND - told.demand)

    def forget_all(self) -> None:
        """Drop what all other hosts told."""
        for host in tuple(self._told_by_host):
            self.forget(host)

    def expire(self, now_ms: int, keep_ms: int = TOLD_DEMAND_MS) -> None:
        """Drop what was told too long ago."""
        for host, told_by_level in tuple(self._told_by_host.items()):
            for priority, told in tuple(told_by_level.items()):
                if now_ms - told.told_ms > keep_ms:
                    self._change(priority, NO_DEMAND - told.demand)
                    del told_by_level[priority]
            if not told_by_level:
                del self._told_by_host[host]

    def requests_ahead(self, priority: int) -> int:
        """Return how many requests are at least as urgent."""
        return sum(self._requests_by_level[: priority + 1])

    def tokens_ahead(self, priority: int) -> int:
        """Return the KV cache tokens of the requests that are at least as urgent."""
        return sum(self._tokens_by_level[: priority + 1])

    @property
    def tokens(self) -> int:
        """Return the KV cache tokens of all requests."""
        return sum(self._tokens_by_level)

    def has_less_urgent(self, priority: int) -> bool:
        """Return whether a less urgent request is in flight."""
        return any(self._requests_by_level[priority + 1 :])

    def count_more_urgent_levels(self, priority: int) -> int:
        """Return at how many more urgent priorities requests are in flight."""
        return sum(1 for requests in self._requests_by_level[:priority] if requests)

    def _change(self, priority: int, change: Demand) -> None:
        self.requests += change.requests
        self._requests_by_level[priority] += change.requests
        self._pool_load.requests_by_level[priority] += change.requests
        self._tokens_by_level[priority] += change.tokens
