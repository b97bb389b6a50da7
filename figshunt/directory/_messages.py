"""Messages that carry published items into the pipeline."""

from dataclasses import dataclass

from figshunt.directory._model import Configuration, PublishedRunner
from figshunt.types import DataCentreName, Message, RunnerId


@dataclass(frozen=True, slots=True)
class ConfigurationPublished(Message):
    """A newer configuration was read; ``revision`` is the store's counter."""

    revision: int
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationUnreadable(Message):
    """The published configuration can't be used; the former one stays."""

    revision: int
    detail: str


@dataclass(frozen=True, slots=True)
class EvacuationPublished(Message):
    """A data centre was taken out of use or given back."""

    revision: int
    data_centre: DataCentreName
    is_out: bool


@dataclass(frozen=True, slots=True)
class RunnerListed(Message):
    """A runner's entry was written; ``None`` for one that can't be used."""

    revision: int
    runner_id: RunnerId
    runner: PublishedRunner | None


@dataclass(frozen=True, slots=True)
class RunnerUnlisted(Message):
    """A runner's entry is gone.

    ``after_outage`` tells that it may have lapsed because the store was
    unavailable, so that the runner gets a little time to list itself again.
    """

    revision: int
    runner_id: RunnerId
    after_outage: bool


@dataclass(frozen=True, slots=True)
class SourceStateChanged(Message):
    """Whether published items can be read, from the store or from a peer."""

    is_current: bool
    detail: str


DirectoryMessage = (
    ConfigurationPublished
    | ConfigurationUnreadable
    | EvacuationPublished
    | RunnerListed
    | RunnerUnlisted
)
