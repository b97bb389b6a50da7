"""Claims at the claimant: refusals, outcomes, repeated keys and their answers."""

import random
import unittest

from benchmarks.claim_cell import (
    START_WALL_MS,
    ClaimCell,
    Occupant,
    build_answer,
    build_key,
)
from figshunt.claims import parse_key
from figshunt.types import (
    AttemptId,
    AttemptPlanned,
    ErrorCode,
    FailAnswer,
    IdempotencyKey,
    RequestAdmitted,
    RequestCancelled,
    RunnerId,
    RunOutcome,
    TeamName,
)

NOT_RUN = RunOutcome.NOT_RUN
MAY_HAVE_RUN = RunOutcome.MAY_HAVE_RUN
RAN = RunOutcome.RAN
JOINED_MS = 3_000
WINDOW_MS = 600_000


class ClaimantTest(unittest.TestCase):
    """A founded cell of five seats whose clocks agree."""

    def setUp(self) -> None:
        self.cell = ClaimCell(5, random.Random(1))
        self.cell.start_all()
        self.cell.settle(JOINED_MS)
        self.first, self.second, *self.others = self.cell.occupants

    def claim(self, occupant: Occupant, key: IdempotencyKey) -> FailAnswer | None:
        """Claim a key and return the refusal, if there was one."""
        self.cell.failures.clear()
        self.cell.submit(occupant, key)
        self.cell.deliver_all()
        return self.cell.failures[0] if self.cell.failures else None

    def assert_refused(
        self, refusal: FailAnswer | None, code: ErrorCode, outcome: RunOutcome
    ) -> None:
        assert refusal is not None
        self.assertEqual((refusal.code, refusal.outcome), (code, outcome))

    def test_outcome_of_keys_that_cannot_be_claimed(self) -> None:
        now_ms = START_WALL_MS + JOINED_MS
        for name, key, code, outcome in (
            ("not a UUID", "booking 17", ErrorCode.KEY_INVALID, NOT_RUN),
            (
                "version 4",
                "7b0d3a0e-3f33-4c43-9d3c-5a1c8e1b2f00",
                ErrorCode.KEY_INVALID,
                NOT_RUN,
            ),
            ("future", build_key(now_ms + 2_001, 1), ErrorCode.KEY_INVALID, NOT_RUN),
            (
                "may be granted by a clock that is ahead",
                build_key(now_ms + 1_999, 1),
                ErrorCode.KEY_INVALID,
                MAY_HAVE_RUN,
            ),
            (
                "older than the window",
                build_key(now_ms - WINDOW_MS - 1, 1),
                ErrorCode.KEY_EXPIRED,
                MAY_HAVE_RUN,
            ),
            (
                "older than the cell",
                build_key(now_ms - JOINED_MS, 1),
                ErrorCode.CLAIM_UNAVAILABLE,
                MAY_HAVE_RUN,
            ),
        ):
            with self.subTest(name=name):
                refusal = self.claim(self.first, IdempotencyKey(key))
                self.assert_refused(refusal, code, outcome)

    def test_key_is_compared_in_canonical_form(self) -> None:
        """Guards against a second run of a key that is written in upper case."""
        key = self.cell.issue_key()
        self.assertIsNone(self.claim(self.first, key))
        self.claim(self.second, IdempotencyKey(key.upper()))
        self.assertEqual(
            (len(self.first.queued_requests), self.second.queued_requests), (1, [])
        )
        self.assertEqual(parse_key(f"{{{key.upper()}}}"), key)

    def test_repeated_key_gets_the_original_answer(self) -> None:
        """Guards against refusing a repeated key although its answer is available."""
        for repeat_before_run in (True, False):
            for occupant in (self.first, self.second):
                key = self.cell.issue_key()
                original_id = self.cell.submit(self.first, key)
                self.cell.deliver_all()
                if not repeat_before_run:
                    self.cell.dispatch_next(self.first)
                repeated_id = self.cell.submit(occupant, key)
                self.cell.deliver_all()
                if repeat_before_run:
                    self.assertNotIn(repeated_id, self.cell.answers_by_request)
                    self.cell.settle(2_000)
                    self.cell.dispatch_next(self.first)
                    self.cell.deliver_all()
                with self.subTest(early=repeat_before_run, seat=occupant.seat):
                    self.assertEqual(
                        self.cell.answers_by_request[repeated_id],
                        build_answer(original_id),
                    )
        self.assertEqual(self.cell.failures, [])

    def test_repeated_key_without_an_answer(self) -> None:
        for name, outcome in (
            ("claimant unreachable", RAN),
            ("run interrupted", MAY_HAVE_RUN),
        ):
            with self.subTest(name=name):
                key = self.cell.issue_key()
                self.claim(self.first, key)
                self.cell.dispatch_next(self.first, outcome)
                if outcome is RAN:
                    self.first.partition_group = 1
                self.cell.submit(self.second, key)
                self.cell.settle(2_000)
                self.first.partition_group = 0
                refusal = self.cell.failures[-1]
                self.assert_refused(refusal, ErrorCode.KEY_CLAIMED, MAY_HAVE_RUN)

    def test_answer_is_not_served_to_other_content_or_team(self) -> None:
        """Guards against a caller that gets the answer to another caller's request."""
        key = self.cell.issue_key()
        self.claim(self.first, key)
        self.cell.dispatch_next(self.first)
        for occupant in (self.first, self.second):
            self.cell.failures.clear()
            self.cell.submit(occupant, key, content="other")
            self.cell.deliver_all()
            self.assert_refused(self.cell.failures[0], ErrorCode.KEY_CLAIMED, RAN)
        other_team = self.cell.submit(self.first, key, team=TeamName("team-b"))
        self.cell.deliver_all()
        self.assertEqual(len(self.first.queued_requests), 1)
        self.assertNotIn(other_team, self.cell.answers_by_request)

    def test_keyed_run_continues_after_caller_disconnects(self) -> None:
        """Guards against losing the answer of a caller that disconnects.

        If the run were cancelled, a repeat of the key would find no answer.
        """
        key = self.cell.issue_key()
        request_id = self.cell.submit(self.first, key)
        self.cell.deliver_all()
        planned = AttemptPlanned(
            AttemptId("1"), RunnerId("r"), self.first.queued_requests[0], JOINED_MS
        )
        cancellation = RequestCancelled(request_id)
        self.cell.handle_message(self.first, cancellation)
        self.assertEqual(self.first.cancelled_request_ids, [request_id])
        self.cell.handle_message(self.first, planned)
        self.cell.handle_message(self.first, cancellation)
        self.assertEqual(self.first.cancelled_request_ids, [request_id])

    def test_key_that_was_not_run_can_be_retried_at_its_claimant(self) -> None:
        """Guards against a key that can't be retried after its deadline passed."""
        key = self.cell.issue_key()
        self.claim(self.first, key)
        self.cell.expire_next(self.first)
        self.assertIsNone(self.claim(self.first, key))
        self.cell.dispatch_all()
        self.assertEqual(self.cell.count_dispatches(key), 1)

    def test_key_reported_as_not_run_by_another_host_never_runs(self) -> None:
        """Guards against a run after the claimant has reported "not run" to a peer.

        The peer's refusal may reach the caller after such a run.
        """
        key = self.cell.issue_key()
        self.claim(self.first, key)
        self.cell.expire_next(self.first)
        for occupant in (self.second, self.first):
            refusal = self.claim(occupant, key)
            self.assert_refused(refusal, ErrorCode.KEY_CLAIMED, NOT_RUN)
        self.assertEqual(self.first.queued_requests, [])

    def test_own_key_stays_not_run_while_the_cell_is_unreachable(self) -> None:
        key = self.cell.issue_key()
        self.claim(self.first, key)
        self.cell.expire_next(self.first)
        self.cell.connect_only(self.first)
        self.cell.submit(self.first, key)
        self.cell.settle(2_000)
        refusal = self.cell.failures[-1]
        self.assert_refused(refusal, ErrorCode.CLAIM_UNAVAILABLE, NOT_RUN)

    def test_minority_does_not_know_whether_a_key_ran(self) -> None:
        """Guards against "not run" for a key that ran in the other partition."""
        key = self.cell.issue_key()
        self.cell.connect_only(self.first, *self.others)
        self.claim(self.first, key)
        self.cell.dispatch_all()
        self.assertEqual(self.cell.count_dispatches(key), 1)
        self.cell.connect_only(self.second)
        self.cell.submit(self.second, key)
        self.cell.settle(2_000)
        refusal = self.cell.failures[-1]
        self.assert_refused(refusal, ErrorCode.CLAIM_UNAVAILABLE, MAY_HAVE_RUN)

    def test_retried_request_is_not_claimed_again(self) -> None:
        """Guards against a retry that is refused because of its own claim."""
        key = self.cell.issue_key()
        self.claim(self.first, key)
        routed = self.first.queued_requests.pop()
        messages_before = self.cell.messages_sent
        self.cell.handle_message(self.first, RequestAdmitted(routed))
        self.assertEqual(self.first.queued_requests, [routed])
        self.assertEqual(self.cell.messages_sent, messages_before)

    def test_paused_claimant_does_not_act_on_stale_grants(self) -> None:
        """Guards against a run on grants that arrive after their round timed out."""
        for detects_pause in (True, False):
            with self.subTest(detects_pause=detects_pause):
                key = self.cell.issue_key()
                self.cell.submit(self.first, key)
                for message in [self.cell.messages_in_flight.pop(0) for _ in range(4)]:
                    self.cell.deliver(message)
                self.cell.pause(self.first)
                self.cell.advance(5_000)
                self.cell.resume(self.first, detects_pause=detects_pause)
                self.cell.deliver_all()
                refusal = self.cell.failures[-1]
                self.assert_refused(refusal, ErrorCode.CLAIM_UNAVAILABLE, MAY_HAVE_RUN)
                self.assertEqual(self.first.queued_requests, [])

    def test_cancelled_claim_is_dropped(self) -> None:
        key = self.cell.issue_key()
        request_id = self.cell.submit(self.first, key)
        self.cell.handle_message(self.first, RequestCancelled(request_id))
        self.cell.deliver_all()
        self.assertEqual(self.first.queued_requests, [])
        self.assertIsNone(self.claim(self.first, key))

    def test_claim_is_resent_after_votes_are_lost(self) -> None:
        key = self.cell.issue_key()
        self.cell.submit(self.first, key)
        self.cell.messages_in_flight.clear()
        self.cell.settle(500)
        self.assertEqual(len(self.first.queued_requests), 1)

    def test_key_is_dropped_only_after_its_window(self) -> None:
        key = self.cell.issue_key(skew_ms=1_000)
        self.claim(self.first, key)
        self.cell.dispatch_all()
        self.cell.settle(WINDOW_MS + 500)
        refusal = self.claim(self.second, key)
        self.assert_refused(refusal, ErrorCode.KEY_CLAIMED, RAN)
        self.cell.settle(3_000)
        refusal = self.claim(self.second, key)
        self.assert_refused(refusal, ErrorCode.KEY_EXPIRED, MAY_HAVE_RUN)
