"""A readable difference of two revisions of the tables."""

import dataclasses
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any

from figshunt.tables._model import Tables

MOST_LINES = 50
LONGEST_VALUE = 60
# Hashes of caller keys tell operators nothing and don't belong in a log.
HIDDEN_FIELDS = frozenset({"key_sha256"})


def describe_difference(before: Tables | None, after: Tables) -> tuple[str, ...]:
    """Return one line for each thing added, removed or changed.

    At most 50 lines; the last one then counts the others.
    """
    if before is None:
        return (
            f"first revision: {len(after.routes_by_name)} routes,"
            f" {len(after.pools_by_name)} pools, {len(after.runners_by_id)} runners,"
            f" {len(after.teams_by_key_sha256)} teams",
        )
    lines = list(_compare_tables(before, after))
    if len(lines) > MOST_LINES:
        rest = len(lines) - MOST_LINES + 1
        return (*lines[: MOST_LINES - 1], f"and {rest} more changes")
    return tuple(lines)


def _compare_tables(before: Tables, after: Tables) -> Iterator[str]:
    if before.generation != after.generation:
        yield f"generation: {before.generation} -> {after.generation}"
    yield from _compare(
        "data centre",
        before.data_centre_states_by_name,
        after.data_centre_states_by_name,
    )
    yield from _compare("route", before.routes_by_name, after.routes_by_name)
    yield from _compare("pool", before.pools_by_name, after.pools_by_name)
    yield from _compare("runner", before.runners_by_id, after.runners_by_id)
    yield from _compare("team", _teams_by_name(before), _teams_by_name(after))


def _teams_by_name(tables: Tables) -> dict[str, Any]:
    return {team.name: team for team in tables.teams_by_key_sha256.values()}


def _compare(
    kind: str, before: Mapping[Any, Any], after: Mapping[Any, Any]
) -> Iterator[str]:
    for name, value in after.items():
        if name not in before:
            yield f"{kind} {name}: added"
        elif before[name] != value:
            yield f"{kind} {name}: {_describe_change(before[name], value)}"
    for name in before:
        if name not in after:
            yield f"{kind} {name}: removed"


def _describe_change(before: Any, after: Any) -> str:
    if not dataclasses.is_dataclass(before):
        return f"{_describe(before)} -> {_describe(after)}"
    return ", ".join(
        _describe_field(one.name, getattr(before, one.name), getattr(after, one.name))
        for one in dataclasses.fields(before)
        if getattr(before, one.name) != getattr(after, one.name)
    )


def _describe_field(name: str, before: Any, after: Any) -> str:
    if name in HIDDEN_FIELDS:
        return f"{name} changed"
    if isinstance(before, tuple) and isinstance(after, tuple):
        added = [f"+{one}" for one in after if one not in before]
        removed = [f"-{one}" for one in before if one not in after]
        return f"{name} {_describe(' '.join(added + removed) or 'reordered')}"
    return f"{name} {_describe(before)} -> {_describe(after)}"


def _describe(value: Any) -> str:
    text = str(value.value if isinstance(value, Enum) else value)
    return text if len(text) <= LONGEST_VALUE else f"{text[: LONGEST_VALUE - 3]}..."
