"""Chooses upstreams for an online request by the predicted time to its first token.

The prediction adds the queueing time reported by the upstream's owner, the prefill time of the
prompt part that is missing from its prefix cache, and the network latency.  Requests with the same
leading prompt part go to the same upstream by rendezvous hashing, so that all entries agree without
communication, unless that upstream is busier than the others by more than a bound.

Pure: the caller passes the time and the randomness.
"""

import random
from collections.abc import Callable, Collection, Iterable, Sequence

import msgspec

from fescuedock.core.rendezvous import choose_name, rank_names
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
    "plan_isolated_requests",
    "plan_requests",
    "prefix_upstream",
]


class PlacementPolicy(msgspec.Struct, frozen=True):
    """Constants of the prediction, and of the order among upstreams where a call is on time.

    The weight of a long-term speed halves after ``speed_half_life_ms`` without evidence and gives
    way to the typical speed, so that an upstream that is considered slow is tried again.  An
    upstream whose owner has not measured its speed counts as ``unmeasured_factor`` times slower
    than typical ones, so that it gets little work at first.  One without any report counts as
    ``unknown_factor``, so that it is queried soon and the reply reports its speed: with 1.3 there
    0.988 of a step's calls were on time, with 0.7 0.996.  A call moves to its next choice if that
    one is predicted to be ``move_factor`` times faster than a reply shows the first one to be.

    A start within the fraction ``on_time_share`` of the time to the target counts as on time.  The
    cost of an upstream is the time to the first event plus ``run_weight`` times that of the run; it
    grows by ``fill_weight`` times the share of slots that run online calls, and by a random part of
    up to ``random_spread``, so that nodes with the same knowledge choose differently.  Another
    failure domain adds ``cross_domain_penalty_ms``.  ``slow_period_rest_ms`` is the approximate
    remaining time of a slow period when it is detected.
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

    A load snapshot older than ``stale_ms`` is ignored.  An upstream is preferred for its prefixes
    while its work in flight is within ``load_bound`` times the mean.  An owner that did not answer
    is skipped for ``silent_ms``; one whose upstream is the first choice for isolated runs is asked
    again, and may queue the request for ``silent_queue_ms``.

    Where no slot is free a request waits in the queues of ``max_queues`` owners at once and starts
    at the first one with a free slot; each owner queues it for at most ``queue_ms`` before the
    choice is repeated with the latest load.  With a single queue a request waited behind late ones
    while slots became free elsewhere: of calls that for 2.4 s just exceed 40 slots 91 to 93 in 100
    were in time, with three queues 98 to 99 (``tests/test_heavy_load.py``, three seeds).

    Where online would evict a batch attempt, the upstream counts as ``eviction_penalty_ms`` slower:
    the minimum pause of that attempt before it runs again elsewhere
    (``RetryPauses.interrupted_ms``).  An upstream without an idle connection counts as
    ``connect_penalty_ms`` slower: a round trip of 1 to 3 ms, and 1 ms in the engine.
    """

    stale_ms: float = 1000.0
    load_bound: float = 1.5
    silent_ms: float = 1000.0
    silent_queue_ms: float = 150.0
    random_spread: float = 0.05
    queue_ms: float = 1000.0
    max_queues: int = 3
    max_out_share: float = 0.5
    max_unqueued_requests: int = 2
    eviction_penalty_ms: float = 25.0
    connect_penalty_ms: float = 4.0
    # Ranking function of upstreams; None is ``choose_upstreams``.
    rank: "Ranking | None" = None
    placement: PlacementPolicy = PlacementPolicy()


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that may be queried.

    ``load`` is None when no fresh snapshot is known; ``avoided`` says that the upstream has failed
    this request, ``connected`` that there is an idle connection to it.
    """

    upstream_id: str
    latency_ms: float
    load: LoadSnapshot | None
    owner_silent: bool = False
    avoided: bool = False
    connected: bool = True
    # The latest report of its speed, which may be older than ``load``, and the age of its evidence.
    speed: LoadSnapshot | None = None
    speed_age_ms: float = 0.0
    # Whether it is in the caller's failure domain.
    same_domain: bool = True


class Demand(msgspec.Struct, frozen=True):
    """Properties of a request that matter for routing.

    They are the length and leading part of its prompt and its time limits: ``target_ms`` is the
    time left for a start whose first event is in time, ``left_ms`` that for the whole answer, and
    ``pause_ms`` the permitted time between two events. 0 means unknown; a negative target has
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

    ``queue_ms`` excludes the prefill time, which is an estimate that suffices for ranking only.
    ``first_token_ms`` includes the penalties for a batch eviction and a new connection.
    ``has_room`` is False when its owner is known to be full; ``accepting`` is False when the owner
    does not admit work.  ``start_ms`` is the predicted time to the first event without penalties; 0
    where no speed is known.
    """

    upstream_id: str
    first_token_ms: float
    queue_ms: float = 0.0
    has_room: bool = True
    accepting: bool = True
    owner_silent: bool = False
    start_ms: float = 0.0


# Takes candidates, demand, time per prompt token, constants and randomness; returns the best first.
Ranking = Callable[[Sequence[Candidate], Demand, float, RoutingPolicy, random.Random], list[Choice]]


class PlannedRequest(msgspec.Struct, frozen=True):
    """A permit request to an upstream's owner, which may queue it for ``wait_ms``.

    ``local`` sends no request and uses the process's own small limit instead.
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

    ``token_ms`` is the prefill time per prompt token.  Upstreams that have failed the request,
    whose owner does not respond, or that are not accepting come last.  Near equals are ordered at
    random, so that entries with the same knowledge do not all make the same choice.
    """
    if not candidates:
        return []
    usual_ms = _min_known_first_token_ms(candidates)
    preferred = prefix_upstream(candidates, demand, policy)
    scored = []
    for item in candidates:
        covered = demand.prefix_tokens if item.upstream_id == preferred else 0
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
    """Return the permit requests to make, in order, until one is granted.

    The best few upstreams with room are requested first, without queueing.  Then upstreams whose
    owners do not respond are used directly, within the local limit.  Then the best few owners queue
    the request, including silent ones, which may just be slow.  When more than ``max_out_share`` of
    the upstreams are not accepting, the evidence against them is doubted and they are used too.
    """
    accepting = [item for item in choices if item.accepting]
    is_evidence_doubtful = len(accepting) < (1.0 - policy.max_out_share) * len(choices)
    reachable = [item for item in accepting if not item.owner_silent]
    requests = [PlannedRequest(item.upstream_id) for item in reachable if item.has_room][
        : policy.max_unqueued_requests
    ]
    requests += [
        PlannedRequest(item.upstream_id, local=True) for item in accepting if item.owner_silent
    ]
    queue_ms = min(slack_ms, policy.queue_ms)
    if queue_ms > 0:
        requests += [
            PlannedRequest(item.upstream_id, queue_ms)
            for item in (reachable or accepting)[: policy.max_queues]
        ]
    if is_evidence_doubtful:
        requests += [
            PlannedRequest(item.upstream_id, local=True) for item in choices if not item.accepting
        ]
    return requests


def plan_isolated_requests(
    choices: Sequence[Choice],
    service: str,
    avoid: Collection[str],
    wait_ms: float,
    policy: RoutingPolicy,
) -> list[PlannedRequest]:
    """Return the requests for an isolated run to make, in order, until an owner answers.

    All nodes rank the upstreams of a service equally, so that suspected work occupies only one.
    Therefore the first one is requested even if its owner did not answer another request lately: it
    may just have been slow, and the other nodes use that upstream.  Upstreams in ``avoid`` are used
    only if there is no other.
    """
    accepting = {item.upstream_id: item for item in choices if item.accepting}
    answering = [name for name, item in accepting.items() if not item.owner_silent]
    requests: list[PlannedRequest] = []
    first = _first_not_avoided(service, accepting, avoid)
    if first and accepting[first].owner_silent:
        requests.append(PlannedRequest(first, min(wait_ms, policy.silent_queue_ms)))
        wait_ms -= requests[0].wait_ms
    first = _first_not_avoided(service, answering, avoid)
    if first and wait_ms > 0:
        requests.append(PlannedRequest(first, wait_ms))
    return requests


def _first_not_avoided(service: str, names: Collection[str], avoid: Collection[str]) -> str:
    """Return the first choice of all nodes for a service, or "" when there are no ``names``."""
    preferred = [name for name in names if name not in avoid]
    return choose_name(service, preferred or names) or ""


def _is_accepting(item: Candidate) -> bool:
    return item.load is None or item.load.accepting


def avoidance_rank(item: Candidate) -> int:
    """Return 0 for an ordinary upstream, and more the less it should be used."""
    if not _is_accepting(item):
        return 3
    if item.avoided:
        return 2
    # A silent owner is weaker evidence against its upstream than a failure of the upstream itself:
    # on a busy machine a stalled stream was sent to the same upstream again.
    return 1 if item.owner_silent else 0


def _has_room(item: Candidate) -> bool:
    """Whether online work would be admitted now, if necessary by evicting batch work."""
    load = item.load
    return load is None or (not load.queued_online and load.in_flight_online < load.limit)


def free_slots(load: LoadSnapshot) -> int:
    """Return how many attempts could start without an eviction; 0 or less for none."""
    return load.limit - load.in_flight_online - load.in_flight_batch


def needs_batch_eviction(item: Candidate) -> bool:
    """Whether all slots are taken and some of them by batch work, which would be evicted."""
    load = item.load
    return load is not None and load.in_flight_batch > 0 and free_slots(load) <= 0


def _min_known_first_token_ms(candidates: Iterable[Candidate]) -> float:
    """Return the smallest known time, so that upstreams without a report are queried."""
    known = [item.load.first_token_ms for item in candidates if item.load is not None]
    return min(known, default=0.0)


def prefix_upstream(candidates: Sequence[Candidate], demand: Demand, policy: RoutingPolicy) -> str:
    """Return the upstream preferred for the prefix, or "" if there is none."""
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
