"""CBOR encoding of host statuses for the datagrams between hosts."""

from typing import Any

import cbor2

from figshunt.dispatch import (
    HostStatus,
    PartId,
    PlacementNotice,
    PromptPart,
    QueueNotice,
)
from figshunt.types import Fingerprint, HostName, RunnerId

STATUS_FORMAT = 2


def encode_status(status: HostStatus) -> bytes:
    """Return a datagram with a host's status and its notices."""
    data: bytes = cbor2.dumps(
        [
            STATUS_FORMAT,
            status.host,
            status.incarnation,
            status.address,
            status.version,
            status.revision,
            status.can_read_store,
            list(status.peer_addresses),
            [_encode_placement(notice) for notice in status.placements],
            [list(crash) for crash in status.crash_reports],
            [[notice.runner_id, notice.backlog_ms] for notice in status.queues],
        ]
    )
    return data


def decode_status(data: bytes) -> HostStatus:
    """Return the status in a datagram.

    :raises ValueError: if the datagram isn't a valid status.
    """
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, list) or fields[0] != STATUS_FORMAT:
            raise ValueError(f"expected a host status in format {STATUS_FORMAT}")
        _, host, incarnation, address, version, revision, *rest = fields
        can_read_store, addresses, placements, crash_reports, queues = rest
        return HostStatus(
            host=HostName(str(host)),
            incarnation=int(incarnation),
            address=str(address),
            version=int(version),
            revision=int(revision),
            can_read_store=bool(can_read_store),
            peer_addresses=tuple(str(ip) for ip in addresses),
            placements=tuple(_decode_placement(entry) for entry in placements),
            crash_reports=tuple(
                (Fingerprint(str(fingerprint)), str(crash))
                for fingerprint, crash in crash_reports
            ),
            queues=tuple(
                QueueNotice(RunnerId(str(runner_id)), int(backlog_ms))
                for runner_id, backlog_ms in queues
            ),
        )
    except ValueError:
        raise
    except Exception as error:
        # Anyone who reaches the port can send bytes, and the decoder may raise
        # almost anything at them.
        raise ValueError(f"malformed host status: {error}") from error


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
