"""Estimates the cost of sending a request to a runner."""

from dataclasses import dataclass
from math import exp

from figshunt.directory import EngineLimits, PublishedRunner
from figshunt.dispatch._call import Prompt, RoutedCall
from figshunt.dispatch.fleet._pool_summary import role_rank
from figshunt.dispatch.fleet._runner_model import (
    GAP_HEADROOM,
    PREFILL_CHUNK_TOKENS,
    PREFILL_WINDOW_MS,
    PRIOR_FIRST_MS,
    PRIOR_STEP_MS,
    RunnerModel,
    effective_stall_ms,
)
from figshunt.types import DataCentreName

# Costs are relative to the value of one timely answer of medium urgency, which
# is 1. An answer of the most urgent class is worth twice that.
MAX_ANSWER_VALUE = 2.0

# Share of its value that an answer loses by being late.
LATE_PENALTY = 0.7

# Width of the logistic curve that turns an estimate near a target into the
# probability of missing the target, as a share of the target.
ESTIMATE_SPREAD = 0.2
GAP_SPREAD = 0.08

# Cost of processing shared prompt tokens again that a runner processed recently.
# The platform charges about a tenth of an answer's value per thousand tokens.
REPEATED_PREFILL_COST_PER_TOKEN = 0.12 / 1_000

# Cost of reading shared prompt tokens at an engine that is no home of the prefix. It
# takes engine time and cache from the prefixes that belong there. For a prefix of 4,000
# tokens it is less than the cost of a late first event and answer.
SPREAD_COST_PER_TOKEN = 0.3 / 1_000

# Cost of fetching cached prompt parts from another runner. The platform charges
# for the bytes moved, about a tenth of its price for processing the tokens again.
FETCH_COST_PER_TOKEN = 0.014 / 1_000

# Fewer tokens do not justify a transfer, which takes a few ms to set up.
MIN_FETCH_TOKENS = 300
FETCH_SETUP_MS = 5.0

# Waiting has a cost even if no target is missed. This one applies to a wait as
# long as the target.
WAITING_COST = 0.6

# Cost of a delay of one second for each other stream of the runner.
DELAY_COST_PER_STREAM_S = 0.1

# Outputs are often longer than callers expect, by a factor of up to about this.
OUTPUT_LENGTH_MARGIN = 2.0

# Probability that a stream with a tight gap target is late, relative to the
# share of time that its runner spends on the prefill of long prompts.
PREFILL_DELAY_RISK = 4.0

# Streams affected by a prefill, for each stream that runs now. It includes
# streams that start while the prefill still counts as recent.
AFFECTED_STREAM_FACTOR = 1.5

# The first stream with a tight gap target at a runner keeps long prompts away
# from it. The cost is proportional to the prefill load of the pool and is
# divided among further such streams.
FIRST_STREAM_COST = 2.5

# Deterministic preference, equal on all hosts, that separates streams with tight
# gap targets from long prompts if no other cost does.
ROLE_PREFERENCE_COST = 0.15

# The platform charges for bytes sent to another data centre.
CROSS_DATA_CENTRE_COST = 0.01
CROSS_DATA_CENTRE_COST_PER_BYTE = 0.02 / 18_000

FAILURE_COST = 1.5

# Least share of answers that is assumed of a failing runner.
MIN_SUCCESS_SHARE = 0.1

# An engine without a free slot delays the next request until another one has
# finished, or preempts a less urgent one. A half-full engine can still accept a
# burst.
OCCUPANCY_COST = 0.5

# Occupancy up to which an engine is assumed to have a free slot when the request
# arrives. It is well below 1 because a host does not see the latest attempts of
# other hosts.
FREE_SLOT_OCCUPANCY = 0.5
FREE_SLOT_SPREAD = 0.1

# The same of an engine with few slots, which hosts could not half fill otherwise: with
# 12 slots and 0.5, a replay of peak load read 1.4 times as many shared tokens again.
FEW_SLOTS = 16
FEW_FREE_SLOT_OCCUPANCY = 0.8

# Must exceed the cost of the first stream with a tight gap target at another
# engine, so that a full engine is not preferred to it.
FULL_ENGINE_COST = 6.0

# Upper limit on the number of streams that are charged for one delay.
MAX_DELAYED_STREAMS = 8


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected cost and timing of a call at one runner.

    ``delay_cost`` is the part of the cost that other streams bear. ``streams`` is the
    number of requests that are known to be in flight there.
    """

    cost: float
    prefill_tokens: int
    first_ms: int
    fetched_tokens: int = 0
    delay_cost: float = 0.0
    streams: int = 0


def estimate_engine(
    routed: RoutedCall,
    runner: PublishedRunner,
    model: RunnerModel,
    engine: EngineLimits,
    own_data_centre: DataCentreName,
    recent_tokens: int,
    fetchable_tokens: int,
    mean_prefill_share: float,
    now_ms: int,
    is_home: bool = True,
) -> Estimate:
    """Estimate the cost of a call at a model engine.

    The cost is the sum of these terms: a late first event or answer of the
    call, late events of the call because the engine processes other prompts,
    late events of other streams because the engine processes this prompt,
    shared tokens that are processed again or fetched, failures, traffic
    between data centres, and occupied slots.

    :param recent_tokens: leading prompt tokens that some runner processed
        recently.
    :param fetchable_tokens: leading prompt tokens that the runner can fetch
        from another one.
    :param mean_prefill_share: mean share of time that the runners of the
        pool spend on prefill.
    :param is_home: whether the runner is a home of the prompt's shared prefix.
    """
    model.update_slowness(now_ms)
    prompt = routed.call.prompt
    input_tokens = prompt.input_tokens if prompt else 0
    cached_tokens = model.prefix_cache.cached_tokens(prompt.parts) if prompt else 0
    fetched_tokens = max(0, min(input_tokens, fetchable_tokens) - cached_tokens)
    if not engine.fetch_tokens_per_ms or fetched_tokens < MIN_FETCH_TOKENS:
        fetched_tokens = 0
    prefill_tokens = max(0, input_tokens - cached_tokens - fetched_tokens)
    backlog_ms = model.prefill_queue.backlog_ms(now_ms)
    prefill_ms = model.prefill_ms(prefill_tokens, cached_tokens + fetched_tokens)
    first_ms = backlog_ms + prefill_ms + PRIOR_FIRST_MS * model.slowness
    if fetched_tokens:
        first_ms += FETCH_SETUP_MS + fetched_tokens / engine.fetch_tokens_per_ms
    cost = _latency_cost(routed, model, first_ms, prefill_ms, now_ms)
    cost += _gap_cost(
        routed, runner, model, engine, prefill_ms, mean_prefill_share, now_ms
    )
    # If the fetch fails, the runner has to process those tokens itself.
    max_prefill_ms = prefill_ms + model.prefill_ms(fetched_tokens)
    delay_cost = _stream_delay_cost(
        model, engine, model.prefill_queue.busy_ms(now_ms), max_prefill_ms, now_ms
    )
    cost += delay_cost
    cost += REPEATED_PREFILL_COST_PER_TOKEN * max(
        0, recent_tokens - cached_tokens - fetched_tokens
    )
    if prompt is not None and not is_home:
        shared_tokens = sum(part.tokens for part in prompt.parts[:-1])
        cost += SPREAD_COST_PER_TOKEN * max(
            0, shared_tokens - cached_tokens - fetched_tokens
        )
    cost += FETCH_COST_PER_TOKEN * fetched_tokens
    cost += _common_cost(routed, runner, model, own_data_centre, now_ms)
    streams = model.load.requests
    occupancy = streams / max(1, runner.slots)
    cost += answer_value(routed.urgency) * _occupancy_cost(occupancy, runner.slots)
    return Estimate(
        cost, prefill_tokens, int(first_ms), fetched_tokens, delay_cost, streams
    )


def estimate_plain(
    routed: RoutedCall,
    runner: PublishedRunner,
    model: RunnerModel,
    own_data_centre: DataCentreName,
    now_ms: int,
) -> Estimate:
    """Estimate a call at a plain service by its expected time.

    The time counts in service times of an average runner. A runner that mostly fails
    needs many of them for each answer; a few failures count by their own cost.
    """
    times = model.service_times
    requests = max(
        len(model.running_attempts),
        model.load.requests,
        int(times.claimed_requests(runner.slots, now_ms)),
    )
    expected_time = times.slowness(now_ms) * times.rounds(requests, runner.slots)
    success_share = max(MIN_SUCCESS_SHARE, 1 - model.failure_share(now_ms) ** 2)
    cost = expected_time / success_share
    cost += _common_cost(routed, runner, model, own_data_centre, now_ms)
    expected_ms = int(expected_time * times.reference.typical_ms(routed.route.name))
    return Estimate(cost, 0, expected_ms, streams=requests)


def answer_value(urgency: int) -> float:
    """Return the value of a timely answer; ``urgency`` 0 is the most urgent."""
    return 2 * MAX_ANSWER_VALUE / (2 + max(0, urgency))


def _latency_cost(
    routed: RoutedCall,
    model: RunnerModel,
    first_ms: float,
    prefill_ms: float,
    now_ms: int,
) -> float:
    """Return the cost of the time that the call itself takes."""
    value = answer_value(routed.urgency)
    target_ms = routed.route.target_ms
    waited_ms = now_ms - routed.call.received.monotonic_ms
    cost = value * LATE_PENALTY * _late_probability(first_ms + waited_ms, target_ms)
    cost += value * WAITING_COST * first_ms / target_ms
    total_ms = first_ms + _output_ms(routed.call.prompt, model, prefill_ms, now_ms)
    return cost + value * _late_probability(
        total_ms, max(1, routed.deadline_ms - now_ms)
    )


def _gap_cost(
    routed: RoutedCall,
    runner: PublishedRunner,
    model: RunnerModel,
    engine: EngineLimits,
    prefill_ms: float,
    mean_prefill_share: float,
    now_ms: int,
) -> float:
    """Return the cost of late events of the call, and of placing a stream here."""
    gap_ms = routed.route.gap_target_ms
    if gap_ms is None:
        return 0.0
    tightness = _gap_tightness(model, engine, gap_ms)
    stall_ms = _stall_ms(
        model, engine, model.prefill_queue.backlog_ms(now_ms) + prefill_ms
    )
    busy_late_probability = min(
        1.0, PREFILL_DELAY_RISK * model.long_prefill_share(now_ms)
    )
    late_probability = max(
        _gap_late_probability(stall_ms, gap_ms), tightness * busy_late_probability
    )
    cost = answer_value(routed.urgency) * LATE_PENALTY * late_probability
    tight_streams = model.count_streams(gap_ms, now_ms)
    cost += FIRST_STREAM_COST * tightness * mean_prefill_share / (1 + tight_streams)
    rank = role_rank(runner.runner_id)
    return cost + ROLE_PREFERENCE_COST * abs(rank - (1 - tightness))


def _common_cost(
    routed: RoutedCall,
    runner: PublishedRunner,
    model: RunnerModel,
    own_data_centre: DataCentreName,
    now_ms: int,
) -> float:
    cost = FAILURE_COST * model.failure_share(now_ms)
    if runner.data_centre != own_data_centre:
        cost += CROSS_DATA_CENTRE_COST + CROSS_DATA_CENTRE_COST_PER_BYTE * len(
            routed.call.body
        )
    return cost


def _occupancy_cost(occupancy: float, slots: int = FEW_SLOTS + 1) -> float:
    free_occupancy = (
        FEW_FREE_SLOT_OCCUPANCY if slots <= FEW_SLOTS else FREE_SLOT_OCCUPANCY
    )
    exponent = (free_occupancy - occupancy) / (free_occupancy * FREE_SLOT_SPREAD)
    return OCCUPANCY_COST * occupancy**2 + FULL_ENGINE_COST / (
        1 + exp(min(20.0, exponent))
    )


def _late_probability(
    expected_ms: float, target_ms: int, spread: float = ESTIMATE_SPREAD
) -> float:
    """Return the probability of missing the target."""
    exponent = (expected_ms - target_ms) / max(1.0, target_ms * spread)
    if exponent > 20:
        return 1.0
    return 1 / (1 + exp(-exponent)) if exponent > -20 else 0.0


def _output_ms(
    prompt: Prompt | None, model: RunnerModel, prefill_ms: float, now_ms: int
) -> float:
    """Return the time to generate the output at the recent prefill load."""
    if prompt is None:
        return 0.0
    expected_tokens = prompt.expected_output_tokens or prompt.max_output_tokens
    tokens = min(prompt.max_output_tokens, expected_tokens * OUTPUT_LENGTH_MARGIN)
    share = min(1.0, model.prefill_share(now_ms) + prefill_ms / PREFILL_WINDOW_MS)
    step_ms = PRIOR_STEP_MS * model.slowness
    return tokens * (step_ms + share * model.prefill_ms(PREFILL_CHUNK_TOKENS))


def _stall_ms(model: RunnerModel, engine: EngineLimits, prefill_ms: float) -> float:
    """Return the longest gap between two events during a prefill of that length."""
    max_stall_ms = engine.event_tokens * model.prefill_ms(PREFILL_CHUNK_TOKENS)
    steps_ms = engine.event_tokens * PRIOR_STEP_MS * model.slowness
    return min(prefill_ms, max_stall_ms) + steps_ms


def _gap_tightness(model: RunnerModel, engine: EngineLimits, gap_ms: int) -> float:
    """Return the probability that continuous prefill breaks the gap target."""
    return _gap_late_probability(model.max_stall_ms(engine.event_tokens), gap_ms)


def _gap_late_probability(stall_ms: float, gap_ms: int) -> float:
    return _late_probability(stall_ms, int(gap_ms * (1 - GAP_HEADROOM)), GAP_SPREAD)


def _stream_delay_cost(
    model: RunnerModel,
    engine: EngineLimits,
    busy_ms: float,
    prefill_ms: float,
    now_ms: int,
) -> float:
    """Return the cost of delaying running streams by the prefill of a prompt.

    A stream stalls as long as the engine does prefill without a pause, so
    prefill that was just done counts as well as prefill that is queued.
    """
    cost = 0.0
    before_ms = _stall_ms(model, engine, busy_ms)
    after_ms = _stall_ms(model, engine, busy_ms + prefill_ms)
    for gap_ms, running_streams in model.streams_by_gap_ms.items():
        stream_count = running_streams.count(now_ms)
        if not stream_count:
            continue
        late_probability = _gap_late_probability(after_ms, gap_ms)
        added_probability = late_probability - _gap_late_probability(before_ms, gap_ms)
        # A longer stall also delays streams that start during it.
        added_probability = max(
            added_probability,
            late_probability * prefill_ms / max(1.0, busy_ms + prefill_ms),
        )
        affected_streams = (
            AFFECTED_STREAM_FACTOR
            * stream_count
            * effective_stall_ms(prefill_ms)
            / PREFILL_WINDOW_MS
        )
        risk = PREFILL_DELAY_RISK * _gap_tightness(model, engine, gap_ms)
        cost += MAX_ANSWER_VALUE * LATE_PENALTY * risk * affected_streams
        delayed_streams = min(MAX_DELAYED_STREAMS, stream_count)
        cost += MAX_ANSWER_VALUE * LATE_PENALTY * added_probability * delayed_streams
        cost += DELAY_COST_PER_STREAM_S * delayed_streams * prefill_ms / 1_000
    return cost
