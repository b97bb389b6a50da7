"""Runs all tests; only tests that are listed in KNOWN-RED.txt may fail."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent


def read_known_failures() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists as known failures."""
    lines = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines()
    entries = (line.split("|")[0].strip() for line in lines)
    return frozenset(entry for entry in entries if entry and not entry.startswith("#"))


def get_test_case_id(test: unittest.TestCase) -> str:
    """Return the id of a test; for a subtest, that of the test which contains it."""
    return getattr(test, "test_case", test).id()


def main() -> int:
    """Run the tests, print known failures and a summary, and return the exit status."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern, top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    known_failures = read_known_failures()
    failed = {get_test_case_id(test) for test, _ in result.failures + result.errors}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    unexpected_failures = failed - known_failures
    for test_id in sorted(failed & known_failures):
        print(f"known red: {test_id}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {len(unexpected_failures)} failed, {skipped} skipped")
    return 1 if unexpected_failures or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
