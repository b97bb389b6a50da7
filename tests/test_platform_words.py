"""The platform's names stay in its adapter, and the adapter decides nothing."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "figshunt"
ADAPTER = PACKAGE / "platform"
NAMES = (
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
# Stand-ins speak as the platform does, and the command wires the adapter.
OUTSIDE = ("platform", "standins")
IMPORTERS = ("platform", "commands")


class PlatformWordsTest(unittest.TestCase):
    """Guards against decisions that depend on one platform's formats."""

    def test_names_stand_in_the_adapter_only(self) -> None:
        for path in sorted(PACKAGE.rglob("*.py")):
            if path.relative_to(PACKAGE).parts[0] in OUTSIDE:
                continue
            text = path.read_text(encoding="utf-8")
            with self.subTest(path=path.name):
                self.assertEqual([], [name for name in NAMES if name in text])

    def test_only_the_command_imports_the_adapter(self) -> None:
        for path in sorted(PACKAGE.rglob("*.py")):
            if path.relative_to(PACKAGE).parts[0] in IMPORTERS:
                continue
            imported = {
                node.module or ""
                for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
                if isinstance(node, ast.ImportFrom)
            }
            with self.subTest(path=path.name):
                self.assertFalse(
                    [one for one in imported if one.startswith("figshunt.platform")]
                )

    def test_adapter_holds_no_filter_and_asks_no_clock(self) -> None:
        for path in sorted(ADAPTER.glob("*.py")):
            text = path.read_text(encoding="utf-8")
            with self.subTest(path=path.name):
                for word in ("figshunt.pipeline", "import time", "import random"):
                    self.assertNotIn(word, text)


if __name__ == "__main__":
    unittest.main()
