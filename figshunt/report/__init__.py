"""The report: whether the outcomes held, as values, text and a page."""

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
    COLUMNS,
    format_share,
    format_text,
)

__all__ = [
    "COLUMNS",
    "ClassLine",
    "FleetReport",
    "HostLine",
    "build_report",
    "format_html",
    "format_share",
    "format_text",
    "sum_outcomes",
]
