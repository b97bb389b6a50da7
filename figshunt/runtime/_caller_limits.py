"""What a caller may send of a request that isn't whole."""

from dataclasses import dataclass
from enum import Enum

# Callers that know no other limit send much smaller heads.
MAX_HEAD_BYTES = 64 * 1024

# Callers send a head at once, and a lost packet is repeated within seconds.
HEAD_TIMEOUT_S = 60.0


class CallerFault(Enum):
    """Why the rest of a request is not read; the request has not run."""

    HEAD_TOO_LARGE = "head_too_large"
    EMPTY_LINES = "empty_lines"
    TRAILER_TOO_LARGE = "trailer_too_large"
    EXTENSIONS_TOO_LARGE = "extensions_too_large"
    HEAD_TOO_SLOW = "head_too_slow"
    NO_MEMORY = "no_memory"
    MALFORMED = "malformed"
    TOO_MANY_CONNECTIONS = "too_many_connections"


STATUS_BY_FAULT = {
    CallerFault.HEAD_TOO_LARGE: 431,
    CallerFault.EMPTY_LINES: 400,
    CallerFault.TRAILER_TOO_LARGE: 400,
    CallerFault.EXTENSIONS_TOO_LARGE: 400,
    CallerFault.HEAD_TOO_SLOW: 408,
    CallerFault.NO_MEMORY: 503,
    CallerFault.MALFORMED: 400,
}


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """The limits of one connection.

    ``head_bytes`` applies to a head with the empty lines before it, to the trailer of
    a chunked body, and to the extensions of its chunks beyond the size of their data.
    ``head_timeout_s`` is the time from the first byte of a head or trailer to the last.
    """

    head_bytes: int = MAX_HEAD_BYTES
    head_timeout_s: float = HEAD_TIMEOUT_S
