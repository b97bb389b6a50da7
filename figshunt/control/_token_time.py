"""Detects a sudden increase of a runner's time per token."""

from dataclasses import dataclass, field

SMOOTHING_FACTOR = 0.125
# Batch sizes within one band differ by less than a factor of two, so load alone
# increases the time per token by less than that.
JUMP_FACTOR = 2.5
MIN_SAMPLES = 4
SLOW_REPORTS_IN_JUMP = 2


@dataclass(slots=True)
class _MovingAverage:
    mean_us: float
    samples: int = 1


@dataclass(slots=True)
class TokenTimeMonitor:
    """Moving averages of one runner's time per token, by band of batch size.

    A band contains the batch sizes of equal bit length. A single slow report
    is not a jump; two in a row are.
    """

    _averages_by_band: dict[int, _MovingAverage] = field(default_factory=dict)
    _slow_reports: int = 0

    def detect_jump(self, token_time_us: int, running: int) -> bool:
        """Add one measurement and return whether it completes a jump.

        A jump clears all averages.
        """
        if token_time_us <= 0:
            return False
        average = self._averages_by_band.get(running.bit_length())
        if average is None:
            self._averages_by_band[running.bit_length()] = _MovingAverage(token_time_us)
            return False
        is_established = average.samples >= MIN_SAMPLES
        if is_established and token_time_us > JUMP_FACTOR * average.mean_us:
            self._slow_reports += 1
            if self._slow_reports < SLOW_REPORTS_IN_JUMP:
                return False
            self._averages_by_band.clear()
            self._slow_reports = 0
            return True
        self._slow_reports = 0
        average.mean_us += SMOOTHING_FACTOR * (token_time_us - average.mean_us)
        average.samples += 1
        return False
