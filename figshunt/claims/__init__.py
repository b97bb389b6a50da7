"""At-most-once execution of non-idempotent requests by idempotency key.

A cell has a fixed set of seats. A daemon that starts becomes the new occupant
of its seat and is identified by an incarnation. Before a daemon runs a
non-idempotent request, a majority of the seats must grant it the key of the
request. An occupant votes on keys once it is established: either it has joined,
so that a majority of the cell has sent it all earlier grants, or all seats have
founded the cell together.
"""

from figshunt.claims._answer_filter import (
    AnswerFilter,
)
from figshunt.claims._answer_store import (
    AnswerStore,
)
from figshunt.claims._claim_records import (
    ClaimRecord,
    ClaimRecords,
    ClaimState,
)
from figshunt.claims._claim_round import (
    ClaimRound,
    RoundResult,
)
from figshunt.claims._claimant_filter import (
    ClaimantFilter,
)
from figshunt.claims._establishment_filter import (
    EstablishmentFilter,
    EstablishmentState,
)
from figshunt.claims._grant_ledger import (
    GrantLedger,
)
from figshunt.claims._join_round import (
    JoinRound,
)
from figshunt.claims._key_time import (
    CLOCK_SKEW_MS,
    GRANTED_AHEAD_MS,
    KEY_WINDOW_MS,
    LedgerKey,
    parse_key,
    read_issue_ms,
)
from figshunt.claims._known_incarnations import (
    KnownIncarnations,
)
from figshunt.claims._views import (
    EstablishmentView,
)
from figshunt.claims._voter_filter import (
    VoterFilter,
)

__all__ = [
    "AnswerFilter",
    "AnswerStore",
    "CLOCK_SKEW_MS",
    "ClaimRecord",
    "ClaimRecords",
    "ClaimRound",
    "ClaimState",
    "ClaimantFilter",
    "EstablishmentFilter",
    "EstablishmentState",
    "EstablishmentView",
    "GRANTED_AHEAD_MS",
    "GrantLedger",
    "JoinRound",
    "KEY_WINDOW_MS",
    "KnownIncarnations",
    "LedgerKey",
    "RoundResult",
    "VoterFilter",
    "parse_key",
    "read_issue_ms",
]
