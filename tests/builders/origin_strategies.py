"""A model of which nodes know a stream's origin after nodes are lost, for several strategies.

It runs only the decisions of ``core.stream_origins``; the single time step is the one between the
start of a stream and its resumption by the client.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from fescuedock.core.rendezvous import choose_name
from fescuedock.core.stream_origins import (
    OriginPolicy,
    RegisteredStarts,
    decide_origin,
    rank_holders,
)
from fescuedock.schema.origins import StreamOrigin

__all__ = ["LOSSES", "STRATEGIES", "Outcome", "Strategy", "play"]

_SERVICE = "desk"
_VERSIONS = ("v1", "v1.1")
_UPSTREAMS = 6
_POLICY = OriginPolicy()


@dataclass(frozen=True, slots=True)
class Strategy:
    """``notified`` and ``queried`` choose nodes for a stream's key, among all registered ones.

    With ``single_by_record`` a service's record decides when no node knows the origin, and no node
    is notified while the record has a single version.
    """

    notified: Callable[[str, Mapping[str, str]], Sequence[str]]
    queried: Callable[[str, Mapping[str, str]], Sequence[str]]
    single_by_record: bool = True


@dataclass(slots=True)
class Outcome:
    """Counts of streams; ``notifications`` and ``queries`` count messages and their replies."""

    resumed: int = 0
    continued: int = 0
    wrong_version: int = 0
    notifications: int = 0
    queries: int = 0
    streams: int = 0

    @property
    def share(self) -> float:
        return self.continued / max(self.resumed, 1)


def _no_node(_key: str, _domains: Mapping[str, str]) -> list[str]:
    return []


def _every_node(_key: str, domains: Mapping[str, str]) -> list[str]:
    return list(domains)


def _first(count: int) -> Callable[[str, Mapping[str, str]], list[str]]:
    return lambda key, domains: rank_holders(key, domains)[:count]


def _owner_of_one_upstream(key: str, domains: Mapping[str, str]) -> list[str]:
    upstream = random.Random(key).randrange(_UPSTREAMS)
    return [choose_name(f"i-{upstream}", domains)]


def _owners_of_upstreams(_key: str, domains: Mapping[str, str]) -> list[str]:
    return list({choose_name(f"i-{number}", domains) for number in range(_UPSTREAMS)})


_NOTIFIED = _first(_POLICY.notified_nodes)
_QUERIED = _first(_POLICY.queried_nodes)
STRATEGIES = {
    "holders": Strategy(_NOTIFIED, _QUERIED),
    "holders, always notified": Strategy(_NOTIFIED, _QUERIED, single_by_record=False),
    "one holder": Strategy(_first(1), _QUERIED),
    "three holders": Strategy(_first(3), _QUERIED),
    "owners of upstreams": Strategy(_owner_of_one_upstream, _owners_of_upstreams),
    "none notified, all queried": Strategy(_no_node, _every_node),
    "all notified": Strategy(_every_node, _no_node),
    "record only": Strategy(_no_node, _no_node),
}


def _third(names: list[str], domains: Mapping[str, str], rng: random.Random) -> set[str]:
    return set(rng.sample(names, k=len(names) // 3))


def _domain(names: list[str], domains: Mapping[str, str], rng: random.Random) -> set[str]:
    lost = domains[rng.choice(names)]
    return {name for name in names if domains[name] == lost}


def _half(names: list[str], domains: Mapping[str, str], rng: random.Random) -> set[str]:
    return set(rng.sample(names, k=len(names) // 2))


# Which nodes are lost, and whether they restart without their memory.
LOSSES = {
    "calm": (lambda *_args: set(), False),
    "a third is gone": (_third, False),
    "a domain is gone": (_domain, False),
    "half is cut off": (_half, False),
    "a third was killed": (_third, True),
    "all lost power": (lambda names, *_args: set(names), True),
}


def play(
    strategy: Strategy,
    loss: str,
    seed: int,
    *,
    versions: int = 2,
    nodes: int = 8,
    store_unavailable: bool = False,
    streams: int = 400,
) -> Outcome:
    """Simulate one loss; every stream is resumed at a node that clients can still reach."""
    rng = random.Random(f"{loss}-{seed}")
    domains = {f"n-{number}": f"d-{number % 3}" for number in range(nodes)}
    names = list(domains)
    choose_lost, restarts = LOSSES[loss]
    lost = choose_lost(names, domains, rng)
    reached = names if restarts else [name for name in names if name not in lost]
    used = _VERSIONS[:versions]
    record = RegisteredStarts(_SERVICE, frozenset((_SERVICE,)), frozenset(used))
    outcome = Outcome(streams=streams)
    for number in range(streams):
        key = f"{seed}-{number}"
        origin = StreamOrigin(_SERVICE, rng.choice(used))
        first_node, second_node = rng.choice(names), rng.choice(reached)
        holders = {first_node}
        if versions > 1 or not strategy.single_by_record:
            notified = [name for name in strategy.notified(key, domains) if name != first_node]
            outcome.notifications += 2 * len(notified)
            holders.update(notified)
        known_by = {name for name in holders if name in reached and name not in lost}
        outcome.resumed += 1
        reported = [origin] if second_node in known_by else []
        if not reported:
            queried = [name for name in strategy.queried(key, domains) if name != second_node]
            outcome.queries += 2 * len(queried)
            reported = [origin] if known_by & set(queried) else []
        decided = decide_origin(
            reported, record if strategy.single_by_record and not store_unavailable else None
        )
        outcome.continued += decided.is_ok()
        outcome.wrong_version += decided.is_ok() and decided.ok_value != origin
    return outcome
