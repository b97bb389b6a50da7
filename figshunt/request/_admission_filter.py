"""Refuses early what can't be served, before it costs anything."""

from collections.abc import Iterable

from figshunt.pipeline import Output
from figshunt.types import Message, Moment, RequestAdmitted, RequestRouted, Step


class AdmissionFilter:
    """Turns :class:`RequestRouted` into :class:`RequestAdmitted`."""

    step = Step.ADMISSION
    accepts: tuple[type[Message], ...] = (RequestRouted,)

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        assert isinstance(message, RequestRouted)
        yield RequestAdmitted(message.routed)
