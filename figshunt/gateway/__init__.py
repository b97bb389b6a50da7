"""Services of an entry host that reads its configuration from a platform's store."""

from figshunt.gateway._clock import BootClock
from figshunt.gateway._codecs import CallCodec, ItemCodec
from figshunt.gateway._daemon import GatewayDaemon
from figshunt.gateway._directory_reader import (
    DirectoryReader,
    HistoryLostError,
    ItemSource,
    Listing,
    SourceError,
)
from figshunt.gateway._front_listener import FrontListener
from figshunt.gateway._line_output import LineOutput
from figshunt.gateway._mirror import MirrorListener, MirrorReader
from figshunt.gateway._outage import OutageRecord
from figshunt.gateway._peer_link import PeerLink
from figshunt.gateway._published_items import ItemOrigin, PublishedItems
from figshunt.gateway._runner_caller import RunnerCaller
from figshunt.gateway._settings import Address, GatewaySettings

__all__ = [
    "Address",
    "BootClock",
    "CallCodec",
    "DirectoryReader",
    "FrontListener",
    "GatewayDaemon",
    "GatewaySettings",
    "HistoryLostError",
    "ItemCodec",
    "ItemOrigin",
    "ItemSource",
    "LineOutput",
    "Listing",
    "MirrorListener",
    "MirrorReader",
    "OutageRecord",
    "PeerLink",
    "PublishedItems",
    "RunnerCaller",
    "SourceError",
]
