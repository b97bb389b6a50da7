"""Tests of cold evidence, leaving runners and the growth of the limit."""

import unittest
from dataclasses import replace
from typing import Any

from figshunt.control import RunnerFilter
from figshunt.pipeline import Pipeline
from figshunt.types import (
    ClockJumped,
    ColdEvidence,
    DataCentreName,
    DataCentreState,
    Effect,
    HostListEntry,
    HostListReceived,
    HostName,
    HostState,
    ManualClock,
    Message,
    PeerConnected,
    PeerReceived,
    RunnerId,
    RunnerNotice,
    RunnerPhase,
    RunnerUnreachable,
    SeatNumber,
    SendPeer,
    StartIdentity,
    TablesInForce,
    TimerDue,
)
from tests.builders import build_load_reported, build_pool, build_tables
from tests.stub_views import StubSeats, StubTables

RUNNER = RunnerId("engines-1")
COLD, WARMING, WARM = RunnerPhase.COLD, RunnerPhase.WARMING, RunnerPhase.WARM
LOST, OUT, LEAVING = RunnerPhase.LOST, RunnerPhase.OUT, RunnerPhase.LEAVING
REFUSED = RunnerUnreachable(RUNNER, ColdEvidence.CONNECTION_REFUSED)
RESET = RunnerUnreachable(RUNNER, ColdEvidence.CONNECTION_RESET)
STREAM_LOST = RunnerUnreachable(RUNNER, ColdEvidence.REPORTS_LOST)


def report(completed: int = 100, **load: Any) -> Message:
    return build_load_reported(completed=completed, **load)


def notice(
    evidence: ColdEvidence | None = ColdEvidence.TOKEN_TIME_JUMP,
    completed: int = 100,
    start: str = "start-1",
    leaving: bool = False,
) -> Message:
    identity = StartIdentity(start)
    message = RunnerNotice(RUNNER, identity, completed, evidence, leaving)
    return PeerReceived(SeatNumber(1), message)


def host_list(state: HostState, name: str = "engines-1") -> Message:
    host = HostListEntry(HostName(name), DataCentreName("accra-1"), state)
    return HostListReceived([host])


def tables(
    revision: int, is_in: bool = True, first_runner: int = 0, **pool: Any
) -> Message:
    """Return new tables in force, without the runners before ``first_runner``."""
    pool_document = build_pool(**({"runners": 2} | pool))
    pool_document["runners"] = pool_document["runners"][first_runner:]
    state = DataCentreState.IN if is_in else DataCentreState.OUT
    built_tables = build_tables(revision, pools=[pool_document])
    states = {DataCentreName("accra-1"): state}
    return TablesInForce(replace(built_tables, data_centre_states_by_name=states))


class FilterDriver:
    """Passes scripts to the filter; an integer in a script is a wait in ms."""

    def __init__(self, **pool: Any) -> None:
        self.clock = ManualClock()
        self.tables = StubTables()
        self.filter = RunnerFilter(self.tables, StubSeats())
        self.pipeline = Pipeline([self.filter])
        self.run_script(tables(1, **pool))

    def run_script(self, *script: Message | int) -> list[Effect]:
        effects: list[Effect] = []
        for step in script:
            if isinstance(step, int):
                self.clock.advance(step)
                step = TimerDue()
            if isinstance(step, TablesInForce):
                self.tables.tables = step.tables
            effects += self.pipeline.handle(step, self.clock.now())
        return effects

    def state(self) -> tuple[RunnerPhase, int]:
        now = self.clock.now()
        return self.filter.phase(RUNNER, now), self.filter.limit(RUNNER, now)


WARM_REPORT = report()
OTHER_START = report(0, start="start-2")
SLOW_REPORT = report(101, token_time_us=13_000)
SLOW_REPORTS = [*[WARM_REPORT] * 5, SLOW_REPORT, SLOW_REPORT]
SLOW_BATCH = report(101, token_time_us=13_000, running=9)
SLOW_FULL = report(101, token_time_us=13_000, queued=9)
LEAVING_REPORT = report(leaving=True)
LISTED_LEAVING, LISTED_LIVE = host_list(HostState.LEAVING), host_list(HostState.LIVE)
TAKEN_OUT, BACK_IN, REMOVED = tables(2, False), tables(3), tables(2, first_runner=1)
PEER_LEAVING, PEER_NOT_LEAVING = notice(None, leaving=True), notice(None)
PEER_LOST_REPORTS = notice(ColdEvidence.REPORTS_LOST)
PEER_SAW_RESTART = notice(ColdEvidence.START_CHANGED, 0, "start-2")
DELAYED_REPORT = report(99, age_ms=500)

# Each script starts with new tables and no load report. The pool's limit is 16
# and its cold limit 2, so a runner is warm after 14 completions.
CASES: list[tuple[str, list[Message | int], tuple[RunnerPhase, int]]] = [
    ("no report yet", [], (LOST, 0)),
    ("no report for 3 s", [3_000], (COLD, 2)),
    ("report of a warm runner", [report()], (WARM, 16)),
    ("report of a new runner", [report(0)], (COLD, 2)),
    ("two completions", [report(2)], (WARMING, 4)),
    ("six completions", [report(6)], (WARMING, 8)),
    ("report at its maximum age", [report(), 3_000], (WARM, 16)),
    ("report too old", [report(), 3_001], (COLD, 2)),
    ("report too old on arrival", [report(age_ms=3_001)], (COLD, 2)),
    ("gap between reports", [report(), 3_500, report(101)], (COLD, 2)),
    (
        "ramp-up after the gap",
        [report(), 3_500, report(101), report(103)],
        (WARMING, 4),
    ),
    ("restart", [report(), OTHER_START], (COLD, 2)),
    ("late report of old start", [report(), OTHER_START, report()], (COLD, 2)),
    ("refused", [report(), REFUSED], (LOST, 0)),
    ("refused 999 ms ago", [report(), REFUSED, 999], (LOST, 0)),
    ("refused, then no reports", [report(), REFUSED, 3_000], (COLD, 2)),
    ("refused twice", [report(), REFUSED, 2_900, REFUSED, 200], (LOST, 0)),
    ("reset", [report(), RESET], (LOST, 0)),
    ("reset, same start", [report(), RESET, report(101)], (COLD, 2)),
    ("ramp-up after reset", [report(), RESET, report(101), report(115)], (WARM, 16)),
    ("report stream lost", [report(), STREAM_LOST, report(101)], (COLD, 2)),
    (
        "report stream lost twice",
        [report(), STREAM_LOST, 2_900, STREAM_LOST, 200],
        (COLD, 2),
    ),
    ("old count after reset", [report(), RESET, report(90)], (LOST, 0)),
    ("measured before reset", [report(90), 900, RESET, DELAYED_REPORT], (LOST, 0)),
    ("slower tokens", SLOW_REPORTS, (COLD, 2)),
    ("slower tokens once", SLOW_REPORTS[:-1], (WARM, 16)),
    (
        "slower in a large batch",
        [*SLOW_REPORTS[:5], SLOW_BATCH, SLOW_BATCH],
        (WARM, 16),
    ),
    ("slower while over limit", [*SLOW_REPORTS[:6], SLOW_FULL], (COLD, 0)),
    ("load fell below limit", [*SLOW_REPORTS[:6], SLOW_FULL, report(101)], (COLD, 2)),
    ("runner reports leaving", [LEAVING_REPORT], (LEAVING, 0)),
    ("leaving, then no reports", [LEAVING_REPORT, STREAM_LOST, 9_000], (LEAVING, 0)),
    ("no longer leaving", [LEAVING_REPORT, report(101)], (LOST, 0)),
    (
        "no longer leaving, report",
        [LEAVING_REPORT, report(101), report(101)],
        (COLD, 2),
    ),
    ("restarted after leaving", [LEAVING_REPORT, OTHER_START, OTHER_START], (COLD, 2)),
    ("listed as leaving", [report(), LISTED_LEAVING], (LEAVING, 0)),
    ("another is leaving", [report(), host_list(HostState.LEAVING, "x")], (WARM, 16)),
    ("live again", [report(), LISTED_LEAVING, LISTED_LIVE, report(101)], (COLD, 2)),
    ("data centre out", [report(), TAKEN_OUT], (OUT, 0)),
    ("data centre back in", [report(), TAKEN_OUT, 9, BACK_IN], (LOST, 0)),
    ("back in, report", [report(), TAKEN_OUT, 9, BACK_IN, report()], (COLD, 2)),
    ("measured while out", [TAKEN_OUT, 900, BACK_IN, DELAYED_REPORT], (LOST, 0)),
    (
        "back in, ramp-up",
        [report(), TAKEN_OUT, BACK_IN, report(), report(106)],
        (WARMING, 8),
    ),
    ("other change of tables", [report(), tables(2, runners=3)], (WARM, 16)),
    ("removed", [report(), REMOVED], (LOST, 0)),
    ("listed again", [report(), REMOVED, BACK_IN, report()], (COLD, 2)),
    ("peer saw slower tokens", [report(), notice()], (COLD, 2)),
    ("outdated peer notice", [report(200), notice()], (WARM, 16)),
    (
        "notice of a past start",
        [report(), report(30, start="b"), 1, notice()],
        (WARM, 16),
    ),
    ("peer notice, over limit", [report(running=9), notice()], (COLD, 0)),
    ("peer saw a restart", [report(), 1, PEER_SAW_RESTART], (COLD, 2)),
    ("peer lost its reports", [report(), 1, PEER_LOST_REPORTS], (COLD, 2)),
    (
        "report after peer's loss",
        [report(), 1, PEER_LOST_REPORTS, report()],
        (WARM, 16),
    ),
    ("peer says leaving", [report(), PEER_LEAVING], (LEAVING, 0)),
    (
        "peer withdraws its notice",
        [report(), PEER_LEAVING, PEER_NOT_LEAVING, report()],
        (COLD, 2),
    ),
    ("peer's notice expired", [report(), PEER_LEAVING, 10_000, report()], (COLD, 2)),
    ("pause", [report(), ClockJumped(2_000)], (COLD, 2)),
    ("buffered report", [report(), ClockJumped(2_000), report(101)], (COLD, 2)),
    (
        "buffered report, notice",
        [ClockJumped(2_000), PEER_LOST_REPORTS, report(101)],
        (COLD, 2),
    ),
    ("later report", [report(), ClockJumped(2_000), 1_000, report(101)], (WARM, 16)),
]


class RunnerFilterTest(unittest.TestCase):
    """Guards against work for cold, leaving or unreachable runners."""

    def test_phase_and_limit_after_evidence(self) -> None:
        for name, script, expected in CASES:
            with self.subTest(name):
                driver = FilterDriver()
                driver.run_script(*script)
                self.assertEqual(driver.state(), expected)

    def test_runner_without_load_reports_stays_at_its_cold_limit(self) -> None:
        for script, expected in (
            ([], (COLD, 2)),
            ([100_000], (COLD, 2)),
            ([REFUSED], (LOST, 0)),
            ([REFUSED, 1_000], (COLD, 2)),
            ([RESET], (COLD, 2)),
        ):
            with self.subTest(script=script):
                driver = FilterDriver(reports_load=False)
                driver.run_script(*script)
                self.assertEqual(driver.state(), expected)

    def test_number_of_notices_to_peers(self) -> None:
        cases: list[tuple[str, list[Message | int], int, bool]] = [
            ("no new evidence", [report()], 0, False),
            ("restart", [report(0, start="b")], 4, False),
            ("reset", [RESET], 4, False),
            ("connection lost twice", [RESET, report(), RESET], 4, False),
            ("leaving", [LISTED_LEAVING], 4, True),
            ("leaving, repeated", [LISTED_LEAVING, 3_000], 8, True),
            ("no longer leaving", [LISTED_LEAVING, LISTED_LIVE], 8, False),
            ("notice from a peer", [PEER_LEAVING], 0, False),
        ]
        for name, script, messages, is_leaving in cases:
            with self.subTest(name):
                driver = FilterDriver()
                driver.run_script(report())
                effects = driver.run_script(*script)
                peer_messages = [
                    effect for effect in effects if isinstance(effect, SendPeer)
                ]
                self.assertEqual(len(peer_messages), messages)
                if peer_messages and isinstance(
                    peer_messages[-1].message, RunnerNotice
                ):
                    self.assertEqual(peer_messages[-1].message.leaving, is_leaving)

    def test_new_peer_is_notified_of_a_cold_runner(self) -> None:
        """Guards against a new host that counts all completions as warm-up.

        Its first report doesn't show that the runner was found to be cold.
        """
        driver, successor = FilterDriver(), FilterDriver()
        driver.run_script(*SLOW_REPORTS)
        (peer_message,) = (
            effect.message
            for effect in driver.run_script(PeerConnected(SeatNumber(3)))
            if isinstance(effect, SendPeer)
        )
        successor.run_script(report(101), PeerReceived(SeatNumber(0), peer_message))
        self.assertEqual(successor.state(), (COLD, 2))
