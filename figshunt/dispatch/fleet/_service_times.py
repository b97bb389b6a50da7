"""Estimates how fast one runner works.

Answers the load of runners whose machines differ, or are shared with other work that
slows them down for moments or for good. It keeps two invariants: a runner looks fast
only by answers that callers got, never by what it claims or by fast failures, and no
evidence keeps a runner without work for good.
"""

from dataclasses import dataclass, field
from math import exp, inf, log

from figshunt.dispatch._messages import RunnerLoad, SpeedNotice
from figshunt.types import HostName, RouteName, RunnerId

# Evidence of the lasting speed counts half after this time if newer evidence comes.
# It outlasts several of the slow phases of a shared machine, which are below a second.
LASTING_HALF_LIFE_MS = 8_000

# A new runner is assumed to be as fast as its pool, with the weight of four answers.
PRIOR_WEIGHT = 4.0

# Evidence of the momentary speed decays with this time constant, a little more than
# a slow phase. Answers are late by the queues of other hosts' requests too, so that a
# prior of several answers keeps the load from oscillating between runners.
RECENT_DECAY_MS = 700
RECENT_PRIOR_WEIGHT = 6.0

# What a load header says decays with this time constant. A runner's load changes many
# times a second, and the state of its machine about every 600 ms.
HEADER_DECAY_MS = 300

# Slowdowns outside this range are ignored; 100 is normal.
SLOWDOWN_BOUNDS = (10, 10_000)

# Requests that a header may claim beyond the slots of its runner, as a multiple.
MAX_CLAIMED_ROUNDS = 20

# A header changes the lasting speed at most by these factors. It may hardly make a
# runner look faster than its answers do; between slow phases, a machine that is slowed
# down by 2.5 times in 15% of the time is by 1.15 times faster than on average.
CLAIM_LOGS = (log(0.8), log(4.0))

# The usual figure of a runner is the mean of about this many headers.
USUAL_FIGURE_WEIGHT = 64.0

# Weight of an observation in the errors that show whether headers predict durations,
# and the error, in squared logarithms, that is within the spread of the durations.
ERROR_WEIGHT = 0.1
ERROR_TOLERANCE = 0.05

# An answer counts as at most this factor longer or shorter than the lasting speed says,
# so that a single one doesn't decide, and a runner as at most this far from its pool.
OUTLIER_LOG = log(3.0)
EVIDENCE_LOG = log(4.0)
SLOWNESS_LOGS = (log(0.25), log(12.0))

# The level has to reach as far as the evidence: otherwise a restarted engine, of which
# nothing is known, looks faster than the others and attracts their work.
LEVEL_LOGS = (log(0.25), log(6.0))

# The typical time of a kind of work is the mean of about this many answers.
REFERENCE_WEIGHT = 64.0

# Routes whose typical times are kept for one pool.
MAX_ROUTES = 256

# What a host tells counts at most like so many answers.
MAX_TOLD_WEIGHT = 4.0

# What a host told is dropped after this time, and repeated before.
TOLD_LIFETIME_MS = 120_000
REPEAT_INTERVAL_MS = 50_000

# A host tells of one runner at most once in this time, and only if its evidence has
# changed by these factors.
NOTICE_INTERVAL_MS = 1_000
NOTICEABLE_LOG = log(1.15)
NOTICEABLE_RECENT_LOG = log(1.3)

# The time between two events depends on the other requests of an engine as well as on
# its speed, so that it counts less than a first event.
GAP_WEIGHT = 0.3

# Longer service times than this multiple of those at few requests show that a plain
# runner shares its processors among its requests.
FLAT_TOLERANCE = 1.5
LIMIT_STEP = 0.1
MIN_FLAT_WEIGHT = 4.0
LIMIT_WEIGHT = 16.0

# Cost of a runner with all of its places taken, in service times. A host does not know
# the latest requests of the others, which may take the last places.
UNSEEN_LOAD_COST = 0.25


@dataclass(slots=True)
class WeightedMean:
    """A mean of weighted values, of which older ones may count less."""

    total: float = 0.0
    weight: float = 0.0

    def add(self, value: float, weight: float = 1.0, max_weight: float = inf) -> None:
        """Add a value; scale the earlier ones down to keep to the maximum weight."""
        if self.weight + weight > max_weight:
            self.scale(max(0.0, max_weight - weight) / self.weight)
        self.total += value * weight
        self.weight += weight

    def scale(self, factor: float) -> None:
        """Let the values so far count by this factor."""
        self.total *= factor
        self.weight *= factor

    def mean(self, prior: float = 0.0, prior_weight: float = 0.0) -> float:
        """Return the mean of the values and a prior, or the prior without any."""
        weight = self.weight + prior_weight
        return (self.total + prior * prior_weight) / weight if weight > 0 else prior


class ReferenceTimes:
    """The typical times of a pool's answers over all of its runners.

    ``level`` is the logarithm of the speed of an average runner relative to the prior
    estimates of engines. Plain services have no prior estimates; their level is 0.
    """

    def __init__(self) -> None:
        self._logs_by_route: dict[RouteName, WeightedMean] = {}
        self._levels = WeightedMean()
        self.level = 0.0

    def typical_ms(self, route: RouteName) -> float:
        """Return the typical time of a route's work, or 0 if there is none yet."""
        mean = self._logs_by_route.get(route)
        return exp(mean.mean()) if mean else 0.0

    def compare(self, route: RouteName, time_ms: float) -> float:
        """Add a time, and return its logarithm relative to the typical time."""
        mean = self._logs_by_route.get(route)
        if mean is None:
            if len(self._logs_by_route) >= MAX_ROUTES:
                del self._logs_by_route[next(iter(self._logs_by_route))]
            mean = self._logs_by_route[route] = WeightedMean()
        value = log(max(1.0, time_ms))
        mean.add(value, max_weight=REFERENCE_WEIGHT)
        return value - mean.mean()

    def add_level(self, value: float) -> None:
        """Add an engine's time relative to the prior estimate, as a logarithm."""
        self._levels.add(_clamp(value, *LEVEL_LOGS), max_weight=REFERENCE_WEIGHT)
        self.level = self._levels.mean(0.0, PRIOR_WEIGHT)


class ConcurrencyLimit:
    """Finds how many requests a plain runner serves at once without slowing down.

    A gradient limit: the service time at many requests is compared with that at few.
    The limit is between 1 and the runner's slots.
    """

    def __init__(self) -> None:
        self._limit = inf
        self._few = WeightedMean()
        self._many = WeightedMean()

    def value(self, slots: int) -> float:
        """Return the limit of a runner with so many slots."""
        return max(1.0, min(self._limit, slots))

    def observe(self, requests: int, value: float, slots: int) -> None:
        """Adapt the limit to a service time, given as its logarithm."""
        if requests > slots:
            # The request waited for a slot.
            return
        limit = self.value(slots)
        mean = self._few if requests <= limit / 2 else self._many
        mean.add(value, max_weight=LIMIT_WEIGHT)
        if mean is self._few or self._few.weight < MIN_FLAT_WEIGHT:
            return
        ratio = exp(self._few.mean() - self._many.mean())
        target = limit * max(0.5, min(1.0, FLAT_TOLERANCE * ratio)) + 1
        self._limit = max(1.0, min(slots, limit + LIMIT_STEP * (target - limit)))


@dataclass(frozen=True, slots=True)
class ToldSpeed:
    """The lasting speed that a host told, as a logarithm, with its weight."""

    value: float
    weight: float
    told_ms: int


@dataclass(slots=True)
class HeaderRecord:
    """The last load header of a runner, and how well its headers predict durations."""

    load: RunnerLoad
    seen_ms: int
    figure: float | None = None
    usual_figure: WeightedMean = field(default_factory=WeightedMean)
    error: float = 0.0
    error_without: float = 0.0

    def freshness(self, now_ms: int) -> float:
        """Return the weight of the last header, from 0 to 1."""
        return exp(-max(0, now_ms - self.seen_ms) / HEADER_DECAY_MS)

    def trust(self) -> float:
        """Return how much better the durations are foretold with the figures."""
        return min(
            1.0,
            (self.error_without + ERROR_TOLERANCE) / (self.error + ERROR_TOLERANCE),
        )

    def claim(self) -> float:
        """Return the last figure relative to the usual one, as a logarithm."""
        if self.figure is None:
            return 0.0
        usual = self.usual_figure.mean(0.0, PRIOR_WEIGHT)
        return _clamp(self.figure - usual, *CLAIM_LOGS)

    def record(self, load: RunnerLoad, now_ms: int) -> None:
        """Replace the last header."""
        self.load = load
        self.seen_ms = now_ms
        low, high = SLOWDOWN_BOUNDS
        self.figure = None
        if load.slowdown is not None and low <= load.slowdown <= high:
            self.figure = log(load.slowdown / 100)
            self.usual_figure.add(self.figure, max_weight=USUAL_FIGURE_WEIGHT)

    def check(self, deviation: float) -> None:
        """Compare the last figure with a duration, relative to the lasting speed."""
        error = (deviation - self.claim()) ** 2
        self.error += ERROR_WEIGHT * (error - self.error)
        self.error_without += ERROR_WEIGHT * (deviation**2 - self.error_without)


class ServiceTimes:
    """How fast one runner works, relative to the others of its pool.

    The lasting speed of its machine is learnt from this host's answers and from what
    other hosts tell. The momentary speed is learnt from the answers of about the last
    second and from the load header. All are logarithms of factors on the time that
    work takes. The state of one runner is constant in size, except for one entry for
    each host that told of it within ``TOLD_LIFETIME_MS``.
    """

    def __init__(self, reference: ReferenceTimes | None = None) -> None:
        self.reference = reference or ReferenceTimes()
        self.reset()

    def reset(self) -> None:
        """Forget all: the runner has a new process."""
        self.limit = ConcurrencyLimit()
        self.header: HeaderRecord | None = None
        self._own = WeightedMean()
        self._evidence_ms = 0
        self._told = WeightedMean()
        self._told_by_host: dict[HostName, ToldSpeed] = {}
        self._recent = WeightedMean()
        self._untold = WeightedMean()
        self._recent_ms = 0
        self._noticed_ms: int | None = None
        self._noticed_value: float | None = None

    @property
    def lasting(self) -> float:
        """Return the lasting speed as a logarithm."""
        total = self._own.total + self._told.total
        weight = self._own.weight + self._told.weight
        level = self.reference.level
        return (total + level * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)

    @property
    def is_distinct(self) -> bool:
        """Return whether the runner states its load or differs from its pool."""
        difference = abs(self.lasting - self.reference.level)
        return self.header is not None or difference >= NOTICEABLE_LOG

    def deviation(self, now_ms: int) -> float:
        """Return the momentary speed relative to the lasting one, as a logarithm."""
        self._decay_recent(now_ms)
        recent = self._recent.mean(0.0, RECENT_PRIOR_WEIGHT)
        header = self.header
        if header is None or header.figure is None:
            return recent
        weight = header.freshness(now_ms) * header.trust()
        return weight * header.claim() + (1 - weight) * recent

    def slowness(self, now_ms: int) -> float:
        """Return by which factor the runner's work takes longer now."""
        return exp(_clamp(self.lasting + self.deviation(now_ms), *SLOWNESS_LOGS))

    def claimed_requests(self, slots: int, now_ms: int) -> float:
        """Return the requests at the runner by its header, fewer as that ages.

        :param slots: the published slots, which bound what the header may claim.
        """
        if self.header is None:
            return 0.0
        load = self.header.load
        requests = min(load.running + load.waiting, MAX_CLAIMED_ROUNDS * slots)
        return requests * self.header.freshness(now_ms)

    def rounds(self, requests: float, slots: int) -> float:
        """Return the expected time of a plain call in service times.

        :param requests: those that are at the runner before it.
        """
        fill = (requests + 1) / self.limit.value(slots)
        return max(1.0, fill) + UNSEEN_LOAD_COST * min(1.0, fill)

    def observe_duration(
        self, route: RouteName, duration_ms: int, ahead: int, slots: int, now_ms: int
    ) -> None:
        """Learn from the duration of a plain answer.

        :param ahead: the requests that were known to be there when it was sent.
        """
        waited_rounds = max(1.0, (ahead + 1) / self.limit.value(slots))
        value = self.reference.compare(route, duration_ms / waited_rounds)
        self.limit.observe(ahead + 1, value, slots)
        self._observe(value, 1.0, now_ms)

    def observe_first_event(self, factor: float, now_ms: int) -> None:
        """Learn from the time to a first event relative to the prior estimate."""
        value = log(max(1e-3, factor))
        self.reference.add_level(value)
        self._observe(value, 1.0, now_ms)

    def observe_gaps(self, route: RouteName, factor: float, now_ms: int) -> None:
        """Learn from the time between events relative to the prior estimate."""
        relative = self.reference.compare(route, max(1e-3, factor) * 1_000)
        # A stream outlasts a slow phase, so its gaps don't show the current one.
        self._observe_lasting(self.reference.level + relative, GAP_WEIGHT, now_ms)

    def record_load(self, load: RunnerLoad, now_ms: int) -> None:
        """Record a load header of the runner."""
        if self.header is None:
            self.header = HeaderRecord(load, now_ms)
        self.header.record(load, now_ms)
        if self.header.figure is not None:
            self._decay_recent(now_ms)
            self._untold.add(self.header.claim() * self.header.trust())

    def record_notice(self, host: HostName, notice: SpeedNotice, now_ms: int) -> None:
        """Replace what a host knows of the lasting speed, and add recent evidence."""
        self._drop_told(host)
        level = self.reference.level
        value = log(notice.lasting)
        told = ToldSpeed(
            _clamp(value, level - EVIDENCE_LOG, level + EVIDENCE_LOG),
            min(MAX_TOLD_WEIGHT, notice.weight),
            now_ms,
        )
        self._told_by_host[host] = told
        self._age_evidence(now_ms)
        self._told.add(told.value, told.weight)
        self._decay_recent(now_ms)
        recent = _clamp(log(notice.recent), -EVIDENCE_LOG, EVIDENCE_LOG)
        self._recent.add(recent, min(MAX_TOLD_WEIGHT, notice.recent_weight))

    def expire(self, now_ms: int) -> None:
        """Drop what was told too long ago."""
        for host, told in tuple(self._told_by_host.items()):
            if now_ms - told.told_ms > TOLD_LIFETIME_MS:
                self._drop_told(host)
        if not self._told_by_host:
            # Rounding errors of the sums end here.
            self._told = WeightedMean()

    def take_notice(
        self, runner_id: RunnerId, process: int | None, now_ms: int
    ) -> SpeedNotice | None:
        """Return what other hosts have to know, if that has changed noticeably."""
        if self._noticed_ms is not None:
            if now_ms - self._noticed_ms < NOTICE_INTERVAL_MS:
                return None
        self._decay_recent(now_ms)
        level = self.reference.level
        value = self._own.mean(level, PRIOR_WEIGHT)
        known = level if self._noticed_value is None else self._noticed_value
        recent = self._untold.mean(0.0, RECENT_PRIOR_WEIGHT)
        is_due = (
            abs(value - known) >= NOTICEABLE_LOG
            or abs(recent) >= NOTICEABLE_RECENT_LOG
            or (
                self._noticed_ms is not None
                and now_ms - self._noticed_ms >= REPEAT_INTERVAL_MS
            )
        )
        if not is_due:
            return None
        self._noticed_ms = now_ms
        self._noticed_value = value
        untold, self._untold = self._untold, WeightedMean()
        return SpeedNotice(
            runner_id,
            process,
            exp(self._own.mean(level)),
            min(MAX_TOLD_WEIGHT, self._own.weight),
            exp(untold.mean()),
            min(MAX_TOLD_WEIGHT, untold.weight),
        )

    def _observe(self, value: float, weight: float, now_ms: int) -> None:
        """Learn from an answer of this moment."""
        lasting = self.lasting
        value = _clamp(value, lasting - OUTLIER_LOG, lasting + OUTLIER_LOG)
        deviation = value - lasting
        header = self.header
        if header is not None and header.figure is not None:
            if header.freshness(now_ms) > 0.5:
                header.check(deviation)
        self._observe_lasting(value, weight, now_ms)
        # What the lasting speed has learnt of it counts once.
        deviation += lasting - self.lasting
        self._decay_recent(now_ms)
        self._recent.add(deviation, weight)
        self._untold.add(deviation, weight)

    def _observe_lasting(self, value: float, weight: float, now_ms: int) -> None:
        level = self.reference.level
        value = _clamp(value, level - EVIDENCE_LOG, level + EVIDENCE_LOG)
        self._age_evidence(now_ms)
        self._own.add(value, weight)

    def _age_evidence(self, now_ms: int) -> None:
        """Let the evidence so far count less than the new one of this time.

        It keeps its weight as long as no host has newer evidence.
        """
        factor = 0.5 ** ((now_ms - self._evidence_ms) / LASTING_HALF_LIFE_MS)
        self._own.scale(factor)
        self._told.scale(factor)
        self._evidence_ms = now_ms

    def _decay_recent(self, now_ms: int) -> None:
        if now_ms > self._recent_ms and (self._recent.weight or self._untold.weight):
            factor = exp((self._recent_ms - now_ms) / RECENT_DECAY_MS)
            self._recent.scale(factor)
            self._untold.scale(factor)
        self._recent_ms = max(now_ms, self._recent_ms)

    def _drop_told(self, host: HostName) -> None:
        told = self._told_by_host.pop(host, None)
        if told is not None:
            age_ms = self._evidence_ms - told.told_ms
            weight = told.weight * 0.5 ** (age_ms / LASTING_HALF_LIFE_MS)
            self._told.add(told.value, -weight)


def _clamp(value: float, low: float, high: float) -> float:
    return max(low, min(high, value))
