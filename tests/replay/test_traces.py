"""The committed traces and examples belong together."""

import tempfile
import unittest
from pathlib import Path

from figshunt.codec import decode_tables, read_settings
from figshunt.replay import (
    KEY_FORMAT,
    adomako_monday,
    build_outgoing,
    generate_header,
    generate_requests,
    read_header,
    read_requests,
    timberline_storm,
    write_trace,
)
from tests.builders import build_trace_request

ROOT = Path(__file__).parent.parent.parent
MOST_TRACE_BYTES = 400 * 1024
CASES = (
    ("adomako", adomako_monday, (5, 4), 4),
    ("timberline", timberline_storm, (5, 3), 3),
)


class TracesTest(unittest.TestCase):
    """Guards against a trace that its stated command doesn't generate."""

    def test_traces_are_what_their_header_says(self) -> None:
        for _, build_workload, _, _ in CASES:
            workload = build_workload()
            with self.subTest(trace=workload.name):
                path = ROOT / "traces" / f"{workload.name}.jsonl"
                header = read_header(path)
                self.assertEqual(header, generate_header(workload, header.seed))
                requests = generate_requests(workload, header.seed)
                self.assertEqual(list(read_requests(path)), requests)
                self.assertLess(path.stat().st_size, MOST_TRACE_BYTES)
                self.assertLess(requests[-1].at_ms, header.duration_ms)

    def test_examples_are_valid_and_serve_their_trace(self) -> None:
        for name, build_workload, runners, data_centres in CASES:
            with self.subTest(example=name):
                folder = ROOT / "examples" / name
                checked = decode_tables(
                    (folder / "routes.json").read_text(encoding="utf-8"),
                    (folder / "pools.json").read_text(encoding="utf-8"),
                )
                assert checked.tables is not None, checked.faults
                tables = checked.tables
                workload = build_workload()
                for one in workload.classes:
                    route = tables.routes_by_name[one.route]
                    self.assertEqual(route.idempotent, one.is_repeatable)
                for team in workload.weights_by_team:
                    key = KEY_FORMAT.format(team=team)
                    found = tables.team_for_caller_key(key)
                    self.assertEqual(found and found.name, team)
                sizes = [len(one.runner_ids) for one in tables.pools_by_name.values()]
                self.assertEqual(tuple(sizes), runners)
                self.assertEqual(len(tables.data_centre_states_by_name), data_centres)
                settings = read_settings(folder / "settings.json")
                assert settings.settings is not None, settings.faults
                self.assertEqual(len(settings.settings.seats), 5)

    def test_malformed_traces_name_the_line(self) -> None:
        good = build_trace_request(at_ms=5, prefix="p", prefix_tokens=2)
        early = build_trace_request(at_ms=4, is_repeatable=False)
        header = generate_header(adomako_monday(), 1)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            write_trace(path, header, [early, good])
            self.assertEqual(list(read_requests(path)), [early, good])
            write_trace(path, header, [good, early])
            with self.assertRaisesRegex(ValueError, ":3: earlier"):
                list(read_requests(path))
            for line in ("[]", "{}", "nonsense", '{"at": "x"}'):
                path.write_text(f"{line}\n{line}\n", encoding="utf-8")
                with self.assertRaisesRegex(ValueError, ":2: "):
                    list(read_requests(path))
                with self.assertRaises(ValueError):
                    read_header(path)

    def test_shared_prefix_is_the_same_text(self) -> None:
        bodies = [
            build_outgoing(
                build_trace_request(
                    name=name, prompt_tokens=500, prefix="p", prefix_tokens=256
                )
            ).body
            for name in ("one", "two")
        ]
        start = bodies[0].index(b"p: ")
        self.assertEqual(bodies[0][: start + 1024], bodies[1][: start + 1024])
        self.assertNotEqual(bodies[0], bodies[1])
