"""Finds the runners that hold a prompt part without looking at all of them."""

from collections.abc import Iterable, Sequence

from figshunt.dispatch._call import PartId, PromptPart
from figshunt.types import RunnerId


class PrefixIndex:
    """The runners whose modelled cache holds a prompt part.

    Runners are kept in the order in which they got the part, so that a replay repeats.
    It has as many entries as the caches of all runners together.
    """

    def __init__(self) -> None:
        self._runner_ids_by_part: dict[PartId, dict[RunnerId, None]] = {}

    def __len__(self) -> int:
        return len(self._runner_ids_by_part)

    def holders(self, parts: Sequence[PromptPart]) -> Iterable[RunnerId]:
        """Return the runners that hold the last part that any runner holds."""
        for part in reversed(parts):
            runner_ids = self._runner_ids_by_part.get(part.part_id)
            if runner_ids:
                return runner_ids
        return ()

    def holders_by_length(
        self, parts: Sequence[PromptPart]
    ) -> Iterable[tuple[int, RunnerId]]:
        """Return the holders of each part and the tokens up to it, longest first."""
        prefix_tokens = sum(part.tokens for part in parts)
        for part in reversed(parts):
            for runner_id in self._runner_ids_by_part.get(part.part_id, ()):
                yield prefix_tokens, runner_id
            prefix_tokens -= part.tokens

    def add(self, runner_id: RunnerId, parts: Iterable[PromptPart]) -> None:
        """Record that a runner holds the parts."""
        for part in parts:
            self._runner_ids_by_part.setdefault(part.part_id, {})[runner_id] = None

    def remove(self, runner_id: RunnerId, part_ids: Iterable[PartId]) -> None:
        """Record that a runner holds the parts no longer."""
        for part_id in part_ids:
            runner_ids = self._runner_ids_by_part.get(part_id)
            if runner_ids is None:
                continue
            runner_ids.pop(runner_id, None)
            if not runner_ids:
                del self._runner_ids_by_part[part_id]
