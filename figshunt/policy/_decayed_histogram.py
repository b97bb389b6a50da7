"""Quantiles of recent values in constant memory."""

import math
from array import array

BUCKET_COUNT = 44
BUCKETS_PER_DOUBLING = 2
WEIGHT_GROWTH = 1.02
MAX_INCREMENT = 1e6


class DecayedHistogram:
    """Histogram with logarithmic buckets and exponential decay of older values.

    Adding a value increases the weight of later values instead of scaling
    down all earlier ones, so the cost doesn't depend on the number of buckets.
    The buckets cover values from 1 to about
    2 ** (``BUCKET_COUNT`` / ``BUCKETS_PER_DOUBLING``); values outside that
    range are counted in the first or last bucket.
    """

    __slots__ = ("_weights", "_increment", "_count", "_cached_quantiles")

    def __init__(self) -> None:
        self._weights = array("d", bytes(8 * BUCKET_COUNT))
        self._increment = 1.0
        self._count = 0
        self._cached_quantiles: dict[float, float] = {}

    @property
    def count(self) -> int:
        """Return how many values have been added."""
        return self._count

    def add(self, value: float) -> None:
        """Add a value and decay the weight of the earlier ones."""
        bucket = round(BUCKETS_PER_DOUBLING * math.log2(max(1.0, value)))
        self._weights[min(BUCKET_COUNT - 1, bucket)] += self._increment
        self._increment *= WEIGHT_GROWTH
        self._count += 1
        self._cached_quantiles.clear()
        if self._increment > MAX_INCREMENT:
            scaled_weights = (weight / self._increment for weight in self._weights)
            self._weights = array("d", scaled_weights)
            self._increment = 1.0

    def quantile(self, fraction: float) -> float | None:
        """Return the value below which ``fraction`` of the weight lies.

        The result is rounded to a bucket; it is ``None`` if no value was added.
        """
        if not self._count:
            return None
        cached_quantile = self._cached_quantiles.get(fraction)
        if cached_quantile is None:
            cached_quantile = self._cached_quantiles[fraction] = self._find_quantile(
                fraction
            )
        return cached_quantile

    def _find_quantile(self, fraction: float) -> float:
        remaining_weight = fraction * sum(self._weights)
        for bucket, weight in enumerate(self._weights):
            remaining_weight -= weight
            if remaining_weight <= 0:
                return float(2 ** (bucket / BUCKETS_PER_DOUBLING))
        return float(2 ** ((BUCKET_COUNT - 1) / BUCKETS_PER_DOUBLING))
