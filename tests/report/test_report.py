"""The report sums outcomes by class and warns about missing information."""

import random
import unittest

from figshunt.control import (
    MembershipFilter,
    OutcomeFilter,
    RevisionFilter,
    RunnerFilter,
)
from figshunt.report import (
    MAX_COLUMNS,
    FleetReport,
    build_report,
    format_html,
    format_text,
)
from figshunt.types import (
    ErrorCode,
    HostName,
    ManualClock,
    Message,
    OutcomeNotice,
    PeerReceived,
    RequestEnded,
    RevisionNumber,
    RouteName,
    RouteOutcome,
    RunOutcome,
    SeatNumber,
)
from tests.builders import build_route, build_routed_request, build_tables_received

SEATS = (SeatNumber(0), SeatNumber(1), SeatNumber(2))
LONG_NAME = "a-very-long-class-name-that-does-not-fit-a-phone"


class ReportTest(unittest.TestCase):
    """Guards against wrong totals, and against missing data that isn't reported.

    The daemon has two peers, of which one never sends its outcomes.
    """

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.membership = MembershipFilter(SEATS[0], SEATS, random.Random(1))
        self.revisions = RevisionFilter(self.membership)
        self.outcomes = OutcomeFilter(HostName("h0"), self.membership, self.revisions)
        self.handle_message(build_tables_received())

    def handle_message(self, message: Message) -> None:
        for message_filter in (self.revisions, self.outcomes):
            if type(message) in message_filter.accepts:
                list(message_filter.process(message, self.clock.now()))

    def end_request(self, code: ErrorCode | None, first_token_ms: int = 100) -> None:
        outcome = RunOutcome.RAN if code is None else RunOutcome.NOT_RUN
        routed = build_routed_request(self.clock.now())
        self.handle_message(
            RequestEnded(routed, outcome, code, first_token_ms, 900, tokens=7)
        )

    def build_current_report(self) -> FleetReport:
        return build_report(
            self.outcomes,
            self.revisions,
            RunnerFilter(self.revisions, self.membership),
            self.membership,
            self.clock.now(),
        )

    def test_counts_are_summed_by_class_over_all_hosts(self) -> None:
        self.end_request(None)
        self.end_request(None, first_token_ms=2_000)
        self.end_request(ErrorCode.QUEUE_FULL)
        notice = OutcomeNotice(
            HostName("h1"),
            RevisionNumber(1),
            900_000,
            (RouteOutcome(RouteName("chat"), ended=10, whole=9, attained=8),),
        )
        self.handle_message(PeerReceived(SEATS[1], notice))
        (line,) = self.build_current_report().classes
        self.assertEqual(
            (line.outcome.ended, line.outcome.whole, line.outcome.attained),
            (13, 11, 9),
        )
        self.assertEqual(line.outcome.good_tokens, 14)
        self.assertEqual(line.outcome.refusals[0].code, "queue_full")

    def test_old_outcomes_are_excluded(self) -> None:
        self.end_request(None)
        self.clock.advance(901_000 + 60_000)
        (line,) = self.build_current_report().classes
        self.assertEqual(line.outcome.ended, 0)

    def test_missing_host_is_a_warning(self) -> None:
        self.assertIn("seat 2: never heard", self.build_current_report().warnings)

    def test_refused_keyed_requests_are_a_warning(self) -> None:
        report = build_report(
            self.outcomes,
            self.revisions,
            RunnerFilter(self.revisions, self.membership),
            self.membership,
            self.clock.now(),
            is_granting_keys=False,
        )
        self.assertIn("keyed requests are refused here", format_text(report))

    def test_text_lines_fit_a_phone(self) -> None:
        routes = {"routes": [build_route(LONG_NAME)]}
        self.handle_message(build_tables_received(2, **routes))
        lines = format_text(self.build_current_report()).splitlines()
        self.assertLessEqual(max(map(len, lines)), MAX_COLUMNS)

    def test_page_escapes_names_and_has_no_script(self) -> None:
        routes = {"routes": [build_route("<script>")]}
        self.handle_message(build_tables_received(2, **routes))
        self.assertNotIn("<script", format_html(self.build_current_report()))
