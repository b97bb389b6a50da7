"""Bounds what all hosts together send to one engine.

The bounds answer a burst that exceeds the engines: without them, requests pile up at
the engines with the lowest costs, while others begin less urgent ones. They keep one
invariant: an engine that has room for a request has room for a more urgent one of the
same size.
"""

from figshunt.directory import EngineLimits, PublishedRunner
from figshunt.dispatch._engine_load import Demand, EngineLoad

# A request leaves this share of an engine free for each more urgent priority that is in
# flight there, so that an urgent request finds a place although hosts learn of each
# other's requests late.
LEVEL_RESERVE = 0.05


def has_room(
    load: EngineLoad,
    runner: PublishedRunner,
    engine: EngineLimits,
    priority: int,
    demand: Demand,
) -> bool:
    """Return whether an engine has a slot and memory for a request.

    The request sees only those that are at least as urgent, as an engine admits it
    before the others and preempts them for it. It leaves no place free that a less
    urgent one which waits at the engine would take.
    """
    ahead = load.ahead_of(priority)
    if ahead.requests == 0:
        return True
    share = 1.0
    if not load.has_less_urgent(priority):
        share -= LEVEL_RESERVE * load.count_more_urgent_levels(priority)
    return (
        ahead.requests < runner.slots * share
        and ahead.tokens + demand.tokens <= engine.kv_tokens * share
    )
