"""Codec for requests and responses with the platform's HTTP headers."""

import uuid
from collections.abc import Iterable
from math import isfinite

import xxhash

from figshunt.dispatch import (
    Call,
    PartId,
    Prompt,
    PromptPart,
    ReplyHead,
    ReplyVerdict,
    RunnerLoad,
    StartCallAttempt,
)
from figshunt.platform._headers import (
    AUTHORIZATION,
    AUTHORIZATION_SCHEME,
    CONNECTION_HEADERS,
    EVENT_STREAM_TYPE,
    EXPECTED_RUNNER,
    FETCH_FROM,
    LAST_EVENT_ID,
    LENGTH_HINT,
    LOWEST_PRIORITY,
    NOT_EXECUTED,
    NOT_RUN_STATUSES,
    PRIORITY,
    PROMPT_PARTS,
    REMAINING_TIME_MS,
    REQUEST_ID,
    RESERVED_REQUEST_HEADERS,
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
    SERVER_STAMP,
    TEAM,
    TOKEN_COUNTS,
    WRONG_RUNNER_STATUS,
)
from figshunt.types import Fingerprint, Moment, RequestId

# A longer figure in a load header is malformed.
MAX_LOAD_DIGITS = 6

HeaderPairs = Iterable[tuple[str, str]]

_HEADERS_NOT_FORWARDED = (
    RESERVED_REQUEST_HEADERS
    | CONNECTION_HEADERS
    | {AUTHORIZATION.lower(), REMAINING_TIME_MS.lower(), LAST_EVENT_ID.lower()}
)


class PlatformCallCodec:
    """Implements :class:`figshunt.gateway.CallCodec` for the platform's headers."""

    def decode_call(
        self,
        method: str,
        target: str,
        headers: HeaderPairs,
        body: bytes,
        received: Moment,
    ) -> Call:
        """Decode a caller's request; malformed header values count as absent."""
        pairs = tuple(headers)
        by_name = {name.lower(): value for name, value in pairs}
        caller_key = _decode_key(by_name.get(AUTHORIZATION.lower(), ""))
        return Call(
            call_id=RequestId(
                by_name.get(REQUEST_ID.lower(), "") + "/" + uuid.uuid4().hex[:8]
            ),
            host=by_name.get("host", ""),
            method=method,
            target=target,
            caller_key=caller_key,
            headers=tuple(
                (name, value)
                for name, value in pairs
                if name.lower() not in _HEADERS_NOT_FORWARDED
            ),
            body=body,
            received=received,
            time_limit_ms=_decode_number(by_name.get(REMAINING_TIME_MS.lower())),
            prompt=_decode_prompt(by_name),
            resume_after=_decode_number(by_name.get(LAST_EVENT_ID.lower())),
            fingerprint=_compute_fingerprint(method, target, caller_key, body),
        )

    def decode_request_id(self, headers: HeaderPairs) -> str:
        """Return the caller's id of a request, or an empty string."""
        ids = [value for name, value in headers if name.lower() == REQUEST_ID.lower()]
        return ids[0] if ids else ""

    def decode_request_ids(self, headers: HeaderPairs) -> frozenset[str]:
        """Return all ids by which a response may refer to a request.

        A request without an id has an empty one.
        """
        ids = {value for name, value in headers if name.lower() == REQUEST_ID.lower()}
        return frozenset(ids or {""})

    def encode_attempt(self, attempt: StartCallAttempt) -> list[tuple[str, str]]:
        """Return the caller's headers together with those that this system sets."""
        headers = [*attempt.call.headers, (EXPECTED_RUNNER, attempt.runner_id)]
        headers.append((REMAINING_TIME_MS, str(attempt.time_limit_ms)))
        if attempt.team is not None:
            headers.append((TEAM, attempt.team))
        if attempt.call.prompt is not None:
            headers.append(
                (PRIORITY, str(min(LOWEST_PRIORITY, max(0, attempt.priority))))
            )
        if attempt.fetch_from is not None:
            headers.append((FETCH_FROM, attempt.fetch_from))
        if attempt.resume_after is not None:
            headers.append((LAST_EVENT_ID, str(attempt.resume_after)))
        return headers

    def decode_head(
        self, attempt: StartCallAttempt, status: int, headers: HeaderPairs
    ) -> ReplyHead:
        """Decode the status and headers of a runner's response."""
        pairs = tuple(headers)
        by_name = {name.lower(): value for name, value in pairs}
        request_id = dict(
            (name.lower(), value) for name, value in attempt.call.headers
        ).get(REQUEST_ID.lower())
        answered_ids = {
            value for name, value in pairs if name.lower() == REQUEST_ID.lower()
        }
        verdict = _decode_verdict(status, by_name)
        content_type = by_name.get("content-type", "")
        return ReplyHead(
            status=status,
            headers=tuple(
                (name, value)
                for name, value in pairs
                if name.lower() not in CONNECTION_HEADERS
            ),
            verdict=verdict,
            has_receipt=SERVER_STAMP.lower() in by_name,
            # An answer with two different ids identifies no request.
            matches_request=answered_ids == ({request_id} if request_id else set()),
            is_stream=(
                verdict is ReplyVerdict.ANSWERED
                and content_type.startswith(EVENT_STREAM_TYPE)
            ),
            retry_after_ms=_decode_seconds_as_ms(by_name.get(RETRY_AFTER.lower())),
            announces_leaving=by_name.get(SERVER_LEAVING.lower(), "").strip() == "1",
            is_delimited=_is_delimited(by_name),
            names_limit=SERVER_LIMIT.lower() in by_name,
            limit_per_s=_decode_rate(by_name.get(SERVER_LIMIT.lower(), "")),
            load=_decode_load(by_name.get(SERVER_LOAD.lower())),
        )

    def encode_refusal(self, call: Call, retry_after_ms: int | None) -> dict[str, str]:
        """Return the headers of an error response that this host generates."""
        by_name = {name.lower(): value for name, value in call.headers}
        headers = {}
        if REQUEST_ID.lower() in by_name:
            headers[REQUEST_ID] = by_name[REQUEST_ID.lower()]
        if retry_after_ms is not None:
            headers[RETRY_AFTER] = f"{retry_after_ms / 1000:.3f}"
        return headers


def _decode_key(authorization: str) -> str | None:
    scheme, _, key = authorization.partition(" ")
    return key.strip() or None if scheme.lower() == AUTHORIZATION_SCHEME else None


def _decode_number(text: str | None) -> int | None:
    return int(text) if text and text.isascii() and text.isdigit() else None


def _decode_seconds_as_ms(text: str | None) -> int | None:
    try:
        return int(float(text or "") * 1000)
    except (ValueError, OverflowError):
        return None


def _decode_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if isfinite(rate) and rate >= 0 else None


def _decode_load(text: str | None) -> RunnerLoad | None:
    """Return the load that a header states, or ``None`` if it is malformed."""
    if text is None:
        return None
    figures = [figure.strip() for figure in text.split(",")]
    numbers = [
        _decode_number(figure) for figure in figures if len(figure) <= MAX_LOAD_DIGITS
    ]
    running, waiting, slots, *rest = (*numbers, None, None, None)
    if len(figures) not in (3, 4) or None in numbers or len(numbers) < len(figures):
        return None
    if running is None or waiting is None or not slots:
        return None
    return RunnerLoad(running, waiting, slots, rest[0])


def _decode_prompt(by_name: dict[str, str]) -> Prompt | None:
    counts = by_name.get(TOKEN_COUNTS.lower(), "").split(",")
    numbers = [_decode_number(count.strip()) for count in counts]
    if len(numbers) < 2 or numbers[0] is None or numbers[1] is None:
        return None
    return Prompt(
        input_tokens=numbers[0],
        max_output_tokens=numbers[1],
        parts=_decode_parts(by_name.get(PROMPT_PARTS.lower(), "")),
        expected_output_tokens=_decode_number(by_name.get(LENGTH_HINT.lower())),
    )


def _decode_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for pair in text.split(","):
        part_id, _, tokens = pair.strip().partition(":")
        count = _decode_number(tokens)
        if not part_id or count is None:
            break
        parts.append(PromptPart(PartId(part_id), count))
    return tuple(parts)


def _decode_verdict(status: int, by_name: dict[str, str]) -> ReplyVerdict:
    if status == WRONG_RUNNER_STATUS:
        return ReplyVerdict.WRONG_RUNNER
    if NOT_EXECUTED.lower() in by_name:
        return ReplyVerdict.REFUSED
    if status in NOT_RUN_STATUSES:
        return ReplyVerdict.UNPROVEN_REFUSAL
    return ReplyVerdict.ANSWERED if 200 <= status < 300 else ReplyVerdict.FAILED


def _is_delimited(by_name: dict[str, str]) -> bool:
    """Return whether a length or chunks show where an answer ends."""
    codings = by_name.get("transfer-encoding")
    if codings is not None:
        return "chunked" in codings.lower()
    return "content-length" in by_name


def _compute_fingerprint(
    method: str, target: str, caller_key: str | None, body: bytes
) -> Fingerprint:
    digest = xxhash.xxh3_128()
    for part in (method, target, caller_key or ""):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return Fingerprint(digest.hexdigest())
