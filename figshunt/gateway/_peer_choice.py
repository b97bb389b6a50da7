"""Decides whether published items are read from a peer, and from which one."""

import random
from collections.abc import Sequence

from figshunt.dispatch import HostStatus
from figshunt.gateway._directory_reader import LARGE_FLEET_HOSTS
from figshunt.types import NO_VERSION, Version

# How long this host may lack a version that a peer has before it reads from one. In
# a large fleet hosts gather changes for up to half a second before they read them.
BEHIND_MS = 300
LARGE_FLEET_BEHIND_MS = 700

# A peer that failed isn't chosen for this time if there is another one. Until then
# its status has told that it can't read the store, or it is no longer heard.
AVOIDANCE_MS = 2_000


class PeerChoice:
    """Chooses peers to read from, for hosts that the store turns away together.

    At most times a single host of a large fleet has the newest version. If all
    others chose it, its readers would wait for each other, so that a host chooses
    from the newer half of those that read the store: they will have the newest
    version themselves within the time for which they gather changes.

    A host is behind if it hasn't reached, in time, one certain version that a peer
    had. In a fleet whose runners write all the time some peer is always newer.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._awaited_version = NO_VERSION
        self._awaited_since_ms = 0
        self._avoided_until_ms_by_address: dict[str, int] = {}

    def is_behind(
        self, own_version: Version, statuses: Sequence[HostStatus], now_ms: int
    ) -> bool:
        """Return whether this host has lacked a version of a peer for too long."""
        # Plain pairs, as this check runs ten times a second over the whole fleet.
        pairs = [
            (status.era, status.revision)
            for status in statuses
            if status.can_read_store
        ]
        newest_version = Version.of(*max(pairs)) if pairs else NO_VERSION
        if own_version >= self._awaited_version:
            self._awaited_version = newest_version
            self._awaited_since_ms = now_ms
        # The peer that had the awaited version may be gone.
        self._awaited_version = min(self._awaited_version, newest_version)
        if own_version >= self._awaited_version:
            return False
        is_large = len(pairs) >= LARGE_FLEET_HOSTS
        limit_ms = LARGE_FLEET_BEHIND_MS if is_large else BEHIND_MS
        return now_ms - self._awaited_since_ms >= limit_ms

    def choose(
        self,
        own_version: Version,
        can_read_store: bool,
        statuses: Sequence[HostStatus],
        now_ms: int,
    ) -> str | None:
        """Return the address of a peer to read from, or ``None`` if none is needed."""
        is_behind = self.is_behind(own_version, statuses, now_ms)
        if can_read_store and not is_behind:
            return None
        # A peer's status is older than its copy, so that its revision may seem lower.
        needed_version = (
            self._awaited_version if is_behind else Version.of(own_version.era, 0)
        )
        candidates = [
            status
            for status in statuses
            if status.can_read_store and status.store_version >= needed_version
        ]
        if own_version == NO_VERSION:
            # A host without a copy begins with a newest one, as an older copy may
            # have runners that have left and keys that were withdrawn. While no
            # host can read the store it uses the items that its peers read last.
            candidates = self._newest(candidates) or self._newest(statuses)
        candidates = self._without_avoided(candidates, now_ms)
        if not candidates:
            return None
        versions = sorted(status.store_version for status in candidates)
        newer_half = [
            status
            for status in candidates
            if status.store_version >= versions[len(versions) // 2]
        ]
        return self._random.choice(newer_half).address

    def avoid(self, address: str, now_ms: int) -> None:
        """Choose other peers for a while, as this one failed or is out of date."""
        self._avoided_until_ms_by_address[address] = now_ms + AVOIDANCE_MS

    def _without_avoided(
        self, candidates: list[HostStatus], now_ms: int
    ) -> list[HostStatus]:
        """Return the peers that didn't fail lately, or all if each of them did."""
        for address, until_ms in tuple(self._avoided_until_ms_by_address.items()):
            if until_ms <= now_ms:
                del self._avoided_until_ms_by_address[address]
        usable = [
            status
            for status in candidates
            if status.address not in self._avoided_until_ms_by_address
        ]
        return usable or candidates

    def _newest(self, statuses: Sequence[HostStatus]) -> list[HostStatus]:
        newest = max((status.store_version for status in statuses), default=NO_VERSION)
        return [
            status
            for status in statuses
            if status.store_version == newest and newest > NO_VERSION
        ]
