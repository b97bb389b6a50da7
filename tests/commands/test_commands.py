"""Exit status and output of the commands that don't run a daemon."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from figshunt.commands import main

EXAMPLE = Path(__file__).parent.parent.parent / "examples" / "adomako"
ROUTES, POOLS = str(EXAMPLE / "routes.json"), str(EXAMPLE / "pools.json")
TRACE = str(EXAMPLE.parent.parent / "traces" / "adomako-monday.jsonl")


def run_command(*arguments: str) -> tuple[int, str]:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            main(arguments)
        except SystemExit as exit_error:
            return int(exit_error.code or 0), output.getvalue()
    raise AssertionError("main() must exit")


class CommandsTest(unittest.TestCase):
    """Guards against exit statuses that differ from the documented ones."""

    def test_exit_status_and_output(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            invalid_settings = Path(folder) / "wrong.json"
            invalid_settings.write_text(
                '{"host": 1, "peers": [{"seat": 99}]}', encoding="utf-8"
            )
            settings = str(EXAMPLE / "settings.json")
            table_options = ("--routes", ROUTES, "--pools", POOLS)
            swapped_options = ("--routes", POOLS, "--pools", ROUTES)
            new_paths = []
            for path in (ROUTES, POOLS):
                text = Path(path).read_text(encoding="utf-8")
                text = text.replace('"revision": 1', '"revision": 2')
                new_paths.append(Path(folder) / Path(path).name)
                new_paths[-1].write_text(text.replace("450", "500"), encoding="utf-8")
            revised_options = (
                "--routes",
                str(new_paths[0]),
                "--pools",
                str(new_paths[1]),
            )
            replay_options = ("replay", "--target", "http://127.0.0.1:9", "--routes")
            cases: tuple[tuple[tuple[str, ...], int, str], ...] = (
                (("check", settings, *table_options), 0, "0 faults"),
                (("check", str(invalid_settings)), 1, "peers[0].seat: expected"),
                (("check", *swapped_options), 1, "routes:.routes: expected a list"),
                (("check", str(invalid_settings) + ".missing"), 2, "can't read"),
                (("check", "--routes", ROUTES), 2, "must be given together"),
                (
                    ("check", *revised_options, "--against", ROUTES, POOLS),
                    0,
                    "450 -> 500",
                ),
                (
                    ("check", *table_options, "--against", ROUTES, POOLS),
                    1,
                    "more than 1",
                ),
                (("check", *table_options, "--against", ROUTES), 2, "takes two tables"),
                ((*replay_options, POOLS, "--", TRACE), 2, "routes:.routes: expected"),
                ((*replay_options, ROUTES, "--", ROUTES), 2, "can't replay"),
                (
                    (*replay_options, ROUTES, "--speed", "0", "--", TRACE),
                    2,
                    "speed above 0",
                ),
            )
            for arguments, status, text in cases:
                with self.subTest(arguments=arguments):
                    self.assertEqual(run_command(*arguments)[0], status)
                    self.assertIn(text, run_command(*arguments)[1])
