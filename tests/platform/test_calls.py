"""The codec for requests and responses with the platform's headers."""

import unittest

from figshunt.dispatch import (
    Call,
    ReplyHead,
    ReplyVerdict,
    RunnerLoad,
    StartCallAttempt,
)
from figshunt.platform import PlatformCallCodec
from figshunt.types import AttemptId, Moment, RunnerId, TeamName

HEADERS = [
    ("Host", "h.example"),
    ("X-Figshunt-Attempt-Id", "abc"),
    ("X-Figshunt-Model", "m"),
    ("X-Figshunt-Token-Counts", "1460,80"),
    ("X-Figshunt-Prompt-Prefix", "5c:800,91:410,e4:250"),
    ("X-Figshunt-Deadline-Ms", "5000"),
    ("Authorization", "Token secret"),
    ("Last-Event-Id", "12"),
    ("Connection", "keep-alive"),
    ("X-Figshunt-Tenant", "forged"),
    ("X-Figshunt-Kv-Hold", "forged"),
    ("X-Figshunt-Expect-Instance", "forged"),
    ("X-Custom", "kept"),
]


class CallCodecTest(unittest.TestCase):
    """Guards against leaked keys, forged headers and misread responses."""

    def setUp(self) -> None:
        self.codec = PlatformCallCodec()

    def decode(self, *extra: tuple[str, str]) -> Call:
        headers = [*HEADERS, *extra]
        return self.codec.decode_call("POST", "/p/x?q=1", headers, b"{}", Moment(0, 0))

    def build_attempt(self) -> StartCallAttempt:
        return StartCallAttempt(
            AttemptId("a1"),
            RunnerId("i-1"),
            "10.0.0.1:80",
            self.decode(),
            TeamName("team"),
            4_000,
            2,
            12,
        )

    def decode_head(self, status: int, *headers: tuple[str, str]) -> ReplyHead:
        return self.codec.decode_head(self.build_attempt(), status, headers)

    def test_call_is_decoded(self) -> None:
        call = self.decode()
        assert call.prompt is not None
        self.assertEqual("secret", call.caller_key)
        self.assertEqual((5_000, 12), (call.time_limit_ms, call.resume_after))
        self.assertEqual([800, 410, 250], [part.tokens for part in call.prompt.parts])

    def test_calls_with_the_same_request_id_get_different_call_ids(self) -> None:
        self.assertNotEqual(self.decode().call_id, self.decode().call_id)

    def test_runner_gets_neither_the_key_nor_forged_headers(self) -> None:
        headers = self.codec.encode_attempt(self.build_attempt())
        values = [value for _, value in headers]
        self.assertNotIn("Token secret", values)
        self.assertNotIn("forged", values)
        by_name = dict(headers)
        self.assertEqual("team", by_name["X-Figshunt-Tenant"])
        self.assertEqual("i-1", by_name["X-Figshunt-Expect-Instance"])
        self.assertEqual("4000", by_name["X-Figshunt-Deadline-Ms"])
        self.assertEqual("kept", by_name["X-Custom"])
        self.assertEqual(len(headers), len({name.lower() for name, _ in headers}))

    def test_key_is_not_shown_by_repr(self) -> None:
        self.assertNotIn("secret", repr(self.decode()))

    def test_malformed_values_count_as_absent(self) -> None:
        call = self.codec.decode_call(
            "GET",
            "/",
            [
                ("X-Figshunt-Token-Counts", "many"),
                ("X-Figshunt-Deadline-Ms", "-5"),
                ("Authorization", "Basic x"),
            ],
            b"",
            Moment(0, 0),
        )
        self.assertIsNone(call.prompt)
        self.assertIsNone(call.time_limit_ms)
        self.assertIsNone(call.caller_key)

    def test_status_and_headers_determine_the_verdict(self) -> None:
        not_run = ("X-Figshunt-Not-Executed", "1")
        cases = (
            (200, (), ReplyVerdict.ANSWERED),
            (500, (), ReplyVerdict.FAILED),
            (503, (), ReplyVerdict.UNPROVEN_REFUSAL),
            (429, (), ReplyVerdict.UNPROVEN_REFUSAL),
            (408, (), ReplyVerdict.UNPROVEN_REFUSAL),
            (504, (), ReplyVerdict.FAILED),
            (200, (not_run,), ReplyVerdict.REFUSED),
            (503, (not_run,), ReplyVerdict.REFUSED),
            (400, (not_run,), ReplyVerdict.REFUSED),
            (421, (), ReplyVerdict.WRONG_RUNNER),
        )
        for status, headers, verdict in cases:
            with self.subTest(status=status, headers=headers):
                self.assertEqual(verdict, self.decode_head(status, *headers).verdict)

    def test_announced_leaving_is_read(self) -> None:
        """Guards against requests to a runner that says in its answers that it leaves.

        It may be the only way in which a host can learn of it.
        """
        for value, announces_leaving in (("1", True), (" 1", True), ("0", False)):
            with self.subTest(value=value):
                head = self.decode_head(200, ("server-leaving", value))
                self.assertEqual(announces_leaving, head.announces_leaving)
        self.assertFalse(self.decode_head(200).announces_leaving)

    def test_load_is_read_and_malformed_figures_count_as_absent(self) -> None:
        """Guards against an answer that is lost because of a figure in its headers."""
        cases = (
            ("3,0,8", RunnerLoad(3, 0, 8)),
            ("3, 1,8,250", RunnerLoad(3, 1, 8, 250)),
            ("3,0", None),
            ("3,0,0", None),
            ("3,-1,8", None),
            ("3,0,8,x", None),
            ("3,0,8,100,1", None),
            ("9" * 5_000 + ",0,8", None),
        )
        for value, load in cases:
            with self.subTest(value=value[:20]):
                head = self.decode_head(200, ("x-figshunt-instance-load", value))
                self.assertEqual(load, head.load)

    def test_response_to_another_request_is_not_ours(self) -> None:
        own = ("X-Figshunt-Attempt-Id", "abc")
        other = ("X-Figshunt-Attempt-Id", "xyz")
        self.assertTrue(self.decode_head(200, own).matches_request)
        self.assertFalse(self.decode_head(200, other).matches_request)
        self.assertFalse(self.decode_head(200).matches_request)
        self.assertFalse(self.decode_head(200, other, own).matches_request)
        self.assertFalse(self.decode_head(200, own, other).matches_request)

    def test_refusal_is_never_a_stream(self) -> None:
        head = self.decode_head(
            200,
            ("Content-Type", "text/event-stream"),
            ("X-Figshunt-Not-Executed", "1"),
        )
        self.assertFalse(head.is_stream)

    def test_refusal_has_request_id_and_retry_after(self) -> None:
        headers = self.codec.encode_refusal(self.decode(), 250)
        self.assertEqual(
            {"X-Figshunt-Attempt-Id": "abc", "Retry-After": "0.250"}, headers
        )


if __name__ == "__main__":
    unittest.main()
