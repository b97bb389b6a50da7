"""Names and values of the platform's HTTP headers."""

# The caller's id for one attempt at a request.
REQUEST_ID = "X-Figshunt-Attempt-Id"
REMAINING_TIME_MS = "X-Figshunt-Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# The parts of a prompt as comma-separated ID:TOKENS pairs.
PROMPT_PARTS = "X-Figshunt-Prompt-Prefix"
# Two numbers: the prompt tokens and the maximum number of output tokens.
TOKEN_COUNTS = "X-Figshunt-Token-Counts"
LENGTH_HINT = "X-Figshunt-Length-Hint"
SERVER_STAMP = "X-Figshunt-Server-Stamp"
TEAM = "X-Figshunt-Tenant"
EXPECTED_RUNNER = "X-Figshunt-Expect-Instance"
NOT_EXECUTED = "X-Figshunt-Not-Executed"
PRIORITY = "X-Figshunt-Request-Priority"
# The runner from which missing parts of the prompt are fetched, as IP:PORT.
FETCH_FROM = "Kv-Fetch"
RETRY_AFTER = "Retry-After"
# A runner that is leaving sets this header to 1 in all its answers.
SERVER_LEAVING = "Server-Leaving"
# The requests a second that a runner in need takes from all hosts together.
SERVER_LIMIT = "Server-Limit"
# Three or four numbers: requests running, requests waiting, slots, and the current
# duration of work on the runner's machine, where 100 is normal.
SERVER_LOAD = "X-Figshunt-Instance-Load"
AUTHORIZATION = "Authorization"
AUTHORIZATION_SCHEME = "token"

# Only this system may set these headers; those of a caller are dropped.
RESERVED_REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (
        TEAM,
        EXPECTED_RUNNER,
        PRIORITY,
        "X-Figshunt-Expect-Version",
        "X-Figshunt-Pin-Ms",
        "X-Figshunt-Kv-Hold",
        "X-Figshunt-Kv-Backup",
        "Kv-From",
        FETCH_FROM,
    )
)

# Headers that apply to a single connection, and headers that HTTP libraries set.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)

LOWEST_PRIORITY = 9
WRONG_RUNNER_STATUS = 421
# Callers conclude from these that the request did not run.
NOT_RUN_STATUSES = frozenset({408, WRONG_RUNNER_STATUS, 429, 503})
EVENT_STREAM_TYPE = "text/event-stream"
