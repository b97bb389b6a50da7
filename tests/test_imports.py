"""Decisions must not depend on encodings or transports."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "figshunt"
DECISION_PACKAGES = (
    "types",
    "pipeline",
    "tables",
    "settings",
    "policy",
    "control",
    "claims",
    "slots",
    "request",
    "core",
    "report",
    "directory",
    "dispatch",
)
FORBIDDEN = frozenset(
    {"aiohttp", "asyncio", "cbor2", "eliot", "json", "json5", "mode", "websockets"}
)


def imported_roots(path: Path) -> set[str]:
    roots = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            roots.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            roots.add(node.module.split(".")[0])
    return roots


class ImportsTest(unittest.TestCase):
    """Guards against a decision module that needs a socket or a codec."""

    def test_decisions_import_no_encoders(self) -> None:
        for package in DECISION_PACKAGES:
            for path in sorted((PACKAGE / package).glob("*.py")):
                with self.subTest(path=path.name, package=package):
                    self.assertFalse(imported_roots(path) & FORBIDDEN)
