"""Peer messages about content that may crash runners."""

from dataclasses import dataclass

from figshunt.types._identifiers import Fingerprint, RunnerId, StartIdentity
from figshunt.types._peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of a runner, named by what it was before the crash."""

    runner_id: RunnerId
    start: StartIdentity


@dataclass(frozen=True, slots=True)
class SuspicionNotice(PeerMessage):
    """Runners lost while this content was running.

    ``crashes`` are those of the ``losses`` that are known to have crashed.
    Receivers form the unions, so repeats and reordering do no harm.
    ``cleared`` says that the content has since run to its end.
    """

    fingerprint: Fingerprint
    losses: tuple[Crash, ...]
    crashes: tuple[Crash, ...]
    cleared: bool
