"""The whole path between callers, the store and runners of the platform."""

import asyncio
import unittest

import aiohttp

from figshunt.standins import RunnerBehaviour
from figshunt.types import PoolName
from tests.gateway.site import KEY, LOOPBACK, Site, build_document, wait_until


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a break anywhere between a caller and a runner."""

    async def asyncSetUp(self) -> None:
        self.site = await Site().__aenter__()
        self.addAsyncCleanup(self.site.__aexit__, None, None, None)

    def seen(self) -> list[str]:
        return [one.target for runner in self.site.runners for one in runner.seen]

    def set_behaviour(self, behaviour: RunnerBehaviour) -> None:
        for runner in self.site.runners:
            runner.behaviour = behaviour

    async def test_answer_and_request_pass_unchanged(self) -> None:
        target = "/book/a%2Fb/?q=%20x&&y"
        async with self.site.request("POST", target) as answer:
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.headers["X-Figshunt-Server-Stamp"])
            self.assertEqual("r1", answer.headers["X-Figshunt-Attempt-Id"])
            self.assertIn("served by b", await answer.text())
        (seen,) = [one for runner in self.site.bookings for one in runner.seen]
        self.assertEqual(("POST", target, b"{}"), (seen.method, seen.target, seen.body))
        self.assertEqual("team-a", seen.header("X-Figshunt-Tenant"))
        self.assertIsNone(seen.header("Authorization"))
        self.assertNotIn(KEY, str(seen.headers))

    async def test_stream_passes_whole(self) -> None:
        async with self.site.stream() as answer:
            body = await answer.text()
        self.assertEqual(5, body.count("data: token"))

    async def test_broken_stream_is_resumed_without_a_seam(self) -> None:
        for engine in self.site.engines:
            engine.behaviour = RunnerBehaviour.BREAK_STREAM
        async with self.site.stream() as answer:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await answer.text()
        self.site.engines[0].behaviour = RunnerBehaviour.SERVE
        self.site.engines[1].behaviour = RunnerBehaviour.BREAK_STREAM
        for _ in range(4):
            async with self.site.stream() as answer:
                body = await answer.text()
            ids = [line for line in body.splitlines() if line.startswith("id")]
            self.assertEqual([f"id: {n}" for n in range(5)], ids)

    async def test_unknown_key_and_route(self) -> None:
        async with self.site.request("GET", "/look/1", Authorization="Token x") as one:
            self.assertEqual(401, one.status)
        async with self.site.request("GET", "/none/1") as one:
            self.assertEqual(404, one.status)
        self.assertEqual([], self.seen())

    async def test_refusal_says_when_to_come_back(self) -> None:
        self.set_behaviour(RunnerBehaviour.REFUSE)
        async with self.site.request("POST", "/book/1") as answer:
            self.assertEqual(503, answer.status)
            self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertEqual([], self.seen())

    async def test_lost_booking_runs_once_and_promises_nothing(self) -> None:
        self.set_behaviour(RunnerBehaviour.CLOSE)
        async with self.site.request("POST", "/book/1") as answer:
            self.assertEqual(502, answer.status)
            self.assertNotIn("Retry-After", answer.headers)
        self.assertEqual(1, len(self.seen()))

    async def test_failed_look_up_is_asked_again_elsewhere(self) -> None:
        self.site.bookings[0].behaviour = RunnerBehaviour.FAIL
        for number in range(4):
            async with self.site.request("GET", f"/look/{number}") as answer:
                self.assertEqual(200, answer.status)

    async def test_bytes_after_an_answer_belong_to_nobody(self) -> None:
        self.set_behaviour(RunnerBehaviour.ANSWER_TWICE)
        for number in range(5):
            async with self.site.request("GET", f"/look/{number}") as answer:
                self.assertIn("served by", await answer.text())
            await asyncio.sleep(0.05)
        self.assertEqual(5, len(self.seen()))

    async def test_caller_that_leaves_stops_the_run(self) -> None:
        self.set_behaviour(RunnerBehaviour.HANG)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                async with self.site.request("POST", "/book/1"):
                    pass
        await wait_until(lambda: sum(one.cancelled for one in self.site.bookings) == 1)

    async def test_new_configuration_is_in_force(self) -> None:
        document = build_document(version=9)
        document["routes"] = document["routes"][:1]
        self.site.store.put("op/config", document)
        directory = self.site.daemon.core.directory
        await wait_until(
            lambda: directory.configuration is not None
            and directory.configuration.version == 9
        )
        async with self.site.request("POST", "/book/1") as answer:
            self.assertEqual(404, answer.status)

    async def test_history_lost_while_runners_leave(self) -> None:
        gone = self.site.bookings[0]
        self.site.store.delete(f"servers/{gone.runner_id}")
        self.site.store.discard_history()
        directory = self.site.daemon.core.directory
        pool = PoolName("bookings")
        await wait_until(lambda: len(directory.runners(pool)) == 1)
        for number in range(3):
            async with self.site.request("GET", f"/look/{number}") as answer:
                self.assertEqual(200, answer.status)
        self.assertEqual([], gone.seen)

    async def test_store_that_turns_away_changes_no_answer_for_good(self) -> None:
        self.site.store.failing_status = 503
        directory = self.site.daemon.core.directory
        await wait_until(lambda: not directory.is_current)
        async with self.site.request("GET", "/none/1") as answer:
            self.assertEqual(503, answer.status)
        async with self.site.request("GET", "/look/1") as answer:
            self.assertEqual(200, answer.status)

    async def test_metrics_and_readiness(self) -> None:
        async with self.site.request("GET", "/look/1"):
            pass
        ports = self.site.daemon.metrics.port, self.site.daemon.readiness.port
        session = self.site.session
        async with session.get(f"http://{LOOPBACK}:{ports[0]}/metrics") as answer:
            text = await answer.text()
        self.assertIn('figshunt_answers_total{route="look"} 1.0', text)
        async with session.get(f"http://{LOOPBACK}:{ports[1]}/readiness") as answer:
            self.assertEqual(200, answer.status)


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that pass a check here and mean another there."""

    async def asyncSetUp(self) -> None:
        self.site = await Site().__aenter__()
        self.addAsyncCleanup(self.site.__aexit__, None, None, None)

    async def exchange(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(
            LOOPBACK, self.site.daemon.front.port
        )
        writer.write(data)
        async with asyncio.timeout(20):
            line = await reader.readline()
        writer.close()
        return line

    async def test_malformed_requests_reach_no_runner(self) -> None:
        key = f"Host: h.example\r\nAuthorization: Token {KEY}\r\n".encode()
        cases = {
            "no request line": b"hello\r\n\r\n",
            "two lengths": b"POST /book/1 HTTP/1.1\r\n"
            + key
            + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
            "length and chunks": b"POST /book/1 HTTP/1.1\r\n"
            + key
            + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "bad chunk": b"POST /book/1 HTTP/1.1\r\n"
            + key
            + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            "target of another host": b"GET http://other/look/1 HTTP/1.1\r\n"
            + key
            + b"\r\n",
        }
        for name, data in cases.items():
            with self.subTest(name):
                self.assertIn(b" 400 ", await self.exchange(data))
        self.assertEqual([], [one for run in self.site.runners for one in run.seen])


if __name__ == "__main__":
    unittest.main()
