"""Tests with content that crashes runners and with requests in the same batch."""

import random
import unittest
from collections.abc import Iterable

from figshunt.core import Core
from figshunt.types import (
    AnswerHead,
    AttemptFailed,
    AttemptFailure,
    AttemptFinished,
    ColdEvidence,
    Crash,
    Effect,
    EndAnswer,
    ErrorCode,
    FailAnswer,
    Fingerprint,
    HostName,
    ManualClock,
    Message,
    PeerReceived,
    RunnerId,
    RunnerUnreachable,
    RunOutcome,
    SeatNumber,
    SendPeer,
    SendState,
    StartAttempt,
    StartIdentity,
    SuspicionNotice,
    TimerDue,
)
from tests.builders import (
    build_load_reported,
    build_pool,
    build_request_arrived,
    build_tables_received,
)

POISON = "poison"
RUNNERS = 4


class CrashingRunnerFleet:
    """Runs a core with simulated runners that crash on a certain content."""

    def __init__(self, seats: int = 1) -> None:
        self.clock = ManualClock()
        seat_numbers = tuple(SeatNumber(seat) for seat in range(seats))
        self.core = Core(
            HostName("host-0"), seat_numbers[0], seat_numbers, random.Random(1)
        )
        self.in_flight: dict[str, StartAttempt] = {}
        self.answered_ids: set[str] = set()
        self.failures_by_id: dict[str, FailAnswer] = {}
        self.sent_messages: list[SendPeer] = []
        self.crashes = 0
        self.handle(build_tables_received(pools=[build_pool(runners=RUNNERS)]))
        for number in range(1, RUNNERS + 1):
            self.handle(build_load_reported(f"engines-{number}"))

    def handle(self, message: Message) -> None:
        self._apply(self.core.handle(message, self.clock.now()))

    def _apply(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.in_flight[effect.attempt_id] = effect
            elif isinstance(effect, EndAnswer):
                self.answered_ids.add(effect.request_id)
            elif isinstance(effect, FailAnswer):
                self.failures_by_id[effect.request_id] = effect
            elif isinstance(effect, SendPeer):
                self.sent_messages.append(effect)

    def crash(self, runner_id: str, restarts: bool = True) -> None:
        """Fail every attempt on a runner; it restarts or keeps its identity."""
        self.lose(runner_id)
        self.restart(runner_id, restarts)

    def lose(self, runner_id: str) -> None:
        """Fail every attempt on a runner."""
        lost_attempts = [
            attempt
            for attempt in self.in_flight.values()
            if attempt.runner_id == runner_id
        ]
        for attempt in lost_attempts:
            del self.in_flight[attempt.attempt_id]
        self.handle(RunnerUnreachable(RunnerId(runner_id), ColdEvidence.REPORTS_LOST))
        for attempt in lost_attempts:
            self.handle(
                AttemptFailed(
                    attempt.attempt_id,
                    AttemptFailure.CONNECTION_LOST,
                    SendState.MAY_HAVE_ARRIVED,
                )
            )

    def restart(self, runner_id: str, restarts: bool = True) -> None:
        """Report the load of a runner that was lost; count it if it has crashed."""
        self.crashes += restarts
        start = f"start-{self.crashes + 1}" if restarts else "start-1"
        self.handle(build_load_reported(runner_id, start=StartIdentity(start)))

    def lose_beside(self, fingerprint: Fingerprint) -> None:
        """Crash the runner of the only attempt, which other content ran on too.

        A peer ran that content, and tells it before the runner has restarted.
        """
        (attempt,) = self.in_flight.values()
        self.lose(attempt.runner_id)
        losses = self.sent_notices()[-1].losses
        notice = SuspicionNotice(fingerprint, losses, (), cleared=False)
        self.handle(PeerReceived(SeatNumber(1), notice))
        self.restart(attempt.runner_id)

    def sent_notices(self) -> list[SuspicionNotice]:
        """Return what the core told its peers of suspected content."""
        return [
            effect.message
            for effect in self.sent_messages
            if isinstance(effect.message, SuspicionNotice)
        ]

    def run(self) -> None:
        """Answer or fail attempts until none is in flight."""
        for _ in range(1_000):
            poison_attempts = [
                attempt
                for attempt in self.in_flight.values()
                if attempt.request.fingerprint == POISON
            ]
            if poison_attempts:
                self.crash(poison_attempts[0].runner_id)
            elif self.in_flight:
                attempt = self.in_flight.pop(next(iter(self.in_flight)))
                self.handle(AnswerHead(attempt.attempt_id, 200, "application/json"))
                self.handle(AttemptFinished(attempt.attempt_id, 0))
            else:
                return
        raise AssertionError("attempts are still in flight after 1,000 steps")


class QuarantineTest(unittest.TestCase):
    """Guards against one request whose retries crash one runner after another."""

    def test_poison_request_crashes_at_most_two_runners(self) -> None:
        fleet = CrashingRunnerFleet()
        for number in range(24):
            fleet.handle(build_request_arrived(fleet.clock.now(), number, stream=False))
        poison = build_request_arrived(
            fleet.clock.now(), 99, fingerprint=Fingerprint(POISON), stream=False
        )
        fleet.handle(poison)
        fleet.run()
        self.assertEqual(fleet.crashes, 2)
        self.assertEqual(len(fleet.answered_ids), 24)
        self.assertEqual(set(fleet.failures_by_id), {"request-99"})
        self.assertEqual(
            fleet.failures_by_id["request-99"].outcome, RunOutcome.MAY_HAVE_RUN
        )

    def test_trial_run_has_its_runner_to_itself(self) -> None:
        """Guards against losing unrelated requests in the second crash."""
        fleet = CrashingRunnerFleet()
        poison = Fingerprint(POISON)
        fleet.handle(build_request_arrived(fleet.clock.now(), 99, fingerprint=poison))
        (attempt,) = fleet.in_flight.values()
        fleet.crash(attempt.runner_id)
        for number in range(40):
            fleet.handle(build_request_arrived(fleet.clock.now(), number, stream=False))
        (trial,) = (
            attempt
            for attempt in fleet.in_flight.values()
            if attempt.request.fingerprint == POISON
        )
        attempts_on_runner = [
            attempt
            for attempt in fleet.in_flight.values()
            if attempt.runner_id == trial.runner_id
        ]
        self.assertEqual(attempts_on_runner, [trial])
        self.assertGreater(len(fleet.in_flight), 1)

    def test_same_content_is_refused_under_a_new_key(self) -> None:
        fleet = CrashingRunnerFleet()
        for number in (1, 2):
            fleet.handle(
                build_request_arrived(
                    fleet.clock.now(), number, fingerprint=Fingerprint(POISON)
                )
            )
            fleet.run()
        self.assertEqual(fleet.crashes, 2)
        failure = fleet.failures_by_id["request-2"]
        self.assertEqual(failure.code, ErrorCode.QUARANTINED)
        self.assertEqual(failure.outcome, RunOutcome.NOT_RUN)

    def test_losses_reported_by_a_peer_count_immediately(self) -> None:
        """Guards against a retry at another host before the crashes are confirmed."""
        fleet = CrashingRunnerFleet(seats=3)
        losses = tuple(
            Crash(RunnerId(f"engines-{number}"), StartIdentity("start-1"))
            for number in (1, 2)
        )
        notice = SuspicionNotice(Fingerprint(POISON), losses, (), cleared=False)
        fleet.handle(PeerReceived(SeatNumber(1), notice))
        for number in (1, 2):
            fleet.handle(build_load_reported(f"engines-{number}"))
        fleet.handle(
            build_request_arrived(fleet.clock.now(), 1, fingerprint=Fingerprint(POISON))
        )
        self.assertEqual(fleet.in_flight, {})
        self.assertEqual(fleet.failures_by_id["request-1"].code, ErrorCode.QUARANTINED)

    def test_lost_connection_is_not_counted_as_a_crash(self) -> None:
        """Guards against quarantining content because of a network fault.

        The runner reports the same start identity after the connection is
        lost, so it hasn't restarted.
        """
        fleet = CrashingRunnerFleet()
        fleet.handle(build_request_arrived(fleet.clock.now(), 1, stream=False))
        for _ in range(2):
            (attempt,) = fleet.in_flight.values()
            fleet.crash(attempt.runner_id, restarts=False)
            fleet.clock.advance(1_000)
            fleet.handle(build_load_reported(attempt.runner_id))
        fleet.run()
        self.assertEqual(fleet.answered_ids, {"request-1"})

    def test_crashes_seen_by_two_hosts_are_added_up(self) -> None:
        fleet = CrashingRunnerFleet(seats=3)
        fleet.handle(
            build_request_arrived(fleet.clock.now(), 1, fingerprint=Fingerprint(POISON))
        )
        (attempt,) = fleet.in_flight.values()
        crash = Crash(RunnerId("engines-9"), StartIdentity("start-1"))
        notice = SuspicionNotice(Fingerprint(POISON), (crash,), (crash,), cleared=False)
        fleet.handle(PeerReceived(SeatNumber(1), notice))
        fleet.run()
        self.assertEqual(fleet.crashes, 1)
        self.assertEqual(len(fleet.sent_notices()[-1].crashes), 2)

    def test_sound_request_tried_beside_crashing_one_of_another_host_is_served(
        self,
    ) -> None:
        fleet = CrashingRunnerFleet(seats=3)
        fleet.handle(build_request_arrived(fleet.clock.now(), 1, stream=False))
        for _ in range(2):
            fleet.lose_beside(Fingerprint(POISON))
        fleet.run()
        self.assertEqual(fleet.failures_by_id, {})
        self.assertEqual(fleet.answered_ids, {"request-1"})

    def test_crashing_request_tried_beside_others_crashes_at_most_three_runners(
        self,
    ) -> None:
        fleet = CrashingRunnerFleet(seats=3)
        poison = Fingerprint(POISON)
        fleet.handle(build_request_arrived(fleet.clock.now(), 1, fingerprint=poison))
        for _ in range(2):
            if fleet.in_flight:
                fleet.lose_beside(Fingerprint("sound"))
        fleet.run()
        self.assertLessEqual(fleet.crashes, 3)
        self.assertEqual(set(fleet.failures_by_id), {"request-1"})

    def test_request_whose_runners_stay_away_is_not_held_for_long(self) -> None:
        """Guards against a caller that waits for a runner which never returns."""
        fleet = CrashingRunnerFleet(seats=3)
        fleet.handle(build_request_arrived(fleet.clock.now(), 1, stream=False))
        for _ in range(2):
            (attempt,) = fleet.in_flight.values()
            fleet.lose(attempt.runner_id)
        fleet.clock.advance(2_000)
        fleet.handle(TimerDue())
        self.assertEqual(set(fleet.failures_by_id), {"request-1"})

    def test_request_that_lost_two_connections_is_served_once_that_is_known(
        self,
    ) -> None:
        """Guards against refusing a request before its last loss is known."""
        fleet = CrashingRunnerFleet()
        fleet.handle(build_request_arrived(fleet.clock.now(), 1, stream=False))
        for _ in range(2):
            (attempt,) = fleet.in_flight.values()
            fleet.lose(attempt.runner_id)
        fleet.clock.advance(1_100)
        fleet.handle(TimerDue())
        for number in range(1, RUNNERS + 1):
            fleet.restart(f"engines-{number}", restarts=False)
        fleet.run()
        self.assertEqual(fleet.answered_ids, {"request-1"})
