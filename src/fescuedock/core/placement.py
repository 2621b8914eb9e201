"""Chooses upstreams for an online request by the predicted first event, pauses and end.

The prediction is made of what owners report of their upstreams' speed and queues.  Each part counts
as far as its age lets it: a report is mostly a second old or older, as a node asks each owner
rarely.

Pure: the caller passes the time and the randomness.
"""

import random
from collections.abc import Sequence

import msgspec

from fescuedock.core.permits.speed import SLOWNESS_HALF_LIFE_MS
from fescuedock.core.routing import (
    Candidate,
    Choice,
    Demand,
    PlacementPolicy,
    RoutingPolicy,
    choose_upstreams,
    covering_upstream,
    last_resort,
    takes_a_batch_slot,
)
from fescuedock.schema.permits import LoadSnapshot

__all__ = ["Prediction", "choose_by_prediction", "predict", "typical_of"]


class Prediction(msgspec.Struct, frozen=True):
    """What an attempt that began now would give; ``pause_ms`` is the mean between two events."""

    first_ms: float
    pause_ms: float
    run_ms: float


class Typical(msgspec.Struct, frozen=True):
    """Means over the upstreams of a service whose speed is known."""

    start_ms: float = 0.0
    event_ms: float = 0.0
    run_ms: float = 0.0
    wait_ms: float = 0.0


def typical_of(candidates: Sequence[Candidate]) -> Typical | None:
    """Return typical values; None while nobody has told of any speed."""
    known = [item.speed for item in candidates if item.speed is not None and item.speed.event_ms]
    if not known:
        return None
    waits = [item.load.wait_ms for item in candidates if item.load is not None]
    count = len(known)
    return Typical(
        sum([load.start_ms for load in known]) / count,
        sum([load.event_ms for load in known]) / count,
        sum([load.run_ms for load in known]) / count,
        min(waits, default=0.0),
    )


def predict(
    item: Candidate, typical: Typical, prompt_tokens: int, policy: PlacementPolicy
) -> Prediction:
    """Return what an attempt at an upstream would give."""
    load = item.load
    wait_ms = (typical.wait_ms if load is None else load.wait_ms) + 2 * item.latency_ms
    speed = item.speed
    if speed is None or not speed.event_ms:
        factor = policy.unknown_factor
        return Prediction(
            wait_ms + typical.start_ms * factor,
            typical.event_ms * factor,
            typical.run_ms * factor,
        )
    known = 0.5 ** (item.speed_age_ms / policy.speed_half_life_ms)
    start_ms = typical.start_ms + known * (speed.start_ms - typical.start_ms)
    start_ms += prompt_tokens * speed.prompt_token_ms
    event_ms = typical.event_ms + known * (speed.event_ms - typical.event_ms)
    run_ms = typical.run_ms + known * (speed.run_ms - typical.run_ms)
    slowness = _slowness(speed, item.speed_age_ms)
    # The run outlasts the slow period.
    slowed_ms = min(policy.slow_rest_ms, run_ms * slowness) * (1.0 - 1.0 / slowness)
    return Prediction(wait_ms + start_ms * slowness, event_ms * slowness, run_ms + slowed_ms)


def _slowness(speed: LoadSnapshot, age_ms: float) -> float:
    return 1.0 + (speed.slowness - 1.0) * 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)


def choose_by_prediction(
    candidates: Sequence[Candidate],
    demand: Demand,
    token_ms: float,
    policy: RoutingPolicy,
    rng: random.Random,
) -> list[Choice]:
    """Return the candidates from the best to the worst, as ``choose_upstreams`` does.

    First come upstreams with room at which the request would be on time; among them the order is
    by the predicted first event and, less, the end.  The order of near equals is random, with those
    of the caller's failure domain ahead.  Without any report of speed it is ``choose_upstreams``.
    """
    typical = typical_of(candidates)
    if typical is None:
        return choose_upstreams(candidates, demand, token_ms, policy, rng)
    placing = policy.placing
    # ``target_ms`` leaves out the time that a first event usually takes.
    target_ms = float("inf")
    if demand.target_ms > 0:
        target_ms = demand.target_ms * placing.reserve + typical.start_ms
    pause_ms = demand.pause_ms or float("inf")
    left_ms = demand.left_ms or float("inf")
    covering = covering_upstream(candidates, demand, policy)
    scored = []
    for item in candidates:
        covered = demand.prefix_tokens if item.upstream_id == covering else 0
        found = predict(item, typical, max(demand.prompt_tokens - covered, 0), placing)
        first_ms = found.first_ms
        misses = (
            (first_ms > target_ms)
            + (found.pause_ms > pause_ms)
            + (first_ms + found.run_ms > left_ms)
        )
        cost_ms = first_ms + placing.run_share * found.run_ms
        cost_ms += 0.0 if item.near else placing.domain_ms
        cost_ms += 0.0 if item.connected else policy.connect_ms
        load = item.load
        has_room, accepting = True, True
        if load is not None:
            has_room = not load.queued_online and load.in_flight_online < load.limit
            accepting = load.accepting
            if takes_a_batch_slot(item):
                cost_ms += policy.evict_ms
        cost_ms *= 1.0 + placing.spread * rng.random()
        queue_ms = item.load.first_token_ms if item.load is not None else typical.wait_ms
        choice = Choice(
            item.upstream_id,
            cost_ms,
            queue_ms + 2 * item.latency_ms,
            has_room,
            accepting,
            item.owner_silent,
        )
        scored.append((last_resort(item), not has_room, misses, cost_ms, choice))
    scored.sort(key=_by_rank)
    return [entry[4] for entry in scored]


def _by_rank(entry: tuple[int, bool, int, float, Choice]) -> tuple[int, bool, int, float]:
    return entry[:4]
