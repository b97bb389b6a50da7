"""Items that may come from the copy of a restored store, and aren't applied yet."""

from dataclasses import dataclass, replace

from figshunt.directory._messages import (
    EvacuationPublished,
    RunnerListed,
    RunnerUnlisted,
)
from figshunt.types import DataCentreName, RunnerId

HoldableMessage = EvacuationPublished | RunnerListed


@dataclass(frozen=True, slots=True)
class _HeldItem:
    message: HoldableMessage
    hold_ms: int
    due_ms: int


class HeldItems:
    """Keeps the newest of them for each data centre and runner, for a limited time.

    What the copy lacks is written again within that time, so that an item that is
    still there afterwards is what the store has to say.
    """

    def __init__(self) -> None:
        self._marks_by_data_centre: dict[DataCentreName, _HeldItem] = {}
        self._entries_by_runner: dict[RunnerId, _HeldItem] = {}

    def hold(self, message: HoldableMessage, hold_ms: int, now_ms: int) -> int:
        """Keep an item for ``hold_ms``, and return the time at which it is due."""
        held = _HeldItem(message, hold_ms, now_ms + hold_ms)
        match message:
            case EvacuationPublished(_, data_centre):
                self._marks_by_data_centre[data_centre] = held
            case RunnerListed(_, runner_id):
                self._entries_by_runner[runner_id] = held
        return held.due_ms

    def discard(self, message: HoldableMessage | RunnerUnlisted) -> None:
        """Drop the item that a later one of the same data centre or runner replaces."""
        match message:
            case EvacuationPublished(_, data_centre):
                self._marks_by_data_centre.pop(data_centre, None)
            case RunnerListed(_, runner_id) | RunnerUnlisted(_, runner_id):
                self._entries_by_runner.pop(runner_id, None)

    def restart(self, now_ms: int) -> list[int]:
        """Begin the time of each item again, and return when they are due.

        A later copy may lack what has been written again since the earlier restore.
        """
        held_items = self._all()
        return [self.hold(held.message, held.hold_ms, now_ms) for held in held_items]

    def take_due(self, now_ms: int) -> list[HoldableMessage]:
        """Remove and return the items that are due, as items that aren't copied."""
        due_items = [held for held in self._all() if held.due_ms <= now_ms]
        for held in due_items:
            self.discard(held.message)
        return [replace(held.message, may_be_copied=False) for held in due_items]

    def _all(self) -> list[_HeldItem]:
        return [
            *self._marks_by_data_centre.values(),
            *self._entries_by_runner.values(),
        ]
