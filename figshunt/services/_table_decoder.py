"""Turns table documents from the service or a peer into messages of the core."""

import hashlib

from figshunt.codec import decode_tables
from figshunt.runtime import Feed
from figshunt.tables import CheckedTables
from figshunt.types import (
    Message,
    PeerReceived,
    TablesOffered,
    TableSourceKind,
    TablesRefused,
    TablesTransfer,
)


class TableDecoder:
    """Decodes and checks pairs of documents; keeps the last result.

    The same pair is seen again at each new watch, and its check takes time
    that grows with the tables.
    """

    def __init__(self) -> None:
        self._digest = ""
        self._checked: CheckedTables | None = None

    def decode(
        self, routes: str, pools: str, source: TableSourceKind, peer: str
    ) -> TablesOffered | TablesRefused:
        """Return the message for one pair of documents."""
        digest = _digest_pair(routes, pools)
        if self._checked is None or digest != self._digest:
            self._checked = decode_tables(routes, pools)
            self._digest = digest
        checked = self._checked
        if checked.tables is not None:
            return TablesOffered(checked.tables, (routes, pools), source, peer, digest)
        return TablesRefused(
            checked.revision,
            tuple(str(fault) for fault in checked.faults),
            source,
            peer,
            digest,
            checked.is_unpaired,
        )


class TransferDecodingFeed:
    """A feed that decodes the tables that peers send, before the core."""

    def __init__(self, feed: Feed, decoder: TableDecoder) -> None:
        self._feed = feed
        self._decoder = decoder

    def feed(self, message: Message) -> None:
        """Process one message now."""
        match message:
            case PeerReceived(seat, TablesTransfer(_, routes, pools)):
                message = self._decoder.decode(
                    routes, pools, TableSourceKind.PEER, f"seat {seat}"
                )
        self._feed.feed(message)


def _digest_pair(routes: str, pools: str) -> str:
    state = hashlib.sha256(routes.encode("utf-8", "surrogatepass"))
    state.update(b"\0")
    state.update(pools.encode("utf-8", "surrogatepass"))
    return state.hexdigest()
