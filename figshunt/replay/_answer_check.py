"""Checks that an answer is complete and belongs to its request."""

import json
from enum import Enum
from typing import Protocol

from figshunt.runtime import EventStreamReader, ServerSentEvent
from figshunt.standins import digest_content


class AnswerFault(Enum):
    """Why an answer counts as broken.

    ``MISMATCHED`` is an answer, or a part of one, to a different request.
    """

    INCOMPLETE = "incomplete"
    OUT_OF_ORDER = "out_of_order"
    MISMATCHED = "foreign"
    MALFORMED = "malformed"


class AnswerCheck(Protocol):
    """Validates an answer incrementally as its bytes arrive."""

    @property
    def tokens(self) -> int:
        """Return the number of tokens received so far."""

    @property
    def error_body(self) -> bytes | None:
        """Return the body of the error event that ended the answer, if any."""

    def feed(self, data: bytes) -> None:
        """Process the next bytes of the answer."""

    def finish(self) -> AnswerFault | None:
        """Return the fault, or ``None`` if the answer is complete and correct."""


class StreamCheck:
    """Checks that a stream has each token exactly once, in order, and its end."""

    def __init__(self, body: bytes, expected_tokens: int) -> None:
        self._answer_id = f"answer-{digest_content(body)}"
        self._expected_tokens = expected_tokens
        self._reader = EventStreamReader()
        self._fault: AnswerFault | None = None
        self._is_done = False
        self.tokens = 0
        self.error_body: bytes | None = None

    def feed(self, data: bytes) -> None:
        """Process the next bytes of the answer."""
        for event in self._reader.feed(data):
            if event.raw.startswith(b"event: error"):
                self.error_body = event.data
            elif event.is_done:
                self._is_done = True
            else:
                self._check_event(event)

    def finish(self) -> AnswerFault | None:
        """Return the fault, or ``None`` if the answer is complete and correct."""
        if self._fault is not None:
            return self._fault
        is_complete = self._is_done and self.tokens == self._expected_tokens
        return None if is_complete else AnswerFault.INCOMPLETE

    def _check_event(self, event: ServerSentEvent) -> None:
        try:
            document = json.loads(event.data)
            content = document["choices"][0]["delta"]["content"]
        except (LookupError, TypeError, ValueError):
            self._fault = AnswerFault.MALFORMED
            return
        if document.get("id") != self._answer_id:
            self._fault = AnswerFault.MISMATCHED
        elif event.event_id != self.tokens or content != f"t{self.tokens} ":
            self._fault = AnswerFault.OUT_OF_ORDER
        self.tokens += 1


class PlainCheck:
    """Checks that a plain service's answer is complete and has the digest and key."""

    def __init__(self, body: bytes, key: str) -> None:
        self._digest = digest_content(body)
        self._key = key
        self._received = bytearray()
        self.tokens = 0
        self.error_body: bytes | None = None

    def feed(self, data: bytes) -> None:
        """Process the next bytes of the answer."""
        self._received += data

    def finish(self) -> AnswerFault | None:
        """Return the fault, or ``None`` if the answer is complete and correct."""
        try:
            document = json.loads(self._received)
            matches_request = (document["digest"], document["key"]) == (
                self._digest,
                self._key,
            )
        except (LookupError, TypeError, ValueError):
            return AnswerFault.MALFORMED if self._received else AnswerFault.INCOMPLETE
        return None if matches_request else AnswerFault.MISMATCHED
