"""The codec for the items that the platform publishes."""

import json
import unittest
from typing import Any

from figshunt.directory import (
    ConfigurationPublished,
    ConfigurationUnreadable,
    DirectoryMessage,
    EvacuationPublished,
    Repeatability,
    RunnerListed,
    RunnerUnlisted,
)
from figshunt.platform import PlatformItemCodec
from tests.builders import build_item

ENTRY = {
    "service": "engines",
    "addr": "10.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 1500,
    "seq": 4,
    "born": 1700000000000,
}
ROUTE = {
    "name": "r",
    "host": "h.example",
    "prefix": "/p/",
    "kind": "stream",
    "timeoutMs": 3000,
    "sloMs": 500,
    "priority": 1,
    "service": "engines",
    "maxAttempts": 1,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapTargetMs": 300,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "engines",
            "maxConns": 360,
            "coldS": 3.0,
            "coldPerS": 13.0,
            "engine": {"slots": 64, "kvCapacity": 1000, "stride": 4},
        }
    ],
    "limits": {"maxBodyBytes": 100},
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def decode(key: str, value: Any, after_outage: bool = False) -> DirectoryMessage:
    data = None if value is None else json.dumps(value).encode()
    (message,) = PlatformItemCodec().decode([build_item(key, 9, data)], after_outage)
    return message


class ItemsTest(unittest.TestCase):
    """Guards against entries that are misread or make decoding fail."""

    def test_runner_is_decoded(self) -> None:
        message = decode("servers/i-1", ENTRY)
        assert isinstance(message, RunnerListed) and message.runner is not None
        self.assertEqual("10.0.0.9:80", message.runner.address)
        self.assertEqual(1500, message.runner.cold_left_ms)
        self.assertEqual(1700000000000, message.runner.started_wall_ms)
        self.assertFalse(message.runner.is_leaving)

    def test_draining_runner_is_leaving(self) -> None:
        message = decode("servers/i-1", ENTRY | {"state": "draining"})
        assert isinstance(message, RunnerListed) and message.runner is not None
        self.assertTrue(message.runner.is_leaving)

    def test_malformed_entries_have_no_runner(self) -> None:
        cases: dict[str, Any] = {
            "no address": {key: field for key, field in ENTRY.items() if key != "addr"},
            "address of another type": ENTRY | {"addr": 5},
            "address without a port": ENTRY | {"addr": "10.0.0.9"},
            "unknown state": ENTRY | {"state": "asleep"},
            "state of another type": ENTRY | {"state": ["ready"]},
            "slots of another type": ENTRY | {"slots": "many"},
            "not an object": [1, 2],
            "born of another type": ENTRY | {"born": "now"},
        }
        for name, value in cases.items():
            with self.subTest(name):
                message = decode("servers/i-1", value)
                assert isinstance(message, RunnerListed)
                self.assertIsNone(message.runner)

    def test_odd_entries_of_another_writer_have_no_runner(self) -> None:
        text = json.dumps(ENTRY)
        nested = "[" * 100_000 + "]" * 100_000
        cases = {
            "nested value": nested,
            "nested field": text.replace("64", nested),
            "nested unknown field": text.replace('"seq": 4', f'"seq": {nested}'),
            "infinite slots": text.replace("64", "1e999"),
            "huge slots": text.replace("64", "9" * 400),
            "negative slots": text.replace("64", "-1"),
            "infinite cold time": text.replace("1500", "1e999"),
            "huge cold time": text.replace("1500", "9" * 400),
            "infinite start": text.replace("1700000000000", "1e999"),
            "huge start": text.replace("1700000000000", "9" * 400),
            "port 0": text.replace(":80", ":0"),
            "port out of range": text.replace(":80", ":65536"),
            "port with other digits": text.replace(":80", ":\u0668"),
            "port with a sign": text.replace(":80", ":+80"),
            "host that is no address": text.replace("10.0.0.9", "10.0.0.999"),
        }
        for name, value in cases.items():
            with self.subTest(name):
                odd, sound = PlatformItemCodec().decode(
                    [
                        build_item("servers/odd", 8, value.encode()),
                        build_item("servers/sound", 9, text.encode()),
                    ],
                    False,
                )
                assert isinstance(odd, RunnerListed)
                assert isinstance(sound, RunnerListed)
                self.assertIsNone(odd.runner)
                self.assertIsNotNone(sound.runner)

    def test_entry_that_is_not_utf8_has_no_runner(self) -> None:
        (message,) = PlatformItemCodec().decode(
            [build_item("servers/i", 9, b"\xff{")], False
        )
        assert isinstance(message, RunnerListed)
        self.assertIsNone(message.runner)

    def test_deleted_entry_is_unlisted(self) -> None:
        message = decode("servers/i-1", None, after_outage=True)
        assert isinstance(message, RunnerUnlisted)
        self.assertTrue(message.after_outage)

    def test_evacuation_starts_and_ends(self) -> None:
        for value, is_evacuated in (({}, True), (None, False)):
            message = decode("op/evacuate/a", value)
            assert isinstance(message, EvacuationPublished)
            self.assertEqual(
                ("a", is_evacuated), (message.data_centre, message.is_evacuated)
            )

    def test_configuration_is_decoded(self) -> None:
        message = decode("op/config", CONFIGURATION)
        assert isinstance(message, ConfigurationPublished)
        configuration = message.configuration
        (route,) = configuration.routes
        self.assertEqual(Repeatability.RESUMABLE, route.repeatability)
        self.assertEqual(["engines"], [share.pool for share in route.pool_shares])
        self.assertEqual(2, len(configuration.teams_by_key_sha256))

    def test_stream_that_is_not_resumable_runs_once(self) -> None:
        for changes in ({"resumable": False}, {"kind": "unsafe"}):
            document = CONFIGURATION | {"routes": [ROUTE | changes]}
            message = decode("op/config", document)
            assert isinstance(message, ConfigurationPublished)
            (route,) = message.configuration.routes
            self.assertEqual(Repeatability.RUN_ONCE, route.repeatability)

    def test_split_keeps_its_weights(self) -> None:
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        route = {key: field for key, field in ROUTE.items() if key != "service"} | {
            "split": split
        }
        message = decode("op/config", CONFIGURATION | {"routes": [route]})
        assert isinstance(message, ConfigurationPublished)
        (decoded,) = message.configuration.routes
        self.assertEqual([90, 10], [share.weight for share in decoded.pool_shares])

    def test_keys_are_required_as_soon_as_teams_are_published(self) -> None:
        """Guards against a configuration without keys that opens all routes."""
        team = {"name": "a", "apiKeys": []}
        without_teams = {name: CONFIGURATION[name] for name in CONFIGURATION}
        del without_teams["tenants"]
        for document, is_required in (
            (CONFIGURATION | {"tenants": [team]}, True),
            (CONFIGURATION | {"tenants": [{"name": "a"}]}, True),
            (CONFIGURATION | {"tenants": []}, True),
            (CONFIGURATION | {"tenants": None}, False),
            (without_teams, False),
        ):
            with self.subTest(tenants=document.get("tenants")):
                message = decode("op/config", document)
                assert isinstance(message, ConfigurationPublished)
                self.assertIs(is_required, message.configuration.requires_caller_key)

    def test_odd_access_rules_are_malformed(self) -> None:
        """Guards against routes that are open to callers who may not use them."""
        for changes in (
            {"tenants": {}},
            {"tenants": ""},
            {"tenants": False},
            {"tenants": [{"name": "a", "apiKeys": "key"}]},
            {"tenants": [{"name": "a", "apiKeys": None}]},
            {"routes": [ROUTE | {"public": "false"}]},
            {"routes": [ROUTE | {"public": 1}]},
        ):
            with self.subTest(**changes):
                message = decode("op/config", CONFIGURATION | changes)
                self.assertIsInstance(message, ConfigurationUnreadable)

    def test_malformed_configuration_is_reported(self) -> None:
        for value in ([], {"version": 1}, CONFIGURATION | {"routes": [{}]}):
            self.assertIsInstance(decode("op/config", value), ConfigurationUnreadable)

    def test_odd_configuration_is_reported(self) -> None:
        nested = "[" * 100_000 + "]" * 100_000
        for value in (nested, json.dumps(CONFIGURATION).replace("360", nested)):
            item = build_item("op/config", 9, value.encode())
            (message,) = PlatformItemCodec().decode([item], False)
            self.assertIsInstance(message, ConfigurationUnreadable)


if __name__ == "__main__":
    unittest.main()
