"""Messages that carry published items into the pipeline.

``may_be_copied`` is set if the store was restored from a copy, and the item may be as
old as the copy.
"""

from dataclasses import dataclass

from figshunt.directory._model import Configuration, PublishedRunner
from figshunt.types import DataCentreName, Message, RunnerId, Version


@dataclass(frozen=True, slots=True)
class ConfigurationPublished(Message):
    """A configuration was read; ``store_version`` is that of its store item."""

    store_version: Version
    configuration: Configuration
    may_be_copied: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationUnreadable(Message):
    """The published configuration is invalid; the previous one stays in force."""

    store_version: Version
    detail: str


@dataclass(frozen=True, slots=True)
class EvacuationPublished(Message):
    """A data centre was evacuated (``is_evacuated``) or put back into service."""

    store_version: Version
    data_centre: DataCentreName
    is_evacuated: bool
    may_be_copied: bool = False


@dataclass(frozen=True, slots=True)
class RunnerListed(Message):
    """A runner's entry was written; ``runner`` is ``None`` if it is invalid."""

    store_version: Version
    runner_id: RunnerId
    runner: PublishedRunner | None
    may_be_copied: bool = False


@dataclass(frozen=True, slots=True)
class RunnerUnlisted(Message):
    """A runner's entry was removed.

    ``after_outage`` is set if the entry may have expired because the store was
    unavailable. The runner then has a grace period to register again.
    """

    store_version: Version
    runner_id: RunnerId
    after_outage: bool
    may_be_copied: bool = False


@dataclass(frozen=True, slots=True)
class RunnerLeaving(Message):
    """A runner said in an answer that it is leaving.

    ``started_wall_ms`` is the start of the process that was sent the request, as in
    its entry.
    """

    runner_id: RunnerId
    started_wall_ms: int | None


@dataclass(frozen=True, slots=True)
class StoreRestored(Message):
    """The store was restored from a copy; ``store_version`` is that of its listing."""

    store_version: Version


@dataclass(frozen=True, slots=True)
class SourceStateChanged(Message):
    """Published items became readable or unreadable, from the store or a peer."""

    is_current: bool
    detail: str


DirectoryMessage = (
    ConfigurationPublished
    | ConfigurationUnreadable
    | EvacuationPublished
    | RunnerListed
    | RunnerUnlisted
)
