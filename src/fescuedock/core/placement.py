"""Chooses upstreams for an online request by the predicted first event, pauses and end.

The prediction uses the owners' reports on the speed and queues of their upstreams, each part
weighted by its age: a report is usually at least a second old, as a node rarely queries each owner.

Pure: the caller passes the time and the randomness.
"""

import random
from collections.abc import Sequence
from operator import itemgetter

import msgspec

from fescuedock.core.permits.speed import SLOWNESS_HALF_LIFE_MS
from fescuedock.core.routing import (
    Candidate,
    Choice,
    Demand,
    PlacementPolicy,
    RoutingPolicy,
    avoidance_rank,
    choose_upstreams,
    needs_batch_eviction,
    prefix_upstream,
)
from fescuedock.schema.permits import LoadSnapshot

__all__ = ["TypicalSpeed", "choose_by_prediction", "predict", "should_move", "typical_speed"]


_RANK = itemgetter(0, 1, 2, 3)


class TypicalSpeed(msgspec.Struct, frozen=True):
    """Means over the upstreams of a service with known speed.

    ``wait_ms`` and ``fill``, the share of slots that run online calls, are the known minimum
    instead, so that an upstream without a recent report is queried.
    """

    start_ms: float = 0.0
    event_ms: float = 0.0
    run_ms: float = 0.0
    wait_ms: float = 0.0
    fill: float = 0.0


def typical_speed(candidates: Sequence[Candidate], policy: PlacementPolicy) -> TypicalSpeed | None:
    """Return typical values, weighted toward recent reports; None without any report of speed."""
    weights = start_ms = event_ms = run_ms = 0.0
    min_wait_ms = min_fill = float("inf")
    for item in candidates:
        load = item.load
        if load is not None:
            min_wait_ms = min(min_wait_ms, load.wait_ms)
            min_fill = min(min_fill, _fill(load))
        speed = item.speed
        if speed is None:
            continue
        weight = 0.5 ** (item.speed_age_ms / policy.speed_half_life_ms)
        weights += weight
        start_ms += weight * speed.start_ms
        event_ms += weight * speed.event_ms
        run_ms += weight * speed.run_ms
    if not weights:
        return None
    if min_fill == float("inf"):
        min_wait_ms = min_fill = 0.0
    return TypicalSpeed(
        start_ms / weights, event_ms / weights, run_ms / weights, min_wait_ms, min_fill
    )


def _fill(load: LoadSnapshot) -> float:
    return load.in_flight_online / (load.limit or 1)


def predict(
    item: Candidate, typical: TypicalSpeed, prompt_tokens: int, policy: PlacementPolicy
) -> tuple[float, float, float]:
    """Return the predicted times of an attempt that began now at an upstream.

    They are the times to the first event, between two events, and from the first event to the last,
    in milliseconds.  A plain tuple, as each call needs a prediction for every upstream of its
    service.
    """
    load = item.load
    wait_ms = (typical.wait_ms if load is None else load.wait_ms) + 2 * item.latency_ms
    speed = item.speed
    if speed is None:
        factor = policy.unknown_factor if load is None else policy.unmeasured_factor
        start_ms = typical.start_ms * factor
        return wait_ms + start_ms, typical.event_ms * factor, typical.run_ms * factor
    age_ms = item.speed_age_ms
    known = 0.5 ** (age_ms / policy.speed_half_life_ms)
    other = 1.0 - known
    start_ms = other * typical.start_ms + known * speed.start_ms
    start_ms += prompt_tokens * speed.prompt_token_ms
    event_ms = other * typical.event_ms + known * speed.event_ms
    run_ms = other * typical.run_ms + known * speed.run_ms
    if speed.slowness <= 1.0:
        return wait_ms + start_ms, event_ms, run_ms
    slowness = 1.0 + (speed.slowness - 1.0) * 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)
    # The run continues after the slow period ends.
    slowed_ms = min(policy.slow_period_rest_ms, run_ms * slowness) * (1.0 - 1.0 / slowness)
    return wait_ms + start_ms * slowness, event_ms * slowness, run_ms + slowed_ms


def choose_by_prediction(
    candidates: Sequence[Candidate],
    demand: Demand,
    token_ms: float,
    policy: RoutingPolicy,
    rng: random.Random,
) -> list[Choice]:
    """Return the candidates from the best to the worst, as ``choose_upstreams`` does.

    Upstreams with room at which the request would be on time come first, ordered by the predicted
    first event and, with less weight, the end.  Near equals are in random order, with those of the
    caller's failure domain ahead.  Without any report of speed the result is that of
    ``choose_upstreams``.
    """
    placement = policy.placement
    typical = typical_speed(candidates, placement)
    if typical is None:
        return choose_upstreams(candidates, demand, token_ms, policy, rng)
    # ``target_ms`` excludes the usual time to a first event.
    target_ms = float("inf")
    if demand.target_ms > 0:
        target_ms = demand.target_ms * placement.on_time_share + typical.start_ms
    pause_ms = demand.pause_ms or float("inf")
    left_ms = demand.left_ms or float("inf")
    preferred = prefix_upstream(candidates, demand, policy)
    draw = rng.random
    scored = []
    for item in candidates:
        load = item.load
        covered = demand.prefix_tokens if item.upstream_id == preferred else 0
        prompt_tokens = max(demand.prompt_tokens - covered, 0)
        first_ms, event_ms, run_ms = predict(item, typical, prompt_tokens, placement)
        misses = (first_ms > target_ms) + (event_ms > pause_ms) + (first_ms + run_ms > left_ms)
        cost_ms = first_ms + placement.run_weight * run_ms
        if not item.same_domain:
            cost_ms += placement.cross_domain_penalty_ms
        if not item.connected:
            cost_ms += policy.connect_penalty_ms
        has_room, accepting, queue_ms, fill = True, True, typical.wait_ms, typical.fill
        if load is not None:
            has_room = not load.queued_online and load.in_flight_online < load.limit
            accepting = load.accepting
            queue_ms = load.first_token_ms
            fill = _fill(load)
            if load.in_flight_batch and needs_batch_eviction(item):
                cost_ms += policy.eviction_penalty_ms
        cost_ms *= (1.0 + placement.fill_weight * fill) * (1.0 + placement.random_spread * draw())
        choice = Choice(
            item.upstream_id,
            cost_ms,
            queue_ms + 2 * item.latency_ms,
            has_room,
            accepting,
            item.owner_silent,
            first_ms,
        )
        scored.append((avoidance_rank(item), not has_room, misses, cost_ms, choice))
    scored.sort(key=_RANK)
    return [entry[4] for entry in scored]


def should_move(
    load: LoadSnapshot, other: Choice, prompt_tokens: int, policy: PlacementPolicy
) -> bool:
    """Whether a call should move to ``other`` from the upstream that just granted it a permit.

    ``load`` was received with the permit, so that it may show a slow period that was not known
    before.
    """
    if load.speed_age_ms < 0 or not other.start_ms or not other.has_room:
        return False
    start_ms = (load.start_ms + prompt_tokens * load.prompt_token_ms) * load.slowness
    return start_ms > policy.move_factor * other.start_ms
