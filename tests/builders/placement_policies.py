"""Alternative ranking policies for upstreams, for comparison with the one in use."""

import random
from collections.abc import Callable, Sequence

from fescuedock.core.placement import choose_by_prediction, predict, typical_speed
from fescuedock.core.routing import (
    Candidate,
    Choice,
    Demand,
    Ranking,
    RoutingPolicy,
    avoidance_rank,
    choose_upstreams,
)
from tests.builders.load_player import PlayedFleet

__all__ = ["POLICIES", "least_loaded", "oracle", "two_choices"]

_Cost = Callable[[Candidate], float]


def two_choices(
    candidates: Sequence[Candidate],
    demand: Demand,
    token_ms: float,
    policy: RoutingPolicy,
    rng: random.Random,
) -> list[Choice]:
    """Draw two upstreams at random and put the one with the earlier predicted end first.

    The others follow in random order.
    """
    typical = typical_speed(candidates, policy.placement)
    if typical is None:
        return choose_upstreams(candidates, demand, token_ms, policy, rng)

    def end_ms(item: Candidate) -> float:
        first_ms, _, run_ms = predict(item, typical, demand.prompt_tokens, policy.placement)
        return first_ms + run_ms

    drawn = list(candidates)
    rng.shuffle(drawn)
    first = [item for item in drawn if not avoidance_rank(item) and _has_room(item)][:2]
    rest = [item for item in drawn if item not in first]
    ordered = sorted(first, key=end_ms) + sorted(rest, key=lambda item: not _has_room(item))
    return [_choice(item, end_ms(item)) for item in ordered]


def least_loaded(
    candidates: Sequence[Candidate],
    demand: Demand,
    token_ms: float,
    policy: RoutingPolicy,
    rng: random.Random,
) -> list[Choice]:
    """Rank upstreams by work per slot, weighted by their speed."""
    typical = typical_speed(candidates, policy.placement)
    if typical is None:
        return choose_upstreams(candidates, demand, token_ms, policy, rng)

    def cost(item: Candidate) -> float:
        _, pause_ms, _ = predict(item, typical, demand.prompt_tokens, policy.placement)
        work = 0.5 if item.load is None else _work(item) / max(item.load.limit, 1)
        return (work + 0.1) * pause_ms * (1.0 + 0.25 * rng.random())

    return _rank(candidates, cost)


def oracle(fleet: PlayedFleet) -> Ranking:
    """Return a ranking that knows all current speeds, slow periods and free slots."""

    def choose(
        candidates: Sequence[Candidate],
        _demand: Demand,
        _token_ms: float,
        _policy: RoutingPolicy,
        rng: random.Random,
    ) -> list[Choice]:
        def rank(item: Candidate) -> float:
            full = fleet.running[item.upstream_id] >= fleet.slots
            return fleet.factor(item.upstream_id) + 100.0 * full + 0.01 * rng.random()

        return _rank(candidates, rank)

    return choose


def _rank(candidates: Sequence[Candidate], cost: _Cost) -> list[Choice]:
    scored = [(avoidance_rank(item), not _has_room(item), cost(item), item) for item in candidates]
    scored.sort(key=lambda entry: entry[:3])
    return [_choice(item, first_ms) for _, _, first_ms, item in scored]


def _choice(item: Candidate, first_ms: float) -> Choice:
    queue_ms = 0.0 if item.load is None else item.load.first_token_ms
    accepting = item.load is None or item.load.accepting
    return Choice(
        item.upstream_id, first_ms, queue_ms, _has_room(item), accepting, item.owner_silent
    )


def _has_room(item: Candidate) -> bool:
    load = item.load
    return load is None or (not load.queued_online and load.in_flight_online < load.limit)


def _work(item: Candidate) -> int:
    return item.load.in_flight_online + item.load.queued_online


POLICIES: dict[str, Ranking | None] = {
    "by load": None,
    "two choices": two_choices,
    "least loaded": least_loaded,
    "predicted": choose_by_prediction,
}
