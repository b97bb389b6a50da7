"""Evidence that a runner is cold or leaving, and how its limit grows again."""

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
    HostName,
    HostsListed,
    HostState,
    ListedHost,
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
from tests.builders import build_load, build_pool, build_tables
from tests.stub_views import StubSeats, StubTables

RUNNER = RunnerId("engines-1")
COLD, WARMING, WARM = RunnerPhase.COLD, RunnerPhase.WARMING, RunnerPhase.WARM
LOST, OUT, LEAVING = RunnerPhase.LOST, RunnerPhase.OUT, RunnerPhase.LEAVING
REFUSED = RunnerUnreachable(RUNNER, ColdEvidence.CONNECTION_REFUSED)
RESET = RunnerUnreachable(RUNNER, ColdEvidence.CONNECTION_RESET)
STREAM_LOST = RunnerUnreachable(RUNNER, ColdEvidence.REPORTS_LOST)


def report(completed: int = 100, **load: Any) -> Message:
    return build_load(completed=completed, **load)


def notice(
    evidence: ColdEvidence | None = ColdEvidence.TOKEN_TIME_JUMP,
    completed: int = 100,
    start: str = "start-1",
    leaving: bool = False,
) -> Message:
    identity = StartIdentity(start)
    told = RunnerNotice(RUNNER, identity, completed, evidence, leaving)
    return PeerReceived(SeatNumber(1), told)


def listed(state: HostState, name: str = "engines-1") -> Message:
    host = ListedHost(HostName(name), DataCentreName("accra-1"), state)
    return HostsListed([host])


def tables(revision: int, is_in: bool = True, first: int = 0, **pool: Any) -> Message:
    """Bring tables into force; ``first`` leaves out runners before it."""
    changed = build_pool(**({"runners": 2} | pool))
    changed["runners"] = changed["runners"][first:]
    state = DataCentreState.IN if is_in else DataCentreState.OUT
    built = build_tables(revision, pools=[changed])
    states = {DataCentreName("accra-1"): state}
    return TablesInForce(replace(built, data_centre_states_by_name=states))


class Subject:
    """The filter with its clock; integers in a script are waits in ms."""

    def __init__(self, **pool: Any) -> None:
        self.clock = ManualClock()
        self.tables = StubTables()
        self.filter = RunnerFilter(self.tables, StubSeats())
        self.pipeline = Pipeline([self.filter])
        self.feed(tables(1, **pool))

    def feed(self, *script: Message | int) -> list[Effect]:
        effects: list[Effect] = []
        for one in script:
            if isinstance(one, int):
                self.clock.advance(one)
                one = TimerDue()
            if isinstance(one, TablesInForce):
                self.tables.tables = one.tables
            effects += self.pipeline.handle(one, self.clock.now())
        return effects

    def state(self) -> tuple[RunnerPhase, int]:
        now = self.clock.now()
        return self.filter.phase(RUNNER, now), self.filter.limit(RUNNER, now)


WARM_REPORT = report()
OTHER_START = report(0, start="start-2")
SLOW = report(101, token_time_us=13_000)
JUMP = [*[WARM_REPORT] * 5, SLOW, SLOW]
SLOW_IN_BATCH = report(101, token_time_us=13_000, running=9)
SLOW_AND_FULL = report(101, token_time_us=13_000, queued=9)
SAYS_LEAVING = report(leaving=True)
LISTED_LEAVING, LISTED_LIVE = listed(HostState.LEAVING), listed(HostState.LIVE)
TAKEN_OUT, BACK_IN, REMOVED = tables(2, False), tables(3), tables(2, first=1)
PEER_LEAVING, PEER_STAYS = notice(None, leaving=True), notice(None)
PEER_LOST_IT = notice(ColdEvidence.REPORTS_LOST)
PEER_SAW_RESTART = notice(ColdEvidence.START_CHANGED, 0, "start-2")
OLD_REPORT = report(99, age_ms=500)

# Each script starts from tables without any report. The pool's limit is 16 and
# its cold limit 2, so that 14 completions warm a runner up.
ROWS: list[tuple[str, list[Message | int], tuple[RunnerPhase, int]]] = [
    ("no report yet", [], (LOST, 0)),
    ("no report for long", [3_000], (COLD, 2)),
    ("report of a warm runner", [report()], (WARM, 16)),
    ("report of a new runner", [report(0)], (COLD, 2)),
    ("two completions", [report(2)], (WARMING, 4)),
    ("six completions", [report(6)], (WARMING, 8)),
    ("report still fresh", [report(), 3_000], (WARM, 16)),
    ("report too old", [report(), 3_001], (COLD, 2)),
    ("report old when it came", [report(age_ms=3_001)], (COLD, 2)),
    ("gap of reports", [report(), 3_500, report(101)], (COLD, 2)),
    ("ramp after it", [report(), 3_500, report(101), report(103)], (WARMING, 4)),
    ("restart", [report(), OTHER_START], (COLD, 2)),
    ("late report of before", [report(), OTHER_START, report()], (COLD, 2)),
    ("refused", [report(), REFUSED], (LOST, 0)),
    ("refused a while ago", [report(), REFUSED, 999], (LOST, 0)),
    ("refused, never again heard", [report(), REFUSED, 3_000], (COLD, 2)),
    ("refused again", [report(), REFUSED, 2_900, REFUSED, 200], (LOST, 0)),
    ("reset", [report(), RESET], (LOST, 0)),
    ("reset, same start", [report(), RESET, report(101)], (COLD, 2)),
    ("ramp after a reset", [report(), RESET, report(101), report(115)], (WARM, 16)),
    ("stream lost", [report(), STREAM_LOST, report(101)], (COLD, 2)),
    ("lost again", [report(), STREAM_LOST, 2_900, STREAM_LOST, 200], (COLD, 2)),
    ("late count after a reset", [report(), RESET, report(90)], (LOST, 0)),
    ("measured before it", [report(90), 900, RESET, OLD_REPORT], (LOST, 0)),
    ("slower tokens", JUMP, (COLD, 2)),
    ("slower tokens once", JUMP[:-1], (WARM, 16)),
    ("slower in a batch", [*JUMP[:5], SLOW_IN_BATCH, SLOW_IN_BATCH], (WARM, 16)),
    ("slower while full", [*JUMP[:6], SLOW_AND_FULL], (COLD, 0)),
    ("load fell again", [*JUMP[:6], SLOW_AND_FULL, report(101)], (COLD, 2)),
    ("says leaving", [SAYS_LEAVING], (LEAVING, 0)),
    ("leaving and silent", [SAYS_LEAVING, STREAM_LOST, 9_000], (LEAVING, 0)),
    ("stays after all", [SAYS_LEAVING, report(101)], (LOST, 0)),
    ("stays, next report", [SAYS_LEAVING, report(101), report(101)], (COLD, 2)),
    ("new process", [SAYS_LEAVING, OTHER_START, OTHER_START], (COLD, 2)),
    ("listed as leaving", [report(), LISTED_LEAVING], (LEAVING, 0)),
    ("another is leaving", [report(), listed(HostState.LEAVING, "x")], (WARM, 16)),
    ("live again", [report(), LISTED_LEAVING, LISTED_LIVE, report(101)], (COLD, 2)),
    ("data centre out", [report(), TAKEN_OUT], (OUT, 0)),
    ("back in", [report(), TAKEN_OUT, 9, BACK_IN], (LOST, 0)),
    ("back in, report", [report(), TAKEN_OUT, 9, BACK_IN, report()], (COLD, 2)),
    ("measured in between", [TAKEN_OUT, 900, BACK_IN, OLD_REPORT], (LOST, 0)),
    ("ramp", [report(), TAKEN_OUT, BACK_IN, report(), report(106)], (WARMING, 8)),
    ("other change of the tables", [report(), tables(2, runners=3)], (WARM, 16)),
    ("removed", [report(), REMOVED], (LOST, 0)),
    ("listed again", [report(), REMOVED, BACK_IN, report()], (COLD, 2)),
    ("peer saw slower tokens", [report(), notice()], (COLD, 2)),
    ("peer's notice is old", [report(200), notice()], (WARM, 16)),
    ("of a past start", [report(), report(30, start="b"), 1, notice()], (WARM, 16)),
    ("peer's notice while full", [report(running=9), notice()], (COLD, 0)),
    ("peer saw a restart", [report(), 1, PEER_SAW_RESTART], (COLD, 2)),
    ("peer lost it", [report(), 1, PEER_LOST_IT], (COLD, 2)),
    ("a report refutes that", [report(), 1, PEER_LOST_IT, report()], (WARM, 16)),
    ("peer says leaving", [report(), PEER_LEAVING], (LEAVING, 0)),
    ("peer withdraws", [report(), PEER_LEAVING, PEER_STAYS, report()], (COLD, 2)),
    ("peer vanished", [report(), PEER_LEAVING, 10_000, report()], (COLD, 2)),
    ("pause", [report(), ClockJumped(2_000)], (COLD, 2)),
    ("report piled up", [report(), ClockJumped(2_000), report(101)], (COLD, 2)),
    ("and a notice", [ClockJumped(2_000), PEER_LOST_IT, report(101)], (COLD, 2)),
    ("later", [report(), ClockJumped(2_000), 1_000, report(101)], (WARM, 16)),
]


class RunnerFilterTest(unittest.TestCase):
    """Guards against a cold, leaving or unreachable runner that gets work."""

    def test_evidence(self) -> None:
        for name, script, expected in ROWS:
            with self.subTest(name):
                subject = Subject()
                subject.feed(*script)
                self.assertEqual(subject.state(), expected)

    def test_runner_without_load_reports_stays_at_its_cold_limit(self) -> None:
        for script, expected in (
            ([], (COLD, 2)),
            ([100_000], (COLD, 2)),
            ([REFUSED], (LOST, 0)),
            ([REFUSED, 1_000], (COLD, 2)),
            ([RESET], (COLD, 2)),
        ):
            with self.subTest(script=script):
                subject = Subject(reports_load=False)
                subject.feed(*script)
                self.assertEqual(subject.state(), expected)

    def test_peers_are_told(self) -> None:
        told: list[tuple[str, list[Message | int], int, bool]] = [
            ("nothing new", [report()], 0, False),
            ("restart", [report(0, start="b")], 4, False),
            ("reset", [RESET], 4, False),
            ("lost twice", [RESET, report(), RESET], 4, False),
            ("leaving", [LISTED_LEAVING], 4, True),
            ("leaving, repeated", [LISTED_LEAVING, 3_000], 8, True),
            ("stays", [LISTED_LEAVING, LISTED_LIVE], 8, False),
            ("a peer's word", [PEER_LEAVING], 0, False),
        ]
        for name, script, messages, is_leaving in told:
            with self.subTest(name):
                subject = Subject()
                subject.feed(report())
                effects = subject.feed(*script)
                sent = [one for one in effects if isinstance(one, SendPeer)]
                self.assertEqual(len(sent), messages)
                if sent and isinstance(sent[-1].message, RunnerNotice):
                    self.assertEqual(sent[-1].message.leaving, is_leaving)

    def test_new_peer_learns_of_a_cold_runner(self) -> None:
        """Guards against a new host that takes the full count for warm-up."""
        subject, successor = Subject(), Subject()
        subject.feed(*JUMP)
        (sent,) = (
            one.message
            for one in subject.feed(PeerConnected(SeatNumber(3)))
            if isinstance(one, SendPeer)
        )
        successor.feed(report(101), PeerReceived(SeatNumber(0), sent))
        self.assertEqual(successor.state(), (COLD, 2))


if __name__ == "__main__":
    unittest.main()
