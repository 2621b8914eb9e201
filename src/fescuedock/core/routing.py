"""Chooses upstreams for an online request by the predicted time to its first token.

The prediction adds up what the upstream's owner says of its queue, the prefill of the part of the
prompt that its prefix cache lacks, and the way there.  Requests with the same leading part of the
prompt go to the same upstream by rendezvous hashing, so that every entry agrees without a word,
unless that one is busier than its fellows by more than a bound.

Pure: the caller passes the time and the randomness.
"""

import random
from collections.abc import Callable, Iterable, Sequence

import msgspec

from fescuedock.core.rendezvous import rank_names
from fescuedock.schema.permits import LoadSnapshot

__all__ = [
    "Candidate",
    "Choice",
    "Demand",
    "PlacementPolicy",
    "PlannedRequest",
    "Ranking",
    "RoutingPolicy",
    "avoidance_rank",
    "choose_upstreams",
    "free_slots",
    "needs_batch_eviction",
    "plan_requests",
    "prefix_upstream",
]


class PlacementPolicy(msgspec.Struct, frozen=True):
    """Constants of the prediction, and of the order among upstreams where a call is on time.

    A lasting speed counts half after ``speed_half_life_ms`` without evidence, and then turns into
    the typical one, so that an upstream that is believed slow is tried again.  One whose owner
    knows no speed yet counts as ``unmeasured_factor`` times slower than typical ones, so that it
    gets little work at first; one that the node has not heard of as ``unknown_factor``, so that it
    is asked soon, as the reply tells its speed.  With 1.3 there 0.988 of a step's calls were on
    time, with 0.7 0.996.  A call goes on to its next choice where that is predicted to be
    ``move_factor`` times faster than a reply shows the first one to be.

    A start within ``on_time_share`` of the time to the target counts as on time.  ``run_weight`` of
    the run counts beside the first event, ``fill_weight`` of the share of the slots that run makes
    one costlier, and ``random_spread`` of the cost is chance, so that nodes which know the same
    choose differently.  Bytes from another failure domain count as ``cross_domain_penalty_ms``.
    ``slow_period_rest_ms`` is about what is left of a slow period when it shows.
    """

    speed_half_life_ms: float = 20_000.0
    unmeasured_factor: float = 1.3
    unknown_factor: float = 0.7
    move_factor: float = 1.5
    on_time_share: float = 0.8
    run_weight: float = 0.1
    fill_weight: float = 0.5
    random_spread: float = 0.25
    cross_domain_penalty_ms: float = 20.0
    slow_period_rest_ms: float = 400.0


class RoutingPolicy(msgspec.Struct, frozen=True):
    """Constants of the choice.

    A snapshot older than ``stale_ms`` says nothing.  An upstream keeps its prefixes while its work
    in flight is within ``load_bound`` times the mean.  An owner that did not answer is passed over
    for ``silent_ms``.

    Where nothing is free a request waits in the queues of ``max_queues`` owners at once and starts
    where a slot comes free first; each keeps it for at most ``queue_ms`` before the choice is made
    anew with what is known by then.  With a single queue a request waited behind late ones while
    slots came free elsewhere: of calls that for 2.4 s just exceed 40 slots 91 to 93 in 100 were in
    time, with three queues 98 to 99 (``tests/test_heavy_load.py``, three seeds).

    Where online would take the slot of a batch attempt, it counts as ``eviction_penalty_ms`` later:
    what that attempt pauses at the least before it runs again elsewhere
    (``RetryPauses.interrupted_ms``).  An upstream without an idle connection counts as
    ``connect_penalty_ms`` later: a round trip of 1 to 3 ms, and 1 ms that an engine takes for it.
    """

    stale_ms: float = 1000.0
    load_bound: float = 1.5
    silent_ms: float = 1000.0
    random_spread: float = 0.05
    queue_ms: float = 1000.0
    max_queues: int = 3
    max_out_share: float = 0.5
    max_unqueued_requests: int = 2
    eviction_penalty_ms: float = 25.0
    connect_penalty_ms: float = 4.0
    # How upstreams are ranked; None is ``choose_upstreams``.
    rank: "Ranking | None" = None
    placement: PlacementPolicy = PlacementPolicy()


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that may be asked.

    ``load`` is None when nothing fresh is known; ``avoided`` says that it has failed this request,
    ``connected`` that an idle connection to it is kept.
    """

    upstream_id: str
    latency_ms: float
    load: LoadSnapshot | None
    owner_silent: bool = False
    avoided: bool = False
    connected: bool = True
    # The latest report of its speed, older than ``load`` may be, and the age of the evidence.
    speed: LoadSnapshot | None = None
    speed_age_ms: float = 0.0
    # It is in the caller's failure domain.
    same_domain: bool = True


class Demand(msgspec.Struct, frozen=True):
    """What matters of the request: its prompt's length and leading part, and what it may take.

    ``target_ms`` is left for a start whose first event is in time, ``left_ms`` for the whole
    answer; ``pause_ms`` is good between two events.  0 says nothing, and a target below 0 has
    passed.
    """

    prompt_tokens: int
    prefix_tokens: int
    prefix_hash: str
    target_ms: float = 0.0
    left_ms: float = 0.0
    pause_ms: float = 0.0


class Choice(msgspec.Struct, frozen=True):
    """An upstream with its predicted time to the first token.

    ``queue_ms`` leaves prefill out, which is a guess good enough to choose by and no more;
    ``first_token_ms`` also has what batch work loses by it, and a new connection.
    ``has_room`` is False when its owner is known to be full;
    ``accepting`` is False for one that its owner keeps work from.  ``start_ms`` is the predicted
    time to the first event without any preference; 0 where nothing is known of speeds.
    """

    upstream_id: str
    first_token_ms: float
    queue_ms: float = 0.0
    has_room: bool = True
    accepting: bool = True
    owner_silent: bool = False
    start_ms: float = 0.0


# Candidates, demand, time for a prompt token, constants and randomness; returns the best first.
Ranking = Callable[[Sequence[Candidate], Demand, float, RoutingPolicy, random.Random], list[Choice]]


class PlannedRequest(msgspec.Struct, frozen=True):
    """Ask the owner of an upstream, which may queue the request for ``wait_ms``.

    ``local`` asks nobody and takes from the process's own small limit.
    """

    upstream_id: str
    wait_ms: float = 0.0
    local: bool = False

    @property
    def may_queue(self) -> bool:
        return self.wait_ms > 0


def choose_upstreams(
    candidates: Sequence[Candidate],
    demand: Demand,
    token_ms: float,
    policy: RoutingPolicy,
    rng: random.Random,
) -> list[Choice]:
    """Return the candidates from the best to the worst.

    ``token_ms`` is the time that prefill takes for a prompt token.  Last come upstreams that have
    failed the request, whose owner is silent, or that are not accepting.  The order among near
    equals is random, so that entries which know the same do not all choose the same.
    """
    if not candidates:
        return []
    usual_ms = _min_known_first_token_ms(candidates)
    covering = prefix_upstream(candidates, demand, policy)
    scored = []
    for item in candidates:
        covered = demand.prefix_tokens if item.upstream_id == covering else 0
        prefill_ms = max(0, demand.prompt_tokens - covered) * token_ms
        queue_ms = item.load.first_token_ms if item.load is not None else usual_ms
        queue_ms += 2 * item.latency_ms
        extra_ms = policy.eviction_penalty_ms if needs_batch_eviction(item) else 0.0
        extra_ms += 0.0 if item.connected else policy.connect_penalty_ms
        spread = 1.0 + policy.random_spread * rng.random()
        choice = Choice(
            item.upstream_id,
            (queue_ms + prefill_ms + extra_ms) * spread,
            queue_ms,
            _has_room(item),
            _is_accepting(item),
            item.owner_silent,
        )
        scored.append((avoidance_rank(item), not choice.has_room, choice.first_token_ms, choice))
    scored.sort(key=lambda entry: entry[:3])
    return [entry[3] for entry in scored]


def plan_requests(
    choices: Sequence[Choice], slack_ms: float, policy: RoutingPolicy
) -> list[PlannedRequest]:
    """Return whom to ask, in order, until one grants.

    The best few with room are asked for a permit at once; then upstreams whose owners are silent
    are used directly, within the local limit; then the best few queue the request, even silent
    ones, which may be no more than slow.  When more upstreams than ``max_out_share`` are kept out,
    the evidence is doubted and they are used too.
    """
    accepting = [item for item in choices if item.accepting]
    doubted = len(accepting) < (1.0 - policy.max_out_share) * len(choices)
    reachable = [item for item in accepting if not item.owner_silent]
    asks = [PlannedRequest(item.upstream_id) for item in reachable if item.has_room][
        : policy.max_unqueued_requests
    ]
    asks += [
        PlannedRequest(item.upstream_id, local=True) for item in accepting if item.owner_silent
    ]
    queue_ms = min(slack_ms, policy.queue_ms)
    if queue_ms > 0:
        asks += [
            PlannedRequest(item.upstream_id, queue_ms)
            for item in (reachable or accepting)[: policy.max_queues]
        ]
    if doubted:
        asks += [
            PlannedRequest(item.upstream_id, local=True) for item in choices if not item.accepting
        ]
    return asks


def _is_accepting(item: Candidate) -> bool:
    return item.load is None or item.load.accepting


def avoidance_rank(item: Candidate) -> int:
    """Return 0 for an upstream like others, more the less it should be used."""
    if not _is_accepting(item):
        return 3
    if item.avoided:
        return 2
    # A silent owner says less against its upstream than a failure of the upstream itself: on a busy
    # machine a stream that had stalled was sent to the same upstream again.
    return 1 if item.owner_silent else 0


def _has_room(item: Candidate) -> bool:
    """Whether online work would be let in now, batch work giving way if need be."""
    load = item.load
    return load is None or (not load.queued_online and load.in_flight_online < load.limit)


def free_slots(load: LoadSnapshot) -> int:
    """Return how many attempts could start without another one giving way; 0 or less for none."""
    return load.limit - load.in_flight_online - load.in_flight_batch


def needs_batch_eviction(item: Candidate) -> bool:
    """Whether all slots are taken, some of them by batch work that would have to give way."""
    load = item.load
    return load is not None and load.in_flight_batch > 0 and free_slots(load) <= 0


def _min_known_first_token_ms(candidates: Iterable[Candidate]) -> float:
    """Return the least that is known: an upstream nobody heard of lately is worth asking."""
    known = [item.load.first_token_ms for item in candidates if item.load is not None]
    return min(known, default=0.0)


def prefix_upstream(candidates: Sequence[Candidate], demand: Demand, policy: RoutingPolicy) -> str:
    """Return the upstream that should have the prefix, or "" without one."""
    if not demand.prefix_hash:
        return ""
    usable = {item.upstream_id: item for item in candidates if not avoidance_rank(item)}
    busy = {name: _online_load(item) for name, item in usable.items()}
    mean = sum(busy.values()) / max(1, len(busy))
    bound = policy.load_bound * mean + 1
    for name in rank_names(demand.prefix_hash, usable):
        if busy[name] <= bound:
            return name
    return ""


def _online_load(item: Candidate) -> int:
    return 0 if item.load is None else item.load.in_flight_online + item.load.queued_online
