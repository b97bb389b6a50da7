"""Enumerations of states and causes in messages and errors."""

from enum import Enum


class Step(Enum):
    """Filter or service in which an event or error occurred."""

    PAUSE = "pause"
    OUTCOME = "outcome"
    READINESS = "readiness"
    REVISION = "revision"
    MEMBERSHIP = "membership"
    RUNNER = "runner"
    SUSPICION = "suspicion"
    ESTABLISHMENT = "establishment"
    VOTER = "voter"
    CLAIMANT = "claimant"
    TEAM = "team"
    ROUTE = "route"
    QUARANTINE = "quarantine"
    ADMISSION = "admission"
    SCHEDULE = "schedule"
    SLOT = "slot"
    ANSWER = "answer"
    ATTEMPT = "attempt"
    CALLER_LISTENER = "caller_listener"
    ADMIN_LISTENER = "admin_listener"
    RUNNER_CLIENT = "runner_client"
    PEER_LINK = "peer_link"
    TABLE_SOURCE = "table_source"
    HOST_LIST = "host_list"
    SETTINGS = "settings"
    DAEMON = "daemon"
    DIRECTORY = "directory"
    DRAIN = "drain"
    PEERS = "peers"
    PLACEMENT = "placement"
    FRONT_LISTENER = "front_listener"
    RUNNER_CALLER = "runner_caller"
    STORE = "store"


class RunOutcome(Enum):
    """Whether a request was run, as far as it is known."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class PoolKind(Enum):
    """Kind of the runners of a pool."""

    ENGINE = "engine"
    PLAIN = "plain"


class RunnerPhase(Enum):
    """Phase of a runner, which determines how much work it may receive.

    ``COLD``, ``WARMING`` and ``WARM`` runners receive work up to a limit that
    grows with the work that they have completed. ``LEAVING`` and ``LOST`` runners
    and those in a data centre that is ``OUT`` receive no new work.
    """

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    LEAVING = "leaving"
    OUT = "out"
    LOST = "lost"


class DataCentreState(Enum):
    """Published state of a data centre."""

    IN = "in"
    OUT = "out"


class HostState(Enum):
    """State of a host or runner in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


class ColdEvidence(Enum):
    """Kind of evidence that a runner may have lost its warm state.

    A ``REPEATED_NOTICE`` informs a newly connected peer of earlier evidence.
    """

    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_RESET = "connection_reset"
    REPORTS_LOST = "reports_lost"
    START_CHANGED = "start_changed"
    TOKEN_TIME_JUMP = "token_time_jump"
    REPEATED_NOTICE = "told_again"


class AttemptFailure(Enum):
    """Reason why an attempt ended without a complete answer."""

    REFUSED = "refused"
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    OVERLOADED = "overloaded"
    PROTOCOL = "protocol"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"


class SendState(Enum):
    """Whether any byte of the request may have reached the runner."""

    UNSENT = "unsent"
    MAY_HAVE_ARRIVED = "may_have_arrived"


class CancelReason(Enum):
    """Reason why the daemon cancels an attempt."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    PREEMPTED = "preempted"
    LEASE_ENDED = "lease_ended"
    PROTOCOL = "protocol"
    SHUTDOWN = "shutdown"
    INTERNAL = "internal"


class TableSourceKind(Enum):
    """Source from which a table revision was received."""

    SERVICE = "service"
    PEER = "peer"
