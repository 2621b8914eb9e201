"""Traces for a fleet that enforces limits: faults over time, and the calls of one customer."""

import heapq
import random
from collections.abc import Callable

import msgspec
from hypothesis import strategies as st

from fescuedock.core.customers import Customer
from tests.builders.quota_fleet import BucketFleet, Change, FleetSimulation
from tests.builders.quota_single_owner import QuotaRoute

__all__ = [
    "NODES",
    "RECORDED_CUSTOMER",
    "WINDOW_MS",
    "Trace",
    "max_allowed",
    "recorded_trace",
    "run_times_ms",
    "send_times_ms",
    "traces",
]

WINDOW_MS = 5000.0
NODES = 54
# The customer of the recorded trace: 336 calls in any window, of which 390 may run.
RECORDED_CUSTOMER = Customer("caldas", rate_per_s=56.0, burst=56.0)


def max_allowed(customer: Customer) -> float:
    """Return how many calls of a customer may run in any window."""
    return 1.1 * (customer.rate_per_s * WINDOW_MS / 1000 + customer.burst) + 20


def recorded_trace(seed: int, *, owner_is_cut_off: bool) -> tuple[FleetSimulation, list[float]]:
    """Cut off 16 of 54 nodes from 5 to 10 s, with 8 times the usual calls from 3 s on.

    Each of these nodes is cut off from all others; they still serve their clients and reach their
    upstreams.
    """
    rng = random.Random(seed)
    everybody = FleetSimulation(NODES, (), rng)
    owner = everybody.names.index(
        QuotaRoute().owners_of(RECORDED_CUSTOMER.name, everybody.names)[0]
    )
    others = [node for node in range(NODES) if node != owner]
    cut_off = rng.sample(others, 16 - owner_is_cut_off) + [owner] * owner_is_cut_off
    groups = {node: number + 1 for number, node in enumerate(cut_off)}
    simulation = FleetSimulation(NODES, [Change(5000.0, groups), Change(10_000.0)], rng)
    calls_ms, now_ms = [], 0.0
    while now_ms < 14_000.0:
        usual_per_s = RECORDED_CUSTOMER.rate_per_s / 1.6
        now_ms += rng.expovariate(usual_per_s * (8.0 if now_ms >= 3000.0 else 1.0)) * 1000
        calls_ms.append(now_ms)
    return simulation, calls_ms


def run_times_ms(
    simulation: FleetSimulation, fleet: BucketFleet, calls_ms: list[float]
) -> list[float]:
    """Return when the calls ran that the fleet admitted."""
    ran = []
    for now_ms in calls_ms:
        simulation.advance(now_ms)
        if fleet.admit(RECORDED_CUSTOMER, simulation.rng.randrange(NODES), now_ms).admitted:
            ran.append(now_ms)
    return ran


class Trace(msgspec.Struct, frozen=True):
    """A trace drawn by hypothesis.

    ``phases`` are pairs of demand, as a multiple of the rate, and duration in ms.  ``wait_share``
    of the calls wait for a slot, up to 2.4 s as clients do, and then request another grant.
    """

    seed: int
    size: int
    rate_per_s: float
    burst_s: float
    changes: list[Change]
    phases: list[tuple[float, float]]
    wait_share: float


@st.composite
def traces(draw: st.DrawFn) -> Trace:
    """Draw faults at least a second apart, the shortest time for which a node loses its power."""
    size = draw(st.integers(3, 24))
    nodes = st.integers(0, size - 1)
    changes, at_ms = [], 6000.0
    for _ in range(draw(st.integers(0, 7))):
        kind = draw(st.sampled_from(["groups", "split", "alone", "down", "all down", "calm"]))
        groups, down, cut = {}, frozenset(), frozenset()
        if kind == "groups":
            groups = draw(st.dictionaries(nodes, st.integers(0, 3), max_size=size))
        elif kind == "split":
            small = draw(st.sets(nodes, max_size=(size - 1) // 2))
            groups = dict.fromkeys(small, 1)
        elif kind == "alone":
            groups = {node: node + 1 for node in draw(st.sets(nodes))}
        elif kind == "down":
            down = draw(st.frozensets(nodes))
        elif kind == "all down":
            down = frozenset(range(size))
        if draw(st.booleans()):
            cut = draw(st.frozensets(nodes))
        changes.append(Change(at_ms, groups, down, cut))
        at_ms += draw(st.floats(1000.0, 4000.0))
    changes.append(Change(at_ms))
    phases = st.tuples(st.sampled_from([0.3, 0.6, 1.0, 1.3, 3.0, 8.0]), st.floats(300.0, 4000.0))
    return Trace(
        draw(st.integers(0, 2**32)),
        size,
        draw(st.sampled_from([0.5, 2.0, 8.0, 32.0])),
        draw(st.sampled_from([0.0, 0.5, 1.0, 3.0])),
        changes,
        draw(st.one_of(st.just([(8.0, 4000.0)]), st.lists(phases, min_size=1, max_size=8))),
        draw(st.sampled_from([0.0, 0.3, 1.0])),
    )


def send_times_ms(
    trace: Trace,
    customer: Customer,
    make_fleet: Callable[[FleetSimulation], BucketFleet] = BucketFleet,
) -> list[float]:
    """Replay a trace; return when the calls were sent that the fleet admitted."""
    rng = random.Random(trace.seed)
    simulation = FleetSimulation(trace.size, trace.changes, rng)
    fleet = make_fleet(simulation)
    end_ms = trace.changes[-1].at_ms + 4000.0
    calls: list[tuple[float, int, float]] = []
    now_ms, phase, phase_end_ms = 0.0, 0, trace.phases[0][1]
    while now_ms < end_ms:
        now_ms += rng.expovariate(customer.rate_per_s * trace.phases[phase][0]) * 1000
        if now_ms > phase_end_ms:
            phase = (phase + 1) % len(trace.phases)
            phase_end_ms = now_ms + trace.phases[phase][1]
        calls.append((now_ms, rng.randrange(trace.size), 0.0))
    heapq.heapify(calls)
    sent: list[float] = []
    while calls:
        now_ms, node, waited_ms = heapq.heappop(calls)
        simulation.advance(now_ms)
        if not simulation.is_up(node) or (
            waited_ms and simulation.started_ms[node] > now_ms - waited_ms
        ):
            continue
        if not fleet.admit(customer, node, now_ms, waited_ms).admitted:
            continue
        if not waited_ms and rng.random() < trace.wait_share:
            waited_ms = rng.uniform(fleet.policy.max_unsent_ms, 2400.0)
            heapq.heappush(calls, (now_ms + waited_ms, node, waited_ms))
        else:
            sent.append(now_ms + rng.uniform(0.0, fleet.policy.max_unsent_ms))
    return sent
