"""Prometheus metrics of one daemon."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from figshunt.types import CountEvent, ObserveDuration, StoreEra

LABELS_BY_COUNTER = {
    "requests": ("route", "result"),
    "wasted_tokens": ("route",),
    "retries": ("failure",),
    "late_parts_dropped": ("part",),
    "calls": ("route",),
    "answers": ("route",),
    "repeats": ("route",),
    "repeats_denied": ("pool",),
    "refusals": ("code", "step"),
    "trials": ("result",),
    "orphaned_requests": ("message",),
    "discarded_requests": (),
    "store_restores": (),
    "caller_faults": ("fault",),
}
HELP_BY_COUNTER = {
    "requests": "Requests that ended, by route and result.",
    "wasted_tokens": "Tokens generated but not delivered.",
    "retries": "Attempts started again after a failure.",
    "late_parts_dropped": "Parts of abandoned attempts that were dropped.",
    "calls": "Requests with a route and a team, by route.",
    "answers": "Answers of runners that were given to callers, by route.",
    "repeats": "Requests sent to a further runner, by route.",
    "repeats_denied": "Retries that the shared retry budget denied, by pool.",
    "refusals": "Requests answered with an error of this host.",
    "trials": "Requests sent to try a refused content or prompt part, by result.",
    "orphaned_requests": "Requests answered because an error left them no owner.",
    "discarded_requests": "Requests received behind the close of a connection.",
    "store_restores": "Restores of the store from a copy that this host has seen.",
    "caller_faults": "Connections of callers on which nothing more was read, by cause.",
}
LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.45, 0.9, 2, 5, 10, 30, 60)


class Metrics:
    """The metrics of one daemon, in a registry of their own.

    Separate registries allow several daemons in one process. Labels are routes,
    error codes and causes, never teams or keys, so the number of time series is
    bounded by the tables. A counter without an entry in ``LABELS_BY_COUNTER`` is
    counted in ``figshunt_events`` under its name.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._counters = {
            name: Counter(
                f"figshunt_{name}",
                HELP_BY_COUNTER[name],
                labels,
                registry=self._registry,
            )
            for name, labels in LABELS_BY_COUNTER.items()
        }
        self._other_events = Counter(
            "figshunt_events",
            "Events that have no counter of their own.",
            ("event",),
            registry=self._registry,
        )
        self._store_era = Gauge(
            "figshunt_store_era",
            "Era of the store, which increases with each restore from a copy.",
            registry=self._registry,
        )
        self._latency = Histogram(
            "figshunt_latency_seconds",
            "Time to the first token of streams, to the whole answer of others.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )

    def set_store_era(self, era: StoreEra) -> None:
        """Report an era; it rises with each restore of the store from a copy."""
        self._store_era.set(era)

    def count(self, effect: CountEvent) -> None:
        """Add an amount to a counter."""
        counter = self._counters.get(effect.counter)
        if counter is None:
            self._other_events.labels(effect.counter).inc(effect.amount)
        else:
            labelled = counter.labels(**effect.labels) if effect.labels else counter
            labelled.inc(effect.amount)

    def observe(self, effect: ObserveDuration) -> None:
        """Add one duration to the latency histogram."""
        self._latency.labels(**effect.labels).observe(effect.duration_ms / 1000)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
