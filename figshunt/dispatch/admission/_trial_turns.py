"""Decides which host may try a refused suspect."""

from figshunt.dispatch.fleet._cold_limit import HostRank

# A host may start a trial for so long before it is the next one's turn.
TURN_MS = 600

# Start of each turn in which no trial begins, as hosts learn of a crash at slightly
# different times and a trial that has just begun elsewhere has to be heard of.
TURN_GUARD_MS = 150


def is_own_turn(due_ms: int, rank: HostRank, now_ms: int) -> bool:
    """Return whether this host may start a trial that is due.

    Hosts take turns from the time at which the trial became due. Those that know the
    same hosts, also some that were cut off from them for a moment, never try at once.
    """
    turn, in_turn_ms = divmod(now_ms - due_ms, TURN_MS)
    return (
        now_ms >= due_ms
        and turn % rank.hosts == rank.rank
        and in_turn_ms >= TURN_GUARD_MS
    )
