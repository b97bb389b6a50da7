"""What it is expected to cost to send a request to a runner."""

from dataclasses import dataclass
from hashlib import blake2b
from math import exp

from figshunt.directory import EngineLimits, PublishedRunner
from figshunt.dispatch._call import Prompt, RoutedCall
from figshunt.dispatch._runner_model import (
    PRIOR_FIRST_MS,
    PRIOR_STEP_MS,
    READ_CHUNK_TOKENS,
    READING_WINDOW_MS,
    RunnerModel,
    stalling_ms,
)
from figshunt.types import DataCentreName

# All costs are in parts of the value of one answer in time of the middle
# urgency, 1; the most urgent class counts twice that.
MOST_URGENT_VALUE = 2.0

# Part of its value that an answer loses by being late.
LATE_LOSS = 0.7

# How sharply an estimate near a target turns into lateness, as a part of the
# target, and the part of a gap target that is kept free for transport.
ESTIMATE_SPREAD = 0.2
GAP_SPREAD = 0.08
GAP_HEADROOM = 0.15

# Reading shared tokens once more that a runner read lately: the platform
# prices it, at about a tenth of an answer's value for a thousand tokens.
REREAD_COST_PER_TOKEN = 0.12 / 1_000

# Fetching parts from another runner: the platform prices the bytes moved, at
# about a tenth of what it takes for reading. Less than this isn't worth a
# transfer, which takes a few ms to set up.
FETCH_COST_PER_TOKEN = 0.014 / 1_000
LEAST_FETCH_TOKENS = 300
FETCH_SETUP_MS = 5.0

# Waiting costs something before it makes anything late: a target's length of
# it, and a second by which each other stream of the runner is delayed.
WAITING_COST = 0.6
DELAY_COST_PER_STREAM_S = 0.1

# Outputs are often longer than callers expect, by up to about this factor.
OUTPUT_MARGIN = 2.0

# How probable it is that a stream with a tight gap target is late, for each
# share of time that its runner reads long prompts.
READING_RISK = 4.0

# Streams that meet what is read now, for each that runs now: those that run and
# those that come while it counts as recent.
MET_STREAMS = 1.5

# The first tight stream at a runner keeps long prompts away from it; the cost
# is in proportion to how much the pool reads, and shared by further streams.
OPENING_COST = 2.5

# Deterministic preference, alike on all hosts, that separates tight streams
# from long prompts where nothing else does.
ROLE_PREFERENCE = 0.15

# Another data centre: bytes between data centres are priced by the platform.
CROSSING_COST = 0.01
CROSSING_COST_PER_BYTE = 0.02 / 18_000

FAILURE_COST = 1.5

# An engine with all slots taken makes the next request wait for a whole output
# or puts a less urgent one back, and one that is half full still takes a burst.
OCCUPANCY_COST = 0.5

# Share of an engine's slots up to which it is taken to have one free when the
# request arrives: hosts don't see each other's latest sends.
FREE_SLOTS_SHARE = 0.5
FREE_SLOTS_SPREAD = 0.1

# What a full engine costs: more than opening another one for tight streams.
FULL_COST = 6.0

ANY_GAP_MS = 1_000_000
MOST_LOSING_STREAMS = 8


@dataclass(frozen=True, slots=True)
class Estimate:
    """What is expected if a call goes to a runner."""

    cost: float
    read_tokens: int
    first_ms: int
    fetched_tokens: int = 0


def estimate_engine(
    routed: RoutedCall,
    runner: PublishedRunner,
    model: RunnerModel,
    engine: EngineLimits,
    own_data_centre: DataCentreName,
    recent_tokens: int,
    fetchable_tokens: int,
    pool_share: float,
    now_ms: int,
) -> Estimate:
    """Estimate a call at a model engine.

    ``recent_tokens`` counts the leading tokens that some runner read lately,
    ``fetchable_tokens`` those that the runner can fetch from another one,
    ``pool_share`` is the mean share of time that the pool's runners read.

    The cost adds up: the call's own first event late, the gaps of streams
    that the engine delays while it reads this prompt, the call's own gaps if
    the engine reads a lot, shared tokens that are read again, failures,
    bytes between data centres.
    """
    prompt = routed.call.prompt
    input_tokens = prompt.input_tokens if prompt else 0
    held = model.prefixes.held_tokens(prompt.parts) if prompt else 0
    fetched = max(0, min(input_tokens, fetchable_tokens) - held)
    if not engine.fetch_tokens_per_ms or fetched < LEAST_FETCH_TOKENS:
        fetched = 0
    read_tokens = max(0, input_tokens - held - fetched)
    backlog_ms = model.queue.backlog_ms(now_ms)
    own_ms = model.read_ms(read_tokens, held + fetched)
    first_ms = backlog_ms + own_ms + PRIOR_FIRST_MS * model.slowness
    if fetched:
        first_ms += FETCH_SETUP_MS + fetched / engine.fetch_tokens_per_ms
    cost = _own_cost(routed, model, first_ms, own_ms, now_ms)
    cost += _own_gap_cost(routed, runner, model, engine, own_ms, pool_share, now_ms)
    # A fetch may fail, and then the runner reads what it should have fetched.
    most_ms = own_ms + model.read_ms(fetched)
    cost += _delay_cost(model, engine, model.queue.busy_ms(now_ms), most_ms, now_ms)
    cost += REREAD_COST_PER_TOKEN * max(0, recent_tokens - held - fetched)
    cost += FETCH_COST_PER_TOKEN * fetched
    cost += _common_cost(routed, runner, model, own_data_centre, now_ms)
    streams = max(len(model.running), model.count_streams(ANY_GAP_MS, now_ms))
    occupancy = streams / max(1, runner.slots)
    cost += value_of_urgency(routed.urgency) * _occupancy_cost(occupancy)
    return Estimate(cost, read_tokens, int(first_ms), fetched)


def estimate_plain(
    routed: RoutedCall,
    runner: PublishedRunner,
    model: RunnerModel,
    own_data_centre: DataCentreName,
    now_ms: int,
) -> Estimate:
    """Estimate a call at a plain service: its load, failures and place."""
    occupancy = len(model.running) / max(1, runner.slots)
    cost = occupancy + _common_cost(routed, runner, model, own_data_centre, now_ms)
    return Estimate(cost + max(0.0, model.slowness - 1.0) * 0.2, 0, 0)


def value_of_urgency(urgency: int) -> float:
    """Return what an answer in time of this urgency counts."""
    return 2 * MOST_URGENT_VALUE / (2 + max(0, urgency))


def _own_cost(
    routed: RoutedCall, model: RunnerModel, first_ms: float, own_ms: float, now_ms: int
) -> float:
    """Return what waiting costs the call itself."""
    value = value_of_urgency(routed.urgency)
    target_ms = routed.route.target_ms
    waited_ms = now_ms - routed.call.received.monotonic_ms
    cost = value * LATE_LOSS * _lateness(first_ms + waited_ms, target_ms)
    cost += value * WAITING_COST * first_ms / target_ms
    whole_ms = first_ms + _output_ms(routed.call.prompt, model, own_ms, now_ms)
    return cost + value * _lateness(whole_ms, max(1, routed.deadline_ms - now_ms))


def _own_gap_cost(
    routed: RoutedCall,
    runner: PublishedRunner,
    model: RunnerModel,
    engine: EngineLimits,
    own_ms: float,
    pool_share: float,
    now_ms: int,
) -> float:
    """Return what the engine's other work costs a stream, and it the engine."""
    gap_ms = routed.route.gap_target_ms
    if gap_ms is None:
        return 0.0
    tightness = _tightness(model, engine, gap_ms)
    stall_ms = _stall_ms(model, engine, model.queue.backlog_ms(now_ms) + own_ms)
    chance = min(1.0, READING_RISK * model.stalling_share(now_ms))
    at_risk = max(_gap_lateness(stall_ms, gap_ms), tightness * chance)
    cost = value_of_urgency(routed.urgency) * LATE_LOSS * at_risk
    tight_streams = model.count_streams(gap_ms, now_ms)
    cost += OPENING_COST * tightness * pool_share / (1 + tight_streams)
    rank = _role_rank(runner.runner_id)
    return cost + ROLE_PREFERENCE * abs(rank - (1 - tightness))


def _common_cost(
    routed: RoutedCall,
    runner: PublishedRunner,
    model: RunnerModel,
    own_data_centre: DataCentreName,
    now_ms: int,
) -> float:
    cost = FAILURE_COST * model.failure_share(now_ms)
    if runner.data_centre != own_data_centre:
        cost += CROSSING_COST + CROSSING_COST_PER_BYTE * len(routed.call.body)
    return cost


def _occupancy_cost(occupancy: float) -> float:
    exponent = (FREE_SLOTS_SHARE - occupancy) / (FREE_SLOTS_SHARE * FREE_SLOTS_SPREAD)
    return OCCUPANCY_COST * occupancy**2 + FULL_COST / (1 + exp(min(20.0, exponent)))


def _lateness(
    expected_ms: float, target_ms: int, spread: float = ESTIMATE_SPREAD
) -> float:
    """Return how probable it is that the target is missed, from 0 to 1."""
    exponent = (expected_ms - target_ms) / max(1.0, target_ms * spread)
    if exponent > 20:
        return 1.0
    return 1 / (1 + exp(-exponent)) if exponent > -20 else 0.0


def _output_ms(
    prompt: Prompt | None, model: RunnerModel, own_ms: float, now_ms: int
) -> float:
    """Return how long the output takes while the runner reads as lately."""
    if prompt is None:
        return 0.0
    expected = prompt.expected_output_tokens or prompt.most_output_tokens
    tokens = min(prompt.most_output_tokens, expected * OUTPUT_MARGIN)
    share = min(1.0, model.reading_share(now_ms) + own_ms / READING_WINDOW_MS)
    step_ms = PRIOR_STEP_MS * model.slowness
    return tokens * (step_ms + share * model.read_ms(READ_CHUNK_TOKENS))


def _stall_ms(model: RunnerModel, engine: EngineLimits, reading_ms: float) -> float:
    """Return the longest gap between two events while that long is read."""
    most_ms = engine.event_tokens * model.read_ms(READ_CHUNK_TOKENS)
    steps_ms = engine.event_tokens * PRIOR_STEP_MS * model.slowness
    return min(reading_ms, most_ms) + steps_ms


def _tightness(model: RunnerModel, engine: EngineLimits, gap_ms: int) -> float:
    """Return how probable it is that constant reading breaks the gap target."""
    return _gap_lateness(_stall_ms(model, engine, float("inf")), gap_ms)


def _gap_lateness(stall_ms: float, gap_ms: int) -> float:
    return _lateness(stall_ms, int(gap_ms * (1 - GAP_HEADROOM)), GAP_SPREAD)


def _delay_cost(
    model: RunnerModel,
    engine: EngineLimits,
    busy_ms: float,
    own_ms: float,
    now_ms: int,
) -> float:
    """Return what reading this prompt costs the streams that run there.

    A stream stalls while the engine reads without a pause, so what was read
    just before counts as well as what waits to be read.
    """
    cost = 0.0
    before_ms = _stall_ms(model, engine, busy_ms)
    after_ms = _stall_ms(model, engine, busy_ms + own_ms)
    for gap_ms, share in model.streams_by_gap_ms.items():
        late = _gap_lateness(after_ms, gap_ms)
        added = late - _gap_lateness(before_ms, gap_ms)
        # A longer stall also hits the streams that come while it lasts.
        added = max(added, late * own_ms / max(1.0, busy_ms + own_ms))
        running = share.count(now_ms)
        met = MET_STREAMS * running * stalling_ms(own_ms) / READING_WINDOW_MS
        risk = READING_RISK * _tightness(model, engine, gap_ms)
        cost += MOST_URGENT_VALUE * LATE_LOSS * risk * met
        streams = min(MOST_LOSING_STREAMS, running)
        cost += MOST_URGENT_VALUE * LATE_LOSS * added * streams
        cost += DELAY_COST_PER_STREAM_S * streams * own_ms / 1_000
    return cost


def _role_rank(runner_id: str) -> float:
    """Return a number from 0 to 1 that is the same on all hosts."""
    digest = blake2b(runner_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 0xFFFFFFFF
