"""Bounds what all hosts together send to one engine.

The bounds answer a burst that exceeds the engines: without them, requests pile up at
the engines with the lowest costs, while others begin less urgent ones. They keep one
invariant: an engine that has room for a request has room for a more urgent one of the
same size.
"""

from math import inf

from figshunt.directory import EngineLimits, PublishedRunner
from figshunt.dispatch.fleet._engine_load import EngineLoad

# A request leaves this share of an engine free for each more urgent priority that is in
# flight there, so that an urgent request finds a place although hosts learn of each
# other's requests late.
LEVEL_RESERVE = 0.05

# An engine with less than this share in use has room for all but the largest requests,
# so that other hosts need not know at once that one has ended there.
CROWDED_SHARE = 0.5


def is_crowded(load: EngineLoad, runner: PublishedRunner, engine: EngineLimits) -> bool:
    """Return whether an engine may soon have no room for some request."""
    return (
        load.requests >= CROWDED_SHARE * runner.slots
        or load.tokens >= CROWDED_SHARE * engine.kv_tokens
    )


def find_free_tokens(
    load: EngineLoad, runner: PublishedRunner, engine: EngineLimits, priority: int
) -> float | None:
    """Return the KV cache tokens that a request may take, or ``None`` without a slot.

    The request sees only those that are at least as urgent, as an engine admits it
    before the others and preempts them for it. It leaves no place free that a less
    urgent one which waits at the engine would take. An empty engine takes any request.
    """
    requests = load.requests_ahead(priority)
    if requests == 0:
        return inf
    share = 1.0
    if not load.has_less_urgent(priority):
        share -= LEVEL_RESERVE * load.count_more_urgent_levels(priority)
    if requests >= runner.slots * share:
        return None
    return engine.kv_tokens * share - load.tokens_ahead(priority)
