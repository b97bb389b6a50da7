"""What daemons of one cell tell each other about runners."""

from dataclasses import dataclass

from figshunt.types._identifiers import RunnerId, StartIdentity
from figshunt.types._peer_messages import PeerMessage
from figshunt.types._states import ColdEvidence


@dataclass(frozen=True, slots=True)
class RunnerNotice(PeerMessage):
    """First-hand knowledge of the sender about one runner.

    With ``evidence``, the runner's first ``completed`` completions since
    ``start`` no longer count as warm-up. ``leaving`` is the sender's own
    view; it holds for a bounded time unless it is repeated.
    """

    runner_id: RunnerId
    start: StartIdentity | None
    completed: int
    evidence: ColdEvidence | None
    leaving: bool
