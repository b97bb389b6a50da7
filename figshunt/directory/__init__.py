"""Published routes, pools, teams and runners, and the state in force on a host."""

from figshunt.directory._directory_filter import (
    RELIST_GRACE_MS,
    REMOVED_ENTRY_HOLD_MS,
    RESTORE_GRACE_MS,
    DirectoryFilter,
    DirectoryView,
)
from figshunt.directory._messages import (
    ConfigurationPublished,
    ConfigurationUnreadable,
    DirectoryMessage,
    EvacuationPublished,
    RunnerLeaving,
    RunnerListed,
    RunnerUnlisted,
    SourceStateChanged,
    StoreRestored,
)
from figshunt.directory._model import (
    Configuration,
    EngineLimits,
    PoolShare,
    PublishedLimits,
    PublishedPool,
    PublishedRoute,
    PublishedRunner,
    PublishedTeam,
    Repeatability,
)
from figshunt.directory._replica import ItemReplica, PublishedItem

__all__ = [
    "RELIST_GRACE_MS",
    "REMOVED_ENTRY_HOLD_MS",
    "RESTORE_GRACE_MS",
    "Configuration",
    "ConfigurationPublished",
    "ConfigurationUnreadable",
    "DirectoryFilter",
    "DirectoryMessage",
    "DirectoryView",
    "EngineLimits",
    "EvacuationPublished",
    "ItemReplica",
    "PoolShare",
    "PublishedItem",
    "PublishedLimits",
    "PublishedPool",
    "PublishedRoute",
    "PublishedRunner",
    "PublishedTeam",
    "Repeatability",
    "RunnerLeaving",
    "RunnerListed",
    "RunnerUnlisted",
    "SourceStateChanged",
    "StoreRestored",
]
