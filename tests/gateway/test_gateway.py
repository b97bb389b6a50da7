"""The complete path between callers, a simulated store and simulated runners."""

import asyncio
import unittest

import aiohttp

from figshunt.standins import RunnerBehaviour
from figshunt.types import PoolName
from tests.builders import build_raw_request
from tests.gateway.fixture import (
    CALLER_API_KEY,
    LOOPBACK,
    GatewayFixture,
    build_document,
    wait_until,
)

# Callers conclude from these that their request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a fault anywhere between a caller and a runner."""

    async def asyncSetUp(self) -> None:
        self.fixture = await GatewayFixture().__aenter__()
        self.addAsyncCleanup(self.fixture.__aexit__, None, None, None)

    def received_targets(self) -> list[str]:
        return [
            request.target
            for runner in self.fixture.runners
            for request in runner.received_requests
        ]

    def set_behaviour(self, behaviour: RunnerBehaviour) -> None:
        for runner in self.fixture.runners:
            runner.behaviour = behaviour

    async def test_request_and_response_are_forwarded_unchanged(self) -> None:
        target = "/book/a%2Fb/?q=%20x&&y"
        async with self.fixture.request("POST", target) as response:
            self.assertEqual(200, response.status)
            self.assertTrue(response.headers["X-Figshunt-Server-Stamp"])
            self.assertEqual("r1", response.headers["X-Figshunt-Attempt-Id"])
            self.assertIn("served by b", await response.text())
        (received,) = [
            request
            for runner in self.fixture.bookings
            for request in runner.received_requests
        ]
        self.assertEqual(
            ("POST", target, b"{}"), (received.method, received.target, received.body)
        )
        self.assertEqual("team-a", received.header("X-Figshunt-Tenant"))
        self.assertIsNone(received.header("Authorization"))
        self.assertNotIn(CALLER_API_KEY, str(received.headers))

    async def test_stream_is_forwarded_completely(self) -> None:
        async with self.fixture.stream() as response:
            body = await response.text()
        self.assertEqual(5, body.count("data: token"))

    async def test_broken_stream_is_resumed_without_gap_or_repeat(self) -> None:
        for engine in self.fixture.engines:
            engine.behaviour = RunnerBehaviour.BREAK_STREAM
        async with self.fixture.stream() as response:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await response.text()
        self.fixture.engines[0].behaviour = RunnerBehaviour.SERVE
        self.fixture.engines[1].behaviour = RunnerBehaviour.BREAK_STREAM
        for _ in range(4):
            async with self.fixture.stream() as response:
                body = await response.text()
            ids = [line for line in body.splitlines() if line.startswith("id")]
            self.assertEqual([f"id: {n}" for n in range(5)], ids)

    async def test_unknown_key_and_route_are_refused(self) -> None:
        async with self.fixture.request(
            "GET", "/look/1", Authorization="Token x"
        ) as response:
            self.assertEqual(401, response.status)
        async with self.fixture.request("GET", "/none/1") as response:
            self.assertEqual(404, response.status)
        self.assertEqual([], self.received_targets())

    async def test_withdrawal_of_the_last_key_refuses_all_keys(self) -> None:
        """Guards against a service that is open to everybody once no key is left."""
        tenants = [{"name": "team-a", "apiKeys": []}]
        self.fixture.store.put("op/config", build_document(5, tenants=tenants))
        directory = self.fixture.daemon.core.directory
        await wait_until(lambda: directory.configuration.version == 5)
        for key in (CALLER_API_KEY, "never-issued"):
            authorization = {"Authorization": f"Token {key}"}
            async with self.fixture.request("GET", "/look/1", **authorization) as reply:
                self.assertEqual(401, reply.status)
        self.assertEqual([], self.received_targets())

    async def test_refusal_has_a_retry_after_header(self) -> None:
        self.set_behaviour(RunnerBehaviour.REFUSE)
        async with self.fixture.request("POST", "/book/1") as response:
            self.assertEqual(503, response.status)
            self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual([], self.received_targets())

    async def test_late_copy_of_a_refusal_does_not_refuse_the_next_request(
        self,
    ) -> None:
        """Guards against a second run, and against a false "not run"."""
        self.set_behaviour(RunnerBehaviour.REFUSE)
        async with self.fixture.request("POST", "/book/1", "r1") as response:
            self.assertEqual(503, response.status)
        self.set_behaviour(RunnerBehaviour.REPEAT_REFUSAL)
        async with self.fixture.request("POST", "/book/2", "r2") as response:
            self.assertEqual(502, response.status)
            self.assertNotIn("Retry-After", response.headers)
        self.assertEqual(["/book/2"], self.received_targets())
        self.set_behaviour(RunnerBehaviour.SERVE)
        for request_id in ("r3", "r4"):
            async with self.fixture.request("POST", "/book/3", request_id) as response:
                self.assertEqual(200, response.status)
                self.assertEqual(request_id, response.headers["X-Figshunt-Attempt-Id"])

    async def test_late_copy_of_a_refusal_does_not_refuse_a_repeat_under_its_id(
        self,
    ) -> None:
        """Guards against a second run, and against a false "not run"."""
        self.set_behaviour(RunnerBehaviour.REFUSE)
        async with self.fixture.request("POST", "/book/1", "r1") as response:
            self.assertEqual(503, response.status)
        self.set_behaviour(RunnerBehaviour.REPEAT_REFUSAL)
        async with self.fixture.request("POST", "/book/1", "r1") as response:
            self.assertNotIn(response.status, NOT_RUN_STATUSES)
        self.assertEqual(1, len(self.received_targets()))

    async def test_late_copy_of_a_wrong_runner_answer_does_not_refuse_the_next_send(
        self,
    ) -> None:
        """Guards against the refusal of a runner whose address another one has."""
        for runner in self.fixture.bookings:
            runner.behaviour = RunnerBehaviour.REPEAT_REFUSAL
        for number in range(10):
            for runner in self.fixture.bookings:
                self.fixture.store.put(
                    f"servers/former-{number}-{runner.runner_id}",
                    runner.build_store_entry("bookings"),
                )
            directory = self.fixture.daemon.core.directory
            await wait_until(
                lambda: len(directory.runners(PoolName("bookings"))) >= 2 * number + 4
            )
            path = f"/book/{number}"
            async with self.fixture.request("POST", path, f"r{number}") as response:
                runs = self.received_targets().count(path)
                self.assertLessEqual(runs, 1)
                if response.status in NOT_RUN_STATUSES:
                    self.assertEqual(0, runs)
        arrivals = [entry for one in self.fixture.bookings for entry in one.arrivals]
        self.assertTrue(any(arrival.is_wrong_runner for arrival in arrivals))

    async def test_late_copy_of_an_answer_reaches_no_other_caller(self) -> None:
        """Guards against the answer of another request on a kept connection."""
        for number in range(4):
            path = f"/look/{number}"
            async with self.fixture.request("GET", path, "r1") as response:
                self.assertEqual(200, response.status)
        self.set_behaviour(RunnerBehaviour.REPEAT_ANSWER)
        async with self.fixture.request("POST", "/book/1", "r2") as response:
            self.assertEqual(502, response.status)
            self.assertNotIn("another", await response.text())
        async with self.fixture.request("GET", "/look/5", "r3") as response:
            self.assertNotIn("another", await response.text())
            if response.status == 200:
                self.assertEqual("r3", response.headers["X-Figshunt-Attempt-Id"])

    async def test_answer_that_broke_off_is_no_success(self) -> None:
        for behaviour in (RunnerBehaviour.TRUNCATE, RunnerBehaviour.RESET):
            with self.subTest(behaviour):
                self.set_behaviour(behaviour)
                async with self.fixture.request("POST", "/book/1") as response:
                    self.assertEqual(502, response.status)

    async def test_stream_that_broke_off_does_not_look_complete(self) -> None:
        """Guards against the final chunk after a stream that can't be resumed."""
        document = build_document(version=9)
        document["routes"][0]["resumable"] = False
        self.fixture.store.put("op/config", document)
        configuration = self.fixture.daemon.core.directory
        await wait_until(
            lambda: getattr(configuration.configuration, "version", 0) == 9
        )
        self.set_behaviour(RunnerBehaviour.BREAK_STREAM)
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with self.fixture.stream() as response:
                await response.read()

    async def test_engine_that_ends_within_its_answer_counts_as_crashed(self) -> None:
        """Guards against repeats of a request under which engines ended."""
        self.set_behaviour(RunnerBehaviour.BREAK_STREAM)
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with self.fixture.stream() as response:
                await response.read()
        directory = self.fixture.daemon.core.directory
        for engine in self.fixture.engines:
            self.fixture.store.delete(f"servers/{engine.runner_id}")
        await wait_until(lambda: not directory.runners(PoolName("engines")))
        self.set_behaviour(RunnerBehaviour.SERVE)
        self.fixture.register_runners()
        await wait_until(lambda: len(directory.runners(PoolName("engines"))) == 2)
        async with self.fixture.stream() as response:
            self.assertEqual(503, response.status)

    async def test_lost_booking_runs_once_and_has_no_retry_after(self) -> None:
        self.set_behaviour(RunnerBehaviour.CLOSE)
        async with self.fixture.request("POST", "/book/1") as response:
            self.assertEqual(502, response.status)
            self.assertNotIn("Retry-After", response.headers)
        self.assertEqual(1, len(self.received_targets()))

    async def test_failed_look_up_is_retried_on_another_runner(self) -> None:
        self.fixture.bookings[0].behaviour = RunnerBehaviour.FAIL
        for number in range(4):
            async with self.fixture.request("GET", f"/look/{number}") as response:
                self.assertEqual(200, response.status)

    async def test_bytes_after_a_response_are_discarded(self) -> None:
        self.set_behaviour(RunnerBehaviour.ANSWER_TWICE)
        for number in range(5):
            async with self.fixture.request("GET", f"/look/{number}") as response:
                self.assertIn("served by", await response.text())
            await asyncio.sleep(0.05)
        self.assertEqual(5, len(self.received_targets()))

    async def test_caller_disconnect_cancels_the_run(self) -> None:
        self.set_behaviour(RunnerBehaviour.HANG)

        async def send_booking() -> None:
            async with self.fixture.request("POST", "/book/1"):
                self.fail("the runner answered")

        caller = asyncio.create_task(send_booking())
        await wait_until(lambda: bool(self.received_targets()))
        caller.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await caller
        await wait_until(
            lambda: sum(runner.cancelled for runner in self.fixture.bookings) == 1
        )

    async def test_new_configuration_takes_effect(self) -> None:
        document = build_document(version=9)
        document["routes"] = document["routes"][:1]
        self.fixture.store.put("op/config", document)
        directory = self.fixture.daemon.core.directory
        await wait_until(
            lambda: directory.configuration is not None
            and directory.configuration.version == 9
        )
        async with self.fixture.request("POST", "/book/1") as response:
            self.assertEqual(404, response.status)

    async def test_runner_removed_while_history_is_lost_gets_no_calls(self) -> None:
        removed_runner = self.fixture.bookings[0]
        self.fixture.store.delete(f"servers/{removed_runner.runner_id}")
        self.fixture.store.discard_history()
        directory = self.fixture.daemon.core.directory
        pool = PoolName("bookings")
        await wait_until(lambda: len(directory.runners(pool)) == 1)
        for number in range(3):
            async with self.fixture.request("GET", f"/look/{number}") as response:
                self.assertEqual(200, response.status)
        self.assertEqual([], removed_runner.received_requests)

    async def test_failing_store_makes_unknown_route_unavailable_only(self) -> None:
        self.fixture.store.failing_status = 503
        directory = self.fixture.daemon.core.directory
        await wait_until(lambda: not directory.is_current)
        async with self.fixture.request("GET", "/none/1") as response:
            self.assertEqual(503, response.status)
        async with self.fixture.request("GET", "/look/1") as response:
            self.assertEqual(200, response.status)

    async def test_metrics_and_readiness_endpoints(self) -> None:
        async with self.fixture.request("GET", "/look/1"):
            pass
        ports = self.fixture.daemon.metrics.port, self.fixture.daemon.readiness.port
        session = self.fixture.session
        async with session.get(f"http://{LOOPBACK}:{ports[0]}/metrics") as response:
            text = await response.text()
        self.assertIn('figshunt_answers_total{route="look"} 1.0', text)
        async with session.get(f"http://{LOOPBACK}:{ports[1]}/readiness") as response:
            self.assertEqual(200, response.status)


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that this host and a runner would parse differently."""

    async def asyncSetUp(self) -> None:
        self.fixture = await GatewayFixture().__aenter__()
        self.addAsyncCleanup(self.fixture.__aexit__, None, None, None)

    async def read_status_line(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(
            LOOPBACK, self.fixture.daemon.front.port
        )
        writer.write(data)
        async with asyncio.timeout(20):
            line = await reader.readline()
        writer.close()
        return line

    async def test_caller_that_waits_with_its_body_is_told_to_send_it(self) -> None:
        """Guards against callers that wait for ``100 Continue`` until they give up."""
        head = (
            "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nExpect: 100-continue\r\n"
            f"Authorization: Token {CALLER_API_KEY}\r\nContent-Length: %d\r\n\r\n"
        )
        for length, status in ((2, b" 100 "), (9_000_000, b" 413 ")):
            with self.subTest(length):
                line = await self.read_status_line((head % length).encode())
                self.assertIn(status, line)

    async def test_stream_for_http_1_0_ends_with_its_connection(self) -> None:
        """Guards against callers that wait for an end that nothing delimits."""
        data = build_raw_request(
            "/chat/1",
            {
                "Connection": "keep-alive",
                "Authorization": f"Token {CALLER_API_KEY}",
                "Host": "h.example",
                "X-Figshunt-Attempt-Id": "r1",
                "X-Figshunt-Token-Counts": "100,20",
            },
        ).replace(b"HTTP/1.1", b"HTTP/1.0")
        reader, writer = await asyncio.open_connection(
            LOOPBACK, self.fixture.daemon.front.port
        )
        self.addCleanup(writer.close)
        writer.write(data)
        async with asyncio.timeout(5):
            self.assertEqual(5, (await reader.read()).count(b"data: token"))

    async def test_malformed_requests_reach_no_runner(self) -> None:
        key = f"Host: h.example\r\nAuthorization: Token {CALLER_API_KEY}\r\n".encode()
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
                self.assertIn(b" 400 ", await self.read_status_line(data))
        self.assertEqual(
            [],
            [
                request
                for runner in self.fixture.runners
                for request in runner.received_requests
            ],
        )


if __name__ == "__main__":
    unittest.main()
