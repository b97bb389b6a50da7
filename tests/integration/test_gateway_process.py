"""An entry host process between callers and stand-ins of the platform."""

import signal
import tempfile
import unittest
from pathlib import Path

import aiohttp

from figshunt.standins import PlatformRunner, PlatformStore
from tests.gateway.fixture import (
    CALLER_API_KEY,
    LOOPBACK,
    build_document,
    write_settings,
)
from tests.harness import ManagedProcess, start_module

HEADERS = {
    "Host": "h.example",
    "X-Figshunt-Attempt-Id": "r1",
    "X-Figshunt-Deadline-Ms": "4000",
    "X-Figshunt-Token-Counts": "100,20",
    "Authorization": f"Token {CALLER_API_KEY}",
}


class GatewayProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against signals that interrupt requests and secrets in the log.

    SIGTERM stops the host and SIGHUP reloads its settings.
    """

    async def asyncSetUp(self) -> None:
        self.store = PlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.runner = PlatformRunner("e1", events=20, event_interval_ms=100)
        await self.runner.start()
        self.addAsyncCleanup(self.runner.stop)
        self.store.put("servers/e1", self.runner.build_store_entry("engines"))
        self.store.put("op/config", build_document())
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.settings_path = Path(directory.name) / "settings.toml"
        write_settings(self.settings_path, self.store.port)

    async def start_gateway(self) -> tuple[ManagedProcess, str]:
        process = await start_module(
            "figshunt", ["gateway", "--settings", str(self.settings_path)]
        )
        self.addAsyncCleanup(process.kill_and_wait)
        match = await process.wait_for_line(r"event=daemon_started.* front_port=(\d+)")
        await process.wait_for_line("event=runner_listed")
        return process, f"http://{LOOPBACK}:{match[1]}/chat/1"

    async def test_planned_stop_completes_a_running_stream(self) -> None:
        """Guards against a SIGTERM that ends the process before its streams."""
        process, url = await self.start_gateway()
        async with aiohttp.ClientSession() as session:
            async with session.post(url, headers=HEADERS, data=b"{}") as response:
                await response.content.readline()
                process.signal(signal.SIGTERM)
                body = await response.text()
        self.assertIn("id: 19", body)
        self.assertEqual(0, await process.wait())

    async def test_sighup_reloads_settings_but_ignores_invalid_ones(self) -> None:
        """Guards against a reload of an invalid file that stops the service."""
        process, url = await self.start_gateway()
        process.signal(signal.SIGHUP)
        await process.wait_for_line("event=settings_reloaded")
        self.settings_path.write_text("not = [valid")
        process.signal(signal.SIGHUP)
        await process.wait_for_line("event=settings_invalid")
        async with aiohttp.ClientSession() as session:
            async with session.post(url, headers=HEADERS, data=b"{}") as response:
                self.assertEqual(200, response.status)

    async def test_log_contains_no_api_key_and_no_request_body(self) -> None:
        """Guards against API keys and prompts that get into log lines."""
        process, url = await self.start_gateway()
        async with aiohttp.ClientSession() as session:
            async with session.post(
                url, headers=HEADERS, data=b"a private prompt"
            ) as response:
                await response.read()
        await process.wait_for_line("event=send_ended .*result=served")
        log = "\n".join(process.lines)
        self.assertNotIn(CALLER_API_KEY, log)
        self.assertNotIn("private", log)

    async def test_invalid_settings_end_the_process_at_start(self) -> None:
        """Guards against a host that runs although its settings are invalid."""
        self.settings_path.write_text('node = "x"')
        process = await start_module(
            "figshunt", ["gateway", "--settings", str(self.settings_path)]
        )
        self.addAsyncCleanup(process.kill_and_wait)
        self.assertEqual(2, await process.wait())
        self.assertIn("settings_invalid", "\n".join(process.lines))


if __name__ == "__main__":
    unittest.main()
