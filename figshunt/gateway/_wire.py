"""What the services need to know of a platform's formats."""

from collections.abc import Iterable
from typing import Protocol

from figshunt.directory import DirectoryMessage, Item
from figshunt.dispatch import Call, ReplyHead, SendCall
from figshunt.types import Moment

HeaderPairs = Iterable[tuple[str, str]]


class CallCodec(Protocol):
    """Translates requests and answers between the wire and the core."""

    def decode_call(
        self,
        method: str,
        target: str,
        headers: HeaderPairs,
        body: bytes,
        received: Moment,
    ) -> Call:
        """Return a caller's request in the core's terms."""

    def encode_send(self, send: SendCall) -> list[tuple[str, str]]:
        """Return the headers with which a runner gets a call."""

    def decode_head(
        self, send: SendCall, status: int, headers: HeaderPairs
    ) -> ReplyHead:
        """Return a runner's status line and headers in the core's terms."""

    def encode_refusal(self, call: Call, retry_after_ms: int | None) -> dict[str, str]:
        """Return the headers of an error that this host answers with."""


class ItemCodec(Protocol):
    """Translates published items into messages."""

    def decode(
        self, items: Iterable[Item], after_outage: bool
    ) -> Iterable[DirectoryMessage]:
        """Yield what changed, with what routes refer to before the routes."""
