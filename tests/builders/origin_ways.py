"""A model of who knows how a stream began when nodes are lost, for several ways of keeping it.

It plays the decisions of ``core.stream_origins`` alone: no time passes but that between a stream's
beginning and its client's return.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from fescuedock.core.rendezvous import choose_name
from fescuedock.core.stream_origins import (
    OriginPolicy,
    RegisteredVersions,
    decide_origin,
    rank_keepers,
)
from fescuedock.schema.origins import StreamOrigin

__all__ = ["LOSSES", "WAYS", "Outcome", "Way", "play"]

_SERVICE = "desk"
_VERSIONS = ("v1", "v1.1")
_UPSTREAMS = 6
_POLICY = OriginPolicy()


@dataclass(frozen=True, slots=True)
class Way:
    """``told`` and ``asked`` name nodes for a stream's key, among all registered ones.

    With ``single_by_record`` a service's record decides what nobody knows, and nobody is told
    while it names one version.
    """

    told: Callable[[str, Mapping[str, str]], Sequence[str]]
    asked: Callable[[str, Mapping[str, str]], Sequence[str]]
    single_by_record: bool = True


@dataclass(slots=True)
class Outcome:
    """``wrong`` went on at another version; messages count each way, of streams and returns."""

    taken_up: int = 0
    went_on: int = 0
    wrong: int = 0
    told: int = 0
    asked: int = 0
    streams: int = 0

    @property
    def share(self) -> float:
        return self.went_on / max(self.taken_up, 1)


def _nobody(_key: str, _domains: Mapping[str, str]) -> list[str]:
    return []


def _all(_key: str, domains: Mapping[str, str]) -> list[str]:
    return list(domains)


def _first(count: int) -> Callable[[str, Mapping[str, str]], list[str]]:
    return lambda key, domains: rank_keepers(key, domains)[:count]


def _owner_of_one(key: str, domains: Mapping[str, str]) -> list[str]:
    upstream = random.Random(key).randrange(_UPSTREAMS)
    return [choose_name(f"i-{upstream}", domains)]


def _owners(_key: str, domains: Mapping[str, str]) -> list[str]:
    return list({choose_name(f"i-{number}", domains) for number in range(_UPSTREAMS)})


_KEEPERS = _first(_POLICY.told)
_ASKED = _first(_POLICY.asked)
WAYS = {
    "keepers": Way(_KEEPERS, _ASKED),
    "keepers, always told": Way(_KEEPERS, _ASKED, single_by_record=False),
    "one keeper": Way(_first(1), _ASKED),
    "three keepers": Way(_first(3), _ASKED),
    "owners of upstreams": Way(_owner_of_one, _owners),
    "nobody told, all asked": Way(_nobody, _all),
    "all told": Way(_all, _nobody),
    "record alone": Way(_nobody, _nobody),
}


def _third(names: list[str], domains: Mapping[str, str], rng: random.Random) -> set[str]:
    return set(rng.sample(names, k=len(names) // 3))


def _domain(names: list[str], domains: Mapping[str, str], rng: random.Random) -> set[str]:
    lost = domains[rng.choice(names)]
    return {name for name in names if domains[name] == lost}


def _half(names: list[str], domains: Mapping[str, str], rng: random.Random) -> set[str]:
    return set(rng.sample(names, k=len(names) // 2))


# What is lost, and whether it comes back without its memory.
LOSSES = {
    "calm": (lambda *_args: set(), False),
    "a third is gone": (_third, False),
    "a domain is gone": (_domain, False),
    "half is cut off": (_half, False),
    "a third was killed": (_third, True),
    "all lost power": (lambda names, *_args: set(names), True),
}


def play(
    way: Way,
    loss: str,
    seed: int,
    *,
    versions: int = 2,
    nodes: int = 8,
    store_away: bool = False,
    streams: int = 400,
) -> Outcome:
    """Play one loss, with every stream taken up at a node that clients still reach."""
    rng = random.Random(f"{loss}-{seed}")
    domains = {f"n-{number}": f"d-{number % 3}" for number in range(nodes)}
    names = list(domains)
    choose_lost, comes_back = LOSSES[loss]
    lost = choose_lost(names, domains, rng)
    reached = names if comes_back else [name for name in names if name not in lost]
    used = _VERSIONS[:versions]
    record = RegisteredVersions(_SERVICE, frozenset(used), not store_away)
    outcome = Outcome(streams=streams)
    for number in range(streams):
        key = f"{seed}-{number}"
        origin = StreamOrigin(_SERVICE, rng.choice(used))
        starter, taker = rng.choice(names), rng.choice(reached)
        holders = {starter}
        if versions > 1 or not way.single_by_record:
            told = [name for name in way.told(key, domains) if name != starter]
            outcome.told += 2 * len(told)
            holders.update(told)
        knowing = {name for name in holders if name in reached and name not in lost}
        outcome.taken_up += 1
        kept = [origin] if taker in knowing else []
        if not kept:
            asked = [name for name in way.asked(key, domains) if name != taker]
            outcome.asked += 2 * len(asked)
            kept = [origin] if knowing & set(asked) else []
        decided = decide_origin(kept, record if way.single_by_record else None)
        outcome.went_on += decided.is_ok()
        outcome.wrong += decided.is_ok() and decided.ok_value != origin
    return outcome
