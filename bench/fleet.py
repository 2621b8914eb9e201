"""Measure membership and configuration as the fleet grows.

``python -m bench.fleet [--record] [SECTION...]``: the event loop of ``tests.builders.membership``
connects the shipped core objects; times are virtual unless a line says CPU.  Sections: sizes, loss,
slowness, damping, heartbeats, kv, callers, agent.
"""

import random
import sys
import time
from collections import Counter
from collections.abc import Callable

from bench.fleet_agent import measure_agent
from bench.fleet_callers import measure_callers
from bench.fleet_trials import (
    LIMIT_MS,
    domains_of,
    joined,
    measure_damping,
    measure_heartbeats,
    measure_loss,
    measure_slowness,
)
from bench.slopes import Slope, record_slopes
from fescuedock.core.config.node import ConfigNode, Pull, ReadRecord, ReadRevision
from fescuedock.core.config.record import empty_record, encode_record
from fescuedock.schema.view import Program, VmRecord, VmState
from tests.builders.membership import Fleet, vm_name

__all__ = ["main"]

SIZES = (9, 37, 74, 185, 370)
_IDLE_MS = 3000.0


def _spread_ms(fleet: Fleet, is_informed: Callable) -> list[float]:
    """Return the sorted delays until ``is_informed`` holds for each running VM."""
    start_ms = fleet.now_ms
    waiting = set(fleet.running())
    times: list[float] = []
    while waiting and fleet.now_ms - start_ms < LIMIT_MS:
        fleet.run(20)
        informed = {node for node in waiting if is_informed(node)}
        times += [fleet.now_ms - start_ms] * len(informed)
        waiting -= informed
    return times + [float("inf")] * len(waiting)


def _rank(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(len(values) * share))]


def measure_sizes() -> dict[str, Slope]:
    """Measure the join, idle cost, spread of a leave and detection of a loss for each size."""
    slopes: dict[str, Slope] = {}
    print(
        "size | join all s | idle msgs/s B/s CPU ms/s per VM | leave known p50 p99 last ms | ",
        end="",
    )
    print("loss: first suspect, gone p50, last s | busiest VM B/s in the 10 s after the loss")
    for size in SIZES:
        fleet, join_ms = joined(size)
        fleet.run(2000)
        sent, sent_bytes, cpu_ms = _idle_cost(fleet)
        fleet.leave(vm_name(2))
        leave = _spread_ms(fleet, lambda node: vm_name(2) not in node.live())
        fleet.run(2000)
        lost = _measure_loss_of_one(fleet)
        print(
            f"{size} | {join_ms / 1000:.1f} | {sent:.1f} {sent_bytes:.0f} {cpu_ms:.2f} | "
            f"{_rank(leave, 0.5):.0f} {_rank(leave, 0.99):.0f} {leave[-1]:.0f} | {lost}",
            flush=True,
        )
        slopes |= _size_slopes(size, sent, sent_bytes, cpu_ms)
    return slopes


def _idle_cost(fleet: Fleet) -> tuple[float, float, float]:
    nodes = list(fleet.nodes.values())
    before = sum(node.sent for node in nodes), sum(node.sent_bytes for node in nodes)
    cpu_s = time.process_time()
    fleet.run(_IDLE_MS)
    per = 1000 / _IDLE_MS / len(nodes)
    return (
        (sum(node.sent for node in nodes) - before[0]) * per,
        (sum(node.sent_bytes for node in nodes) - before[1]) * per,
        (time.process_time() - cpu_s) * 1000 * per,
    )


def _measure_loss_of_one(fleet: Fleet) -> str:
    victim = vm_name(1)
    before = {node.vm_id: node.sent_bytes for node in fleet.running()}
    fleet.kill(victim)
    start_ms = fleet.now_ms
    suspect_ms = fleet.run_until(
        lambda: any(_state(node, victim) == "suspect" for node in fleet.running()), LIMIT_MS
    )
    removed_ms = [suspect_ms + t for t in _spread_ms(fleet, lambda node: victim not in node.view())]
    elapsed_s = max(10.0, (fleet.now_ms - start_ms) / 1000)
    fleet.run(start_ms + elapsed_s * 1000 - fleet.now_ms)
    busiest = max(node.sent_bytes - before[node.vm_id] for node in fleet.running()) / elapsed_s
    times = [suspect_ms / 1000, _rank(removed_ms, 0.5) / 1000, removed_ms[-1] / 1000]
    return " ".join(f"{time_s:.1f}" for time_s in times) + f" | {busiest:.0f}"


def _state(node, vm_id: str) -> str:
    record = node.view().get(vm_id)
    return "" if record is None else record.state.value


def _size_slopes(size: int, sent: float, sent_bytes: float, cpu_ms: float) -> dict[str, Slope]:
    command = "python -m bench.fleet --record sizes"
    method = f"{size} VMs in the loop, idle, mean for each VM over {_IDLE_MS / 1000:.0f} s"
    return {
        f"membership_{size}_messages": Slope(round(sent, 2), "messages/s", command, method),
        f"membership_{size}_bytes": Slope(round(sent_bytes, 1), "bytes/s sent", command, method),
        f"membership_{size}_cpu": Slope(round(cpu_ms, 3), "CPU ms/s", command, method),
    }


def measure_kv() -> dict[str, Slope]:
    """Count key-value calls for the configuration; membership itself makes none."""
    slopes: dict[str, Slope] = {}
    print("size | key-value calls/s of the whole fleet | messages/s between agents")
    for size in SIZES:
        kv_calls, messages = _confirm_calls(size)
        print(f"{size} | {kv_calls:.2f} | {messages:.1f}", flush=True)
        slopes[f"config_{size}_kv_calls"] = Slope(
            round(kv_calls, 3),
            "calls/s of the fleet",
            "python -m bench.fleet --record kv",
            f"{size} ConfigNode objects in a loop, 60 s, nothing changes",
        )
    return slopes


def _confirm_calls(size: int, seconds: int = 60) -> tuple[float, float]:
    rng = random.Random(3)
    records = [_vm(i, f"domain-{i % domains_of(size)}") for i in range(size)]
    nodes = {
        vm.vm_id: ConfigNode(vm.vm_id, vm.failure_domain, 15000.0, lambda: records, rng)
        for vm in records
    }
    record = encode_record(empty_record())
    counts: Counter[type] = Counter()
    for tick in range(10 * (seconds + 30)):
        now_ms = 100.0 * tick
        if tick == 300:
            # Excludes the start, when every node reads the record.
            counts.clear()
        for node in nodes.values():
            _confirm(node, nodes, record, now_ms, counts)
    kv_calls = counts[ReadRevision] + counts[ReadRecord]
    return kv_calls / seconds, 2 * counts[Pull] / seconds


def _vm(number: int, failure_domain: str) -> VmRecord:
    return VmRecord(
        vm_id=vm_name(number),
        region="region",
        failure_domain=failure_domain,
        host="10.0.0.1",
        incarnation=1,
        state=VmState.ALIVE,
        agent_port=7000,
        ready=[Program.AGENT],
    )


def _confirm(node, nodes: dict, record: bytes, now_ms: float, counts: Counter) -> None:
    actions = node.tick(now_ms) if now_ms >= node.next_due_ms() else []
    while actions:
        action = actions.pop()
        counts[type(action)] += 1
        match action:
            case ReadRevision():
                actions += node.on_revision(1, now_ms)
            case ReadRecord():
                node.on_record(record, 1, now_ms)
            case Pull(vm, message):
                node.on_push(nodes[vm.vm_id].on_pull(message, now_ms), now_ms, now_ms)


SECTIONS: dict[str, Callable[[], dict[str, Slope] | None]] = {
    "callers": measure_callers,
    "damping": measure_damping,
    "slowness": measure_slowness,
    "loss": measure_loss,
    "heartbeats": measure_heartbeats,
    "kv": measure_kv,
    "agent": measure_agent,
    "sizes": measure_sizes,
}


def main(arguments: list[str]) -> None:
    """Run the named sections, or all; ``--record`` stores their slopes."""
    sections = [name for name in arguments if not name.startswith("--")] or list(SECTIONS)
    for name in sections:
        start_s = time.monotonic()
        print(f"# {name}", flush=True)
        slopes = SECTIONS[name]()
        if slopes and "--record" in arguments:
            record_slopes(slopes)
        print(f"({time.monotonic() - start_s:.0f} s)\n", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
