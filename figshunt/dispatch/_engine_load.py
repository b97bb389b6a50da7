"""Counts the requests that all hosts have in flight at one engine."""

from dataclasses import dataclass

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


class EngineLoad:
    """The demand in flight at one engine, by priority.

    This host's part is exact. Other hosts tell theirs as a whole, not as a change,
    so that a lost datagram matters only until the next one.
    """

    def __init__(self) -> None:
        self._own_by_priority: dict[int, Demand] = {}
        self._told_by_host: dict[HostName, dict[int, ToldDemand]] = {}
        self._total_by_priority: dict[int, Demand] = {}

    def add(self, priority: int, demand: Demand) -> Demand:
        """Add a request of this host and return this host's demand at the priority."""
        own = self._own_by_priority.get(priority, NO_DEMAND) + demand
        self._own_by_priority[priority] = own
        self._change_total(priority, demand)
        return own

    def remove(self, priority: int, demand: Demand) -> Demand:
        """Remove a request that was added, and return the rest at the priority."""
        own = self._own_by_priority.get(priority, NO_DEMAND) - demand
        self._own_by_priority[priority] = own
        self._change_total(priority, NO_DEMAND - demand)
        return own

    def record_told(
        self, host: HostName, priority: int, demand: Demand, now_ms: int
    ) -> None:
        """Replace the demand of another host at one priority."""
        told_by_priority = self._told_by_host.setdefault(host, {})
        previous = told_by_priority.get(priority)
        if previous is not None:
            self._change_total(priority, NO_DEMAND - previous.demand)
        self._change_total(priority, demand)
        told_by_priority[priority] = ToldDemand(demand, now_ms)

    def forget(self, host: HostName) -> None:
        """Drop what another host told."""
        for priority, told in self._told_by_host.pop(host, {}).items():
            self._change_total(priority, NO_DEMAND - told.demand)

    def forget_all(self) -> None:
        """Drop what all other hosts told."""
        for host in tuple(self._told_by_host):
            self.forget(host)

    def expire(self, now_ms: int) -> None:
        """Drop what was told too long ago."""
        for host, told_by_priority in tuple(self._told_by_host.items()):
            for priority, told in tuple(told_by_priority.items()):
                if now_ms - told.told_ms > TOLD_DEMAND_MS:
                    self._change_total(priority, NO_DEMAND - told.demand)
                    del told_by_priority[priority]
            if not told_by_priority:
                del self._told_by_host[host]

    def total(self) -> Demand:
        """Return the demand of all requests."""
        return sum(self._total_by_priority.values(), NO_DEMAND)

    def ahead_of(self, priority: int) -> Demand:
        """Return the demand of the requests that are at least as urgent."""
        return sum(
            (
                demand
                for level, demand in self._total_by_priority.items()
                if level <= priority
            ),
            NO_DEMAND,
        )

    def has_less_urgent(self, priority: int) -> bool:
        """Return whether a less urgent request is in flight."""
        return any(level > priority for level in self._total_by_priority)

    def count_more_urgent_levels(self, priority: int) -> int:
        """Return at how many more urgent priorities requests are in flight."""
        return sum(level < priority for level in self._total_by_priority)

    def _change_total(self, priority: int, change: Demand) -> None:
        total = self._total_by_priority.get(priority, NO_DEMAND) + change
        if total == NO_DEMAND:
            self._total_by_priority.pop(priority, None)
        else:
            self._total_by_priority[priority] = total
