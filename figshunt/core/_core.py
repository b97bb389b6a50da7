"""Assembles the filters of one daemon."""

import random
from collections.abc import Sequence

from figshunt.control import (
    MembershipFilter,
    RevisionFilter,
    RunnerFilter,
)
from figshunt.pipeline import Filter, Pipeline
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
    RouteFilter,
    ScheduleFilter,
    TableTeams,
    TeamFilter,
)
from figshunt.slots import SlotFilter
from figshunt.types import Effect, Message, Moment, SeatNumber


class Core:
    """The decisions of one daemon: a function of messages and time.

    It does no input or output; the services around it feed messages and
    carry out the effects.
    """

    def __init__(
        self,
        own_seat: SeatNumber,
        seats: Sequence[SeatNumber],
        random_source: random.Random,
        build_policy: PolicyBuilder = TieredFair,
    ) -> None:
        self.revisions = RevisionFilter()
        self.membership = MembershipFilter(own_seat, seats)
        self.runners = RunnerFilter(self.revisions)
        self.slots = SlotFilter(
            self.revisions, self.runners, self.membership, LeastLoaded(random_source)
        )
        teams = TableTeams(self.revisions)
        estimates = ServiceEstimates()
        self.schedule = ScheduleFilter(
            build_policy(teams, estimates), self.slots, self.revisions, teams, estimates
        )
        self.attempts = AttemptFilter(self.revisions, RetryBudget())
        filters: list[Filter] = [
            self.revisions,
            self.membership,
            self.runners,
            TeamFilter(self.revisions),
            RouteFilter(self.revisions),
            AdmissionFilter(teams, self.membership, self.schedule, estimates),
            self.schedule,
            self.slots,
            self.attempts,
        ]
        self._pipeline = Pipeline(filters)

    def handle(self, message: Message, now: Moment) -> list[Effect]:
        """Process one message and return the effects in order."""
        return self._pipeline.handle(message, now)
