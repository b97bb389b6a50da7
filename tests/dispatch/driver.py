"""Drives the core of one entry host by hand."""

import random
from collections.abc import Iterable
from dataclasses import replace
from typing import TypeVar

from figshunt.directory import (
    Configuration,
    ConfigurationPublished,
    PublishedRunner,
    RunnerListed,
    RunnerUnlisted,
    SourceStateChanged,
)
from figshunt.dispatch import (
    Call,
    CallArrived,
    DispatchCore,
    SendCall,
    SharedBounds,
)
from figshunt.types import (
    DataCentreName,
    Effect,
    HostName,
    ManualClock,
    Message,
    Moment,
    RunnerId,
    TimerDue,
)
from tests.builders import build_configuration

EffectType = TypeVar("EffectType", bound=Effect)


class CoreDriver:
    """One core with a manual clock; remembers all effects."""

    def __init__(
        self,
        *runners: PublishedRunner,
        configuration: Configuration | None = None,
        seed: int = 1,
        host: str = "h1",
        bounds: SharedBounds = SharedBounds(),
    ) -> None:
        self.clock = ManualClock(Moment(100_000, 0))
        self.core = DispatchCore(
            HostName(host), DataCentreName("a"), bounds, random.Random(seed)
        )
        self.effects: list[Effect] = []
        self._revision = 10
        self.feed(TimerDue())
        self.feed(SourceStateChanged(True, "test"))
        self.publish(configuration or build_configuration())
        for runner in runners:
            self.list_runner(runner)
        self.effects.clear()

    def feed(self, message: Message) -> list[Effect]:
        """Feed one message and return its effects."""
        effects = self.core.handle(message, self.clock.now())
        self.effects.extend(effects)
        return effects

    def publish(self, configuration: Configuration) -> list[Effect]:
        """Publish a configuration with the next revision."""
        self._revision += 1
        return self.feed(ConfigurationPublished(self._revision, configuration))

    def list_runner(self, runner: PublishedRunner) -> list[Effect]:
        """List a runner."""
        self._revision += 1
        return self.feed(RunnerListed(self._revision, runner.runner_id, runner))

    def unlist_runner(self, runner_id: str, after_outage: bool = False) -> None:
        """Remove a runner's entry."""
        self._revision += 1
        self.feed(RunnerUnlisted(self._revision, RunnerId(runner_id), after_outage))

    def call(self, call: Call) -> list[Effect]:
        """Let a call arrive now."""
        return self.feed(CallArrived(replace(call, received=self.clock.now())))

    def pass_time(self, duration_ms: int) -> list[Effect]:
        """Let time pass and a timer fire."""
        self.clock.advance(duration_ms)
        return self.feed(TimerDue())

    def last_send(self) -> SendCall:
        """Return the last send that was asked for."""
        return self.all_of(SendCall)[-1]

    def all_of(self, kind: type[EffectType]) -> list[EffectType]:
        """Return all effects of one type."""
        return select(self.effects, kind)


def select(effects: Iterable[Effect], kind: type[EffectType]) -> list[EffectType]:
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]
