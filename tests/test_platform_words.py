"""Only the adapter depends on the platform, and it makes no decisions.

The names of the platform's protocol occur only in the adapter and the stand-ins.
The adapter contains no filter and reads neither a clock nor a random source.
"""

import ast
import unittest
from pathlib import Path

SOURCE_DIRECTORY = Path(__file__).parent.parent / "figshunt"
ADAPTER_DIRECTORY = SOURCE_DIRECTORY / "platform"
PLATFORM_NAMES = (
    "X-Figshunt-",
    "FIGSHUNT_SETTINGS",
    "kv-range",
    "kv-watch",
    "op/config",
    "op/evacuate",
    "coldLeftMs",
    "apiKeys",
    "sloMs",
    "gapTargetMs",
    "maxAttempts",
)
# The stand-ins imitate the platform, so its names occur there too. The commands
# create the adapter and pass it to the gateway.
NAMING_PACKAGES = ("platform", "standins")
IMPORTING_PACKAGES = ("platform", "commands")


class PlatformIsolationTest(unittest.TestCase):
    """Guards against decisions that depend on the formats of one platform."""

    def test_platform_names_occur_only_in_adapter_and_standins(self) -> None:
        for path in sorted(SOURCE_DIRECTORY.rglob("*.py")):
            if path.relative_to(SOURCE_DIRECTORY).parts[0] in NAMING_PACKAGES:
                continue
            text = path.read_text(encoding="utf-8")
            with self.subTest(path=path.name):
                self.assertEqual([], [name for name in PLATFORM_NAMES if name in text])

    def test_only_commands_import_the_adapter(self) -> None:
        for path in sorted(SOURCE_DIRECTORY.rglob("*.py")):
            if path.relative_to(SOURCE_DIRECTORY).parts[0] in IMPORTING_PACKAGES:
                continue
            imported_modules = {
                node.module or ""
                for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
                if isinstance(node, ast.ImportFrom)
            }
            with self.subTest(path=path.name):
                self.assertFalse(
                    [
                        module
                        for module in imported_modules
                        if module.startswith("figshunt.platform")
                    ]
                )

    def test_adapter_uses_no_pipeline_clock_or_random_source(self) -> None:
        for path in sorted(ADAPTER_DIRECTORY.glob("*.py")):
            text = path.read_text(encoding="utf-8")
            with self.subTest(path=path.name):
                for forbidden in ("figshunt.pipeline", "import time", "import random"):
                    self.assertNotIn(forbidden, text)


if __name__ == "__main__":
    unittest.main()
