"""Settings files that the platform writes."""

import tempfile
import unittest
from pathlib import Path

from figshunt.platform import read_platform_settings
from figshunt.types import FigshuntError
from tests.gateway.fixture import write_settings

VALID_BY_INVALID = {
    'front = "127.0.0.1"': 'front = "127.0.0.1:0"',
    "front = 5": 'front = "127.0.0.1:0"',
    "portRange = []": "portRange = [0, 0]",
    "seeds = [5]": "seeds = []",
    "graceS = inf": "graceS = 8",
    "[[limits]]": "[limits]",
    "linkMbps = []": "linkMbps = 1000.0",
}


class PlatformSettingsTest(unittest.TestCase):
    def test_fields_of_any_type_are_refused_with_the_error_that_keeps_the_current_ones(
        self,
    ) -> None:
        """Guards against a reload that ends the task that watches the file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "settings.toml"
        write_settings(path, 1)
        text = path.read_text()
        self.assertEqual(1_000, read_platform_settings(path).link_mbps)
        for invalid, valid in VALID_BY_INVALID.items():
            with self.subTest(invalid):
                self.assertIn(valid, text)
                path.write_text(text.replace(valid, invalid))
                with self.assertRaises(FigshuntError):
                    read_platform_settings(path)


if __name__ == "__main__":
    unittest.main()
