"""An error that nobody expected must not stop a host or hold a caller."""

import asyncio
import random
import unittest
from collections.abc import Iterable
from unittest import mock

import aiohttp
import cbor2

from figshunt.dispatch import (
    CallArrived,
    CrashAge,
    HeldNotice,
    LimitNotice,
    OccupancyNotice,
    RejectionNotice,
    RepeatNotice,
    ReplyEvent,
    SpeedNotice,
    Suspect,
    SuspectKind,
    SuspectReport,
)
from figshunt.exchange import Bundle, BundlePurpose
from figshunt.gateway import DirectoryReader, Listing, OutageRecord, PublishedItems
from figshunt.gateway._status_codec import STATUS_FORMAT, decode_bundle, encode_bundle
from figshunt.pipeline import FilterError, Output, Pipeline
from figshunt.runtime import EventLog
from figshunt.types import (
    DataCentreName,
    Effect,
    Fingerprint,
    HostName,
    LogEvent,
    ManualClock,
    Message,
    Moment,
    PoolName,
    RunnerId,
    Step,
    TimerDue,
    Version,
)
from tests.builders import build_host_status, build_item, build_listing
from tests.gateway.fixture import GatewayFixture, wait_until
from tests.gateway.test_directory_reader import RecordingMessageSink, StubItemCodec


class FailingFilter:
    """Yields one effect for each message and then fails."""

    step = Step.ROUTE
    accepts: tuple[type[Message], ...] = (TimerDue,)

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        yield LogEvent("before", self.step, {})
        raise KeyError("unexpected")


class PipelineErrorTest(unittest.TestCase):
    """Guards against answers that are lost because a later step failed."""

    def test_effects_before_the_error_are_kept(self) -> None:
        with self.assertRaises(FilterError) as caught:
            Pipeline([FailingFilter()]).handle(TimerDue(), Moment(0, 0))
        (effect,) = caught.exception.effects
        self.assertIsInstance(effect, LogEvent)
        self.assertIsInstance(caught.exception.__cause__, KeyError)


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that one message stops, in whole or in part."""

    async def asyncSetUp(self) -> None:
        self.fixture = await GatewayFixture().__aenter__()
        self.addAsyncCleanup(self.fixture.__aexit__, None, None, None)

    async def test_caller_of_a_failed_step_is_answered_and_others_are_served(
        self,
    ) -> None:
        self.fail_core(CallArrived)
        async with self.fixture.request("GET", "/look/1") as response:
            self.assertEqual(500, response.status)
        mock.patch.stopall()
        async with self.fixture.request("GET", "/look/2") as response:
            self.assertEqual(200, response.status)

    async def test_stream_of_a_failed_event_is_broken_off(self) -> None:
        self.fail_core(ReplyEvent)
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with asyncio.timeout(2), self.fixture.stream() as response:
                await response.read()

    async def test_timers_go_on_after_an_error(self) -> None:
        handled = self.fail_core(TimerDue)
        await wait_until(lambda: len(handled) >= 3)

    def fail_core(self, message_type: type[Message]) -> list[Message]:
        """Make the core fail at messages of a type, and return those that came."""
        handled: list[Message] = []
        handle = Pipeline.handle

        def handle_or_fail(
            pipeline: Pipeline, message: Message, now: Moment
        ) -> list[Effect]:
            if isinstance(message, message_type):
                handled.append(message)
                raise FilterError(message, []) from KeyError("unexpected")
            return handle(pipeline, message, now)

        mock.patch.object(Pipeline, "handle", handle_or_fail).start()
        self.addCleanup(mock.patch.stopall)
        return handled


class MalformedAnswerSource:
    """Answers the first call with what raises an error, and then correctly."""

    def __init__(self) -> None:
        self.calls = 0

    async def list_items(self) -> Listing:
        self.calls += 1
        if self.calls == 1:
            raise KeyError("rev")
        return build_listing((build_item("a", 5, b"x"),), 5)

    async def watch(self, after: Version, wait_ms: int) -> Listing:
        await asyncio.Event().wait()
        raise AssertionError("the wait ended")

    async def close(self) -> None:
        pass


class ReaderErrorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that never reads the store again."""

    async def test_malformed_answer_of_the_store_does_not_end_the_reader(self) -> None:
        log = EventLog({})
        items = PublishedItems(
            StubItemCodec(), RecordingMessageSink(), log, lambda: None
        )
        reader = DirectoryReader(
            MalformedAnswerSource(),
            items,
            OutageRecord(ManualClock()),
            lambda: 1,
            ManualClock(),
            log,
            random.Random(1),
        )
        await reader.start()
        self.addAsyncCleanup(reader.stop)
        await wait_until(lambda: items.version.revision == 5)


class DatagramTest(unittest.TestCase):
    """Guards against a datagram that raises anything but a ValueError."""

    def test_malformed_datagrams_are_rejected(self) -> None:
        data = encode_bundle(
            Bundle(
                HostName("h2"),
                DataCentreName("a"),
                BundlePurpose.FORWARD,
                (build_host_status(),),
            )
        )
        random_source = random.Random(7)
        values = (None, float("inf"), float("nan"), "x", b"\xff", [], {}, -1, 2**70)
        for _ in range(2_000):
            fields = cbor2.loads(data)
            for _ in range(random_source.randint(1, 3)):
                changed = random_source.choice((fields, fields[-1][0]))
                position = random_source.randrange(1, len(changed) - 1)
                changed[position] = random_source.choice(values)
            self.decode(cbor2.dumps(fields))
        for _ in range(2_000):
            changed_data = bytearray(data)
            for _ in range(random_source.randint(1, 4)):
                position = random_source.randrange(len(data))
                changed_data[position] = random_source.randrange(256)
            self.decode(bytes(changed_data))
        self.decode(b"\x9f" * 1_000)
        self.decode(b"\x81" * 1_000)
        self.decode(cbor2.dumps([STATUS_FORMAT]))

    def test_negative_store_versions_are_rejected(self) -> None:
        for status in (
            build_host_status(era=-1),
            build_host_status(revision=-1),
        ):
            bundle = Bundle(
                HostName("h2"), DataCentreName("a"), BundlePurpose.INFORM, (status,)
            )
            with self.subTest(status=status), self.assertRaises(ValueError):
                decode_bundle(encode_bundle(bundle))

    def test_notices_are_decoded_as_they_were_encoded(self) -> None:
        part = Suspect(SuspectKind.PART, Fingerprint("p1"))
        content = Suspect(SuspectKind.CONTENT, Fingerprint("c1"))
        status = build_host_status(
            suspects=(
                SuspectReport(part, 2, (CrashAge("e1/1000", 250),), 9, 24, 1, 2, 80),
                SuspectReport(content, 0, ()),
            ),
            suspects_digest=2**64 - 1,
            era=2,
            occupancies=(OccupancyNotice(RunnerId("e1"), 3, 12, 9_000),),
            limits=(LimitNotice(RunnerId("e1"), 7, 1.5, 20, 900, 3, True),),
            speeds=(SpeedNotice(RunnerId("e1"), None, 1.62, 2.5, 0.4, 0.0),),
            rejections=(RejectionNotice(RunnerId("b1")),),
            held=(HeldNotice(PoolName("llm"), 2, 5),),
            repeats=(RepeatNotice(PoolName("llm"), 70, 3, True),),
            heard_digest=2**32 - 1,
        )
        bundle = Bundle(
            HostName("h2"), DataCentreName("a"), BundlePurpose.INFORM, (status,)
        )
        self.assertEqual(bundle, decode_bundle(encode_bundle(bundle)))

    def decode(self, data: bytes) -> Bundle | None:
        try:
            return decode_bundle(data)
        except ValueError:
            return None


if __name__ == "__main__":
    unittest.main()
