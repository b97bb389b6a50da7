"""The chain of filters as a function of messages and time."""

from collections import deque
from collections.abc import Sequence

from figshunt.pipeline._filter import Feedback, Filter
from figshunt.types import Effect, Message, Moment


class Pipeline:
    """Passes each message through the filters, depth first.

    A message that a filter yields is handled by the filters behind it before
    the yielding filter is resumed, so that its next decision sees the result.
    """

    def __init__(self, filters: Sequence[Filter]) -> None:
        self._filters = tuple(filters)
        self._filters_by_type: dict[type[Message], tuple[tuple[int, Filter], ...]] = {}
        self._feedback: deque[Message] = deque()

    def handle(self, message: Message, now: Moment) -> list[Effect]:
        """Process one message and everything that it gives rise to.

        :returns: the effects, in the order in which they arose.
        """
        effects: list[Effect] = []
        self._feedback.append(message)
        while self._feedback:
            self._pass_on(self._feedback.popleft(), 0, now, effects)
        return effects

    def _pass_on(
        self, message: Message, position: int, now: Moment, effects: list[Effect]
    ) -> None:
        for index, next_filter in self._interested(type(message)):
            if index < position:
                continue
            for output in next_filter.process(message, now):
                if isinstance(output, Effect):
                    effects.append(output)
                elif isinstance(output, Feedback):
                    self._feedback.append(output.message)
                else:
                    self._pass_on(output, index + 1, now, effects)
            return

    def _interested(
        self, message_type: type[Message]
    ) -> tuple[tuple[int, Filter], ...]:
        interested = self._filters_by_type.get(message_type)
        if interested is None:
            interested = tuple(
                (index, one)
                for index, one in enumerate(self._filters)
                if message_type in one.accepts
            )
            self._filters_by_type[message_type] = interested
        return interested
