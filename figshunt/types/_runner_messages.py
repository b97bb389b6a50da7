"""Peer messages about runners."""

from dataclasses import dataclass

from figshunt.types._identifiers import RunnerId, StartIdentity
from figshunt.types._peer_messages import PeerMessage
from figshunt.types._states import ColdEvidence


@dataclass(frozen=True, slots=True)
class RunnerNotice(PeerMessage):
    """The sender's own observations of one runner.

    With ``evidence``, the runner's first ``completed`` completions since
    ``start`` no longer count as warm-up. ``leaving`` is true if the sender
    itself observed that the runner is leaving; it expires unless repeated.
    """

    runner_id: RunnerId
    start: StartIdentity | None
    completed: int
    evidence: ColdEvidence | None
    leaving: bool
