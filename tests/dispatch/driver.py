"""A driver that passes messages to the core of one entry host."""

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
    SharedBounds,
    StartCallAttempt,
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
    Version,
)
from tests.builders import build_configuration

EffectType = TypeVar("EffectType", bound=Effect)


class CoreDriver:
    """One core with a manual clock, which records all effects."""

    def __init__(
        self,
        *runners: PublishedRunner,
        configuration: Configuration | None = None,
        seed: int = 1,
        host: str = "h1",
        bounds: SharedBounds = SharedBounds(),
        expects_peers: bool = False,
    ) -> None:
        self.clock = ManualClock(Moment(100_000, 0))
        self.core = DispatchCore(
            HostName(host),
            DataCentreName("a"),
            bounds,
            random.Random(seed),
            expects_peers,
        )
        self.effects: list[Effect] = []
        self._revision = 10
        self.handle(TimerDue())
        self.handle(SourceStateChanged(True, "test"))
        self.publish(configuration or build_configuration())
        for runner in runners:
            self.list_runner(runner)
        self.effects.clear()

    def handle(self, message: Message) -> list[Effect]:
        """Process one message and return its effects."""
        effects = self.core.handle(message, self.clock.now())
        self.effects.extend(effects)
        return effects

    def _next_version(self) -> Version:
        self._revision += 1
        return Version.of(0, self._revision)

    def publish(self, configuration: Configuration) -> list[Effect]:
        """Publish a configuration under the next revision."""
        return self.handle(ConfigurationPublished(self._next_version(), configuration))

    def list_runner(self, runner: PublishedRunner) -> list[Effect]:
        """Publish a runner's directory entry."""
        return self.handle(RunnerListed(self._next_version(), runner.runner_id, runner))

    def unlist_runner(self, runner_id: str, after_outage: bool = False) -> None:
        """Remove a runner's directory entry."""
        self.handle(
            RunnerUnlisted(self._next_version(), RunnerId(runner_id), after_outage)
        )

    def call(self, call: Call) -> list[Effect]:
        """Process the arrival of a call at the current time."""
        return self.handle(CallArrived(replace(call, received=self.clock.now())))

    def advance(self, duration_ms: int) -> list[Effect]:
        """Advance the clock and process a timer message."""
        self.clock.advance(duration_ms)
        return self.handle(TimerDue())

    def last_attempt(self) -> StartCallAttempt:
        """Return the most recent attempt."""
        return self.effects_of(StartCallAttempt)[-1]

    def effects_of(self, effect_type: type[EffectType]) -> list[EffectType]:
        """Return all recorded effects of one type."""
        return select_effects(self.effects, effect_type)


def select_effects(
    effects: Iterable[Effect], effect_type: type[EffectType]
) -> list[EffectType]:
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, effect_type)]
