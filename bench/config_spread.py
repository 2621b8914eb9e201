"""Measure how fast a configuration version spreads, and at what cost, as the fleet grows.

An event loop in virtual time connects the shipped ``ConfigNode`` objects and delays and drops their
messages.  Membership is simulated by one probe per second from each VM to a random other, which
exchanges their versions.  Run it with ``python -m bench.config_spread``; with ``--record`` it only
records its slopes.
"""

import heapq
import itertools
import random
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bench.slopes import Slope, record_slopes
from fescuedock.core.config.node import Action, ConfigNode, Pull, PushTo, ReadRecord, ReadRevision
from fescuedock.core.config.record import apply_request, decode_record, encode_record
from fescuedock.core.config.spread import SpreadLimits
from fescuedock.schema.config import ConfigDelta, PatchRequest
from fescuedock.schema.view import VmRecord
from tests.builders.config import config_document, member_patch, vm_record

FLEETS = (9, 74, 370)
DOMAINS = 4
CHANGES = 20
CHANGES_PER_DAY = 910
DAY_S = 86400
# TCP, IP and ZeroMQ headers and acknowledgements of one message, and its digest.
OVERHEAD_BYTES = 150
# Request and response of one key-value call that reads no value.
KV_CALL_BYTES = 700
PROBE_MS = 1000.0


@dataclass(slots=True)
class Network:
    """One-way delays and the share of messages that are lost."""

    loss: float = 0.0
    kv_ms: float = 5.0
    kv_up: bool = True


@dataclass(slots=True)
class Fleet:
    """Simulated nodes, an event queue in order of time, and traffic counts."""

    size: int
    network: Network
    limits: SpreadLimits = field(default_factory=SpreadLimits)
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    now_ms: float = 0.0
    bytes_sent: int = 0
    kv_calls: int = 0
    kv_value: bytes | None = None
    kv_revision: int = 0
    nodes: list[ConfigNode] = field(default_factory=list)
    index: dict[str, ConfigNode] = field(default_factory=dict)
    vms: dict[str, VmRecord] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        vms = [vm_record(f"vm-{n:03d}", f"hall-{n % DOMAINS}") for n in range(self.size)]
        for vm in vms:
            node = ConfigNode(
                vm.vm_id, vm.failure_domain, 15000, lambda: vms, self.rng, self.limits
            )
            self.nodes.append(node)
            start_ms = self.rng.uniform(0, PROBE_MS)
            self.at(start_ms, lambda node=node: self.run(node))
            self.at(start_ms, lambda node=node: self.probe(node))
        self.index = {vm.vm_id: node for vm, node in zip(vms, self.nodes, strict=True)}
        self.vms = {vm.vm_id: vm for vm in vms}

    def at(self, at_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), event))

    def run_until(self, end_ms: float, is_done: Callable[[], bool] = lambda: False) -> None:
        while self._events and self._events[0][0] <= end_ms and not is_done():
            self.now_ms, _, event = heapq.heappop(self._events)
            event()

    def send(self, size_bytes: int, deliver: Callable[[], None]) -> None:
        """Deliver after a one-way delay, unless the message is lost."""
        self.bytes_sent += size_bytes + OVERHEAD_BYTES
        if self.rng.random() >= self.network.loss:
            self.at(self.now_ms + self.rng.uniform(0.5, 1.5), deliver)

    def probe(self, node: ConfigNode) -> None:
        """Simulate a membership probe and its answer; their bytes are not counted here."""
        other = self.rng.choice(self.nodes)
        for sender, receiver in ((node, other), (other, node)):
            if self.rng.random() >= self.network.loss:
                vm = self.vms[sender.vm_id]
                receiver.on_peer_version(vm, sender.version, self.now_ms)
                self.wake(receiver)
        self.at(self.now_ms + PROBE_MS, lambda: self.probe(node))

    def run(self, node: ConfigNode) -> None:
        self.wake(node)
        self.at(max(node.next_due_ms(), self.now_ms + 1), lambda: self.run(node))

    def wake(self, node: ConfigNode) -> None:
        self.run_actions(node, node.tick(self.now_ms))
        due_ms = node.next_due_ms()
        if due_ms < self.now_ms + self.limits.pull_timeout_ms:
            self.at(due_ms, lambda: self.run_actions(node, node.tick(self.now_ms)))

    def run_actions(self, node: ConfigNode, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case ReadRevision():
                    self.call_kv(lambda requested_ms: self.handle_revision(node, requested_ms))
                case ReadRecord():
                    self.call_kv(lambda requested_ms: self.handle_record(node, requested_ms))
                case Pull(vm, message):
                    self.pull(node, vm.vm_id, message)
                case PushTo(vms, message):
                    for vm in vms:
                        self.push(self.index[vm.vm_id], message, float("-inf"))

    def call_kv(self, answer: Callable[[float], None]) -> None:
        self.kv_calls += 1
        self.bytes_sent += KV_CALL_BYTES
        requested_ms = self.now_ms
        self.at(requested_ms + self.network.kv_ms, lambda: answer(requested_ms))

    def handle_revision(self, node: ConfigNode, requested_ms: float) -> None:
        revision = self.kv_revision if self.network.kv_up else None
        self.run_actions(node, node.on_revision(revision, requested_ms))

    def handle_record(self, node: ConfigNode, requested_ms: float) -> None:
        if self.network.kv_up:
            self.bytes_sent += len(self.kv_value or b"") * 4 // 3
            node.on_record(self.kv_value, self.kv_revision, requested_ms)
            self.wake(node)

    def pull(self, node: ConfigNode, vm_id: str, message: msgspec.Struct) -> None:
        requested_ms = self.now_ms

        def arrive() -> None:
            answer = self.index[vm_id].on_pull(message, self.now_ms)
            self.push(node, answer, requested_ms)

        self.send(len(msgspec.msgpack.encode(message)), arrive)

    def push(self, node: ConfigNode, message: msgspec.Struct, requested_ms: float) -> None:
        def arrive() -> None:
            node.on_push(message, requested_ms, self.now_ms)
            self.wake(node)

        self.send(len(msgspec.msgpack.encode(message)), arrive)

    def change(self, number: int, *, acceptor_dies: bool = False) -> float:
        """Accept one patch at a random VM; return the time until all have the version."""
        newest = max(self.nodes, key=lambda node: node.version).replica.record
        request = member_patch(newest.version, f"patch-{number}-0123456789abcdef")
        record, delta = apply_request(newest, request, 0).unwrap()
        self.kv_revision += 1
        self.kv_value = encode_record(record)
        if not acceptor_dies:
            node = self.rng.choice(self.nodes)
            delta = ConfigDelta(delta.patch, delta.applied, self.kv_revision)
            node.replica.accept(record, delta)
            self.wake(node)
        started_ms = self.now_ms
        behind = list(self.nodes)

        def all_updated() -> bool:
            while behind and behind[-1].version >= record.version:
                behind.pop()
            return not behind

        self.run_until(started_ms + 60000, all_updated)
        return self.now_ms - started_ms if all_updated() else float("inf")


def measure(fleet: Fleet, *, acceptor_dies: bool = False) -> tuple[list[float], float]:
    """Return the spread times of the changes, and the bytes per node and change."""
    fleet.run_until(10000)
    times: list[float] = []
    spread_bytes = 0
    for number in range(CHANGES):
        before = fleet.bytes_sent
        times.append(fleet.change(number, acceptor_dies=acceptor_dies))
        spread_bytes += fleet.bytes_sent - before
        fleet.run_until(fleet.now_ms + fleet.rng.uniform(5000, 10000))
    return times, spread_bytes / CHANGES / fleet.size


def print_spread() -> None:
    cases = (
        ("no loss", Network(), False),
        ("5% loss", Network(loss=0.05), False),
        ("20% loss", Network(loss=0.2), False),
        ("KV 1.4 s slow", Network(kv_ms=1400), False),
        ("KV away after the write", Network(kv_up=False), False),
        ("acceptor dies after its write", Network(), True),
        ("the same, KV 1.4 s slow, 5% loss", Network(0.05, 1400), True),
    )
    print(f"{'case':34} {'VMs':>4} {'median ms':>9} {'worst ms':>9} {'B/VM/change':>11}")
    for name, network, dies in cases:
        for size in FLEETS:
            times, per_node = measure(Fleet(size, network), acceptor_dies=dies)
            median, worst = statistics.median(times), max(times)
            print(f"{name:34} {size:4} {median:9.0f} {worst:9.0f} {per_node:11.0f}")


def print_fan_out() -> None:
    print(f"\n{'targets':>7} {'VMs':>4} {'median ms':>9} {'worst ms':>9} {'B/VM/change':>11}")
    for targets in (1, 2, 4, 6, 8, 10):
        limits = SpreadLimits(push_targets=targets)
        times, per_node = measure(Fleet(370, Network(loss=0.05), limits))
        median, worst = statistics.median(times), max(times)
        print(f"{targets:7} {370:4} {median:9.0f} {worst:9.0f} {per_node:11.0f}")


def print_idle() -> None:
    print(f"\n{'VMs':>4} {'KV calls/h idle':>15} {'calls/s':>8} {'B/s/VM idle':>11}")
    for size in FLEETS:
        fleet = Fleet(size, Network())
        fleet.run_until(5000)
        fleet.change(0)
        fleet.run_until(30000)
        calls, sent = fleet.kv_calls, fleet.bytes_sent
        fleet.run_until(630000)
        calls, sent = fleet.kv_calls - calls, fleet.bytes_sent - sent
        print(f"{size:4} {calls * 6:15} {calls / 600:8.2f} {sent / 600 / size:11.1f}")


def print_sizes() -> None:
    """Print the sizes and CPU times of the record of the largest configuration."""
    document = config_document(members=2700, models=35, keys=2)
    record, _ = apply_request(
        Fleet(1, Network()).nodes[0].replica.record, PatchRequest(0, "all", document), 0
    ).unwrap()
    request = member_patch(1, "patch-0123456789abcdef")
    started_s = time.perf_counter()
    record, delta = apply_request(record, request, 0).unwrap()
    apply_ms = (time.perf_counter() - started_s) * 1000
    data = encode_record(record)
    started_s = time.perf_counter()
    decode_record(data)
    decode_ms = (time.perf_counter() - started_s) * 1000
    print("\nrecord of 2,700 members with two keys each and 35 models:")
    print(f"  document {len(record.document)} B, record in the service {len(data)} B compressed")
    print(f"  delta of one change {len(msgspec.msgpack.encode(delta))} B")
    print(f"  accepting a patch {apply_ms:.0f} ms CPU, reading a record {decode_ms:.0f} ms CPU")
    pushed_bytes = SpreadLimits().push_targets * (len(msgspec.msgpack.encode(delta)) + 300)
    for name, size_bytes in (("pushed deltas", pushed_bytes), ("whole record", len(data))):
        rate = size_bytes * CHANGES_PER_DAY / DAY_S
        print(f"  {CHANGES_PER_DAY} changes a day by {name}: {rate:.1f} B/s/VM")


def record_costs() -> None:
    """Record the cost of one change for one VM of the largest fleet."""
    _, change_bytes = measure(Fleet(FLEETS[-1], Network()))
    document = config_document(members=2700, models=35, keys=2)
    replica = Fleet(1, Network()).nodes[0].replica
    request = PatchRequest(0, "all", document)
    data = encode_record(apply_request(replica.record, request, 0).unwrap()[0])
    started_s = time.process_time()
    decode_record(data)
    read_us = (time.process_time() - started_s) * 1e6
    command = "python -m bench.config_spread --record"
    record_slopes(
        {
            "config_change_node_bytes": Slope(
                round(change_bytes), "bytes", command, "sent by each of 370 VMs for a change"
            ),
            "config_change_node_us": Slope(
                round(read_us), "us", command, "reading a record of 2,700 members and 35 models"
            ),
        }
    )


if __name__ == "__main__":
    if "--record" in sys.argv:
        record_costs()
        sys.exit()
    print_spread()
    print_fan_out()
    print_idle()
    print_sizes()
