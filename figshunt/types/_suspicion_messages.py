"""Peer messages about content that may crash runners."""

from dataclasses import dataclass

from figshunt.types._identifiers import Fingerprint, RunnerId, StartIdentity
from figshunt.types._message import Message
from figshunt.types._peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash or suspected crash of a runner.

    ``start`` is the start identity of the runner before the crash.
    """

    runner_id: RunnerId
    start: StartIdentity


@dataclass(frozen=True, slots=True)
class SuspicionNotice(PeerMessage):
    """Runners whose connection was lost while they ran this content.

    ``crashes`` are those of the ``losses`` that are known to have crashed.
    Receivers merge both sets with their own, so repeated and reordered notices
    have no effect. ``cleared`` is true if the content has since run to
    completion.
    """

    fingerprint: Fingerprint
    losses: tuple[Crash, ...]
    crashes: tuple[Crash, ...]
    cleared: bool


@dataclass(frozen=True, slots=True)
class SuspicionChanged(Message):
    """What is known of content that lost runners has changed."""

    fingerprint: Fingerprint
