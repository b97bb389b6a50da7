"""Checks that an answer is whole and belongs to its request."""

import json
from enum import Enum
from typing import Protocol

from figshunt.runtime import EventStreamReader, ServerSentEvent
from figshunt.standins import digest_content


class AnswerFault(Enum):
    """What is wrong with an answer."""

    INCOMPLETE = "incomplete"
    OUT_OF_ORDER = "out_of_order"
    FOREIGN = "foreign"
    MALFORMED = "malformed"


class AnswerCheck(Protocol):
    """Reads an answer as it arrives."""

    @property
    def tokens(self) -> int:
        """Return how many tokens have arrived."""

    @property
    def error_body(self) -> bytes | None:
        """Return the error with which the answer broke off, if it did."""

    def feed(self, data: bytes) -> None:
        """Add bytes."""

    def finish(self) -> AnswerFault | None:
        """Return the fault, or ``None`` if the answer is whole."""


class StreamCheck:
    """Checks a token stream: each id once, in order, up to the last."""

    def __init__(self, body: bytes, expected_tokens: int) -> None:
        self._answer_id = f"answer-{digest_content(body)}"
        self._expected_tokens = expected_tokens
        self._reader = EventStreamReader()
        self._fault: AnswerFault | None = None
        self._is_done = False
        self.tokens = 0
        self.error_body: bytes | None = None

    def feed(self, data: bytes) -> None:
        """Add bytes."""
        for event in self._reader.feed(data):
            if event.raw.startswith(b"event: error"):
                self.error_body = event.data
            elif event.is_done:
                self._is_done = True
            else:
                self._check(event)

    def finish(self) -> AnswerFault | None:
        """Return the fault, or ``None`` if the answer is whole."""
        if self._fault is not None:
            return self._fault
        is_whole = self._is_done and self.tokens == self._expected_tokens
        return None if is_whole else AnswerFault.INCOMPLETE

    def _check(self, event: ServerSentEvent) -> None:
        try:
            document = json.loads(event.data)
            content = document["choices"][0]["delta"]["content"]
        except (LookupError, TypeError, ValueError):
            self._fault = AnswerFault.MALFORMED
            return
        if document.get("id") != self._answer_id:
            self._fault = AnswerFault.FOREIGN
        elif event.event_id != self.tokens or content != f"t{self.tokens} ":
            self._fault = AnswerFault.OUT_OF_ORDER
        self.tokens += 1


class PlainCheck:
    """Checks the answer of a plain service: its digest, key and end."""

    def __init__(self, body: bytes, key: str) -> None:
        self._digest = digest_content(body)
        self._key = key
        self._received = bytearray()
        self.tokens = 0
        self.error_body: bytes | None = None

    def feed(self, data: bytes) -> None:
        """Add bytes."""
        self._received += data

    def finish(self) -> AnswerFault | None:
        """Return the fault, or ``None`` if the answer is whole."""
        try:
            document = json.loads(self._received)
            is_own = (document["digest"], document["key"]) == (self._digest, self._key)
        except (LookupError, TypeError, ValueError):
            return AnswerFault.MALFORMED if self._received else AnswerFault.INCOMPLETE
        return None if is_own else AnswerFault.FOREIGN
