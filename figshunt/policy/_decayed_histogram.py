"""Quantiles of recent values in bounded memory."""

import math
from array import array

BUCKETS = 44
BUCKETS_PER_DOUBLING = 2
GROWTH = 1.02
LARGEST_INCREMENT = 1e6


class DecayedHistogram:
    """Buckets of equal ratio; older values weigh exponentially less.

    Instead of shrinking all weights with each value, the weight of new
    values grows, so that adding costs the same for any number of buckets.
    Values from 1 to 2 ** (``BUCKETS`` / ``BUCKETS_PER_DOUBLING``) are told apart.
    """

    __slots__ = ("_weights", "_increment", "_count", "_known_quantiles")

    def __init__(self) -> None:
        self._weights = array("d", bytes(8 * BUCKETS))
        self._increment = 1.0
        self._count = 0
        self._known_quantiles: dict[float, float] = {}

    @property
    def count(self) -> int:
        """Return how many values were added."""
        return self._count

    def add(self, value: float) -> None:
        """Add a value."""
        bucket = round(BUCKETS_PER_DOUBLING * math.log2(max(1.0, value)))
        self._weights[min(BUCKETS - 1, bucket)] += self._increment
        self._increment *= GROWTH
        self._count += 1
        self._known_quantiles.clear()
        if self._increment > LARGEST_INCREMENT:
            scaled = (weight / self._increment for weight in self._weights)
            self._weights = array("d", scaled)
            self._increment = 1.0

    def quantile(self, share: float) -> float | None:
        """Return the value below which ``share`` of the weight lies."""
        if not self._count:
            return None
        known = self._known_quantiles.get(share)
        if known is None:
            known = self._known_quantiles[share] = self._find_quantile(share)
        return known

    def _find_quantile(self, share: float) -> float:
        left = share * sum(self._weights)
        for bucket, weight in enumerate(self._weights):
            left -= weight
            if left <= 0:
                return float(2 ** (bucket / BUCKETS_PER_DOUBLING))
        return float(2 ** ((BUCKETS - 1) / BUCKETS_PER_DOUBLING))
