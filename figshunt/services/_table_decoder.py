"""Decodes table documents from the service or a peer into messages for the core."""

import hashlib

from figshunt.codec import decode_tables
from figshunt.runtime import MessageSink
from figshunt.tables import CheckedTables
from figshunt.types import (
    Message,
    PeerReceived,
    TableSourceKind,
    TablesReceived,
    TablesRefused,
    TablesTransfer,
)


class TableDecoder:
    """Decodes and checks pairs of table documents, and caches the last result.

    Each restart of the watches reads the same pair again, and the time to check a
    pair grows with the size of the tables.
    """

    def __init__(self) -> None:
        self._last_digest = ""
        self._last_checked_tables: CheckedTables | None = None

    def decode(
        self, routes: str, pools: str, source: TableSourceKind, peer: str
    ) -> TablesReceived | TablesRefused:
        """Return the message that reports a pair as valid or as refused."""
        digest = _digest_pair(routes, pools)
        if self._last_checked_tables is None or digest != self._last_digest:
            self._last_checked_tables = decode_tables(routes, pools)
            self._last_digest = digest
        checked_tables = self._last_checked_tables
        if checked_tables.tables is not None:
            return TablesReceived(
                checked_tables.tables, (routes, pools), source, peer, digest
            )
        return TablesRefused(
            checked_tables.revision,
            tuple(str(fault) for fault in checked_tables.faults),
            source,
            peer,
            digest,
            checked_tables.is_unpaired,
        )


class TransferDecoder:
    """Decodes tables received from peers before messages reach the core."""

    def __init__(self, message_sink: MessageSink, decoder: TableDecoder) -> None:
        self._message_sink = message_sink
        self._decoder = decoder

    def submit(self, message: Message) -> None:
        """Pass one message on synchronously, with its tables decoded."""
        match message:
            case PeerReceived(seat, TablesTransfer(_, routes, pools)):
                message = self._decoder.decode(
                    routes, pools, TableSourceKind.PEER, f"seat {seat}"
                )
        self._message_sink.submit(message)


def _digest_pair(routes: str, pools: str) -> str:
    hasher = hashlib.sha256(routes.encode("utf-8", "surrogatepass"))
    hasher.update(b"\0")
    hasher.update(pools.encode("utf-8", "surrogatepass"))
    return hasher.hexdigest()
