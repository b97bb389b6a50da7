"""Assembles the filter pipeline of one daemon."""

import random
from collections.abc import Sequence

from figshunt.claims import (
    AnswerFilter,
    AnswerStore,
    ClaimantFilter,
    ClaimRecords,
    EstablishmentFilter,
    GrantLedger,
    VoterFilter,
)
from figshunt.control import (
    MembershipFilter,
    OutcomeFilter,
    PauseFilter,
    ReadinessFilter,
    RevisionFilter,
    RunnerFilter,
    SuspicionFilter,
    TableReaderFilter,
)
from figshunt.core._request_recovery import RequestRecovery
from figshunt.pipeline import Filter, Pipeline, RecoveringPipeline
from figshunt.policy import (
    LeastLoaded,
    PolicyBuilder,
    RetryBudget,
    ServiceEstimates,
    TieredFair,
)
from figshunt.request import (
    AdmissionFilter,
    AttemptFilter,
    OpenRequestsFilter,
    QuarantineFilter,
    RouteFilter,
    ScheduleFilter,
    TableTeams,
    TeamFilter,
)
from figshunt.slots import SlotFilter, SynchronizedCapacity
from figshunt.types import Effect, HostName, Message, Moment, SeatNumber


class Core:
    """Makes the decisions of one daemon from messages and the time alone.

    It does no input or output. The surrounding services pass messages in and
    carry out the returned effects.
    """

    def __init__(
        self,
        host: HostName,
        own_seat: SeatNumber,
        seats: Sequence[SeatNumber],
        random_source: random.Random,
        build_policy: PolicyBuilder = TieredFair,
    ) -> None:
        self.membership = MembershipFilter(own_seat, seats, random_source)
        self.revisions = RevisionFilter(self.membership)
        self.outcomes = OutcomeFilter(host, self.membership, self.revisions)
        self.table_reader = TableReaderFilter(self.membership, self.revisions)
        self.runners = RunnerFilter(self.revisions, self.membership)
        self.establishment = EstablishmentFilter(own_seat, seats, random_source)
        self.suspicions = SuspicionFilter(self.membership)
        self.slots = SlotFilter(
            self.revisions,
            self.runners,
            self.membership,
            LeastLoaded(random_source),
        )
        teams = TableTeams(self.revisions)
        estimates = ServiceEstimates()
        self.schedule = ScheduleFilter(
            build_policy(teams, estimates),
            SynchronizedCapacity(self.slots, self.revisions.is_synchronized),
            self.revisions,
            teams,
            estimates,
        )
        self.attempts = AttemptFilter(self.revisions, RetryBudget())
        claim_records = ClaimRecords()
        quarantine = QuarantineFilter(self.suspicions)
        claimant = ClaimantFilter(self.establishment, claim_records)
        answers = AnswerFilter(
            self.establishment, claim_records, AnswerStore(), random_source
        )
        filters: list[Filter] = [
            PauseFilter(),
            self.table_reader,
            self.revisions,
            self.membership,
            self.outcomes,
            self.runners,
            self.suspicions,
            self.establishment,
            VoterFilter(self.establishment, GrantLedger()),
            ReadinessFilter(self.establishment),
            TeamFilter(self.revisions),
            RouteFilter(self.revisions),
            OpenRequestsFilter(),
            quarantine,
            AdmissionFilter(teams, self.membership, self.schedule, estimates),
            claimant,
            self.schedule,
            self.slots,
            answers,
            self.attempts,
        ]
        self._pipeline = RecoveringPipeline(
            Pipeline(filters),
            RequestRecovery(
                self.attempts, (quarantine, claimant, self.schedule, answers)
            ),
        )

    def handle(self, message: Message, now: Moment) -> list[Effect]:
        """Process one message and return the effects in order.

        :raises FilterError: if a filter failed; its effects include the recovery.
        """
        return self._pipeline.handle(message, now)

    def handle_lost_effect(self, effect: Effect, now: Moment) -> list[Effect]:
        """Return what follows if an effect could not be carried out."""
        return self._pipeline.handle_lost_effect(effect, now)
