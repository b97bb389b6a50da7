"""A sequence of filters, driven only by messages and the given time."""

from collections import deque
from collections.abc import Sequence

from figshunt.pipeline._filter import Feedback, Filter
from figshunt.types import Effect, Message, Moment


class FilterError(Exception):
    """A filter failed unexpectedly while it handled a message.

    ``effects`` are those that were yielded; the rest of a failed message's is lost.
    ``failed_messages`` also has the feedback that failed, ``failed_message`` is the
    last of them.
    """

    def __init__(
        self,
        failed_message: Message,
        effects: list[Effect],
        failed_messages: tuple[Message, ...] = (),
    ) -> None:
        super().__init__(f"a filter failed at {type(failed_message).__name__}")
        self.failed_message = failed_message
        self.failed_messages = failed_messages or (failed_message,)
        self.effects = effects


class Pipeline:
    """Passes each message through the filters, depth first.

    A message that a filter yields is processed by all subsequent filters
    before the filter is resumed, so that its next decision is based on the
    updated state. A message that reaches all filters does so even if some of
    them fail.
    """

    def __init__(self, filters: Sequence[Filter]) -> None:
        self._filters = tuple(filters)
        self._filters_by_type: dict[type[Message], tuple[tuple[int, Filter], ...]] = {}
        self._feedback: deque[Message] = deque()
        self._failures: list[tuple[Message, Exception]] = []

    def handle(self, message: Message, now: Moment) -> list[Effect]:
        """Process a message and all feedback that results from it.

        :returns: the effects, in the order in which they were yielded.
        :raises FilterError: if a filter failed; the other messages are processed.
        """
        effects: list[Effect] = []
        self._failures = []
        self._feedback.append(message)
        while self._feedback:
            next_message = self._feedback.popleft()
            try:
                self._forward(next_message, 0, now, effects)
            except Exception as error:
                self._failures.append((next_message, error))
        if self._failures:
            failed_message, cause = self._failures[-1]
            failed_messages = tuple(message for message, _ in self._failures)
            raise FilterError(failed_message, effects, failed_messages) from cause
        return effects

    def _forward(
        self, message: Message, position: int, now: Moment, effects: list[Effect]
    ) -> None:
        for index, next_filter in self._accepting_filters(type(message)):
            if index < position:
                continue
            was_forwarded = False
            try:
                for output in next_filter.process(message, now):
                    if isinstance(output, Effect):
                        effects.append(output)
                    elif isinstance(output, Feedback):
                        self._feedback.append(output.message)
                    else:
                        was_forwarded = was_forwarded or output is message
                        self._forward(output, index + 1, now, effects)
            except Exception as error:
                if not message.reaches_all:
                    raise
                self._failures.append((message, error))
                if not was_forwarded:
                    self._forward(message, index + 1, now, effects)
            return

    def _accepting_filters(
        self, message_type: type[Message]
    ) -> tuple[tuple[int, Filter], ...]:
        accepting_filters = self._filters_by_type.get(message_type)
        if accepting_filters is None:
            accepting_filters = tuple(
                (index, candidate)
                for index, candidate in enumerate(self._filters)
                if message_type in candidate.accepts
            )
            self._filters_by_type[message_type] = accepting_filters
        return accepting_filters
