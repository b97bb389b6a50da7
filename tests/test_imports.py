"""Packages that make decisions must not depend on encodings or transports."""

import ast
import unittest
from pathlib import Path

SOURCE_DIRECTORY = Path(__file__).parent.parent / "figshunt"
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
    "exchange",
)
FORBIDDEN_MODULES = frozenset(
    {"aiohttp", "asyncio", "cbor2", "eliot", "json", "json5", "mode", "websockets"}
)


def find_imported_packages(path: Path) -> set[str]:
    imported_packages = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            imported_packages.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported_packages.add(node.module.split(".")[0])
    return imported_packages


class ImportsTest(unittest.TestCase):
    """Guards against a decision module that imports a codec or a transport."""

    def test_decision_packages_import_no_codec_or_transport(self) -> None:
        for package_name in DECISION_PACKAGES:
            for path in sorted((SOURCE_DIRECTORY / package_name).glob("*.py")):
                with self.subTest(path=path.name, package=package_name):
                    self.assertFalse(find_imported_packages(path) & FORBIDDEN_MODULES)
