"""What hosts send to each other."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from figshunt.dispatch import HostStatus
from figshunt.types import DataCentreName, HostName

# Keeps a datagram below the usual packet size. A status without notices counts as
# one, and so does each notice.
MAX_BUNDLE_WEIGHT = 12


class BundlePurpose(Enum):
    """What the receiver of a bundle does with it.

    A bundle to ``FORWARD`` is also sent on to other hosts. One to ``INTRODUCE``
    names members that the receiver may not know; it doesn't show that they live.
    """

    INFORM = "inform"
    FORWARD = "forward"
    INTRODUCE = "introduce"


@dataclass(frozen=True, slots=True)
class Bundle:
    """Statuses that travel in one datagram.

    ``sender`` and ``data_centre`` are those of the host that sends the datagram,
    which need not be in the statuses.
    """

    sender: HostName
    data_centre: DataCentreName
    purpose: BundlePurpose
    statuses: tuple[HostStatus, ...]


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A bundle, and the IP addresses of its receivers."""

    addresses: tuple[str, ...]
    bundle: Bundle


def split_statuses(statuses: Sequence[HostStatus]) -> Iterator[tuple[HostStatus, ...]]:
    """Yield the statuses in groups that fit into one datagram each."""
    group: list[HostStatus] = []
    weight = 0
    for status in statuses:
        added_weight = 1 + status.notice_count
        if group and weight + added_weight > MAX_BUNDLE_WEIGHT:
            yield tuple(group)
            group, weight = [], 0
        group.append(status)
        weight += added_weight
    if group:
        yield tuple(group)
