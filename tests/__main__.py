"""Runs all tests; only those listed in KNOWN-RED.txt may fail."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent


def read_known_red() -> frozenset[str]:
    """Return the ids of the tests that are known to fail."""
    lines = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines()
    entries = (line.split("|")[0].strip() for line in lines)
    return frozenset(one for one in entries if one and not one.startswith("#"))


def whole_test_id(test: unittest.TestCase) -> str:
    """Return the id of a test; that of the whole test for a subtest."""
    return getattr(test, "test_case", test).id()


def main() -> int:
    """Run the tests, print one closing line, and return the exit status."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern, top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    known_red = read_known_red()
    red = {whole_test_id(test) for test, _ in result.failures + result.errors}
    red |= {test.id() for test in result.unexpectedSuccesses}
    unexpected = red - known_red
    for test_id in sorted(red & known_red):
        print(f"known red: {test_id}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(red) - skipped
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    return 1 if unexpected or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
