"""The reference page lists every document key, error code and metric."""

import dataclasses
import unittest
from pathlib import Path

from figshunt.runtime import Metrics
from figshunt.settings import DaemonSettings, LimitSettings
from figshunt.tables import Pool, Route, Team
from figshunt.types import ErrorCode

REFERENCE_PAGE = Path(__file__).parent.parent / "docs" / "reference.md"
# Fields whose keys have other names in the documents.
DERIVED_FIELDS = frozenset({"runner_ids", "limits"})


class ReferenceTest(unittest.TestCase):
    """Guards against a key, error code or metric missing from the reference page."""

    def test_reference_lists_every_setting_key_code_and_metric(self) -> None:
        reference_text = REFERENCE_PAGE.read_text(encoding="utf-8")
        models = (DaemonSettings, LimitSettings, Pool, Route, Team)
        required_names = {
            field.name for model in models for field in dataclasses.fields(model)
        }
        required_names |= {code.value for code in ErrorCode}
        exposition = Metrics().exposition().decode()
        for line in exposition.splitlines():
            if line.startswith("# TYPE figshunt_") and not line.endswith("gauge"):
                required_names.add(line.split()[2])
        for name in sorted(required_names - DERIVED_FIELDS):
            with self.subTest(name):
                self.assertRegex(reference_text, rf"[`.]{name}`")
