"""The routes and pools tables: model, checks and differences."""

from figshunt.tables._check import (
    CheckedTables,
    check_tables,
)
from figshunt.tables._difference import (
    describe_difference,
)
from figshunt.tables._fields import (
    Fault,
    FaultList,
    FieldReader,
    describe,
)
from figshunt.tables._model import (
    Pool,
    Route,
    Runner,
    Tables,
    Team,
)

__all__ = [
    "CheckedTables",
    "Fault",
    "FaultList",
    "FieldReader",
    "Pool",
    "Route",
    "Runner",
    "Tables",
    "Team",
    "check_tables",
    "describe",
    "describe_difference",
]
