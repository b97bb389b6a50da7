"""The filter protocol and the pipeline that runs filters."""

from figshunt.pipeline._filter import (
    Feedback,
    Filter,
    Output,
)
from figshunt.pipeline._pipeline import (
    FilterError,
    Pipeline,
)
from figshunt.pipeline._recovery import (
    RecoveringPipeline,
    RecoveryRules,
)
from figshunt.pipeline._wake_queue import (
    WakeQueue,
)

__all__ = [
    "Feedback",
    "Filter",
    "FilterError",
    "Output",
    "Pipeline",
    "RecoveringPipeline",
    "RecoveryRules",
    "WakeQueue",
]
