"""The reference names every key, error code and metric that there is."""

import dataclasses
import unittest
from pathlib import Path

from figshunt.runtime import Metrics
from figshunt.settings import DaemonSettings, LimitSettings
from figshunt.tables import Pool, Route, Team
from figshunt.types import ErrorCode

REFERENCE = Path(__file__).parent.parent / "docs" / "reference.md"
# Fields that stand in the documents under another name.
DERIVED_FIELDS = frozenset({"runner_ids", "limits"})


class ReferenceTest(unittest.TestCase):
    """Guards against a key or code that operators can't look up."""

    def test_everything_is_named(self) -> None:
        text = REFERENCE.read_text(encoding="utf-8")
        models = (DaemonSettings, LimitSettings, Pool, Route, Team)
        names = {one.name for model in models for one in dataclasses.fields(model)}
        names |= {code.value for code in ErrorCode}
        exposition = Metrics().exposition().decode()
        for line in exposition.splitlines():
            if line.startswith("# TYPE figshunt_") and not line.endswith("gauge"):
                names.add(line.split()[2])
        for name in sorted(names - DERIVED_FIELDS):
            with self.subTest(name):
                self.assertRegex(text, rf"[`.]{name}`")
