"""CBOR encoding of the datagrams between hosts."""

from collections.abc import Sequence
from ipaddress import ip_address
from typing import Any

import cbor2

from figshunt.dispatch import (
    PRIORITY_LEVELS,
    CrashReport,
    HostStatus,
    OccupancyNotice,
    PartId,
    PlacementNotice,
    PromptPart,
    QueueNotice,
    SilenceNotice,
    Suspect,
    SuspectKind,
)
from figshunt.exchange import Bundle, BundlePurpose
from figshunt.types import DataCentreName, Fingerprint, HostName, RunnerId

STATUS_FORMAT = 4


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
        [
            [*_encode_suspect(report.suspect), report.crash, report.age_ms]
            for report in status.crash_reports
        ],
        [[notice.runner_id, notice.backlog_ms] for notice in status.queues],
        [[notice.runner_id, notice.exclusion_ms] for notice in status.silences],
        [
            [notice.runner_id, notice.priority, notice.requests, notice.tokens]
            for notice in status.occupancies
        ],
        [_encode_suspect(suspect) for suspect in status.quarantined],
        [_encode_suspect(suspect) for suspect in status.cleared],
    ]


def _decode_status(fields: list[Any]) -> HostStatus:
    host, incarnation, address, version, revision, *rest = fields
    can_read_store, data_centre, known_hosts, *notices = rest
    placements, crash_reports, queues, silences, occupancies, *suspects = notices
    quarantined, cleared = suspects
    return HostStatus(
        host=HostName(str(host)),
        incarnation=int(incarnation),
        address=str(ip_address(address)),
        version=int(version),
        revision=int(revision),
        can_read_store=bool(can_read_store),
        data_centre=DataCentreName(str(data_centre)),
        known_hosts=int(known_hosts),
        placements=tuple(_decode_placement(entry) for entry in placements),
        crash_reports=tuple(
            CrashReport(_decode_suspect((kind, fingerprint)), str(crash), int(age_ms))
            for kind, fingerprint, crash, age_ms in crash_reports
        ),
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
        quarantined=tuple(_decode_suspect(entry) for entry in quarantined),
        cleared=tuple(_decode_suspect(entry) for entry in cleared),
    )


def _decode_level(priority: Any) -> int:
    level = int(priority)
    if not 0 <= level < PRIORITY_LEVELS:
        raise ValueError(f"expected a priority below {PRIORITY_LEVELS}, got {level}")
    return level


def _encode_suspect(suspect: Suspect) -> list[str]:
    return [suspect.kind.value, suspect.fingerprint]


def _decode_suspect(fields: Sequence[Any]) -> Suspect:
    kind, fingerprint = fields
    return Suspect(SuspectKind(kind), Fingerprint(str(fingerprint)))


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
