"""Answer checks, the replay report and replays against stand-ins."""

import asyncio
import json
import random
import unittest
from collections import Counter

import uuid6

from figshunt.replay import (
    AnswerFault,
    CallOutcome,
    CallResult,
    PlainCheck,
    ReplayPlan,
    ReplayReport,
    RunnerCounters,
    RunnerFigures,
    StreamCheck,
    replay_requests,
    sum_counter_increases,
)
from figshunt.standins import (
    EngineProfile,
    ModelEngine,
    PlainProfile,
    PlainService,
    digest_content,
)
from figshunt.types import RouteName
from tests.builders import build_trace_request

BODY = b"body"
KEY = str(uuid6.uuid7())


def build_event(index: int, answer_id: str = f"answer-{digest_content(BODY)}") -> bytes:
    delta = {"id": answer_id, "choices": [{"delta": {"content": f"t{index} "}}]}
    return f"id: {index}\ndata: {json.dumps(delta)}\n\n".encode()


DONE_EVENT = b"data: [DONE]\n\n"
MISMATCHED_EVENT = build_event(1, "answer-of-another")


class AnswerCheckTest(unittest.TestCase):
    """Guards promise 5: an incomplete or wrong answer must not count as complete."""

    def test_stream_faults(self) -> None:
        first, second = build_event(0), build_event(1)
        cases = (
            ("complete", [first, second, DONE_EVENT], None),
            ("token missing", [first, DONE_EVENT], AnswerFault.INCOMPLETE),
            ("no end marker", [first, second], AnswerFault.INCOMPLETE),
            (
                "token repeated",
                [first, first, second, DONE_EVENT],
                AnswerFault.OUT_OF_ORDER,
            ),
            ("tokens swapped", [second, first, DONE_EVENT], AnswerFault.OUT_OF_ORDER),
            (
                "event of another answer",
                [first, MISMATCHED_EVENT, DONE_EVENT],
                AnswerFault.MISMATCHED,
            ),
            (
                "malformed event",
                [first, b"data: {}\n\n", DONE_EVENT],
                AnswerFault.MALFORMED,
            ),
        )
        for name, events, fault in cases:
            with self.subTest(name):
                check = StreamCheck(BODY, expected_tokens=2)
                data = b"".join(events)
                for start in range(0, len(data), 7):
                    check.feed(data[start : start + 7])
                self.assertEqual(check.finish(), fault)

    def test_plain_answer_faults(self) -> None:
        own_document = {"digest": digest_content(BODY), "key": KEY}
        cases = (
            (json.dumps(own_document), None),
            (json.dumps(own_document)[:-1], AnswerFault.MALFORMED),
            ("", AnswerFault.INCOMPLETE),
            (json.dumps({**own_document, "key": "other"}), AnswerFault.MISMATCHED),
            (json.dumps({**own_document, "digest": "other"}), AnswerFault.MISMATCHED),
        )
        for text, fault in cases:
            with self.subTest(text):
                check = PlainCheck(BODY, KEY)
                check.feed(text.encode())
                self.assertEqual(check.finish(), fault)


class ReportTest(unittest.TestCase):
    """The verdict and the figures of a report."""

    def build_report(self, *outcomes: CallOutcome) -> ReplayReport:
        report = ReplayReport({RouteName("chat"): 100})
        for outcome in outcomes:
            report.record(outcome)
        report.duration_ms = 2000
        return report

    def build_complete_outcome(self, first_token_ms: float) -> CallOutcome:
        return CallOutcome(
            build_trace_request(),
            CallResult.COMPLETE,
            first_token_ms=first_token_ms,
            completion_ms=first_token_ms,
            tokens=3,
        )

    def test_replay_is_good_without_failures_duplicate_runs_or_false_refusals(
        self,
    ) -> None:
        request = build_trace_request()
        refused = CallOutcome(request, CallResult.REFUSED, "queue_full", KEY)
        cases = (
            (self.build_complete_outcome(1), {}, True),
            (refused, {}, True),
            (refused, {KEY: 1}, False),
            (self.build_complete_outcome(1), {KEY: 2}, False),
            (CallOutcome(request, CallResult.FAILED, "runner_failed"), {}, False),
            (CallOutcome(request, CallResult.BROKEN, "incomplete"), {}, False),
            (CallOutcome(request, CallResult.NOT_SENT), {}, False),
        )
        for outcome, runs_by_key, is_good in cases:
            with self.subTest(result=outcome.result, runs=runs_by_key):
                report = self.build_report(outcome)
                report.runners = RunnerFigures(runs_by_key=Counter(runs_by_key))
                self.assertEqual(report.is_good, is_good)

    def test_refusals_count_as_missed_targets(self) -> None:
        refused = CallOutcome(build_trace_request(), CallResult.REFUSED, "x" * 200)
        report = self.build_report(
            self.build_complete_outcome(50),
            self.build_complete_outcome(101),
            refused,
            refused,
        )
        report.runners = RunnerFigures(tokens_generated=8)
        figures = report.to_json()
        chat = figures["classes"]["chat"]
        self.assertEqual((chat["attainment"], chat["goodput_per_s"]), (0.25, 0.5))
        self.assertEqual((figures["tokens_wasted"], chat["refused"]), (2, 2))
        self.assertTrue(all(len(line) <= 80 for line in report.to_lines()))


class ReplayTest(unittest.IsolatedAsyncioTestCase):
    """Replays sent directly to stand-ins, without a daemon."""

    async def start_plain_service(self, service_ms: float) -> PlainService:
        profile = PlainProfile(service_ms=service_ms, cold_limit=9)
        service = PlainService(profile, random.Random(1))
        await service.start()
        self.addAsyncCleanup(service.stop)
        return service

    async def test_stream_answers_are_checked_and_their_tokens_counted(self) -> None:
        engine = ModelEngine(EngineProfile(warm_after=0), random.Random(1))
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        requests = [build_trace_request(name=str(number)) for number in range(5)]
        report = await replay_requests(
            ReplayPlan([engine.url]), requests, {}, [engine.url]
        )
        self.assertEqual((report.is_good, report.tokens_delivered), (True, 15))
        self.assertEqual(report.wasted_tokens, 0)

    async def test_second_run_of_a_key_is_reported(self) -> None:
        """Guards against duplicate runs that the report misses.

        The caller's connection breaks while its request runs; the caller then
        retries at the next target, where the same key runs a second time.
        """
        first = await self.start_plain_service(service_ms=60_000)
        second = await self.start_plain_service(service_ms=1)
        booking = build_trace_request("booking", output_tokens=0, is_repeatable=False)
        replay_task = asyncio.create_task(
            replay_requests(
                ReplayPlan([first.url, second.url]),
                [booking],
                {},
                [first.url, second.url],
            )
        )
        async with asyncio.timeout(10):
            while not first.runs_by_key.runs_by_id:
                await asyncio.sleep(0.01)
        first.drop_connections()
        report = await replay_task
        self.assertEqual((report.max_runs_per_key, report.attempts), (2, 2))
        self.assertFalse(report.is_good)

    async def test_runners_with_unreadable_counters_are_reported(self) -> None:
        """Guards against figures that look complete without a runner's counters."""
        service = await self.start_plain_service(service_ms=1)
        await service.stop()
        report = await replay_requests(ReplayPlan([service.url]), [], {}, [service.url])
        assert report.runners is not None
        self.assertEqual(report.runners.runners_lost, 1)

    def test_runners_with_decreased_counters_are_reported(self) -> None:
        before = {"a": RunnerCounters(10, 0, 0, 2, {"k": 1})}
        cases = (
            (RunnerCounters(15, 1, 0, 2, {"k": 2}), 0, 5, 1),
            (RunnerCounters(4, 0, 0, 1, {"k": 1}), 1, 4, 1),
            (RunnerCounters(12, 0, 0, 1, {}), 1, 12, 0),
        )
        for after, runners_lost, tokens, runs in cases:
            with self.subTest(after=after):
                figures = sum_counter_increases(["a"], before, {"a": after})
                self.assertEqual(figures.runners_lost, runners_lost)
                self.assertEqual(figures.tokens_generated, tokens)
                self.assertEqual(figures.max_runs_per_key, runs)
