"""Recorded traces, their replay over HTTP and the report of a replay."""

from figshunt.replay._answer_check import (
    AnswerCheck,
    AnswerFault,
    PlainCheck,
    StreamCheck,
)
from figshunt.replay._call_outcome import (
    CallOutcome,
    CallResult,
)
from figshunt.replay._readiness import (
    wait_until_serving,
)
from figshunt.replay._replay import (
    replay_requests,
)
from figshunt.replay._report import (
    MAX_LATENCY_MS,
    ClassFigures,
    ReplayReport,
)
from figshunt.replay._request_body import (
    OutgoingRequest,
    build_outgoing_request,
)
from figshunt.replay._runner_counters import (
    RunnerCounters,
    RunnerFigures,
    read_runner_counters,
    sum_counter_increases,
)
from figshunt.replay._sender import (
    CALLER_KEY_FORMAT,
    ReplayPlan,
    TraceSender,
    open_session,
)
from figshunt.replay._trace import (
    TraceHeader,
    TraceRequest,
    decode_header,
    decode_request,
    encode_header,
    encode_request,
    read_header,
    read_requests,
    write_trace,
)
from figshunt.replay._workload import (
    LengthDistribution,
    Phase,
    TrafficClass,
    Workload,
    generate_header,
    generate_requests,
)
from figshunt.replay._workloads import (
    adomako_monday,
    timberline_storm,
)

__all__ = [
    "CALLER_KEY_FORMAT",
    "MAX_LATENCY_MS",
    "AnswerCheck",
    "AnswerFault",
    "CallOutcome",
    "CallResult",
    "ClassFigures",
    "LengthDistribution",
    "OutgoingRequest",
    "Phase",
    "PlainCheck",
    "ReplayPlan",
    "ReplayReport",
    "RunnerCounters",
    "RunnerFigures",
    "StreamCheck",
    "TraceHeader",
    "TraceRequest",
    "TraceSender",
    "TrafficClass",
    "Workload",
    "adomako_monday",
    "build_outgoing_request",
    "decode_header",
    "decode_request",
    "encode_header",
    "encode_request",
    "generate_header",
    "generate_requests",
    "open_session",
    "read_header",
    "read_requests",
    "read_runner_counters",
    "replay_requests",
    "sum_counter_increases",
    "timberline_storm",
    "wait_until_serving",
    "write_trace",
]
