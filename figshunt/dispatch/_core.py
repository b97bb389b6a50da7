"""Assembles the filter pipeline of an entry host."""

import random

from figshunt.directory import DirectoryFilter
from figshunt.dispatch.admission._crash_filter import CrashFilter
from figshunt.dispatch.admission._drain_filter import DrainFilter
from figshunt.dispatch.admission._route_filter import RouteFilter
from figshunt.dispatch.admission._team_filter import TeamFilter
from figshunt.dispatch.attempt._call_attempt_filter import CallAttemptFilter
from figshunt.dispatch.attempt._call_recovery import CallRecovery
from figshunt.dispatch.attempt._shared_budget import SharedRetryBudget
from figshunt.dispatch.fleet._cold_limit import SharedBounds
from figshunt.dispatch.fleet._peer_filter import PeerFilter
from figshunt.dispatch.placement._placement_filter import PlacementFilter
from figshunt.pipeline import Pipeline, RecoveringPipeline
from figshunt.types import DataCentreName, Effect, HostName, Message, Moment


class DispatchCore:
    """Makes the decisions of one entry host from messages and the time alone.

    No decision waits for another host, so a host can serve requests as soon
    as it has read the published configuration.

    :param expects_peers: whether the settings name other hosts.
    """

    def __init__(
        self,
        host: HostName,
        data_centre: DataCentreName,
        bounds: SharedBounds,
        random_source: random.Random,
        expects_peers: bool = False,
    ) -> None:
        self.directory = DirectoryFilter()
        self.peers = PeerFilter(host, expects_peers)
        self.crashes = CrashFilter(host, self.peers)
        retry_budget = SharedRetryBudget(host, self.peers, bounds)
        self.placement = PlacementFilter(
            host,
            self.directory,
            self.peers,
            self.crashes,
            data_centre,
            bounds,
            retry_budget,
            random_source,
        )
        self.attempts = CallAttemptFilter(self.placement, retry_budget)
        pipeline = Pipeline(
            [
                self.directory,
                self.peers,
                RouteFilter(self.directory),
                TeamFilter(self.directory, random_source),
                DrainFilter(),
                self.crashes,
                self.placement,
                self.attempts,
            ]
        )
        self._pipeline = RecoveringPipeline(
            pipeline, CallRecovery(self.placement, self.attempts)
        )

    def handle(self, message: Message, now: Moment) -> list[Effect]:
        """Process one message and return the effects in order.

        :raises FilterError: if a filter failed; its effects include the recovery.
        """
        return self._pipeline.handle(message, now)

    def handle_lost_effect(self, effect: Effect, now: Moment) -> list[Effect]:
        """Return what follows if an effect could not be carried out."""
        return self._pipeline.handle_lost_effect(effect, now)
