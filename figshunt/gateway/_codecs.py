"""Protocols of the codecs that a platform adapter provides."""

from collections.abc import Iterable
from typing import Protocol

from figshunt.directory import DirectoryMessage, PublishedItem
from figshunt.dispatch import Call, ReplyHead, StartCallAttempt
from figshunt.types import Moment

HeaderPairs = Iterable[tuple[str, str]]


class CallCodec(Protocol):
    """Translates requests and responses between HTTP and the core's types."""

    def decode_call(
        self,
        method: str,
        target: str,
        headers: HeaderPairs,
        body: bytes,
        received: Moment,
    ) -> Call:
        """Decode a caller's request."""

    def decode_request_id(self, headers: HeaderPairs) -> str:
        """Return the caller's id of a request, or an empty string."""

    def decode_request_ids(self, headers: HeaderPairs) -> frozenset[str]:
        """Return all ids by which a response may refer to a request.

        A request without an id has an empty one.
        """

    def encode_attempt(self, attempt: StartCallAttempt) -> list[tuple[str, str]]:
        """Return the headers of the request that is sent to a runner."""

    def decode_head(
        self, attempt: StartCallAttempt, status: int, headers: HeaderPairs
    ) -> ReplyHead:
        """Decode the status and headers of a runner's response."""

    def encode_refusal(self, call: Call, retry_after_ms: int | None) -> dict[str, str]:
        """Return the headers of an error response that this host generates."""


class ItemCodec(Protocol):
    """Translates published items into messages for the core."""

    def decode(
        self, items: Iterable[PublishedItem], after_outage: bool
    ) -> Iterable[DirectoryMessage]:
        """Yield a message for each change, in an order that the core can apply.

        Whatever a route refers to comes before or together with the route.
        """
