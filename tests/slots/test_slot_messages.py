"""Peer messages about slots and runners survive the codec."""

import unittest

from figshunt.codec import decode_peer_message, encode_peer_message
from figshunt.types import (
    AskId,
    ColdEvidence,
    PeerMessage,
    ReturnedSlots,
    RunnerId,
    RunnerNotice,
    SlotLoan,
    SlotOffer,
    SlotReturn,
    StartIdentity,
)
from tests.slots.cell import POOL
from tests.slots.one_host import build_loan, build_slot_request

RUNNER = RunnerId("engines-1")


class SlotMessagesTest(unittest.TestCase):
    """Guards against a field that the generic codec can't carry."""

    def test_round_trip(self) -> None:
        messages: list[PeerMessage] = [
            build_slot_request(),
            build_loan(AskId(1_800_000_000_000, 1)),
            build_loan(AskId(1, 1), start=None),
            SlotLoan(AskId(1, 1), 0, ()),
            SlotReturn((ReturnedSlots(1, 2), ReturnedSlots(2, 1))),
            SlotOffer(POOL, 3),
            RunnerNotice(RUNNER, None, 0, None, True),
            RunnerNotice(
                RUNNER, StartIdentity("a"), 9, ColdEvidence.CONNECTION_RESET, False
            ),
        ]
        for message in messages:
            with self.subTest(kind=type(message).__name__):
                encoded = encode_peer_message(message)
                self.assertEqual(decode_peer_message(encoded), message)
