"""The fleet report: request outcomes by class, as values, text and HTML."""

from figshunt.report._build import (
    build_report,
)
from figshunt.report._html import (
    format_html,
)
from figshunt.report._model import (
    ClassLine,
    FleetReport,
    HostLine,
    sum_outcomes,
)
from figshunt.report._text import (
    MAX_COLUMNS,
    format_share,
    format_text,
)

__all__ = [
    "MAX_COLUMNS",
    "ClassLine",
    "FleetReport",
    "HostLine",
    "build_report",
    "format_html",
    "format_share",
    "format_text",
    "sum_outcomes",
]
