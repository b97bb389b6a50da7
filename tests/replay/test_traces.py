"""Consistency of the stored traces, the examples and the workloads."""

import tempfile
import unittest
from pathlib import Path

from figshunt.codec import decode_tables, read_settings
from figshunt.replay import (
    CALLER_KEY_FORMAT,
    adomako_monday,
    build_outgoing_request,
    generate_header,
    generate_requests,
    read_header,
    read_requests,
    timberline_storm,
    write_trace,
)
from tests.builders import build_trace_request

ROOT = Path(__file__).parent.parent.parent
MAX_TRACE_BYTES = 400 * 1024
CASES = (
    ("adomako", adomako_monday, (5, 4), 4),
    ("timberline", timberline_storm, (5, 3), 3),
)


class TracesTest(unittest.TestCase):
    """Guards against stored traces that differ from their workloads.

    A change to a workload or to the generator without a new trace file would
    leave a trace that the command in its header doesn't produce.
    """

    def test_stored_traces_equal_the_output_of_their_command(self) -> None:
        for _, build_workload, _, _ in CASES:
            workload = build_workload()
            with self.subTest(trace=workload.name):
                path = ROOT / "traces" / f"{workload.name}.jsonl"
                header = read_header(path)
                self.assertEqual(header, generate_header(workload, header.seed))
                requests = generate_requests(workload, header.seed)
                self.assertEqual(list(read_requests(path)), requests)
                self.assertLess(path.stat().st_size, MAX_TRACE_BYTES)
                self.assertLess(requests[-1].at_ms, header.duration_ms)

    def test_examples_are_valid_and_match_their_trace(self) -> None:
        for name, build_workload, expected_pool_sizes, expected_data_centres in CASES:
            with self.subTest(example=name):
                folder = ROOT / "examples" / name
                checked_tables = decode_tables(
                    (folder / "routes.json").read_text(encoding="utf-8"),
                    (folder / "pools.json").read_text(encoding="utf-8"),
                )
                assert checked_tables.tables is not None, checked_tables.faults
                tables = checked_tables.tables
                workload = build_workload()
                for traffic_class in workload.classes:
                    route = tables.routes_by_name[traffic_class.route]
                    self.assertEqual(route.idempotent, traffic_class.is_repeatable)
                for team in workload.weights_by_team:
                    key = CALLER_KEY_FORMAT.format(team=team)
                    team_of_key = tables.team_for_caller_key(key)
                    self.assertEqual(team_of_key and team_of_key.name, team)
                pool_sizes = [
                    len(pool.runner_ids) for pool in tables.pools_by_name.values()
                ]
                self.assertEqual(tuple(pool_sizes), expected_pool_sizes)
                self.assertEqual(
                    len(tables.data_centre_states_by_name), expected_data_centres
                )
                checked_settings = read_settings(folder / "settings.json")
                assert checked_settings.settings is not None, checked_settings.faults
                self.assertEqual(len(checked_settings.settings.seats), 5)

    def test_errors_of_malformed_traces_contain_the_line_number(self) -> None:
        later = build_trace_request(at_ms=5, prefix="p", prefix_tokens=2)
        earlier = build_trace_request(at_ms=4, is_repeatable=False)
        header = generate_header(adomako_monday(), 1)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            write_trace(path, header, [earlier, later])
            self.assertEqual(list(read_requests(path)), [earlier, later])
            write_trace(path, header, [later, earlier])
            with self.assertRaisesRegex(
                ValueError, ":3: arrival time 4 ms is earlier than 5 ms"
            ):
                list(read_requests(path))
            for line in ("[]", "{}", "nonsense", '{"at": "x"}'):
                path.write_text(f"{line}\n{line}\n", encoding="utf-8")
                with self.assertRaisesRegex(ValueError, ":2: "):
                    list(read_requests(path))
                with self.assertRaises(ValueError):
                    read_header(path)

    def test_requests_with_the_same_prefix_start_with_the_same_text(self) -> None:
        bodies = [
            build_outgoing_request(
                build_trace_request(
                    name=name, prompt_tokens=500, prefix="p", prefix_tokens=256
                )
            ).body
            for name in ("one", "two")
        ]
        start = bodies[0].index(b"p: ")
        self.assertEqual(bodies[0][: start + 1024], bodies[1][: start + 1024])
        self.assertNotEqual(bodies[0], bodies[1])
