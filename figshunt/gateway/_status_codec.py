"""Host statuses as CBOR datagrams."""

from typing import Any

import cbor2

from figshunt.dispatch import HostStatus, PartId, PlacementNotice, PromptPart
from figshunt.types import Fingerprint, HostName, RunnerId

STATUS_FORMAT = 1


def encode_status(
    status: HostStatus,
    placements: tuple[PlacementNotice, ...],
    crashed: tuple[tuple[Fingerprint, str], ...],
    peer_addresses: tuple[str, ...],
) -> bytes:
    """Return a datagram with a host's status and what it has to tell."""
    data: bytes = cbor2.dumps(
        [
            STATUS_FORMAT,
            status.host,
            status.incarnation,
            status.address,
            status.version,
            status.revision,
            status.is_current,
            list(peer_addresses),
            [_encode_notice(notice) for notice in placements],
            [list(crash) for crash in crashed],
        ]
    )
    return data


def decode_status(data: bytes) -> HostStatus:
    """Return the status in a datagram.

    :raises ValueError: if it isn't one.
    """
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, list) or fields[0] != STATUS_FORMAT:
            raise ValueError("not a status of this format")
        _, host, incarnation, address, version, revision, *rest = fields
        is_current, addresses, placements, crashed = rest
        return HostStatus(
            host=HostName(str(host)),
            incarnation=int(incarnation),
            address=str(address),
            version=int(version),
            revision=int(revision),
            is_current=bool(is_current),
            peer_addresses=tuple(str(one) for one in addresses),
            placements=tuple(_decode_notice(one) for one in placements),
            crashed=tuple(
                (Fingerprint(str(fingerprint)), str(crash))
                for fingerprint, crash in crashed
            ),
        )
    except (cbor2.CBORDecodeError, TypeError, IndexError, EOFError) as error:
        raise ValueError(f"not a status: {error}") from error


def _encode_notice(notice: PlacementNotice) -> list[Any]:
    return [
        notice.runner_id,
        notice.read_tokens,
        notice.gap_target_ms,
        notice.expected_ms,
        [[part.part_id, part.tokens] for part in notice.parts],
    ]


def _decode_notice(fields: list[Any]) -> PlacementNotice:
    runner_id, read_tokens, gap_target_ms, expected_ms, parts = fields
    return PlacementNotice(
        runner_id=RunnerId(str(runner_id)),
        read_tokens=int(read_tokens),
        gap_target_ms=int(gap_target_ms),
        expected_ms=int(expected_ms),
        parts=tuple(PromptPart(PartId(str(one)), int(tokens)) for one, tokens in parts),
    )
