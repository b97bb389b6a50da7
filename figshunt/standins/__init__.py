"""In-memory stand-ins for the platform and for runners, used by tests and the demo."""

from figshunt.standins._configuration_service import (
    ConfigurationMode,
    ConfigurationService,
)
from figshunt.standins._content_digest import (
    digest_content,
)
from figshunt.standins._continuous_batch import (
    BatchProfile,
    ContinuousBatch,
)
from figshunt.standins._endless_runner import EndlessRunner
from figshunt.standins._host_list import (
    HostListService,
)
from figshunt.standins._load_history import (
    LoadHistory,
    ReportProfile,
)
from figshunt.standins._model_engine import (
    EngineProfile,
    ModelEngine,
)
from figshunt.standins._plain_service import (
    PlainProfile,
    PlainService,
)
from figshunt.standins._platform_runner import (
    Arrival,
    PlatformRunner,
    ReceivedRequest,
    RunnerBehaviour,
)
from figshunt.standins._platform_store import PlatformStore
from figshunt.standins._prefix_cache import (
    CacheEvent,
    CacheEventKind,
    PrefixCache,
)
from figshunt.standins._runner_standin import (
    RunnerStandin,
)
from figshunt.standins._runner_state import (
    LoadSnapshot,
    RunCounter,
    RunnerState,
    RunnerTotals,
)
from figshunt.standins._web_standin import (
    WebStandin,
)

__all__ = [
    "Arrival",
    "PlatformRunner",
    "PlatformStore",
    "RunnerBehaviour",
    "ReceivedRequest",
    "BatchProfile",
    "CacheEvent",
    "CacheEventKind",
    "ConfigurationMode",
    "ConfigurationService",
    "ContinuousBatch",
    "EndlessRunner",
    "EngineProfile",
    "HostListService",
    "LoadHistory",
    "LoadSnapshot",
    "ModelEngine",
    "PlainProfile",
    "PlainService",
    "PrefixCache",
    "ReportProfile",
    "RunCounter",
    "RunnerStandin",
    "RunnerState",
    "RunnerTotals",
    "WebStandin",
    "digest_content",
]
