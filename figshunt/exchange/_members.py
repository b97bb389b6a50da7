"""The hosts that this host knows, and the relay of each data centre."""

from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from figshunt.dispatch import HostStatus
from figshunt.types import DataCentreName, HostName

# A member that was not heard of for this long is no relay if there is another one.
# It exceeds two intervals between the heartbeats that cross data centres.
SILENCE_MS = 2_200

# A member is forgotten after this time without a status.
MEMBER_EXPIRY_MS = 15_000

# More members than this are not recorded. It bounds what datagrams with made-up hosts
# can add.
MAX_MEMBERS = 1_000

# What is derived from the list is derived anew after this time, as the cost grows
# with the fleet and a datagram needs it.
SUMMARY_INTERVAL_MS = 100


class RelayRank(NamedTuple):
    """The order in which hosts become relays: those with the fastest links come first.

    A relay sends what its data centre tells to each host there, which fills a slow
    link and delays the requests that the relay serves itself.
    """

    inverse_link_mbps: int
    digest: bytes

    @classmethod
    def of(cls, host: HostName, link_mbps: int) -> "RelayRank":
        """Return the rank of a host whose link carries so much, in Mbit/s."""
        return cls(-link_mbps, blake2b(host.encode(), digest_size=8).digest())


@dataclass(frozen=True, slots=True)
class Member:
    """Another host, its latest status without notices, and when that arrived.

    The member with the lowest rank is the relay of its data centre.
    """

    status: HostStatus
    heard_ms: int
    rank: RelayRank

    @property
    def address(self) -> str:
        """Return the member's IP address."""
        return self.status.address


@dataclass(frozen=True, slots=True)
class MemberSummary:
    """What is derived from all members, at the time ``made_ms``.

    The relay of a data centre in which nobody was heard of lately is the member that
    was heard of last.
    """

    made_ms: int
    fresh: Sequence[Member]
    relays_by_data_centre: Mapping[DataCentreName, Member]


class Members:
    """Owns the list of known members.

    The relay of a data centre is the member with the fastest link among those heard of
    lately, or of several the one with the lowest hash. All hosts that know the same
    members choose the same relay, without an election, and a relay that falls silent is
    replaced by the next one.
    """

    def __init__(self) -> None:
        self._members_by_host: dict[HostName, Member] = {}
        self._summary = MemberSummary(-SUMMARY_INTERVAL_MS, (), {})

    def __len__(self) -> int:
        return len(self._members_by_host)

    def __contains__(self, host: HostName) -> bool:
        return host in self._members_by_host

    def record(self, status: HostStatus, now_ms: int) -> None:
        """Record the status of a member unless one of a later process is known."""
        known = self._members_by_host.get(status.host)
        if known is not None and known.status.incarnation > status.incarnation:
            return
        if known is None and len(self) >= MAX_MEMBERS:
            return
        if known is not None and known.status.link_mbps == status.link_mbps:
            rank = known.rank
        else:
            rank = RelayRank.of(status.host, status.link_mbps)
        self._members_by_host[status.host] = Member(
            status.without_notices(), now_ms, rank
        )

    def expire(self, now_ms: int) -> None:
        """Forget the members that have been silent for too long."""
        for host, member in tuple(self._members_by_host.items()):
            if now_ms - member.heard_ms > MEMBER_EXPIRY_MS:
                del self._members_by_host[host]

    def all(self) -> Iterable[Member]:
        """Return all members."""
        return self._members_by_host.values()

    def fresh(self, now_ms: int) -> Sequence[Member]:
        """Return the members that were heard of lately."""
        return self._current_summary(now_ms).fresh

    def in_data_centre(self, data_centre: DataCentreName) -> list[Member]:
        """Return the members in a data centre."""
        return [
            member for member in self.all() if member.status.data_centre == data_centre
        ]

    def data_centres(self) -> Set[DataCentreName]:
        """Return the data centres of all members."""
        return {member.status.data_centre for member in self.all()}

    def relay(self, data_centre: DataCentreName, now_ms: int) -> Member | None:
        """Return the relay of a data centre, or ``None`` if no member is there."""
        return self._current_summary(now_ms).relays_by_data_centre.get(data_centre)

    def _current_summary(self, now_ms: int) -> MemberSummary:
        if now_ms - self._summary.made_ms >= SUMMARY_INTERVAL_MS:
            fresh = tuple(
                member
                for member in self.all()
                if now_ms - member.heard_ms <= SILENCE_MS
            )
            self._summary = MemberSummary(now_ms, fresh, self._choose_relays(fresh))
        return self._summary

    def _choose_relays(self, fresh: Iterable[Member]) -> dict[DataCentreName, Member]:
        relays = {}
        for member in sorted(self.all(), key=lambda member: member.heard_ms):
            relays[member.status.data_centre] = member
        for member in sorted(fresh, key=lambda member: member.rank, reverse=True):
            relays[member.status.data_centre] = member
        return relays
