"""Small stand-ins of the platform and of runners, for tests and the demo."""

from figshunt.standins._configuration_service import (
    ConfigurationService,
)
from figshunt.standins._model_engine import (
    EngineProfile,
    ModelEngine,
)
from figshunt.standins._plain_service import (
    PlainService,
)
from figshunt.standins._web_standin import (
    WebStandin,
)

__all__ = [
    "ConfigurationService",
    "EngineProfile",
    "ModelEngine",
    "PlainService",
    "WebStandin",
]
