"""Seeded online traffic of two deployments, with bursts of several seconds, and batch items."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from fescuedock.schema.config import Objectives

__all__ = ["DEPLOYMENTS", "Arrival", "Deployment", "LoadAt", "arrivals_of", "random_token_count"]

# Returns the load factor of a deployment's rates at a time in ms.
LoadAt = Callable[[float], float]


@dataclass(frozen=True, slots=True)
class Deployment:
    """Traffic of one deployment; token counts are means, see ``random_token_count``."""

    name: str
    objectives: Objectives
    rate_per_s: float
    burst_factor: float
    burst_s: float
    burst_gap_s: float
    prompt_tokens: int
    answer_tokens: int
    batch_prompt_tokens: int
    batch_answer_tokens: int
    # Load factor at which the mean traffic equals the capacity of the six engines.
    capacity_load: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One online request."""

    at_ms: float
    prompt_tokens: int
    answer_tokens: int
    member: str
    in_burst: bool


# Online: short classifications at a counter; batch: drafts of letters at night.
MANIZALES = Deployment(
    "manizales",
    Objectives(first_token_ms=500, inter_token_ms=31, online_share=0.99, online_weight=1.0),
    rate_per_s=30.0,
    burst_factor=3.0,
    burst_s=4.0,
    burst_gap_s=12.0,
    prompt_tokens=300,
    answer_tokens=40,
    batch_prompt_tokens=600,
    batch_answer_tokens=300,
    capacity_load=5.0,
)
# Online: longer answers to teachers and drivers; batch: letters by roster.
VANDENBROUCKE = Deployment(
    "vandenbroucke",
    Objectives(first_token_ms=1000, inter_token_ms=31, online_share=0.95, online_weight=0.0),
    rate_per_s=12.0,
    burst_factor=3.0,
    burst_s=5.0,
    burst_gap_s=15.0,
    prompt_tokens=200,
    answer_tokens=120,
    batch_prompt_tokens=400,
    batch_answer_tokens=250,
    capacity_load=6.0,
)
DEPLOYMENTS = (MANIZALES, VANDENBROUCKE)
_MEMBERS = ("clinic", "school", "depot")


def arrivals_of(
    deployment: Deployment, seed: int, duration_ms: float, load: LoadAt
) -> list[Arrival]:
    """Return the online requests of ``duration_ms``; ``load`` returns the rate factor at a time."""
    rng = random.Random(f"{deployment.name}/{seed}")
    arrivals: list[Arrival] = []
    at_ms = 0.0
    burst_from_ms = rng.expovariate(1.0 / deployment.burst_gap_s) * 1000
    burst_to_ms = burst_from_ms + deployment.burst_s * 1000
    while at_ms < duration_ms:
        in_burst = burst_from_ms <= at_ms < burst_to_ms
        if at_ms >= burst_to_ms:
            burst_from_ms = at_ms + rng.expovariate(1.0 / deployment.burst_gap_s) * 1000
            burst_to_ms = burst_from_ms + deployment.burst_s * 1000
        factor = deployment.burst_factor if in_burst else 1.0
        at_ms += rng.expovariate(deployment.rate_per_s * load(at_ms) * factor) * 1000
        arrivals.append(
            Arrival(
                at_ms,
                random_token_count(rng, deployment.prompt_tokens),
                random_token_count(rng, deployment.answer_tokens),
                rng.choice(_MEMBERS),
                in_burst,
            )
        )
    return arrivals


def random_token_count(rng: random.Random, mean: int) -> int:
    """Return a token count around ``mean``: half of it fixed, half exponential."""
    return max(2, int(mean / 2 + rng.expovariate(2.0 / mean)))
