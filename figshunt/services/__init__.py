"""Network services around the core: listeners, clients, watchers and the daemon."""

from figshunt.services._admin_listener import (
    AdminListener,
    AdminSource,
)
from figshunt.services._answer_stream import (
    AnswerEffect,
    AnswerStream,
)
from figshunt.services._caller_listener import (
    CallerListener,
)
from figshunt.services._caller_protocol import (
    CallerProtocol,
)
from figshunt.services._core_view import (
    CoreView,
)
from figshunt.services._daemon import (
    Daemon,
)
from figshunt.services._error_response import (
    build_error_body,
    build_error_response,
    error_from_failure,
)
from figshunt.services._host_list_watcher import (
    HostListWatcher,
    decode_host_list,
)
from figshunt.services._load_watcher import (
    LoadWatcher,
    decode_load_report,
)
from figshunt.services._peer_dialler import (
    LinkCounter,
    PeerDialler,
)
from figshunt.services._peer_handshake import (
    Handshake,
    PeerIdentity,
)
from figshunt.services._peer_links import (
    PeerLinks,
)
from figshunt.services._runner_client import (
    RunnerClient,
)
from figshunt.services._table_decoder import (
    TableDecoder,
    TransferDecoder,
)
from figshunt.services._table_watcher import (
    TableWatcher,
)

__all__ = [
    "AdminListener",
    "AdminSource",
    "AnswerEffect",
    "AnswerStream",
    "CallerListener",
    "CallerProtocol",
    "CoreView",
    "Daemon",
    "Handshake",
    "HostListWatcher",
    "LinkCounter",
    "LoadWatcher",
    "PeerDialler",
    "PeerIdentity",
    "PeerLinks",
    "RunnerClient",
    "TableDecoder",
    "TableWatcher",
    "TransferDecoder",
    "build_error_body",
    "build_error_response",
    "decode_host_list",
    "decode_load_report",
    "error_from_failure",
]
