"""Exit status and output of the commands that run no daemon."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from figshunt.commands import main

EXAMPLE = Path(__file__).parent.parent.parent / "examples" / "adomako"
ROUTES, POOLS = str(EXAMPLE / "routes.json"), str(EXAMPLE / "pools.json")
TRACE = str(EXAMPLE.parent.parent / "traces" / "adomako-monday.jsonl")


def run(*arguments: str) -> tuple[int, str]:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            main(arguments)
        except SystemExit as end:
            return int(end.code or 0), output.getvalue()
    raise AssertionError("main() must exit")


class CommandsTest(unittest.TestCase):
    """Guards the documented exit status of each command."""

    def test_status_and_output(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            wrong = Path(folder) / "wrong.json"
            wrong.write_text('{"host": 1, "peers": [{"seat": 99}]}', encoding="utf-8")
            settings = str(EXAMPLE / "settings.json")
            tables = ("--routes", ROUTES, "--pools", POOLS)
            swapped = ("--routes", POOLS, "--pools", ROUTES)
            aimed = ("replay", "--target", "http://127.0.0.1:9", "--routes")
            cases: tuple[tuple[tuple[str, ...], int, str], ...] = (
                (("check", settings, *tables), 0, "0 faults"),
                (("check", str(wrong)), 1, "peers[0].seat: expected"),
                (("check", *swapped), 1, "routes:.routes: expected a list"),
                (("check", str(wrong) + ".missing"), 2, "can't read"),
                (("check", "--routes", ROUTES), 2, "belong together"),
                ((*aimed, POOLS, "--", TRACE), 2, "routes:.routes: expected"),
                ((*aimed, ROUTES, "--", ROUTES), 2, "can't replay"),
                ((*aimed, ROUTES, "--speed", "0", "--", TRACE), 2, "speed above 0"),
            )
            for arguments, status, text in cases:
                with self.subTest(arguments=arguments):
                    self.assertEqual(run(*arguments)[0], status)
                    self.assertIn(text, run(*arguments)[1])
