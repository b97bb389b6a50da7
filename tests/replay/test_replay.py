"""The replay notices each kind of broken promise."""

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
    RunnerFigures,
    RunnerReading,
    StreamCheck,
    compare_readings,
    replay_requests,
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


DONE = b"data: [DONE]\n\n"
FOREIGN = build_event(1, "answer-of-another")


class AnswerCheckTest(unittest.TestCase):
    """Guards promise 5: an answer that isn't whole must not count as whole."""

    def test_streams(self) -> None:
        first, second = build_event(0), build_event(1)
        cases = (
            ("whole", [first, second, DONE], None),
            ("cut", [first, DONE], AnswerFault.INCOMPLETE),
            ("no end marker", [first, second], AnswerFault.INCOMPLETE),
            ("repeated", [first, first, second, DONE], AnswerFault.OUT_OF_ORDER),
            ("swapped", [second, first, DONE], AnswerFault.OUT_OF_ORDER),
            ("spliced", [first, FOREIGN, DONE], AnswerFault.FOREIGN),
            ("garbage", [first, b"data: {}\n\n", DONE], AnswerFault.MALFORMED),
        )
        for name, events, fault in cases:
            with self.subTest(name):
                check = StreamCheck(BODY, expected_tokens=2)
                data = b"".join(events)
                for start in range(0, len(data), 7):
                    check.feed(data[start : start + 7])
                self.assertEqual(check.finish(), fault)

    def test_plain_answers(self) -> None:
        own = {"digest": digest_content(BODY), "key": KEY}
        cases = (
            (json.dumps(own), None),
            (json.dumps(own)[:-1], AnswerFault.MALFORMED),
            ("", AnswerFault.INCOMPLETE),
            (json.dumps({**own, "key": "other"}), AnswerFault.FOREIGN),
            (json.dumps({**own, "digest": "other"}), AnswerFault.FOREIGN),
        )
        for text, fault in cases:
            with self.subTest(text):
                check = PlainCheck(BODY, KEY)
                check.feed(text.encode())
                self.assertEqual(check.finish(), fault)


class ReportTest(unittest.TestCase):
    """What makes a replay not good, and the figures."""

    def build_report(self, *outcomes: CallOutcome) -> ReplayReport:
        report = ReplayReport({RouteName("chat"): 100})
        for outcome in outcomes:
            report.record(outcome)
        report.duration_ms = 2000
        return report

    def build_whole(self, first_token_ms: float) -> CallOutcome:
        return CallOutcome(
            build_trace_request(),
            CallResult.WHOLE,
            first_token_ms=first_token_ms,
            whole_ms=first_token_ms,
            tokens=3,
        )

    def test_what_is_good(self) -> None:
        request = build_trace_request()
        refused = CallOutcome(request, CallResult.REFUSED, "queue_full", KEY)
        cases = (
            (self.build_whole(1), {}, True),
            (refused, {}, True),
            (refused, {KEY: 1}, False),
            (self.build_whole(1), {KEY: 2}, False),
            (CallOutcome(request, CallResult.FAILED, "runner_failed"), {}, False),
            (CallOutcome(request, CallResult.BROKEN, "incomplete"), {}, False),
            (CallOutcome(request, CallResult.NOT_SENT), {}, False),
        )
        for outcome, runs_by_key, is_good in cases:
            with self.subTest(result=outcome.result, runs=runs_by_key):
                report = self.build_report(outcome)
                report.runners = RunnerFigures(runs_by_key=Counter(runs_by_key))
                self.assertEqual(report.is_good, is_good)

    def test_figures_count_refusals_as_not_attained(self) -> None:
        refused = CallOutcome(build_trace_request(), CallResult.REFUSED, "x" * 200)
        report = self.build_report(
            self.build_whole(50), self.build_whole(101), refused, refused
        )
        report.runners = RunnerFigures(tokens_generated=8)
        figures = report.to_json()
        chat = figures["classes"]["chat"]
        self.assertEqual((chat["attainment"], chat["goodput_per_s"]), (0.25, 0.5))
        self.assertEqual((figures["tokens_wasted"], chat["refused"]), (2, 2))
        self.assertTrue(all(len(line) <= 80 for line in report.to_lines()))


class ReplayTest(unittest.IsolatedAsyncioTestCase):
    """Replays straight against stand-ins."""

    async def start_plain(self, service_ms: float) -> PlainService:
        profile = PlainProfile(service_ms=service_ms, cold_limit=9)
        service = PlainService(profile, random.Random(1))
        await service.start()
        self.addAsyncCleanup(service.stop)
        return service

    async def test_streams_are_checked_and_counted(self) -> None:
        engine = ModelEngine(EngineProfile(warm_after=0), random.Random(1))
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        requests = [build_trace_request(name=str(number)) for number in range(5)]
        report = await replay_requests(
            ReplayPlan([engine.url]), requests, {}, [engine.url]
        )
        self.assertEqual((report.is_good, report.tokens_whole), (True, 15))
        self.assertEqual(report.wasted_tokens, 0)

    async def test_second_run_of_a_key_shows(self) -> None:
        """A caller repeats a lost request with its key at the next target."""
        first = await self.start_plain(service_ms=60_000)
        second = await self.start_plain(service_ms=1)
        booking = build_trace_request("booking", output_tokens=0, is_repeatable=False)
        replaying = asyncio.create_task(
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
        report = await replaying
        self.assertEqual((report.most_runs, report.tries), (2, 2))
        self.assertFalse(report.is_good)

    async def test_runners_whose_counters_are_lost_are_told(self) -> None:
        """Guards against figures that look whole after a runner was replaced."""
        service = await self.start_plain(service_ms=1)
        await service.stop()
        report = await replay_requests(ReplayPlan([service.url]), [], {}, [service.url])
        assert report.runners is not None
        self.assertEqual(report.runners.lost, 1)

    def test_counters_that_went_back_are_lost(self) -> None:
        before = {"a": RunnerReading(10, 0, 0, 2, {"k": 1})}
        cases = (
            (RunnerReading(15, 1, 0, 2, {"k": 2}), 0, 5, 1),
            (RunnerReading(4, 0, 0, 1, {"k": 1}), 1, 4, 1),
            (RunnerReading(12, 0, 0, 1, {}), 1, 12, 0),
        )
        for after, lost, tokens, runs in cases:
            with self.subTest(after=after):
                figures = compare_readings(["a"], before, {"a": after})
                self.assertEqual(figures.lost, lost)
                self.assertEqual(figures.tokens_generated, tokens)
                self.assertEqual(figures.most_runs_of_key, runs)
