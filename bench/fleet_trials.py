"""Membership under loss, slowness and partitions, and its alternatives; sections of bench.fleet."""

import random
import statistics
import time
from collections import Counter

from fescuedock.schema.membership import DatagramHead, Probe
from tests.builders.membership import CODEC, Fleet, vm_name

__all__ = [
    "LIMIT_MS",
    "domains_of",
    "joined",
    "measure_damping",
    "measure_heartbeats",
    "measure_loss",
    "measure_slowness",
]

LIMIT_MS = 60000.0
# Larger fleets start with all members known, since simulating their join takes too long.
_MAX_SIMULATED_JOIN_VMS = 185


def domains_of(size: int) -> int:
    return 3 if size == 9 else 7


def joined(size: int, seed: int = 1, **options) -> tuple[Fleet, float]:
    """Start all VMs at once; return the fleet and the time until each knows all others."""
    fleet = Fleet(size, domains=domains_of(size), seed=seed, **options)
    if size > _MAX_SIMULATED_JOIN_VMS:
        fleet.introduce_all()
    nodes = fleet.nodes.values()
    took_ms = fleet.run_until(lambda: all(len(node.live()) == size for node in nodes), LIMIT_MS)
    return fleet, took_ms


class _Removals:
    """Counts, at each poll, running VMs that are newly missing or suspected in a view."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._missing: set[tuple[str, str]] = set()
        self.removed: Counter[str] = Counter()
        self.suspected: Counter[str] = Counter()
        self._suspect: set[tuple[str, str]] = set()

    def poll(self) -> None:
        running = {node.vm_id for node in self._fleet.running()}
        missing, suspect = set(), set()
        for node in self._fleet.running():
            view = node.view()
            missing |= {(node.vm_id, name) for name in running - set(view)}
            suspect |= {
                (node.vm_id, name) for name, item in view.items() if item.state == "suspect"
            }
        self.removed.update(name for _, name in missing - self._missing)
        self.suspected.update(name for _, name in suspect - self._suspect)
        self._missing, self._suspect = missing, suspect


def measure_loss() -> None:
    """Count false removals and suspicions while datagrams are lost, repeated and delayed."""
    print("loss | VMs | s | views that dropped a running VM | views that suspected one")
    for loss in (0.05, 0.2):
        fleet, _ = joined(37)
        fleet.loss, fleet.repeat, fleet.delay_ms = loss, 0.05, (0.2, 40.0)
        removals = _Removals(fleet)
        for _ in range(300):
            fleet.run(200)
            removals.poll()
        print(
            f"{loss:.0%} | 37 | 60 | {removals.removed.total()} | {removals.suspected.total()}",
            flush=True,
        )


_SLOW_VMS = 6
_SEEDS = 2


def _run_with_pauses(
    health_aware: bool, seed: int, pause_ms: tuple[float, float]
) -> tuple[int, int, int]:
    """Pause and resume a third of 18 VMs for a minute at 5% loss.

    Return the removals of running VMs, and the suspicions and refutations of the steady ones.
    """
    fleet, _ = joined(18, seed, health_aware=health_aware)
    fleet.run(5000)
    fleet.loss = 0.05
    slow = [vm_name(number) for number in range(_SLOW_VMS)]
    rng = random.Random(seed)
    removals = _Removals(fleet)
    changes_ms = dict.fromkeys(slow, (fleet.now_ms, False))
    observer = fleet.nodes[vm_name(17)]
    first_incarnations = {name: item.incarnation for name, item in observer.view().items()}
    for step in range(1200):
        fleet.run(50)
        for name, (due_ms, paused) in changes_ms.items():
            if due_ms <= fleet.now_ms:
                _toggle_pause(fleet, name, paused)
                span_ms = rng.uniform(50, 300) if paused else rng.uniform(*pause_ms)
                changes_ms[name] = (fleet.now_ms + span_ms, not paused)
        if step % 4 == 0:
            removals.poll()
    last_incarnations = {name: item.incarnation for name, item in observer.view().items()}
    steady = set(fleet.nodes) - set(slow)
    return (
        sum(removals.removed.values()),
        sum(removals.suspected[name] for name in steady),
        sum(last_incarnations.get(name, 0) - first_incarnations[name] for name in steady),
    )


def _toggle_pause(fleet: Fleet, name: str, paused: bool) -> None:
    if paused:
        fleet.wake(name)
    else:
        fleet.pause(name)


def measure_slowness() -> None:
    """Compare the VM's awareness of its own slowness on and off, interleaved on equal seeds."""
    print("pauses ms | aware | runs | dropped a running VM | suspected a steady VM | refutations")
    for pause_ms in ((300.0, 900.0), (1000.0, 4000.0)):
        results: dict[bool, list[tuple[int, int, int]]] = {True: [], False: []}
        for seed in range(_SEEDS):
            for health_aware in (True, False) if seed % 2 else (False, True):
                results[health_aware].append(_run_with_pauses(health_aware, seed, pause_ms))
        for health_aware, rows in results.items():
            sums = [sum(column) for column in zip(*rows, strict=True)]
            label = "on" if health_aware else "off"
            print(
                f"{pause_ms[0]:.0f}-{pause_ms[1]:.0f} | {label} | {len(rows)} | {sums[0]} | "
                f"{sums[1]} | {sums[2]}  each run: {rows}",
                flush=True,
            )


def measure_damping() -> None:
    """Count the VMs that an isolated VM removes, by ``removal_share``."""
    print(
        "removal_share | VMs that a cut-off VM of 9 dropped after 120 s | after a lost hall of 2 "
    )
    for share in (1.0, 0.25, 0.0):
        fleet, _ = joined(9, removal_share=share)
        fleet.reaches = lambda a, b: "vm-000" not in (a.vm_id, b.vm_id)
        fleet.run(120000)
        cut_off_dropped = 9 - len(fleet.nodes["vm-000"].live())
        split = Fleet(12, domains=2, removal_share=share)
        split.run(20000)
        split.reaches = lambda a, b: a.number % 2 == b.number % 2
        split.run(60000)
        dropped = statistics.mean(12 - len(node.live()) for node in split.running())
        print(
            f"{share} | {cut_off_dropped} | {dropped:.1f} of the other hall's 6 (mean over VMs)",
            flush=True,
        )


def measure_heartbeats(rounds: int = 4000) -> None:
    """Estimate the cost of one heartbeat per second between all pairs from the codec's cost."""
    message = Probe(DatagramHead("vm-000", "vm-001", 1796228201799, 77, 12), 123456789, [])
    started_s = time.process_time()
    for _ in range(rounds):
        CODEC.decode(CODEC.encode(message))
    codec_us = (time.process_time() - started_s) * 1e6 / rounds
    size_bytes = len(CODEC.encode(message))
    print(f"one heartbeat: {size_bytes} bytes, {codec_us:.0f} us to encode and decode")
    print("VMs | full mesh: datagrams/s in and out, bytes/s, CPU of the codec alone, per VM")
    for size in (9, 37, 74, 185, 370):
        peers = size - 1
        print(
            f"{size} | {2 * peers} | {2 * peers * size_bytes} | {peers * codec_us / 1e4:.2f}%",
            flush=True,
        )
