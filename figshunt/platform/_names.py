"""Names that the platform uses in headers."""

# The caller's own id of one try of a request.
REQUEST_ID = "X-Figshunt-Attempt-Id"
TIME_LEFT_MS = "X-Figshunt-Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# The parts of a prompt, as ID:TOKENS pairs.
PROMPT_PARTS = "X-Figshunt-Prompt-Prefix"
# Two numbers: prompt tokens, and the most output tokens.
TOKENS = "X-Figshunt-Token-Counts"
OUTPUT_ESTIMATE = "X-Figshunt-Length-Hint"
RECEIPT = "X-Figshunt-Server-Stamp"
TEAM = "X-Figshunt-Tenant"
EXPECTED_RUNNER = "X-Figshunt-Expect-Instance"
NOT_RUN = "X-Figshunt-Not-Executed"
PRIORITY = "X-Figshunt-Request-Priority"
# Where the runner gets parts of the prompt that it doesn't hold, as IP:PORT.
FETCH_FROM = "Kv-Fetch"
RETRY_AFTER = "Retry-After"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "token"

# Only the system may set these; a caller's are dropped.
OWN_REQUEST_HEADERS = frozenset(
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

# Headers that concern one connection only, and those that HTTP libraries set.
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

LEAST_URGENT = 9
WRONG_RUNNER_STATUS = 421
EVENT_STREAM = "text/event-stream"
