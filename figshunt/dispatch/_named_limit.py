"""Keeps the limits that runners name in their answers."""

from dataclasses import dataclass

from figshunt.types import RunnerId


@dataclass(slots=True)
class NamedLimit:
    """The limit of one runner's process, in requests a second from all hosts.

    ``process`` is the start of that process, as in the runner's entry. ``named_ms`` is
    the time at which an answer last named it.
    """

    process: int | None
    per_s: float
    named_ms: int


class NamedLimits:
    """Owns the limits that are in force."""

    def __init__(self) -> None:
        self._limits_by_runner: dict[RunnerId, NamedLimit] = {}

    def __contains__(self, runner_id: RunnerId) -> bool:
        return runner_id in self._limits_by_runner

    def record_named(
        self, runner_id: RunnerId, process: int | None, per_s: float, now_ms: int
    ) -> bool:
        """Record that an answer named a limit; return whether it is a new one."""
        known = self._limits_by_runner.get(runner_id)
        self._limits_by_runner[runner_id] = NamedLimit(process, per_s, now_ms)
        return known is None or (known.process, known.per_s) != (process, per_s)

    def record_lifted(
        self, runner_id: RunnerId, process: int | None, sent_ms: int
    ) -> bool:
        """Record that the answer to a request named no limit.

        :param sent_ms: when that was sent; the answer may be older than one that names
            a limit if it was sent before.
        :returns: whether that ends a limit.
        """
        known = self._limits_by_runner.get(runner_id)
        if known is None or known.process != process or sent_ms < known.named_ms:
            return False
        del self._limits_by_runner[runner_id]
        return True

    def retain(self, runner_ids: set[RunnerId]) -> None:
        """Remove the limits of all other runners."""
        for runner_id in self._limits_by_runner.keys() - runner_ids:
            del self._limits_by_runner[runner_id]
