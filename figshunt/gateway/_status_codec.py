"""CBOR encoding of the datagrams between hosts."""

from ipaddress import ip_address
from math import isfinite
from typing import Any

import cbor2

from figshunt.dispatch import (
    PRIORITY_LEVELS,
    CrashAge,
    HeldNotice,
    HostStatus,
    LimitNotice,
    OccupancyNotice,
    PartId,
    PlacementNotice,
    PromptPart,
    QueueNotice,
    RejectionNotice,
    RepeatNotice,
    SilenceNotice,
    SpeedNotice,
    Suspect,
    SuspectKind,
    SuspectReport,
)
from figshunt.exchange import Bundle, BundlePurpose
from figshunt.types import (
    DataCentreName,
    Fingerprint,
    HostName,
    PoolName,
    RunnerId,
    Version,
)

STATUS_FORMAT = 8

# Speeds are sent as whole numbers, which take fewer bytes: factors in percent within
# these bounds, weights in tenths up to the maximum.
SPEED_PERCENT_BOUNDS = (1, 100_000)
MAX_WEIGHT_TENTHS = 1_000


def encode_bundle(bundle: Bundle) -> bytes:
    """Return a datagram with the statuses and notices of hosts."""
    data: bytes = cbor2.dumps(
        [
            STATUS_FORMAT,
            bundle.sender,
            bundle.data_centre,
            bundle.purpose.value,
            [_encode_status(status) for status in bundle.statuses],
        ]
    )
    return data


def decode_bundle(data: bytes) -> Bundle:
    """Return the statuses in a datagram.

    :raises ValueError: if the datagram isn't valid.
    """
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, list) or fields[0] != STATUS_FORMAT:
            raise ValueError(f"expected host statuses in format {STATUS_FORMAT}")
        _, sender, data_centre, purpose, statuses = fields
        return Bundle(
            sender=HostName(str(sender)),
            data_centre=DataCentreName(str(data_centre)),
            purpose=BundlePurpose(purpose),
            statuses=tuple(_decode_status(entry) for entry in statuses),
        )
    except ValueError:
        raise
    except Exception as error:
        # Anyone who reaches the port can send bytes, and the decoder may raise
        # almost anything at them.
        raise ValueError(f"malformed host statuses: {error}") from error


def _encode_status(status: HostStatus) -> list[Any]:
    return [
        status.host,
        status.incarnation,
        status.address,
        status.version,
        status.revision,
        status.can_read_store,
        status.data_centre,
        status.known_hosts,
        [_encode_placement(notice) for notice in status.placements],
        [_encode_suspect(report) for report in status.suspects],
        [[notice.runner_id, notice.backlog_ms] for notice in status.queues],
        [[notice.runner_id, notice.exclusion_ms] for notice in status.silences],
        [
            [notice.runner_id, notice.priority, notice.requests, notice.tokens]
            for notice in status.occupancies
        ],
        [_encode_limit(notice) for notice in status.limits],
        [_encode_speed(notice) for notice in status.speeds],
        [notice.runner_id for notice in status.rejections],
        [[notice.pool, notice.priority, notice.calls] for notice in status.held],
        [_encode_repeats(notice) for notice in status.repeats],
        status.suspects_digest,
        status.era,
        status.link_mbps,
        status.heard_digest,
    ]


def _decode_status(fields: list[Any]) -> HostStatus:
    host, incarnation, address, version, revision, *rest = fields
    can_read_store, data_centre, known_hosts, *notices = rest
    placements, suspects, queues, silences, occupancies, limits, *rest = notices
    speeds, rejections, held, repeats, *digests = rest
    suspects_digest, era, link_mbps, heard_digest = digests
    store_version = Version.of(int(era), int(revision))
    return HostStatus(
        host=HostName(str(host)),
        incarnation=int(incarnation),
        address=str(ip_address(address)),
        version=int(version),
        revision=store_version.revision,
        can_read_store=bool(can_read_store),
        data_centre=DataCentreName(str(data_centre)),
        known_hosts=int(known_hosts),
        placements=tuple(_decode_placement(entry) for entry in placements),
        suspects=tuple(_decode_suspect(entry) for entry in suspects),
        queues=tuple(
            QueueNotice(RunnerId(str(runner_id)), int(backlog_ms))
            for runner_id, backlog_ms in queues
        ),
        silences=tuple(
            SilenceNotice(RunnerId(str(runner_id)), int(exclusion_ms))
            for runner_id, exclusion_ms in silences
        ),
        occupancies=tuple(
            OccupancyNotice(
                RunnerId(str(runner_id)),
                _decode_level(priority),
                int(requests),
                int(tokens),
            )
            for runner_id, priority, requests, tokens in occupancies
        ),
        limits=tuple(_decode_limit(entry) for entry in limits),
        speeds=tuple(_decode_speed(entry) for entry in speeds),
        rejections=tuple(
            RejectionNotice(RunnerId(str(runner_id))) for runner_id in rejections
        ),
        held=tuple(_decode_held(entry) for entry in held),
        repeats=tuple(_decode_repeats(entry) for entry in repeats),
        suspects_digest=int(suspects_digest),
        era=store_version.era,
        link_mbps=int(link_mbps),
        heard_digest=int(heard_digest),
    )


def _decode_level(priority: Any) -> int:
    level = int(priority)
    if not 0 <= level < PRIORITY_LEVELS:
        raise ValueError(f"expected a priority below {PRIORITY_LEVELS}, got {level}")
    return level


def _encode_suspect(report: SuspectReport) -> list[Any]:
    return [
        report.suspect.kind.value,
        report.suspect.fingerprint,
        report.depth,
        [[crash.process, crash.age_ms] for crash in report.crashes],
        report.successes,
        report.earlier_successes,
        report.passed_trials,
        report.failed_trials,
        report.trial_age_ms,
    ]


def _decode_suspect(fields: list[Any]) -> SuspectReport:
    kind, fingerprint, depth, crashes, *counts = fields
    successes, earlier_successes, *trials = counts
    passed_trials, failed_trials, trial_age_ms = trials
    return SuspectReport(
        suspect=Suspect(SuspectKind(kind), Fingerprint(str(fingerprint))),
        depth=int(depth),
        crashes=tuple(
            CrashAge(str(process), int(age_ms)) for process, age_ms in crashes
        ),
        successes=int(successes),
        earlier_successes=int(earlier_successes),
        passed_trials=int(passed_trials),
        failed_trials=int(failed_trials),
        trial_age_ms=None if trial_age_ms is None else int(trial_age_ms),
    )


def _encode_limit(notice: LimitNotice) -> list[Any]:
    return [
        notice.runner_id,
        notice.process,
        notice.per_s,
        notice.observed_age_ms,
        notice.since_age_ms,
        notice.attempts,
        notice.has_demand,
    ]


def _decode_limit(fields: list[Any]) -> LimitNotice:
    runner_id, process, per_s, *counts, has_demand = fields
    observed_age_ms, since_age_ms, attempts = map(int, counts)
    rate = None if per_s is None else float(per_s)
    numbers = (rate or 0.0, observed_age_ms, since_age_ms, attempts)
    if not all(isfinite(number) and number >= 0 for number in numbers):
        raise ValueError(f"expected a limit with numbers from 0, got {numbers}")
    return LimitNotice(
        runner_id=RunnerId(str(runner_id)),
        process=None if process is None else int(process),
        per_s=rate,
        observed_age_ms=observed_age_ms,
        since_age_ms=since_age_ms,
        attempts=attempts,
        has_demand=bool(has_demand),
    )


def _encode_speed(notice: SpeedNotice) -> list[Any]:
    low, high = SPEED_PERCENT_BOUNDS
    lasting, recent = (
        max(low, min(high, round(100 * factor)))
        for factor in (notice.lasting, notice.recent)
    )
    weight, recent_weight = (
        min(MAX_WEIGHT_TENTHS, round(10 * weight))
        for weight in (notice.weight, notice.recent_weight)
    )
    return [notice.runner_id, notice.process, lasting, weight, recent, recent_weight]


def _decode_speed(fields: list[Any]) -> SpeedNotice:
    runner_id, process, *numbers = fields
    lasting, weight, recent, recent_weight = map(int, numbers)
    low, high = SPEED_PERCENT_BOUNDS
    are_weights = all(0 <= n <= MAX_WEIGHT_TENTHS for n in (weight, recent_weight))
    if not (low <= lasting <= high and low <= recent <= high and are_weights):
        raise ValueError(f"expected a speed within bounds, got {numbers}")
    return SpeedNotice(
        runner_id=RunnerId(str(runner_id)),
        process=None if process is None else int(process),
        lasting=lasting / 100,
        weight=weight / 10,
        recent=recent / 100,
        recent_weight=recent_weight / 10,
    )


def _decode_held(fields: list[Any]) -> HeldNotice:
    pool, priority, calls = fields
    count = int(calls)
    if count < 0:
        raise ValueError(f"expected a number of calls from 0, got {count}")
    return HeldNotice(PoolName(str(pool)), _decode_level(priority), count)


def _encode_repeats(notice: RepeatNotice) -> list[Any]:
    return [
        notice.pool,
        notice.requests,
        notice.common_repeats,
        notice.is_over_equal_part,
    ]


def _decode_repeats(fields: list[Any]) -> RepeatNotice:
    pool, requests, common_repeats, is_over_equal_part = fields
    counts = (int(requests), int(common_repeats))
    if min(counts) < 0:
        raise ValueError(f"expected counts of requests from 0, got {counts}")
    return RepeatNotice(PoolName(str(pool)), *counts, bool(is_over_equal_part))


def _encode_placement(notice: PlacementNotice) -> list[Any]:
    return [
        notice.runner_id,
        notice.prefill_tokens,
        notice.gap_target_ms,
        notice.expected_ms,
        [[part.part_id, part.tokens] for part in notice.parts],
    ]


def _decode_placement(fields: list[Any]) -> PlacementNotice:
    runner_id, prefill_tokens, gap_target_ms, expected_ms, parts = fields
    return PlacementNotice(
        runner_id=RunnerId(str(runner_id)),
        prefill_tokens=int(prefill_tokens),
        gap_target_ms=int(gap_target_ms),
        expected_ms=int(expected_ms),
        parts=tuple(
            PromptPart(PartId(str(part_id)), int(tokens)) for part_id, tokens in parts
        ),
    )
