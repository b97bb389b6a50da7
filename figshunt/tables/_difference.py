"""Readable differences between two revisions of the tables."""

import dataclasses
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from figshunt.tables._model import Tables

MAX_LINES = 50
MAX_VALUE_LENGTH = 60
# Hashes of caller keys are of no use to operators and must not be logged.
REDACTED_FIELDS = frozenset({"key_sha256"})


def describe_difference(before: Tables | None, after: Tables) -> tuple[str, ...]:
    """Return one line for each added, removed or changed item of the tables.

    If there are more than 50 changes, the last of the 50 lines states how many
    others there are.
    """
    if before is None:
        return (
            f"first revision: {len(after.routes_by_name)} routes,"
            f" {len(after.pools_by_name)} pools, {len(after.runners_by_id)} runners,"
            f" {len(after.teams_by_key_sha256)} teams",
        )
    changes = list(_compare_tables(before, after))
    if len(changes) <= MAX_LINES:
        return tuple(change.describe() for change in changes)
    lines = [change.describe() for change in changes[: MAX_LINES - 1]]
    return (*lines, f"and {len(changes) - len(lines)} more changes")


@dataclass(frozen=True, slots=True)
class _Change:
    """One item that differs; ``None`` means that it is absent from that revision."""

    kind: str
    name: str
    before: Any
    after: Any

    def describe(self) -> str:
        if self.before is None:
            return f"{self.kind} {self.name}: added"
        if self.after is None:
            return f"{self.kind} {self.name}: removed"
        return f"{self.kind} {self.name}: {_describe_change(self.before, self.after)}"


def _compare_tables(before: Tables, after: Tables) -> Iterator[_Change]:
    if before.generation != after.generation:
        yield _Change("generation", "of hosts", before.generation, after.generation)
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
) -> Iterator[_Change]:
    for name, value in after.items():
        if before.get(name) != value:
            yield _Change(kind, name, before.get(name), value)
    for name, value in before.items():
        if name not in after:
            yield _Change(kind, name, value, None)


def _describe_change(before: Any, after: Any) -> str:
    if not dataclasses.is_dataclass(before):
        return f"{_describe(before)} -> {_describe(after)}"
    return ", ".join(
        _describe_field(
            field.name, getattr(before, field.name), getattr(after, field.name)
        )
        for field in dataclasses.fields(before)
        if getattr(before, field.name) != getattr(after, field.name)
    )


def _describe_field(name: str, before: Any, after: Any) -> str:
    if name in REDACTED_FIELDS:
        return f"{name} changed"
    if isinstance(before, tuple) and isinstance(after, tuple):
        added_items = [f"+{item}" for item in after if item not in before]
        removed_items = [f"-{item}" for item in before if item not in after]
        return (
            f"{name} {_describe(' '.join(added_items + removed_items) or 'reordered')}"
        )
    return f"{name} {_describe(before)} -> {_describe(after)}"


def _describe(value: Any) -> str:
    text = str(value.value if isinstance(value, Enum) else value)
    return (
        text if len(text) <= MAX_VALUE_LENGTH else f"{text[: MAX_VALUE_LENGTH - 3]}..."
    )
