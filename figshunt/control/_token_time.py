"""Detects that a runner's tokens suddenly take longer than they did."""

from dataclasses import dataclass, field

LEVEL_SHARE = 0.125
# Within one band the batch size differs by less than a factor of two, so load
# alone raises the time per token by less than that.
JUMP_FACTOR = 2.5
LEAST_SAMPLES = 4
SAMPLES_IN_JUMP = 2


@dataclass(slots=True)
class _Level:
    mean_us: float
    samples: int = 1


@dataclass(slots=True)
class TokenTimeLevel:
    """The recent time per token of one runner, by band of batch size.

    A single slow report isn't a jump; two in a row are.
    """

    _levels_by_band: dict[int, _Level] = field(default_factory=dict)
    _slow_reports: int = 0

    def is_jump(self, token_time_us: int, running: int) -> bool:
        """Add one measurement; return whether it completes a jump.

        After a jump the levels are learned anew.
        """
        if token_time_us <= 0:
            return False
        level = self._levels_by_band.get(running.bit_length())
        if level is None:
            self._levels_by_band[running.bit_length()] = _Level(token_time_us)
            return False
        is_known = level.samples >= LEAST_SAMPLES
        if is_known and token_time_us > JUMP_FACTOR * level.mean_us:
            self._slow_reports += 1
            if self._slow_reports < SAMPLES_IN_JUMP:
                return False
            self._levels_by_band.clear()
            self._slow_reports = 0
            return True
        self._slow_reports = 0
        level.mean_us += LEVEL_SHARE * (token_time_us - level.mean_us)
        level.samples += 1
        return False
